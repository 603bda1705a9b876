#include "policy/ticket.h"

#include <charconv>
#include <utility>

namespace fireflyrun::policy {
namespace {

constexpr std::string_view kPrefix = "ff1.";
constexpr std::size_t kIncarnationDigits = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsPlain(char byte) {
  const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  return letter || (byte >= '0' && byte <= '9') || byte == '.' || byte == '_' || byte == '-';
}

std::string EscapeNode(std::string_view node) {
  std::string text;
  for (const char byte : node) {
    if (IsPlain(byte)) {
      text.push_back(byte);
      continue;
    }
    const auto value = static_cast<unsigned char>(byte);
    text.push_back('%');
    text.push_back(kHexDigits[value >> 4]);
    text.push_back(kHexDigits[value & 0xF]);
  }
  return text;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base) {
  Number value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base);
  if (error != std::errc{} || end != last) return std::nullopt;
  return value;
}

std::optional<std::string> UnescapeNode(std::string_view text) {
  std::string node;
  while (!text.empty()) {
    if (text.front() != '%') {
      node.push_back(text.front());
      text.remove_prefix(1);
      continue;
    }
    const auto value = ParseNumber<unsigned>(text.substr(1, 2), 16);
    if (!value || text.size() < 3) return std::nullopt;
    node.push_back(static_cast<char>(*value));
    text.remove_prefix(3);
  }
  return node;
}

/// Removes the text up to the next '.' from `rest` and returns it without the '.'.
std::optional<std::string_view> NextField(std::string_view* rest) {
  const std::size_t dot = rest->find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const std::string_view field = rest->substr(0, dot);
  rest->remove_prefix(dot + 1);
  return field;
}

std::string IncarnationText(std::uint64_t incarnation) {
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text.push_back(kHexDigits[(incarnation >> shift) & 0xF]);
  }
  return text;
}

std::optional<Ticket> ParseFields(std::string_view text) {
  const auto incarnation_text = NextField(&text);
  const auto window_text = NextField(&text);
  const auto nonce_text = NextField(&text);
  if (!incarnation_text || !window_text || !nonce_text) return std::nullopt;
  if (incarnation_text->size() != kIncarnationDigits) return std::nullopt;
  const auto incarnation = ParseNumber<std::uint64_t>(*incarnation_text, 16);
  const auto window = ParseNumber<std::uint32_t>(*window_text, 10);
  const auto nonce = Id128::FromHex(*nonce_text);
  auto node = UnescapeNode(text);
  if (!incarnation || !window || !nonce || !node || node->empty()) return std::nullopt;
  return Ticket{std::move(*node), *incarnation, *window, *nonce};
}

}  // namespace

Ticket Ticket::Issue(std::string node, std::uint64_t incarnation, std::uint32_t window) {
  return {std::move(node), incarnation, window, Id128::Random()};
}

std::optional<Ticket> Ticket::FromText(std::string_view text) {
  if (!text.starts_with(kPrefix)) return std::nullopt;
  auto ticket = ParseFields(text.substr(kPrefix.size()));
  // Each ticket has exactly one text form: with upper-case digits or unnecessary escapes, one
  // ticket could be used under two keys.
  if (!ticket || ticket->ToText() != text) return std::nullopt;
  return ticket;
}

std::string Ticket::ToText() const {
  std::string text(kPrefix);
  text += IncarnationText(this->incarnation) + '.';
  text += std::to_string(this->window) + '.';
  text += this->nonce.ToHex() + '.';
  text += EscapeNode(this->node);
  return text;
}

}  // namespace fireflyrun::policy
