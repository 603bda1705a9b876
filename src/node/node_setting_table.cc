#include "node/node_setting_table.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <set>
#include <string_view>

#include "common/endpoint.h"
#include "http/headers.h"

namespace fireflyrun::node {
namespace {

using Problem = std::optional<std::string>;
using Spec = SettingSpec<NodeSettings>;

constexpr std::size_t kMaxNameLength = 63;
constexpr int kHelpOption = 1000;
constexpr int kFirstSettingOption = 1001;
/// Value of SettingSpec::live.
constexpr bool kLive = true;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
}

Problem CheckName(std::string_view value) {
  const bool characters_allowed = std::all_of(value.begin(), value.end(), IsNameCharacter);
  if (!value.empty() && value.size() <= kMaxNameLength && characters_allowed) return std::nullopt;
  return fmt::format("\"{}\" is not a name; allowed are 1 to {} of a-z, 0-9, '-' and '.'", value,
                     kMaxNameLength);
}

Problem CheckEndpoint(std::string_view value) {
  if (IsEndpoint(value)) return std::nullopt;
  return fmt::format("\"{}\" is not an address; allowed is IP:PORT with a port of 1 to 65535",
                     value);
}

template <typename Number>
Problem StoreNumber(std::string_view value, std::uint64_t lowest, std::uint64_t highest,
                    std::string_view unit, Number* number) {
  std::uint64_t parsed = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  const bool fully_parsed = error == std::errc{} && end == value.data() + value.size();
  if (!fully_parsed || parsed < lowest || parsed > highest) {
    return fmt::format("\"{}\" is out of range; allowed is a whole number of {} to {}{}", value,
                       lowest, highest, unit);
  }
  *number = static_cast<Number>(parsed);
  return std::nullopt;
}

/// Parses seconds; fractions are allowed.
Problem StoreSeconds(std::string_view value, double lowest, double highest, Duration* duration) {
  double seconds = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
  const bool fully_parsed = error == std::errc{} && end == value.data() + value.size();
  if (!fully_parsed || !(seconds >= lowest && seconds <= highest)) {
    return fmt::format("\"{}\" is out of range; allowed is a number of {} to {} seconds", value,
                       lowest, highest);
  }
  *duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  return std::nullopt;
}

/// Parses a number; fractions are allowed.
Problem StoreDecimal(std::string_view value, double lowest, double highest, double* number) {
  double parsed = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  const bool fully_parsed = error == std::errc{} && end == value.data() + value.size();
  if (!fully_parsed || !(parsed >= lowest && parsed <= highest)) {
    return fmt::format("\"{}\" is out of range; allowed is a number of {} to {}", value, lowest,
                       highest);
  }
  *number = parsed;
  return std::nullopt;
}

/// Parses megabytes; fractions are allowed.
Problem StoreMegabytes(std::string_view value, double lowest, double highest, std::size_t* bytes) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  double megabytes = 0;
  auto problem = StoreDecimal(value, lowest, highest, &megabytes);
  if (!problem) *bytes = static_cast<std::size_t>(megabytes * kBytesPerMegabyte);
  return problem;
}

Problem StoreEndpoints(std::string_view value, std::vector<std::string>* endpoints) {
  endpoints->clear();
  while (!value.empty()) {
    const auto comma = std::min(value.find(','), value.size());
    const std::string_view endpoint = value.substr(0, comma);
    if (auto problem = CheckEndpoint(endpoint)) return problem;
    endpoints->emplace_back(endpoint);
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return std::nullopt;
}

Spec NameSpec(std::string_view flag, std::string_view variable, std::string_view help,
              std::string NodeSettings::*field) {
  return {flag, variable, "NAME", help, [field](std::string_view value, NodeSettings& settings) {
            auto problem = CheckName(value);
            if (!problem) settings.*field = std::string(value);
            return problem;
          }};
}

/// Also accepts IP:PORT, the form in which sites give it; the IP address is that of the host.
Spec PortSpec(std::string_view flag, std::string_view variable, std::string_view help,
              std::uint16_t NodeSettings::*field) {
  return {flag, variable, "PORT", help, [field](std::string_view value, NodeSettings& settings) {
            if (IsEndpoint(value)) value.remove_prefix(value.rfind(':') + 1);
            return StoreNumber(value, 1, 65535, "", &(settings.*field));
          }};
}

Spec EndpointsSpec(std::string_view flag, std::string_view variable, std::string_view help,
                   std::vector<std::string> NodeSettings::*field) {
  return {flag, variable, "IP:PORT[,...]", help,
          [field](std::string_view value, NodeSettings& settings) {
            return StoreEndpoints(value, &(settings.*field));
          }};
}

Spec IpSpec(std::string_view flag, std::string_view variable, std::string_view help,
            std::string NodeSettings::*field) {
  return {flag, variable, "IP", help,
          [field](std::string_view value, NodeSettings& settings) -> Problem {
            asio::error_code error;
            asio::ip::make_address(std::string(value), error);
            if (error) return fmt::format("\"{}\" is not an IP address", value);
            settings.*field = std::string(value);
            return std::nullopt;
          }};
}

/// Sites may name services otherwise than records do.
Problem StoreServiceName(std::string_view value, std::string* name) {
  constexpr std::size_t kMaxServiceNameLength = 255;
  const bool is_printable = std::ranges::all_of(value, [](char c) { return c > ' ' && c <= '~'; });
  if (value.empty() || value.size() > kMaxServiceNameLength || !is_printable) {
    return fmt::format(
        "\"{}\" is not the name of a service; allowed are 1 to {} printable "
        "characters without space",
        value, kMaxServiceNameLength);
  }
  *name = std::string(value);
  return std::nullopt;
}

Problem StoreStoreProtocol(std::string_view value, NodeSettings& settings) {
  const auto protocol = kStoreProtocolNames.ValueOf(value);
  if (!protocol) return fmt::format("\"{}\" is not a protocol; allowed are etcd, platform", value);
  settings.store_protocol = *protocol;
  return std::nullopt;
}

Problem StoreLogLevel(std::string_view value, NodeSettings& settings) {
  const auto level = kLogLevelNames.ValueOf(value);
  if (!level) {
    return fmt::format("\"{}\" is not a level; allowed are debug, info, warning, error", value);
  }
  settings.log_level = *level;
  return std::nullopt;
}

Problem StoreSwitch(std::string_view value, bool* on) {
  if (value != "on" && value != "off") {
    return fmt::format("\"{}\" is not a switch value; allowed are on, off", value);
  }
  *on = value == "on";
  return std::nullopt;
}

std::vector<Spec> IdentitySpecs() {
  return {
      NameSpec("cluster", "FIREFLYRUN_CLUSTER", "cluster that the node belongs to [default]",
               &NodeSettings::cluster),
      NameSpec("node", "FIREFLYRUN_NODE", "name of this node, unique in the cluster (required)",
               &NodeSettings::node),
      NameSpec("region", "FIREFLYRUN_REGION", "region of this host (required)",
               &NodeSettings::region),
      NameSpec("zone", "FIREFLYRUN_ZONE", "availability zone of this host (required)",
               &NodeSettings::zone),
  };
}

std::vector<Spec> AddressSpecs() {
  return {
      IpSpec("address", "FIREFLYRUN_ADDRESS", "IP address that the node listens on [127.0.0.1]",
             &NodeSettings::address),
      IpSpec("advertised-address", "FIREFLYRUN_ADVERTISED_ADDRESS",
             "IP address at which other nodes reach this one [the address]",
             &NodeSettings::advertised_address),
      PortSpec("caller-port", "FIREFLYRUN_CALLER_PORT", "accepts callers' HTTP requests [7400]",
               &NodeSettings::caller_port),
      PortSpec("admin-port", "FIREFLYRUN_ADMIN_PORT",
               "accepts announcements; serves /metrics and /fleet [7401]",
               &NodeSettings::admin_port),
      PortSpec("health-port", "FIREFLYRUN_HEALTH_PORT", "also serves /health [the admin port only]",
               &NodeSettings::health_port),
      {"metrics-port", "FIREFLYRUN_METRICS_PORT", "PORT",
       "also serves /metrics; 0: the admin port only [0]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreNumber(value, 0, 65535, "", &settings.metrics_port);
       }},
      PortSpec("peer-port", "FIREFLYRUN_PEER_PORT", "accepts calls from other nodes [7402]",
               &NodeSettings::peer_port),
      PortSpec("control-port", "FIREFLYRUN_CONTROL_PORT", "accepts control messages [7403]",
               &NodeSettings::control_port),
      EndpointsSpec("store", "FIREFLYRUN_STORE", "the platform's key-value service",
                    &NodeSettings::store_endpoints),
      {"store-protocol", "FIREFLYRUN_STORE_PROTOCOL", "NAME",
       "protocol of the store: etcd, platform [etcd]", StoreStoreProtocol},
      EndpointsSpec("seeds", "FIREFLYRUN_SEEDS",
                    "control addresses of nodes to contact in order to join the cluster",
                    &NodeSettings::seeds),
  };
}

Spec BodySpec() {
  return {"max-body-bytes", "FIREFLYRUN_MAX_BODY_BYTES", "BYTES",
          "largest request or answer body, 1024 to 67108864 [8388608]",
          [](std::string_view value, NodeSettings& settings) {
            return StoreNumber(value, 1024, 67108864, " bytes", &settings.max_body_bytes);
          }};
}

/// Not every site tells; an empty value is none.
Spec MemorySpec() {
  return {"memory-limit", "FIREFLYRUN_MEMORY_LIMIT", "MEGABYTES",
          "memory that the node may use; it bounds the bodies that it holds, 64 to 65536 [256]",
          [](std::string_view value, NodeSettings& settings) {
            if (value.empty()) return Problem();
            return StoreMegabytes(value, 64, 65536, &settings.memory_limit);
          }};
}

std::vector<Spec> LimitSpecs() {
  return {
      {"log-level", "FIREFLYRUN_LOG_LEVEL", "LEVEL",
       "lowest level written: debug, info, warning, error [info]", StoreLogLevel, kLive},
      {"log-lines", "FIREFLYRUN_LOG_LINES", "COUNT",
       "log lines written per second; failures have priority, 10 to 100000 [200]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreNumber(value, 10, 100'000, "", &settings.log_lines);
       }},
      BodySpec(),
      MemorySpec(),
      {"max-connections", "FIREFLYRUN_MAX_CONNECTIONS", "COUNT",
       "callers' connections accepted at the same time, 1 to 20000 [700]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreNumber(value, 1, 20000, "", &settings.max_connections);
       }},
      {"announcement-limit", "FIREFLYRUN_ANNOUNCEMENT_LIMIT", "SECONDS",
       "a target without announcement or answer for this long is withdrawn, 1 to 600 [5]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSeconds(value, 1, 600, &settings.announcement_limit);
       },
       kLive},
      {"stop-limit", "FIREFLYRUN_STOP_LIMIT", "SECONDS",
       "a graceful stop waits this long for running calls, 1 to 3600 [60]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSeconds(value, 1, 3600, &settings.stop_limit);
       },
       kLive},
      {"stop-notice", "FIREFLYRUN_STOP_NOTICE", "SECONDS",
       "accepts requests this long while stopping, so callers notice in /health, 0 to 600 [0]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSeconds(value, 0, 600, &settings.stop_notice);
       },
       kLive},
      {"stop-grace", "FIREFLYRUN_STOP_GRACE", "SECONDS",
       "time from stop to kill; the node ends before the kill; 0: no kill, 0 to 3600 [0]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSeconds(value, 0, 3600, &settings.stop_grace);
       },
       kLive},
      {"link-bytes", "FIREFLYRUN_LINK_BYTES", "BYTES",
       "bytes of calls per second to other regions, 0 to 1000000000 [2000]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreNumber(value, 0, 1'000'000'000, " bytes", &settings.link_bytes_per_second);
       },
       kLive},
      {"queue-target", "FIREFLYRUN_QUEUE_TARGET", "SECONDS",
       "wait for the target up to which admission is not reduced, 0.001 to 10 [0.02]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSeconds(value, 0.001, 10, &settings.queue_target);
       }},
      {"retry-ratio", "FIREFLYRUN_RETRY_RATIO", "SHARE",
       "retries allowed to a service as a share of its requests, over all nodes, 0 to 1 [0.2]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreDecimal(value, 0, 1, &settings.retry_ratio);
       }},
      {"retry-window", "FIREFLYRUN_RETRY_WINDOW", "SECONDS",
       "window in which ratio and extra limit the retries of all nodes; 0: no limit, 0 to 600 [0]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSeconds(value, 0, 600, &settings.retry_window);
       }},
      {"retry-extra", "FIREFLYRUN_RETRY_EXTRA", "COUNT",
       "retries allowed to a service beyond the ratio, over all nodes, 0 to 100000 [0]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreDecimal(value, 0, 100'000, &settings.retry_extra);
       }},
      {"retry-levels", "FIREFLYRUN_RETRY_LEVELS", "COUNT",
       "number of call levels that share ratio and extra, 1 to 20 [5]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreNumber(value, 1, 20, "", &settings.retry_levels);
       }},
      {"decisions-off", "FIREFLYRUN_DECISIONS_OFF", "on|off",
       "baseline for benchmarks: fixed retries per hop, no shedding, first in first out [off]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSwitch(value, &settings.decisions_off);
       }},
  };
}

Spec HeaderSpec(std::string_view flag, std::string_view variable, std::string_view help,
                std::string WireNames::*field) {
  return {flag, variable, "HEADER", help,
          [field](std::string_view value, NodeSettings& settings) -> Problem {
            if (!value.empty() && !http::IsToken(value)) {
              return fmt::format("\"{}\" is not the name of a header", value);
            }
            settings.wire.*field = std::string(value);
            return std::nullopt;
          }};
}

std::vector<Spec> WireSpecs() {
  return {
      HeaderSpec("request-id-header", "FIREFLYRUN_REQUEST_ID_HEADER",
                 "id of a request; its target returns it [none]", &WireNames::request_id),
      HeaderSpec("deadline-header", "FIREFLYRUN_DEADLINE_HEADER",
                 "milliseconds until the deadline [Firefly-Deadline-Ms]", &WireNames::deadline),
      HeaderSpec("handle-header", "FIREFLYRUN_HANDLE_HEADER",
                 "identifies the call that a target runs; empty: no header [Firefly-Request]",
                 &WireNames::handle),
      HeaderSpec("outcome-header", "FIREFLYRUN_OUTCOME_HEADER",
                 "whether a refused call ran [Firefly-Outcome]", &WireNames::outcome),
      HeaderSpec("expected-target-header", "FIREFLYRUN_EXPECTED_TARGET_HEADER",
                 "id of the target that a call is meant for [none]", &WireNames::expected_target),
      HeaderSpec("target-id-header", "FIREFLYRUN_TARGET_ID_HEADER",
                 "id of the target that answers a probe [none]", &WireNames::target_id),
      HeaderSpec("not-run-header", "FIREFLYRUN_NOT_RUN_HEADER",
                 "in a target's answer: the target has not run the call [none]",
                 &WireNames::not_run),
      HeaderSpec("caller-service-header", "FIREFLYRUN_CALLER_SERVICE_HEADER",
                 "service of the host where a call began [none]", &WireNames::caller_service),
      {"child-separator", "FIREFLYRUN_CHILD_SEPARATOR", "TEXT",
       "text between a request's id and the suffix in ids of its child calls; empty: unused [none]",
       [](std::string_view value, NodeSettings& settings) -> Problem {
         settings.wire.child_separator = std::string(value);
         return std::nullopt;
       }},
      {"retry-after-fractions", "FIREFLYRUN_RETRY_AFTER_FRACTIONS", "on|off",
       "Retry-After with fractions of a second [off]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreSwitch(value, &settings.wire.retry_after_fractions);
       }},
      {"target-service", "FIREFLYRUN_TARGET_SERVICE", "NAME",
       "service of this host's target [as announced]",
       [](std::string_view value, NodeSettings& settings) {
         return StoreServiceName(value, &settings.target_service);
       },
       kLive},
      {"target-address", "FIREFLYRUN_TARGET_ADDRESS", "IP:PORT",
       "only address accepted for this host's target [as announced]",
       [](std::string_view value, NodeSettings& settings) {
         auto problem = CheckEndpoint(value);
         if (!problem) settings.target_address = std::string(value);
         return problem;
       },
       kLive},
  };
}

std::vector<Spec> BuildTable() {
  std::vector<Spec> table = IdentitySpecs();
  for (auto& spec : WireSpecs()) table.push_back(std::move(spec));
  for (auto& spec : AddressSpecs()) table.push_back(std::move(spec));
  for (auto& spec : LimitSpecs()) table.push_back(std::move(spec));
  return table;
}

std::vector<option> LongOptions(const std::vector<Spec>& table) {
  std::vector<option> options;
  options.reserve(table.size() + 2);
  int code = kFirstSettingOption;
  for (const Spec& spec : table) {
    options.push_back({spec.flag.data(), required_argument, nullptr, code++});
  }
  options.push_back({"help", no_argument, nullptr, kHelpOption});
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

void StoreValue(const Spec& spec, const std::string& place, std::string_view value,
                ParsedNodeSettings* parsed) {
  auto problem = spec.store(value, parsed->settings);
  if (problem) parsed->findings.push_back({place, *problem});
  parsed->values.insert_or_assign(std::string(spec.flag), std::string(value));
}

void ReadFileLine(std::string_view line, const std::string& place, ParsedNodeSettings* parsed) {
  const auto equals = line.find('=');
  const std::string_view variable = line.substr(0, equals);
  const auto& table = NodeSettingTable();
  const auto spec = std::find_if(table.begin(), table.end(),
                                 [&](const Spec& entry) { return entry.variable == variable; });
  if (equals == std::string_view::npos || spec == table.end()) {
    parsed->findings.push_back({place, "is not VARIABLE=VALUE with the variable of a setting"});
    return;
  }
  StoreValue(*spec, place, line.substr(equals + 1), parsed);
}

void ReadEnvironment(const EnvironmentHook& environment, ParsedNodeSettings* parsed) {
  for (const Spec& spec : NodeSettingTable()) {
    const std::string variable(spec.variable);
    const auto value = environment(variable);
    if (value) StoreValue(spec, variable, *value, parsed);
  }
}

/// The file's lines are `VARIABLE=VALUE`; empty lines and lines that begin with "#" are skipped.
void ReadFile(const std::string& path, const FileHook& read_file, ParsedNodeSettings* parsed) {
  const auto text = read_file(path);
  if (!text) {
    parsed->findings.push_back({path, "can't be read"});
    return;
  }
  std::string_view rest = *text;
  for (int line_number = 1; !rest.empty(); ++line_number) {
    const auto end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (line.empty() || line.front() == '#') continue;
    ReadFileLine(line, path + ':' + std::to_string(line_number), parsed);
  }
}

void ReadFlags(int argc, char** argv, ParsedNodeSettings* parsed) {
  const auto& table = NodeSettingTable();
  const auto options = LongOptions(table);
  optind = 0;  // glibc: restarts the scan after an earlier one.
  int code = 0;
  while ((code = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
    if (code == kHelpOption) {
      parsed->help = true;
    } else if (code < kFirstSettingOption) {
      parsed->wrong_usage = true;
    } else {
      const Spec& spec = table[static_cast<std::size_t>(code - kFirstSettingOption)];
      StoreValue(spec, "--" + std::string(spec.flag), optarg, parsed);
    }
  }
  if (optind < argc) {
    parsed->findings.push_back({argv[optind], "is neither a flag nor the value of a flag"});
    parsed->wrong_usage = true;
  }
}

void CheckRequired(ParsedNodeSettings* parsed) {
  const NodeSettings& settings = parsed->settings;
  const auto require = [parsed](const std::string& value, const char* flag) {
    if (value.empty()) parsed->findings.push_back({flag, "is required"});
  };
  require(settings.node, "--node");
  require(settings.region, "--region");
  require(settings.zone, "--zone");
  if (settings.store_endpoints.empty() && settings.seeds.empty()) {
    parsed->findings.push_back({"--store, --seeds", "at least one of them is required"});
  }
}

void CheckPortsDiffer(ParsedNodeSettings* parsed) {
  const NodeSettings& settings = parsed->settings;
  const std::set<std::uint16_t> ports{settings.caller_port, settings.admin_port, settings.peer_port,
                                      settings.control_port};
  if (ports.size() == 4) return;
  parsed->findings.push_back({"--caller-port, --admin-port, --peer-port, --control-port",
                              "two of them are the same; each needs a port of its own"});
}

}  // namespace

const std::vector<Spec>& NodeSettingTable() {
  static const std::vector<Spec> table = BuildTable();
  return table;
}

ParsedNodeSettings ParseNodeSettings(int argc, char** argv, const EnvironmentHook& environment,
                                     const FileHook& read_file) {
  ParsedNodeSettings parsed;
  parsed.file = environment(std::string(kSettingsFileVariable)).value_or("");
  if (!parsed.file.empty()) ReadFile(parsed.file, read_file, &parsed);
  ReadEnvironment(environment, &parsed);
  ReadFlags(argc, argv, &parsed);
  if (parsed.help || parsed.wrong_usage) return parsed;
  CheckRequired(&parsed);
  CheckPortsDiffer(&parsed);
  return parsed;
}

std::string NodeHelp() {
  std::string text =
      "Usage: fireflyrun node [FLAGS]\n\n"
      "Runs the node of this host until SIGTERM or SIGINT, then stops gracefully.\n"
      "Each flag has an environment variable; the flag takes precedence over it. Both take\n"
      "precedence over VARIABLE=VALUE lines of the file that FIREFLYRUN_BOOT names, if set.\n\n";
  for (const Spec& spec : NodeSettingTable()) {
    text +=
        fmt::format("  --{:<32} {}\n  {:<34} ({})\n",
                    fmt::format("{} {}", spec.flag, spec.value_name), spec.help, "", spec.variable);
  }
  return text;
}

}  // namespace fireflyrun::node
