#include "records/record_envelope.h"

#include <nlohmann/json.hpp>

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;

const Json* FindField(const Json& object, const char* name, Json::value_t type) {
  const auto found = object.find(name);
  if (found == object.end() || found->type() != type) return nullptr;
  return &*found;
}

}  // namespace

std::string EncodeEnvelope(const RecordEnvelope& envelope) {
  const Json value = {
      {"write_id", envelope.write_id}, {"retired", envelope.retired}, {"body", envelope.body}};
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::expected<RecordEnvelope, std::string> DecodeEnvelope(std::string_view value) {
  const Json parsed = Json::parse(value, nullptr, false);
  if (!parsed.is_object()) return tl::unexpected(std::string("the value is not a JSON object"));
  const Json* write_id = FindField(parsed, "write_id", Json::value_t::string);
  const Json* retired = FindField(parsed, "retired", Json::value_t::boolean);
  const Json* body = FindField(parsed, "body", Json::value_t::string);
  if (write_id == nullptr || retired == nullptr || body == nullptr) {
    return tl::unexpected(std::string("the value needs write_id, retired and body"));
  }
  return RecordEnvelope{write_id->get<std::string>(), retired->get<bool>(),
                        body->get<std::string>()};
}

}  // namespace fireflyrun::records
