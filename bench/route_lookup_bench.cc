// Measures the time of a look-up among the routes of one host, and the memory of the table. Prints
// one line for each layout. Usage: route_lookup_bench
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "common/process_memory.h"
#include "records/route_table.h"

namespace fireflyrun::records {
namespace {

constexpr int kLookups = 20'000;
constexpr const char* kHost = "jepu9.example";

std::string Prefix(std::size_t number, std::size_t length) {
  const std::string start = "/" + std::to_string(number);
  return start + std::string(length > start.size() ? length - start.size() - 1 : 0, 'p') + "/";
}

/// `count` prefixes of `lengths` different lengths, `first_length` and more.
std::vector<std::string> Layout(std::size_t count, std::size_t first_length, std::size_t lengths) {
  std::vector<std::string> prefixes;
  for (std::size_t i = 0; i < count; ++i) prefixes.push_back(Prefix(i, first_length + i % lengths));
  return prefixes;
}

/// `count` prefixes of which each begins the next one.
std::vector<std::string> Nested(std::size_t count) {
  std::vector<std::string> prefixes = {"/"};
  while (prefixes.size() < count) prefixes.push_back(prefixes.back() + "seg/");
  return prefixes;
}

/// Looks up `path`, or each prefix in turn if it is empty.
void Measure(const std::string& name, const std::vector<std::string>& prefixes,
             const std::string& path = "") {
  const std::uint64_t before = ResidentBytes();
  const auto built_from = std::chrono::steady_clock::now();
  RouteTable table;
  for (const std::string& prefix : prefixes) {
    RouteEntry entry;
    entry.name = prefix;
    table.Add(kHost, prefix, std::move(entry));
  }
  const auto built = std::chrono::steady_clock::now() - built_from;
  const std::uint64_t held = ResidentBytes() - before;
  std::size_t found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kLookups; ++i) {
    const std::string& prefix = prefixes[static_cast<std::size_t>(i) * 7919 % prefixes.size()];
    found += table.Find(kHost, path.empty() ? prefix : path) != nullptr ? 1 : 0;
  }
  const auto spent = std::chrono::steady_clock::now() - start;
  const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(spent).count();
  std::cout << name << ": " << nanoseconds / kLookups << " ns a look-up, "
            << std::chrono::duration_cast<std::chrono::milliseconds>(built).count()
            << " ms to build, " << held / 1024 << " KiB, found " << found << "\n";
}

}  // namespace
}  // namespace fireflyrun::records

int main() {
  using namespace fireflyrun::records;  // NOLINT(google-build-using-namespace)
  Measure("4 prefixes of 10 bytes", Layout(4, 10, 1));
  Measure("2,500 prefixes of 10 bytes", Layout(2500, 10, 1));
  Measure("2,500 prefixes of 500 lengths from 10 bytes", Layout(2500, 10, 500));
  Measure("250 prefixes of 4,000 bytes", Layout(250, 4000, 1));
  Measure("500 nested prefixes", Nested(500));
  Measure("500 lengths from 8,000 bytes, a path of slashes", Layout(500, 8000, 500),
          std::string(16'000, '/'));
  return 0;
}
