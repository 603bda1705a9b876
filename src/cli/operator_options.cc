#include "cli/operator_options.h"

#include <getopt.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <utility>

#include "cli/exit_code.h"
#include "common/finding.h"
#include "records/record_key.h"

namespace fireflyrun::cli {
namespace {

constexpr std::int64_t kMaxWaitSeconds = 86'400;
constexpr std::int64_t kMaxPort = 65'535;

enum Flag { kStore = 1, kAdmin, kCluster, kWait, kWaitTimeout, kReadAt, kJson, kHelp };

std::optional<std::int64_t> ParseNumber(std::string_view text, std::int64_t lowest,
                                        std::int64_t highest) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  if (value < lowest || value > highest) return std::nullopt;
  return value;
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string host = text.substr(0, colon);
  const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (has_brackets) host = host.substr(1, host.size() - 2);
  asio::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error || address.is_v6() != has_brackets) return false;
  return ParseNumber(std::string_view(text).substr(colon + 1), 1, kMaxPort).has_value();
}

/// Reads one command line and the environment; collects all errors as findings.
class OptionReader {
 public:
  explicit OptionReader(const OperatorUsage& command_usage) : usage(command_usage) {}

  void ReadEnvironment() {
    if (const char* text = std::getenv("FIREFLYRUN_STORE")) {
      this->SetAddresses("FIREFLYRUN_STORE", text, this->options.store_endpoints);
    }
    if (const char* text = std::getenv("FIREFLYRUN_ADMIN")) {
      this->SetAddresses("FIREFLYRUN_ADMIN", text, this->options.admin_addresses);
    }
    if (const char* text = std::getenv("FIREFLYRUN_CLUSTER")) {
      this->SetCluster("FIREFLYRUN_CLUSTER", text);
    }
  }

  void ReadCommandLine(int argc, char** argv) {
    const option flags[] = {{"store", required_argument, nullptr, kStore},
                            {"admin", required_argument, nullptr, kAdmin},
                            {"cluster", required_argument, nullptr, kCluster},
                            {"wait", no_argument, nullptr, kWait},
                            {"wait-timeout", required_argument, nullptr, kWaitTimeout},
                            {"read-at", required_argument, nullptr, kReadAt},
                            {"json", no_argument, nullptr, kJson},
                            {"help", no_argument, nullptr, kHelp},
                            {nullptr, 0, nullptr, 0}};
    // 0 resets glibc's getopt state, in case this process has parsed another command line before.
    optind = 0;
    opterr = 0;
    for (int flag = 0; (flag = getopt_long(argc, argv, ":", flags, nullptr)) != -1;) {
      if (flag == '?' || flag == ':') {
        const char* problem = flag == '?' ? "is not a flag of this subcommand" : "needs a value";
        this->Report(argv[optind - 1], problem);
        continue;
      }
      this->SetFlag(static_cast<Flag>(flag), optarg == nullptr ? "" : optarg);
    }
    this->options.arguments.assign(argv + optind, argv + argc);
  }

  void CheckArguments() {
    const std::size_t count = this->options.arguments.size();
    if (count < this->usage.min_arguments || count > this->usage.max_arguments) {
      this->Report("arguments", std::to_string(count) + " given; allowed is " +
                                    std::string(this->usage.synopsis));
    }
    if (this->usage.needs_store && this->options.store_endpoints.empty()) {
      this->Report("--store", "is missing, and FIREFLYRUN_STORE is not set");
    }
  }

  bool HelpRequested() const { return this->help; }
  const Findings& Problems() const { return this->findings; }
  OperatorOptions Take() { return std::move(this->options); }

 private:
  void Report(std::string location, std::string message) {
    this->findings.push_back({std::move(location), std::move(message)});
  }

  void SetAddresses(const char* location, std::string_view text,
                    std::vector<std::string>& addresses) {
    addresses.clear();
    for (std::size_t start = 0; start <= text.size();) {
      const std::size_t end = std::min(text.find(',', start), text.size());
      addresses.emplace_back(text.substr(start, end - start));
      if (!IsAddress(addresses.back())) {
        this->Report(location, "\"" + addresses.back() +
                                   "\" is not IP:PORT; allowed are one or more, "
                                   "separated by commas");
      }
      start = end + 1;
    }
  }

  void SetCluster(const char* location, const std::string& text) {
    this->options.cluster = text;
    if (records::IsRecordName(text)) return;
    this->Report(location,
                 "\"" + text +
                     "\" is not a valid name; allowed is a lower-case letter, then up to 62 "
                     "lower-case letters, digits and \"-\"");
  }

  void SetWaitTimeout(const std::string& text) {
    const auto seconds = ParseNumber(text, 1, kMaxWaitSeconds);
    if (!seconds) {
      this->Report("--wait-timeout", "\"" + text + "\"; allowed are 1 to 86400 seconds");
      return;
    }
    this->options.wait_timeout = std::chrono::seconds(*seconds);
  }

  void SetReadAt(const std::string& text) {
    this->options.read_at = ParseNumber(text, 0, INT64_MAX);
    if (!this->options.read_at) {
      this->Report("--read-at", "\"" + text + "\"; allowed is a revision as \"get\" prints it");
    }
  }

  void CheckAllowed(bool allowed, const char* flag) {
    if (!allowed) this->Report(flag, "is not a flag of this subcommand");
  }

  void SetFlag(Flag flag, const std::string& text) {
    switch (flag) {
      case kStore:
        this->SetAddresses("--store", text, this->options.store_endpoints);
        break;
      case kAdmin:
        this->SetAddresses("--admin", text, this->options.admin_addresses);
        break;
      case kCluster:
        this->SetCluster("--cluster", text);
        break;
      case kWait:
        this->CheckAllowed(this->usage.writes, "--wait");
        this->options.wait = true;
        break;
      case kWaitTimeout:
        this->CheckAllowed(this->usage.writes, "--wait-timeout");
        this->SetWaitTimeout(text);
        break;
      case kReadAt:
        this->CheckAllowed(this->usage.takes_read_at, "--read-at");
        this->SetReadAt(text);
        break;
      case kJson:
        this->CheckAllowed(this->usage.takes_json, "--json");
        this->options.json = true;
        break;
      case kHelp:
        this->help = true;
        break;
    }
  }

  const OperatorUsage& usage;
  OperatorOptions options;
  Findings findings;
  bool help = false;
};

void PrintUsage(std::ostream& out, const OperatorUsage& usage) {
  out << "Usage: fireflyrun " << usage.synopsis << "\n"
      << usage.description
      << "\n"
         "  --store IP:PORT[,IP:PORT]  the key-value service (FIREFLYRUN_STORE)\n"
         "  --cluster NAME             cluster to use (FIREFLYRUN_CLUSTER; default \"default\")\n"
         "  --admin IP:PORT[,IP:PORT]  nodes to query instead of the roster's (FIREFLYRUN_ADMIN)\n";
  if (usage.writes) {
    out << "  --wait                     wait until all reachable nodes have the change in force\n"
           "  --wait-timeout SECONDS     timeout of --wait; default 60\n";
  }
  if (usage.takes_read_at) {
    out << "  --read-at REVISION         refuse if a record of FILE was changed after REVISION\n";
  }
  if (usage.takes_json) {
    out << "  --json                     print the records as a JSON array that \"apply\" takes\n";
  }
  out << "  --help                     print this help\n"
         "Exit codes: 0 success, 1 findings, a write conflict or a failure, 2 wrong usage.\n";
}

}  // namespace

tl::expected<OperatorOptions, int> ParseOperatorOptions(int argc, char** argv,
                                                        const OperatorUsage& usage) {
  OptionReader reader(usage);
  reader.ReadEnvironment();
  reader.ReadCommandLine(argc, argv);
  if (reader.HelpRequested()) {
    PrintUsage(std::cout, usage);
    return tl::unexpected(kExitDone);
  }
  reader.CheckArguments();
  if (reader.Problems().empty()) return reader.Take();
  std::cerr << FormatFindings(reader.Problems());
  PrintUsage(std::cerr, usage);
  return tl::unexpected(kExitWrongUsage);
}

}  // namespace fireflyrun::cli
