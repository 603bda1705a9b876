#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/id128.h"
#include "http/client_error.h"
#include "http/headers.h"
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

/// The lines that tell what became of requests, apart from the steps of RequestTrace. A request
/// that failed gets one line at the node where it arrived, and one for each attempt that failed at
/// its target's node; each names a cause. What went well is told at level debug only.

/// The caller's own id of a request, or the root's id where it has none.
std::string RequestIdOf(const http::Headers& headers, const WireNames& wire, const Id128& root);

/// A request that ended before it became a call. `configuration` is null before the first.
void LogTurnedAway(const http::Headers& headers, const WireNames& wire,
                   const records::Configuration* configuration, policy::RefusalReason reason,
                   std::string_view detail, peer::pb::Outcome outcome);

/// The end of a call at the node where it arrived.
void LogEnded(const OutboundCall& call, const CallResult& result, Duration latency,
              const WireNames& wire);

/// What the target's node knows of one call.
struct TargetLogContext {
  const InboundCall& inbound;
  const policy::AdmissionController& admission;
  const TargetAddress* target;
  const WireNames& wire;
};

/// A target was ejected for its failures, or taken back.
void LogEjection(std::string_view node, const policy::TargetLoad& load);

void LogQueued(const TargetLogContext& context);
void LogAdmitted(const TargetLogContext& context);
void LogTargetAnswered(const TargetLogContext& context, int status, Duration service_time);
void LogTargetRefused(const TargetLogContext& context, policy::RefusalReason reason);
/// The exchange with the target broke.
void LogTargetFailed(const TargetLogContext& context, const http::ClientError& error);
/// The caller's node took the call back.
void LogTargetCancelled(const TargetLogContext& context);

}  // namespace fireflyrun::node
