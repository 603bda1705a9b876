// A bare path between two processes, for comparing the ways in which nodes could carry calls: no
// policy, no membership, only the libraries that the nodes use.
#include <getopt.h>

#include <asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "bench/relay_mode.h"
#include "common/id128.h"
#include "common/timer_service.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/zero_mq_transport.h"
#include "peer/link_pool.h"
#include "peer/link_server.h"

namespace fireflyrun::bench {
namespace {

using Respond = std::function<void(int status, std::string body)>;

constexpr std::size_t kConnections = 256;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr int kBadGateway = 502;

struct Options {
  RelayMode mode = RelayMode::kHttp;
  bool is_far = false;
  std::string ip;
  std::uint16_t port = 0;  ///< HTTP of the near relay, the link's of the far one.
  std::string next;        ///< IP:PORT of the far relay, or of the target.
};

std::string IpOf(const std::string& endpoint) { return endpoint.substr(0, endpoint.rfind(':')); }

std::uint16_t PortOf(const std::string& endpoint) {
  return static_cast<std::uint16_t>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
}

/// One of the two relays, with the parts that its mode needs.
class Relay {
 public:
  explicit Relay(Options relay_options) : options(std::move(relay_options)) {}

  void Run() {
    const bool takes_http = !this->options.is_far || this->options.mode == RelayMode::kHttp;
    if (takes_http) this->StartServer();
    if (this->options.mode == RelayMode::kTcp) this->StartLinks();
    if (this->options.mode == RelayMode::kZeroMq) this->StartTransport();
    std::printf("{\"port\":%d}\n", this->server ? this->server->Port() : this->options.port);
    std::fflush(stdout);
    this->loop.run();
  }

 private:
  void StartServer() {
    this->server = std::make_unique<http::Server>(
        this->loop,
        http::ServerOptions{this->options.ip, this->options.port, kMaxBodyBytes, kConnections},
        [this](const http::Request& request, const std::shared_ptr<http::Exchange>& exchange) {
          this->OnRequest(request.target, [exchange](int status, std::string body) {
            exchange->Respond({status, {}, std::move(body)});
          });
        });
    if (const auto started = this->server->Start(); !started) {
      throw std::runtime_error(started.error());
    }
  }

  peer::LinkOptions LinkOptions() const {
    peer::LinkOptions link_options;
    link_options.cluster = "relay";
    link_options.node = this->options.is_far ? "far" : "near";
    link_options.incarnation = 1;
    link_options.ip = this->options.ip;
    link_options.port = this->options.is_far ? this->options.port : 0;
    return link_options;
  }

  void StartLinks() {
    if (!this->options.is_far) {
      this->links = std::make_unique<peer::LinkPool>(this->timers, this->LinkOptions());
      return;
    }
    this->link_server = std::make_unique<peer::LinkServer>(
        this->timers, this->LinkOptions(),
        [this](const peer::Call& call, const peer::LinkServer::Reply& reply) {
          this->CallTarget(call.head.target(),
                           [call_id = call.head.call_id(), reply](int status, std::string body) {
                             peer::Answer answer;
                             answer.head.set_call_id(call_id);
                             answer.head.set_outcome(peer::pb::OUTCOME_ANSWERED);
                             answer.head.set_status(static_cast<std::uint32_t>(status));
                             answer.body = std::move(body);
                             reply(std::move(answer));
                           });
        },
        [](const Id128&) {});
    if (const auto started = this->link_server->Start(); !started) {
      throw std::runtime_error(started.error());
    }
  }

  void StartTransport() {
    membership::ZeroMqTransportOptions transport_options;
    transport_options.ip = this->options.ip;
    transport_options.port = this->options.is_far ? this->options.port : 0;
    transport_options.high_water_mark = 1024;
    transport_options.max_waiting = 1024;
    this->transport = std::make_unique<membership::ZeroMqTransport>(
        this->timers, transport_options,
        [this](std::string_view bytes) { this->OnMessage(std::string(bytes)); });
  }

  void OnRequest(const std::string& target, Respond respond) {
    if (this->options.is_far || this->options.mode == RelayMode::kHttp) {
      this->CallTarget(target, std::move(respond));
    } else if (this->options.mode == RelayMode::kTcp) {
      this->SendOverLink(target, std::move(respond));
    } else {
      this->SendOverTransport(target, std::move(respond));
    }
  }

  /// The next hop over HTTP: the target, or in HTTP mode the far relay.
  void CallTarget(const std::string& target, Respond respond) {
    http::ClientRequest request;
    request.url = "http://" + this->options.next + target;
    request.timeout = kTimeout;
    this->client.Send(std::move(request), [respond](auto response) {
      if (response) {
        respond(response->status, std::move(response->body));
      } else {
        respond(kBadGateway, response.error().message);
      }
    });
  }

  void SendOverLink(const std::string& target, const Respond& respond) {
    peer::Call call;
    call.head.set_call_id(Id128::Random().ToBytes());
    call.head.set_method("GET");
    call.head.set_target(target);
    const peer::PeerAddress far{"far", 1, IpOf(this->options.next), PortOf(this->options.next)};
    this->links->Send(far, std::move(call), SteadyClock::now() + kTimeout, [respond](auto answer) {
      if (answer) {
        respond(static_cast<int>(answer->head.status()), std::move(answer->body));
      } else {
        respond(kBadGateway, answer.error().message);
      }
    });
  }

  void SendOverTransport(const std::string& target, Respond respond) {
    const std::string id = Id128::Random().ToBytes();
    this->waiting[id] = std::move(respond);
    peer::pb::CallHead head;
    head.set_call_id(id);
    head.set_target(target);
    head.set_tenant(this->options.ip + ':' + std::to_string(this->transport->Port()));
    this->transport->Send(this->options.next, head.SerializeAsString());
  }

  void OnMessage(const std::string& bytes) {
    if (this->options.is_far) {
      peer::pb::CallHead head;
      if (!head.ParseFromString(bytes)) return;
      this->CallTarget(head.target(), [this, head](int, const std::string& body) {
        peer::pb::BodyChunk chunk;
        chunk.set_call_id(head.call_id());
        chunk.set_data(body);
        this->transport->Send(head.tenant(), chunk.SerializeAsString());
      });
      return;
    }
    peer::pb::BodyChunk chunk;
    if (!chunk.ParseFromString(bytes)) return;
    const auto found = this->waiting.extract(chunk.call_id());
    if (!found.empty()) found.mapped()(200, chunk.data());
  }

  Options options;
  asio::io_context loop{1};
  TimerService timers{loop};
  http::Client client{loop, kConnections};
  std::unique_ptr<http::Server> server;
  std::unique_ptr<peer::LinkPool> links;
  std::unique_ptr<peer::LinkServer> link_server;
  std::unique_ptr<membership::ZeroMqTransport> transport;
  std::unordered_map<std::string, Respond> waiting;
};

Options ReadOptions(int argc, char** argv) {
  const option long_options[] = {{"mode", required_argument, nullptr, 'm'},
                                 {"far", no_argument, nullptr, 'f'},
                                 {"listen", required_argument, nullptr, 'l'},
                                 {"next", required_argument, nullptr, 'n'},
                                 {nullptr, 0, nullptr, 0}};
  Options options;
  int letter = 0;
  while ((letter = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
    if (letter == 'm') options.mode = kRelayModeNames.ValueOf(optarg).value_or(RelayMode::kHttp);
    if (letter == 'f') options.is_far = true;
    if (letter == 'l') {
      options.ip = IpOf(optarg);
      options.port = PortOf(optarg);
    }
    if (letter == 'n') options.next = optarg;
  }
  return options;
}

}  // namespace
}  // namespace fireflyrun::bench

int main(int argc, char** argv) {
  try {
    fireflyrun::bench::Relay(fireflyrun::bench::ReadOptions(argc, argv)).Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "relay: %s\n", error.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
