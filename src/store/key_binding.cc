#include "store/key_binding.h"

#include <utility>

#include "common/timers.h"
#include "store/binding_lease.h"
#include "store/store.h"

namespace fireflyrun::store {
namespace {

/// Limit on repeated writes and reads together.
constexpr int kMaxAttempts = 6;
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

}  // namespace

KeyBinding::KeyBinding(Store& key_value_store, Timers& timer_service,
                       std::shared_ptr<BindingLease> binding_lease, std::string store_key,
                       Handler end_handler)
    : store(key_value_store),
      timers(timer_service),
      lease(std::move(binding_lease)),
      key(std::move(store_key)),
      on_end(std::move(end_handler)),
      attempts_left(kMaxAttempts) {}

KeyBinding::~KeyBinding() = default;

void KeyBinding::Create(std::string ticket) {
  this->Begin(Overwritten::kNothing, std::move(ticket));
  this->Write();
}

void KeyBinding::CreateAgain(std::string ticket) {
  this->Begin(Overwritten::kOwnTicket, std::move(ticket));
  this->ReadBack();
}

void KeyBinding::Restore(std::string ticket) {
  this->Begin(Overwritten::kOtherTickets, std::move(ticket));
  this->Write();
}

void KeyBinding::Replace(std::string from_ticket, std::string to_ticket) {
  this->replaced_ticket = std::move(from_ticket);
  this->Begin(Overwritten::kReplacedTicket, std::move(to_ticket));
  this->ReadBack();
}

void KeyBinding::Begin(Overwritten what, std::string ticket) {
  this->generation = this->store.Generation().Number();
  this->overwritten = what;
  this->new_ticket = std::move(ticket);
}

void KeyBinding::Write() {
  this->lease->Get(
      [self = this->shared_from_this()](const tl::expected<LeaseId, StoreError>& granted) {
        self->OnLease(granted);
      });
}

void KeyBinding::OnLease(const tl::expected<LeaseId, StoreError>& granted) {
  this->LearnGeneration();
  if (!granted) {
    // If the answer to a grant is lost, the store may hold an unused lease, but no binding.
    const bool lost = granted.error().kind == StoreErrorKind::kUnknown;
    this->Fail({lost ? StoreErrorKind::kNotSent : granted.error().kind, granted.error().message});
    return;
  }
  Transaction transaction;
  transaction.conditions.push_back({this->key, this->expected_revision});
  transaction.writes.push_back({this->key, this->new_ticket, *granted});
  this->store.Commit(std::move(transaction),
                     [self = this->shared_from_this(), used_lease = *granted](auto result) {
                       self->OnWritten(used_lease, std::move(result));
                     });
}

void KeyBinding::OnWritten(LeaseId used_lease, tl::expected<TransactionResult, StoreError> result) {
  if (result && result->committed) {
    this->End(this->new_ticket);
    return;
  }
  if (result) {
    this->Decide(result->current_values.empty() ? nullptr : &result->current_values.front());
    return;
  }
  if (result.error().kind == StoreErrorKind::kUnknown) {
    this->may_have_written = true;
    this->RetryLater();
    return;
  }
  if (result.error().kind == StoreErrorKind::kNotNow) {
    this->RetryLater();
    return;
  }
  if (result.error().kind == StoreErrorKind::kRejected && this->attempts_left > 1) {
    this->lease->Discard(used_lease);
    this->RetryLater();
    return;
  }
  this->Fail(std::move(result.error()));
}

void KeyBinding::RetryLater() {
  if (this->HasGenerationChanged()) {
    this->Fail({StoreErrorKind::kUnknown, "the store's generation changed"});
    return;
  }
  if (--this->attempts_left <= 0) {
    this->Fail({StoreErrorKind::kNotNow,
                "the store did not accept the binding within the allowed attempts"});
    return;
  }
  this->retry_timer =
      this->timers.After(kRetryDelay, [self = this->shared_from_this()] { self->ReadBack(); });
}

void KeyBinding::ReadBack() {
  this->store.List(this->key, [self = this->shared_from_this()](auto result) {
    self->OnRead(std::move(result));
  });
}

void KeyBinding::OnRead(tl::expected<Listing, StoreError> result) {
  this->LearnGeneration();
  if (result) {
    this->Decide(result->entries.empty() ? nullptr : &result->entries.front());
    return;
  }
  if (this->may_have_written) {
    this->RetryLater();
    return;
  }
  // Nothing has been written, so a lost answer to a read has no effect.
  this->Fail({StoreErrorKind::kNotSent, result.error().message});
}

void KeyBinding::Decide(const KeyValue* current) {
  const bool is_unbound = current == nullptr || current->value.empty();
  if (is_unbound && this->overwritten == Overwritten::kReplacedTicket) {
    this->Fail({StoreErrorKind::kRejected, "the key is not bound"});
    return;
  }
  if (!is_unbound && !this->MayOverwrite(current->value)) {
    this->End(current->value);
    return;
  }
  if (--this->attempts_left <= 0) {
    this->Fail({StoreErrorKind::kNotNow, "the binding changed during every attempt"});
    return;
  }
  this->expected_revision = current == nullptr ? 0 : current->revision;
  this->Write();
}

/// The first call of a process tells it.
void KeyBinding::LearnGeneration() {
  if (this->generation == 0) this->generation = this->store.Generation().Number();
}

bool KeyBinding::HasGenerationChanged() const {
  return this->generation != this->store.Generation().Number();
}

bool KeyBinding::MayOverwrite(const std::string& ticket) const {
  switch (this->overwritten) {
    case Overwritten::kNothing:
      return false;
    case Overwritten::kOwnTicket:
      return ticket == this->new_ticket;
    case Overwritten::kReplacedTicket:
      return ticket == this->replaced_ticket;
    case Overwritten::kOtherTickets:
      return ticket != this->new_ticket;
  }
  return false;
}

void KeyBinding::Fail(StoreError error) {
  if (this->may_have_written) error.kind = StoreErrorKind::kUnknown;
  this->End(tl::unexpected(std::move(error)));
}

void KeyBinding::End(tl::expected<std::string, StoreError> result) {
  if (this->HasGenerationChanged()) {
    result = tl::unexpected(StoreError{StoreErrorKind::kUnknown, "the store's generation changed"});
  }
  const Handler handler = std::exchange(this->on_end, nullptr);
  handler(std::move(result));
}

}  // namespace fireflyrun::store
