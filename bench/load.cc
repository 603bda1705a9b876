#include "bench/load.h"

#include <unistd.h>

#include <filesystem>
#include <stdexcept>

namespace fireflyrun::bench {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kDrainLimit{60'000};
constexpr double kMillisecondsPerSecond = 1000;

std::string MakeFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "fireflyrun-load-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  return name;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const auto& part : parts) joined += (joined.empty() ? "" : ",") + part;
  return joined;
}

std::vector<std::string> CommandOf(const LoadPlan& plan) {
  std::vector<std::string> command{CALLER_STANDIN_PATH,
                                   "--to",
                                   Join(plan.to),
                                   "--rate",
                                   std::to_string(plan.rate),
                                   "--seconds",
                                   std::to_string(plan.seconds),
                                   "--retries",
                                   std::to_string(plan.retries),
                                   "--timeout-ms",
                                   std::to_string(plan.timeout_ms)};
  if (!plan.class_mix.empty()) {
    command.insert(command.end(), {"--class-mix", plan.class_mix});
  } else {
    command.insert(command.end(), {"--path", plan.path, "--expect-children",
                                   std::to_string(plan.expected_children)});
  }
  return command;
}

}  // namespace

Load::Load(const LoadPlan& plan)
    : folder(MakeFolder()),
      seconds(plan.seconds),
      process(std::make_unique<integration::Process>(CommandOf(plan), this->folder + "/load")) {}

json Load::Wait() {
  const auto planned =
      std::chrono::milliseconds(static_cast<long>(this->seconds * kMillisecondsPerSecond));
  this->process->WaitForExit(planned + kDrainLimit);
  json summary = json::parse(this->process->Output(), nullptr, false);
  if (!summary.is_object()) {
    throw std::runtime_error("the caller stand-in printed no summary: " +
                             this->process->ErrorOutput());
  }
  std::filesystem::remove_all(this->folder);
  return summary;
}

json RunLoad(const LoadPlan& plan) { return Load(plan).Wait(); }

double MeanGoodput(const json& summary, std::size_t from, std::size_t to) {
  const auto& series = summary.at("goodput_per_second");
  double sum = 0;
  for (std::size_t second = from; second < to && second < series.size(); ++second) {
    sum += series[second].get<double>();
  }
  return sum / static_cast<double>(to - from);
}

}  // namespace fireflyrun::bench
