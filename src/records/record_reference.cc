#include "records/record_reference.h"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace fireflyrun::records {
namespace {

using Json = nlohmann::json;

void AddReference(const Json& object, RecordKind kind, const std::string& pointer_prefix,
                  std::vector<RecordReference>& references) {
  if (!object.is_object()) return;
  const std::string field(kRecordKindNames.NameOf(kind));
  const auto found = object.find(field);
  if (found == object.end() || !found->is_string()) return;
  references.push_back({kind, found->get<std::string>(), pointer_prefix + field});
}

}  // namespace

std::vector<RecordReference> FindReferences(RecordKind kind, std::string_view body) {
  std::vector<RecordReference> references;
  if (kind != RecordKind::kService) return references;
  const Json parsed = Json::parse(body, nullptr, false);
  AddReference(parsed, RecordKind::kPriority, "", references);
  AddReference(parsed, RecordKind::kRetryAllowance, "", references);
  if (!parsed.is_object()) return references;
  const auto routes = parsed.find("routes");
  if (routes == parsed.end() || !routes->is_array()) return references;
  for (std::size_t i = 0; i < routes->size(); ++i) {
    const std::string prefix = "routes/" + std::to_string(i) + "/";
    AddReference((*routes)[i], RecordKind::kPriority, prefix, references);
    AddReference((*routes)[i], RecordKind::kRetryAllowance, prefix, references);
  }
  return references;
}

}  // namespace fireflyrun::records
