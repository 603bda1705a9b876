#include "node/settings_reloader.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "common/timer_service.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(1500);

/// All findings in one line of the log.
std::string JoinFindings(const Findings& findings) {
  std::string text = FormatFindings(findings);
  std::replace(text.begin(), text.end(), '\n', ';');
  return text;
}

}  // namespace

SettingsReloader::SettingsReloader(TimerService& timers, ParsedNodeSettings in_force,
                                   Hooks reload_hooks)
    : current(std::move(in_force)), hooks(std::move(reload_hooks)) {
  this->last_stamp = this->hooks.stamp();
  this->last_text = this->hooks.read();
  this->check_timer = timers.Every(kCheckPeriod, [this] { this->Check(); });
  // It may have changed since it was parsed.
  if (this->last_text) this->OnText(*this->last_text);
}

void SettingsReloader::Check() {
  // A file that is still being written may keep its stamp where that is coarse.
  if (this->hooks.stamp() == this->last_stamp && !this->unsettled) return;
  this->Reload();
}

void SettingsReloader::Reload() {
  this->last_stamp = this->hooks.stamp();
  auto text = this->hooks.read();
  if (text == this->last_text) return;
  this->last_text = std::move(text);
  if (this->last_text) {
    this->OnText(*this->last_text);
    return;
  }
  this->unsettled = true;
  Log(LogLevel::kWarning, "settings", "event=unreadable file=" + this->current.file);
}

void SettingsReloader::OnText(const std::string& text) {
  const ParsedNodeSettings parsed = this->hooks.parse(text);
  const Findings problems = this->FindProblems(parsed);
  this->unsettled = !problems.empty();
  if (this->unsettled) {
    Log(LogLevel::kWarning, "settings",
        "event=left-as-they-are findings=\"" + JoinFindings(problems) + "\"");
    return;
  }
  this->ReportPending(parsed);
  this->ApplyLive(parsed);
}

Findings SettingsReloader::FindProblems(const ParsedNodeSettings& parsed) const {
  Findings problems = parsed.findings;
  for (const auto& [flag, value] : this->current.values) {
    // A file that is cut short looks like one that lost its last lines.
    if (!parsed.values.contains(flag)) problems.push_back({flag, "is gone; that needs a restart"});
  }
  if (this->last_text && !this->last_text->ends_with('\n')) {
    problems.push_back({parsed.file, "ends within a line"});
  }
  return problems;
}

void SettingsReloader::ApplyLive(const ParsedNodeSettings& parsed) {
  std::string changed;
  for (const auto& spec : NodeSettingTable()) {
    const auto given = parsed.values.find(spec.flag);
    if (!spec.live || given == parsed.values.end()) continue;
    std::string& standing = this->current.values[given->first];
    if (standing == given->second) continue;
    standing = given->second;
    spec.store(given->second, this->current.settings);
    changed += " " + given->first + "=" + given->second;
  }
  if (changed.empty()) return;
  Log(LogLevel::kWarning, "settings", "event=changed" + changed);
  this->hooks.apply(this->current.settings);
}

void SettingsReloader::ReportPending(const ParsedNodeSettings& parsed) {
  for (const auto& spec : NodeSettingTable()) {
    const auto given = parsed.values.find(spec.flag);
    if (spec.live || given == parsed.values.end()) continue;
    const auto standing = this->current.values.find(spec.flag);
    if (standing != this->current.values.end() && standing->second == given->second) continue;
    const std::string setting = given->first + "=" + given->second;
    if (!this->told.insert(setting).second) continue;
    Log(LogLevel::kWarning, "settings", "event=needs-restart " + setting);
  }
}

}  // namespace fireflyrun::node
