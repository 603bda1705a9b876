#include "node/target_announcement.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/endpoint.h"
#include "records/record_key.h"

namespace fireflyrun::node {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxSlots = 10'000;
/// In Unix milliseconds; a later start would make all announcements after it seem old.
constexpr std::uint64_t kMaxBorn = 100'000'000'000'000;
constexpr std::uint64_t kMaxSeq = std::uint64_t{1} << 53U;
constexpr double kMaxColdSeconds = 86'400;

void ReadService(const json& document, const ServiceRecordName& service_record_name,
                 TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("service");
  std::string name = field != document.end() && field->is_string() ? field->get<std::string>() : "";
  if (service_record_name && !name.empty()) name = service_record_name(name);
  if (!records::IsRecordName(name)) {
    findings->push_back({"/service", "is not the name of a service record"});
    return;
  }
  announcement->target.service = std::move(name);
}

void ReadAddress(const json& document, TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("address");
  if (field == document.end() || !field->is_string() || !IsEndpoint(field->get<std::string>())) {
    findings->push_back({"/address", "is not IP:PORT with a port of 1 to 65535"});
    return;
  }
  announcement->target.address = field->get<std::string>();
}

void ReadSlots(const json& document, TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("slots");
  const bool whole = field != document.end() && field->is_number_unsigned();
  const auto slots = whole ? field->get<std::uint64_t>() : 0;
  if (slots < 1 || slots > kMaxSlots) {
    findings->push_back({"/slots", "is not a whole number of 1 to 10000"});
    return;
  }
  announcement->target.slots = static_cast<std::uint32_t>(slots);
}

void ReadState(const json& document, TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("state");
  if (field == document.end()) return;
  const auto state = field->is_string()
                         ? membership::kTargetStateNames.ValueOf(field->get<std::string>())
                         : std::nullopt;
  if (!state || *state == membership::TargetState::kAbsent) {
    findings->push_back({"/state", "is neither \"serving\" nor \"leaving\""});
    return;
  }
  announcement->state = *state;
}

void ReadCount(const json& document, const char* name, std::uint64_t most, std::uint64_t* count,
               Findings* findings) {
  const auto field = document.find(name);
  if (field == document.end()) return;
  const bool whole = field->is_number_unsigned();
  if (!whole || field->get<std::uint64_t>() > most) {
    findings->push_back(
        {std::string("/") + name, "is not a whole number of 0 to " + std::to_string(most)});
    return;
  }
  *count = field->get<std::uint64_t>();
}

void ReadColdTime(const json& document, TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("cold_left");
  if (field == document.end()) return;
  const double seconds = field->is_number() ? field->get<double>() : -1;
  if (!(seconds >= 0 && seconds <= kMaxColdSeconds)) {
    findings->push_back({"/cold_left", "is not a number of seconds of 0 to 86400"});
    return;
  }
  announcement->target.cold_seconds = seconds;
}

}  // namespace

tl::expected<TargetAnnouncement, Findings> ParseAnnouncement(
    std::string_view id, std::string_view text, const ServiceRecordName& service_record_name) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return tl::unexpected(Findings{{"/", "is not a JSON object"}});
  TargetAnnouncement announcement;
  announcement.target.id = std::string(id);
  Findings findings;
  ReadService(document, service_record_name, &announcement, &findings);
  ReadAddress(document, &announcement, &findings);
  ReadSlots(document, &announcement, &findings);
  ReadState(document, &announcement, &findings);
  ReadCount(document, "born", kMaxBorn, &announcement.born, &findings);
  ReadCount(document, "seq", kMaxSeq, &announcement.seq, &findings);
  ReadColdTime(document, &announcement, &findings);
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  announcement.has_state_and_seq = document.contains("state") && document.contains("seq");
  return announcement;
}

std::uint64_t ParseDepartedBorn(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  std::uint64_t born = 0;
  Findings ignored;
  if (document.is_object()) ReadCount(document, "born", kMaxBorn, &born, &ignored);
  return born;
}

}  // namespace fireflyrun::node
