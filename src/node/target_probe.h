#pragma once

#include <functional>
#include <string>

#include "http/target_client.h"
#include "node/probe_result.h"

namespace fireflyrun::node {

struct WireNames;

/// Probes the health of the local target, one probe at a time. A target counts each probe
/// among the requests it receives.
class TargetProbe {
 public:
  using Handler = std::function<void(ProbeResult)>;

  TargetProbe(http::TargetClient& target_client, const WireNames& wire_names);
  ~TargetProbe();
  TargetProbe(const TargetProbe&) = delete;
  TargetProbe& operator=(const TargetProbe&) = delete;

  /// Sends a probe for `path` to the target at `address`. A previous probe that is still open is
  /// cancelled, and the handler of that one doesn't run.
  void Send(const std::string& address, const std::string& path, Handler handler);

 private:
  ProbeResult Evaluate(const tl::expected<http::Response, http::ClientError>& ended) const;

  http::TargetClient& client;
  const WireNames& wire;
  http::TargetClient::RequestId request = 0;
};

}  // namespace fireflyrun::node
