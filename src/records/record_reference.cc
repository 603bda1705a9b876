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
  if (kind != RecordKind::kService && kind != RecordKind::kRoute) return references;
  const Json parsed = Json::parse(body, nullptr, false);
  AddReference(parsed, RecordKind::kPriority, "", references);
  AddReference(parsed, RecordKind::kRetryAllowance, "", references);
  const bool is_service = kind == RecordKind::kService;
  const std::string list = is_service ? "routes" : "services";
  if (!parsed.is_object() || !parsed.contains(list) || !parsed[list].is_array()) return references;
  for (std::size_t i = 0; i < parsed[list].size(); ++i) {
    const std::string prefix = list + "/" + std::to_string(i) + "/";
    const Json& element = parsed[list][i];
    AddReference(element, RecordKind::kPriority, prefix, references);
    AddReference(element, RecordKind::kRetryAllowance, prefix, references);
    if (!is_service) AddReference(element, RecordKind::kService, prefix, references);
  }
  return references;
}

}  // namespace fireflyrun::records
