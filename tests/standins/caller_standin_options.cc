#include "tests/standins/caller_standin_options.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>

namespace fireflyrun::standins {
namespace {

constexpr std::array<option, 18> kOptions = {{
    {"to", required_argument, nullptr, 't'},
    {"prefix", required_argument, nullptr, 'x'},
    {"rate", required_argument, nullptr, 'r'},
    {"seconds", required_argument, nullptr, 's'},
    {"poisson", no_argument, nullptr, 'o'},
    {"mix", required_argument, nullptr, 'm'},
    {"class-mix", required_argument, nullptr, 'c'},
    {"path", required_argument, nullptr, 'p'},
    {"method", required_argument, nullptr, 'M'},
    {"body-bytes", required_argument, nullptr, 'b'},
    {"expect-children", required_argument, nullptr, 'e'},
    {"retries", required_argument, nullptr, 'R'},
    {"keys", no_argument, nullptr, 'k'},
    {"timeout-ms", required_argument, nullptr, 'T'},
    {"header", required_argument, nullptr, 'H'},
    {"constant", no_argument, nullptr, 'C'},
    {"direct", no_argument, nullptr, 'D'},
    {nullptr, 0, nullptr, 0},
}};

/// Reads the command line; the single-request flags fill `single`, used when no mix is given.
class Parser {
 public:
  tl::expected<CallerOptions, Findings> Run(int argc, char** argv) {
    for (int letter = 0; letter != -1;) {
      letter = getopt_long(argc, argv, "", kOptions.data(), nullptr);
      if (letter != -1) this->Read(letter);
    }
    if (optind < argc) this->findings.push_back({argv[optind], "unexpected argument"});
    if (this->options.to.empty()) this->findings.push_back({"--to", "is needed"});
    if (this->options.rate <= 0) this->findings.push_back({"--rate", "must be over 0"});
    if (this->options.mix.empty()) this->options.mix.push_back(this->single);
    if (!this->findings.empty()) return tl::make_unexpected(std::move(this->findings));
    return std::move(this->options);
  }

 private:
  void Read(int letter) {
    switch (letter) {
      case 't':
        return this->ReadAddresses(optarg);
      case 'x':
        this->options.prefix = optarg;
        return;
      case 'm':
        return this->ReadMixFile(optarg);
      case 'c':
        return this->TakeMix(ParseMix(optarg, "--class-mix"));
      case 'p':
        this->single.path = optarg;
        return;
      case 'M':
        this->single.method = optarg;
        return;
      case 'H':
        return this->ReadHeader(optarg);
      case 'o':
      case 'C':
        this->options.poisson = letter == 'o';
        return;
      case 'k':
        this->options.keys = true;
        return;
      case 'D':
        return;
      default:
        return this->ReadNumbers(letter);
    }
  }

  void ReadNumbers(int letter) {
    double milliseconds = 0;
    switch (letter) {
      case 'r':
        return this->ReadNumber("--rate", &this->options.rate);
      case 's':
        return this->ReadNumber("--seconds", &this->options.seconds);
      case 'b':
        return this->ReadNumber("--body-bytes", &this->single.body_bytes);
      case 'e':
        return this->ReadNumber("--expect-children", &this->single.expected_children);
      case 'R':
        return this->ReadNumber("--retries", &this->options.retries);
      case 'T':
        this->ReadNumber("--timeout-ms", &milliseconds);
        this->options.timeout = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
        return;
      default:
        this->findings.push_back({"command line", "unknown option"});
    }
  }

  template <typename Number>
  void ReadNumber(const char* flag, Number* out) {
    const std::string_view text = optarg;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *out);
    if (error == std::errc{} && end == text.data() + text.size() && *out >= Number{0}) return;
    this->findings.push_back({flag, "\"" + std::string(text) + "\" is not a number in range"});
  }

  void ReadAddresses(std::string_view text) {
    while (!text.empty()) {
      const std::size_t comma = text.find(',');
      this->options.to.emplace_back(text.substr(0, comma));
      text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
  }

  void ReadHeader(std::string_view text) {
    const std::size_t colon = text.find(": ");
    if (colon == std::string_view::npos) {
      this->findings.push_back({"--header", "must be \"NAME: VALUE\""});
      return;
    }
    this->options.headers.push_back(
        {std::string(text.substr(0, colon)), std::string(text.substr(colon + 2))});
  }

  void ReadMixFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
      this->findings.push_back({path, "cannot be read"});
      return;
    }
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    this->TakeMix(ParseMix(text, path));
  }

  void TakeMix(tl::expected<Mix, Findings> parsed) {
    if (parsed) {
      this->options.mix = std::move(*parsed);
      return;
    }
    this->findings.insert(this->findings.end(), parsed.error().begin(), parsed.error().end());
  }

  CallerOptions options;
  MixEntry single{.label = "single"};
  Findings findings;
};

}  // namespace

tl::expected<CallerOptions, Findings> ParseCallerOptions(int argc, char** argv) {
  return Parser().Run(argc, argv);
}

}  // namespace fireflyrun::standins
