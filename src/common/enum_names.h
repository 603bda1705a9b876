#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace fireflyrun {

/// A table that names each value of an enum class, in both directions.
template <typename Enum, std::size_t kCount>
class EnumNames {
 public:
  using Entry = std::pair<Enum, std::string_view>;

  constexpr explicit EnumNames(const std::array<Entry, kCount>& table) : entries(table) {}

  /// The name of `value`; "?" for a value outside the table.
  constexpr std::string_view NameOf(Enum value) const {
    for (const Entry& entry : this->entries) {
      if (entry.first == value) return entry.second;
    }
    return "?";
  }

  constexpr std::optional<Enum> ValueOf(std::string_view name) const {
    for (const Entry& entry : this->entries) {
      if (entry.second == name) return entry.first;
    }
    return std::nullopt;
  }

  constexpr const std::array<Entry, kCount>& Entries() const { return this->entries; }

 private:
  std::array<Entry, kCount> entries;
};

template <typename Enum, std::size_t kCount>
EnumNames(const std::array<std::pair<Enum, std::string_view>, kCount>&) -> EnumNames<Enum, kCount>;

}  // namespace fireflyrun
