#include "cli/record_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

#include "records/record_checker.h"

namespace fireflyrun::cli {

tl::expected<std::string, Finding> ReadRecordFile(const std::string& path) {
  const bool is_standard_input = path == "-";
  std::ifstream file;
  if (!is_standard_input) {
    errno = 0;
    file.open(path, std::ios::binary);
    if (!file) return tl::unexpected(Finding{path, std::strerror(errno)});
  }
  std::istream& input = is_standard_input ? std::cin : file;
  std::string text(records::kMaxFileBytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (input.bad() || (input.fail() && !input.eof())) {
    return tl::unexpected(Finding{path, "cannot be read"});
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  return text;
}

}  // namespace fireflyrun::cli
