#include "common/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace fireflyrun {

std::uint64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

void ReturnLargeBlocks() {
  constexpr int kLargeBytes = 1 << 18;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
  mallopt(M_TRIM_THRESHOLD, 4 * kLargeBytes);
}

}  // namespace fireflyrun
