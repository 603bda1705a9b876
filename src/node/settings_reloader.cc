#include "node/settings_reloader.h"

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "common/timer_service.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(1500);

/// All findings on one log line.
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
  // The file may have changed since it was parsed.
  if (this->last_text) this->OnText(*this->last_text);
}

void SettingsReloader::Check() {
  // With coarse file times, a file that is still being written may keep its stamp.
  if (this->hooks.stamp() == this->last_stamp && !this->has_problems) return;
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
  this->has_problems = true;
  Log(LogLevel::kWarning, "settings", "event=unreadable file=" + this->current.file);
}

void SettingsReloader::OnText(const std::string& text) {
  const ParsedNodeSettings parsed = this->hooks.parse(text);
  const Findings problems = this->FindProblems(parsed);
  this->has_problems = !problems.empty();
  if (this->has_problems) {
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
    // A missing setting may be a sign of a truncated file.
    if (!parsed.values.contains(flag)) problems.push_back({flag, "was removed; needs a restart"});
  }
  if (this->last_text && !this->last_text->ends_with('\n')) {
    problems.push_back({parsed.file, "does not end with a newline"});
  }
  return problems;
}

void SettingsReloader::ApplyLive(const ParsedNodeSettings& parsed) {
  std::string changed;
  for (const auto& spec : NodeSettingTable()) {
    const auto given = parsed.values.find(spec.flag);
    if (!spec.live || given == parsed.values.end()) continue;
    std::string& active = this->current.values[given->first];
    if (active == given->second) continue;
    active = given->second;
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
    const auto active = this->current.values.find(spec.flag);
    if (active != this->current.values.end() && active->second == given->second) continue;
    const std::string setting = given->first + "=" + given->second;
    if (!this->logged_pending.insert(setting).second) continue;
    Log(LogLevel::kWarning, "settings", "event=needs-restart " + setting);
  }
}

}  // namespace fireflyrun::node
