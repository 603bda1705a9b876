#include "tests/integration/revision_monitor.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "tests/integration/http_call.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;

/// A paused node must not keep the monitor from the others for long.
constexpr std::chrono::milliseconds kAnswerLimit{500};
constexpr std::chrono::hours kNoEnd{1};

}  // namespace

std::int64_t ShownRevision(const std::string& admin_url) {
  HttpCall call;
  call.url = admin_url + "/records";
  call.timeout = kAnswerLimit;
  const json document = json::parse(MakeCall(call).body, nullptr, false);
  return document.is_object() ? document.value("revision", std::int64_t{0}) : 0;
}

RevisionMonitor::RevisionMonitor(std::map<std::string, std::string> admin_urls)
    : urls(std::move(admin_urls)), thread([this] { this->Run(); }) {}

RevisionMonitor::~RevisionMonitor() {
  this->stopping = true;
  this->thread.join();
}

void RevisionMonitor::Run() {
  WaitUntil(kNoEnd, [this] {
    for (const auto& [node, url] : this->urls) {
      const std::int64_t shown = ShownRevision(url);
      if (shown == 0) continue;
      const std::lock_guard lock(this->mutex);
      ++this->answers;
      std::int64_t& known = this->newest[node];
      if (shown < known) {
        this->reversions +=
            node + " shows " + std::to_string(shown) + " after " + std::to_string(known) + "\n";
      }
      known = std::max(known, shown);
    }
    return this->stopping.load();
  });
}

std::string RevisionMonitor::Reversions() const {
  const std::lock_guard lock(this->mutex);
  return this->reversions;
}

int RevisionMonitor::Answers() const {
  const std::lock_guard lock(this->mutex);
  return this->answers;
}

}  // namespace fireflyrun::integration
