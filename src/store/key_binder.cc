#include "store/key_binder.h"

#include <utility>

#include "store/binding_lease.h"
#include "store/key_binding.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

/// Encodes as hexadecimal with a terminator, so that no key is a prefix of another.
std::string EncodeKey(std::string_view key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(key.size() * 2 + 1);
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xF];
  }
  text += '.';
  return text;
}

}  // namespace

class KeyBinder::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(Store& key_value_store, TimerService& timer_service, const std::string& cluster)
      : store(key_value_store),
        timers(timer_service),
        prefix("/fireflyrun/" + cluster + "/keys/"),
        lease(std::make_shared<BindingLease>(key_value_store)) {}

  ~Implementation() { this->lease->DropHandlers(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  std::shared_ptr<KeyBinding> MakeBinding(std::string_view service, std::string_view key,
                                          Handler handler) {
    std::string store_key = this->prefix;
    store_key += service;
    store_key += '/';
    store_key += EncodeKey(key);
    auto guarded = [weak = this->weak_from_this(),
                    handler = std::move(handler)](tl::expected<std::string, StoreError> result) {
      if (!weak.expired()) handler(std::move(result));
    };
    return std::make_shared<KeyBinding>(this->store, this->timers, this->lease,
                                        std::move(store_key), std::move(guarded));
  }

 private:
  Store& store;
  TimerService& timers;
  std::string prefix;
  std::shared_ptr<BindingLease> lease;
};

KeyBinder::KeyBinder(Store& store, TimerService& timers, std::string cluster)
    : implementation(std::make_shared<Implementation>(store, timers, cluster)) {}

KeyBinder::~KeyBinder() = default;

void KeyBinder::Bind(std::string_view service, std::string_view key, std::string proposed,
                     Handler handler) {
  this->implementation->MakeBinding(service, key, std::move(handler))->Create(std::move(proposed));
}

void KeyBinder::Replace(std::string_view service, std::string_view key, std::string from_ticket,
                        std::string to_ticket, Handler handler) {
  this->implementation->MakeBinding(service, key, std::move(handler))
      ->Replace(std::move(from_ticket), std::move(to_ticket));
}

}  // namespace fireflyrun::store
