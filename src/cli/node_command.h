#pragma once

namespace fireflyrun::cli {

/// Runs `fireflyrun node`: the node of this host, until SIGTERM or SIGINT stops it gracefully. A
/// SIGINT during the graceful stop ends it at once. Returns 0 after a stop, 1 if the node cannot
/// start, 2 for wrong usage or settings.
int RunNode(int argc, char** argv);

}  // namespace fireflyrun::cli
