#include "node/target_announcement.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

#include "records/record_key.h"

namespace fireflyrun::node {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxSlots = 10'000;
constexpr unsigned kMaxPort = 65'535;

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  asio::error_code error;
  asio::ip::make_address(text.substr(0, colon), error);
  unsigned port = 0;
  const char* const first = text.data() + colon + 1;
  const char* const last = text.data() + text.size();
  const auto [end, number_error] = std::from_chars(first, last, port);
  return !error && number_error == std::errc{} && end == last && port >= 1 && port <= kMaxPort;
}

void ReadService(const json& document, TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("service");
  if (field == document.end() || !field->is_string() ||
      !records::IsRecordName(field->get<std::string>())) {
    findings->push_back({"/service", "is not the name of a service record"});
    return;
  }
  announcement->target.service = field->get<std::string>();
}

void ReadAddress(const json& document, TargetAnnouncement* announcement, Findings* findings) {
  const auto field = document.find("address");
  if (field == document.end() || !field->is_string() || !IsAddress(field->get<std::string>())) {
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

}  // namespace

tl::expected<TargetAnnouncement, Findings> ParseAnnouncement(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return tl::unexpected(Findings{{"/", "is not a JSON object"}});
  TargetAnnouncement announcement;
  Findings findings;
  ReadService(document, &announcement, &findings);
  ReadAddress(document, &announcement, &findings);
  ReadSlots(document, &announcement, &findings);
  ReadState(document, &announcement, &findings);
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return announcement;
}

}  // namespace fireflyrun::node
