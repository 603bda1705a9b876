#pragma once

#include <memory>

namespace fireflyrun::node {

struct CallContext;
struct InboundCall;
struct WireNames;

/// The context of a call that its target is about to run, for the calls that the target makes.
std::shared_ptr<CallContext> MakeCallContext(const InboundCall& inbound, const WireNames& wire);

}  // namespace fireflyrun::node
