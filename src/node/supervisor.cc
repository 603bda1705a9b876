#include "node/supervisor.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/log.h"
#include "common/timer_service.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kWatchPeriod = std::chrono::seconds(1);
constexpr Duration kFirstRestartDelay = std::chrono::seconds(1);
constexpr unsigned kMaxDelayDoublings = 5;

}  // namespace

Supervisor::Supervisor(TimerService& timer_service, std::string supervisor_name)
    : timers(timer_service), name(std::move(supervisor_name)) {}

void Supervisor::Add(Component component) {
  this->children.push_back({std::move(component), false, 0, {}});
}

tl::expected<void, std::string> Supervisor::Start() {
  this->stopping = false;
  for (std::size_t i = 0; i < this->children.size(); ++i) {
    const auto started = this->StartChild(this->children[i]);
    if (started) continue;
    this->StopChildren(i, [] {});
    return tl::unexpected(this->children[i].component.name + ": " + started.error());
  }
  this->watch_timer = this->timers.Every(kWatchPeriod, [this] { this->Watch(); });
  return {};
}

tl::expected<void, std::string> Supervisor::StartChild(Child& child) {
  auto started = child.component.start();
  child.running = started.has_value();
  if (started) Log(LogLevel::kInfo, "supervisor", "event=started child=" + child.component.name);
  return started;
}

void Supervisor::Stop(std::function<void()> done) {
  this->stopping = true;
  this->watch_timer.Reset();
  this->StopChildren(this->children.size(), std::move(done));
}

void Supervisor::StopChildren(std::size_t count, std::function<void()> done) {
  while (count > 0 && !this->children[count - 1].running) --count;
  if (count == 0) {
    done();
    return;
  }
  Child& child = this->children[count - 1];
  child.running = false;
  child.component.stop([this, count, done = std::move(done)] {
    Log(LogLevel::kInfo, "supervisor",
        "event=stopped child=" + this->children[count - 1].component.name);
    this->StopChildren(count - 1, done);
  });
}

void Supervisor::Watch() {
  for (Child& child : this->children) {
    if (!child.component.healthy) continue;
    const bool failed = child.running && !child.component.healthy();
    if (failed) {
      this->Restart(child);
    } else if (child.running) {
      child.failures = 0;
    } else if (SteadyClock::now() >= child.next_start && !this->StartChild(child)) {
      this->ScheduleRestart(child);
    }
  }
}

void Supervisor::Restart(Child& child) {
  ++this->restarts;
  Log(LogLevel::kWarning, "supervisor", "event=failed child=" + child.component.name);
  child.running = false;
  this->ScheduleRestart(child);
  child.component.stop([] {});
}

void Supervisor::ScheduleRestart(Child& child) {
  const unsigned doublings = std::min(child.failures, kMaxDelayDoublings);
  child.next_start = SteadyClock::now() + kFirstRestartDelay * (1U << doublings);
  ++child.failures;
}

Component Supervisor::AsComponent() {
  return {this->name, [this] { return this->Start(); },
          [this](std::function<void()> done) { this->Stop(std::move(done)); }, nullptr};
}

}  // namespace fireflyrun::node
