#include "tests/standins/fault_proxy_session.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace fireflyrun::standins {
namespace {

constexpr std::size_t kPieceBytes = std::size_t{4} << 10;
constexpr std::size_t kMaxHeldBytes = std::size_t{256} << 10;
/// Under a rate cap little is held, so that the sender feels the cap.
constexpr std::size_t kMaxHeldBytesWhenCapped = std::size_t{16} << 10;

}  // namespace

FaultProxyPipe::FaultProxyPipe(std::shared_ptr<asio::ip::tcp::socket> source_socket,
                               std::shared_ptr<asio::ip::tcp::socket> sink_socket,
                               FaultProxyFaults first_faults)
    : source(std::move(source_socket)),
      sink(std::move(sink_socket)),
      faults(first_faults),
      timer(this->source->get_executor()),
      buffer(kPieceBytes, '\0') {}

void FaultProxyPipe::SetFaults(const FaultProxyFaults& new_faults) {
  this->faults = new_faults;
  this->timer.cancel();
  this->Pump();
  this->Read();
}

void FaultProxyPipe::SetCut(bool is_cut) {
  this->cut = is_cut;
  this->Pump();
}

void FaultProxyPipe::Silence() {
  this->silent = true;
  this->pieces.clear();
  this->held_bytes = 0;
  this->timer.cancel();
  this->Read();
}

void FaultProxyPipe::Close() {
  this->ended = true;
  this->silent = true;
  this->pieces.clear();
  this->held_bytes = 0;
  this->timer.cancel();
}

void FaultProxyPipe::Read() {
  const bool capped = this->faults.bytes_per_second > 0;
  const std::size_t bound = capped ? kMaxHeldBytesWhenCapped : kMaxHeldBytes;
  if (this->reading || this->ended || this->held_bytes >= bound) return;
  this->reading = true;
  this->source->async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
        self->reading = false;
        self->OnRead(error, size);
      });
}

void FaultProxyPipe::OnRead(const asio::error_code& error, std::size_t size) {
  if (error) this->ended = true;
  if (!this->silent && !this->faults.drop) {
    const auto due = SteadyClock::now() + this->faults.delay;
    this->pieces.push_back({due, this->buffer.substr(0, error ? 0 : size)});
    this->held_bytes += this->pieces.back().bytes.size();
    this->Pump();
  }
  this->Read();
}

SteadyTime FaultProxyPipe::NextWrite() const {
  const bool capped = this->faults.bytes_per_second > 0;
  const SteadyTime due = this->pieces.front().due;
  return capped ? std::max(due, this->rate_allows_at) : due;
}

void FaultProxyPipe::Pump() {
  if (this->writing || this->silent || this->pieces.empty()) return;
  if (this->cut || this->faults.hold) return;
  const auto at = this->NextWrite();
  if (at <= SteadyClock::now()) return this->Write();
  this->timer.expires_at(at);
  this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
    if (!error) self->Pump();
  });
}

void FaultProxyPipe::Write() {
  auto bytes = std::make_shared<std::string>(std::move(this->pieces.front().bytes));
  this->pieces.pop_front();
  if (bytes->empty()) {
    asio::error_code ignored;
    this->sink->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  if (this->faults.bytes_per_second > 0) {
    const std::chrono::duration<double> cost(static_cast<double>(bytes->size()) /
                                             static_cast<double>(this->faults.bytes_per_second));
    this->rate_allows_at = SteadyClock::now() + std::chrono::duration_cast<Duration>(cost);
  }
  this->writing = true;
  asio::async_write(
      *this->sink, asio::buffer(*bytes),
      [self = this->shared_from_this(), bytes](const asio::error_code& error, std::size_t) {
        self->writing = false;
        if (self->silent) return;
        if (error) return self->Close();
        self->held_bytes -= bytes->size();
        self->Pump();
        self->Read();
      });
}

}  // namespace fireflyrun::standins
