#include "cli/explain_command.h"

#include <fstream>
#include <iostream>
#include <string>

#include "cli/exit_code.h"
#include "cli/operator_options.h"
#include "cli/request_timeline.h"

namespace fireflyrun::cli {
namespace {

constexpr std::size_t kMaxLogFiles = 10'000;

constexpr OperatorUsage kUsage{
    .synopsis = "explain ID LOG...",
    .description =
        "Prints the lines of the nodes' logs (\"-\" is standard input) about request ID and the\n"
        "calls made for it, in causal order, then the cause. Give the logs of all nodes, those of\n"
        "one node from old to new. Exit status 1 if the logs name no cause.",
    .min_arguments = 2,
    .max_arguments = kMaxLogFiles,
    .needs_store = false};

void ReadLog(std::istream& log, RequestTimeline* timeline) {
  std::string line;
  while (std::getline(log, line)) timeline->Add(line);
}

bool ReadLogFile(const std::string& path, RequestTimeline* timeline) {
  if (path == "-") {
    ReadLog(std::cin, timeline);
    return true;
  }
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return false;
  }
  ReadLog(file, timeline);
  return true;
}

void PrintCause(const LogRecord& end) {
  std::cout << "cause: " << end.Get("cause") << "  (request " << end.Get("request") << ", "
            << end.Get("event") << " at " << end.Get("node");
  if (!end.Get("status").empty()) std::cout << ", status " << end.Get("status");
  if (!end.Get("target").empty()) std::cout << ", target " << end.Get("target");
  std::cout << ")\n";
}

int PrintConclusion(const RequestTimeline& timeline, const std::string& request) {
  const LogRecord* end = timeline.FindFinalRecord(request);
  if (end == nullptr) {
    std::cout
        << "cause: not found. Either the request succeeded (logged at level debug only), or "
           "the log of the\n"
           "node where it arrived is missing, or that node exited before it logged the end.\n";
    return kExitFailed;
  }
  if (end->Get("event") == "answered") {
    std::cout << "answered: status " << end->Get("status") << " by " << end->Get("target") << '\n';
    return kExitDone;
  }
  const auto causes = timeline.FindCauses();
  for (const LogRecord* cause : causes) PrintCause(*cause);
  return causes.empty() ? kExitFailed : kExitDone;
}

}  // namespace

int RunExplain(int argc, char** argv) {
  const auto options = ParseOperatorOptions(argc, argv, kUsage);
  if (!options) return options.error();
  const std::string& request = options->arguments[0];
  RequestTimeline timeline(request);
  bool all_read = true;
  for (std::size_t i = 1; i < options->arguments.size(); ++i) {
    all_read = ReadLogFile(options->arguments[i], &timeline) && all_read;
  }
  if (timeline.Empty()) {
    std::cerr << request << ": no log line found for this request\n";
    return kExitFailed;
  }
  for (const LogRecord* record : timeline.CausalOrder()) std::cout << record->text << '\n';
  const int status = PrintConclusion(timeline, request);
  return all_read ? status : kExitFailed;
}

}  // namespace fireflyrun::cli
