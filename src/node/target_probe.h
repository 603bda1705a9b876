#pragma once

#include <functional>
#include <string>

#include "http/target_client.h"
#include "node/probe_result.h"

namespace fireflyrun::node {

struct WireNames;

/// Asks the local target how it is, one question at a time. Targets count these as requests.
class TargetProbe {
 public:
  using Handler = std::function<void(ProbeResult)>;

  TargetProbe(http::TargetClient& target_client, const WireNames& wire_names);
  ~TargetProbe();
  TargetProbe(const TargetProbe&) = delete;
  TargetProbe& operator=(const TargetProbe&) = delete;

  /// Drops the handler of an earlier question that is still open.
  void Send(const std::string& address, const std::string& path, Handler handler);

 private:
  ProbeResult Judge(const tl::expected<http::Response, http::ClientError>& ended) const;

  http::TargetClient& client;
  const WireNames& wire;
  http::TargetClient::RequestId request = 0;
};

}  // namespace fireflyrun::node
