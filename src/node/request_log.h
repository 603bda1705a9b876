#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/id128.h"
#include "http/client_error.h"
#include "http/headers.h"
#include "node/cancel_stage.h"
#include "peer/peer.pb.h"
#include "policy/priority_key.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::policy {
class AdmissionController;
class TargetLoad;
}  // namespace fireflyrun::policy
namespace fireflyrun::records {
class Configuration;
}

namespace fireflyrun::node {

struct CallResult;
struct InboundCall;
struct OutboundCall;
struct TargetAddress;
struct WireNames;

/// `RANK:HASH`, or `open`.
std::string LevelText(const policy::PriorityKey& level);

/// The functions below log the results of requests; RequestTrace logs the steps. A failed request
/// gets one line at the node where it arrived, and one for each failed attempt at its target's
/// node; each names a cause. Successes are logged at level debug only.

/// The caller's own id of a request, or the root id if there is none.
std::string RequestIdOf(const http::Headers& headers, const WireNames& wire, const Id128& root);

/// Logs a request that was refused before it became a call. `configuration` is null before the
/// first records.
void LogRefusedRequest(const http::Headers& headers, const WireNames& wire,
                       const records::Configuration* configuration, policy::RefusalReason reason,
                       std::string_view detail, peer::pb::Outcome outcome);

/// Logs the end of a call at the node where it arrived.
void LogCallEnded(const OutboundCall& call, const CallResult& result, Duration latency,
                  const WireNames& wire);

/// Data about one call for the log lines of its target's node.
struct TargetLogContext {
  const InboundCall& inbound;
  const policy::AdmissionController& admission;
  const TargetAddress* target;
  const WireNames& wire;
};

/// Logs that a target was ejected for its failures, or readmitted.
void LogEjection(std::string_view node, const policy::TargetLoad& load);

void LogQueued(const TargetLogContext& context);
void LogAdmitted(const TargetLogContext& context);
void LogTargetAnswered(const TargetLogContext& context, int status, Duration service_time);
void LogTargetRefused(const TargetLogContext& context, policy::RefusalReason reason);
/// Logs that the exchange with the target failed.
void LogTargetFailed(const TargetLogContext& context, const http::ClientError& error);
/// Logs that nobody waits for the call any more, and how far it had come.
void LogTargetCancelled(const TargetLogContext& context, CancelStage stage);

}  // namespace fireflyrun::node
