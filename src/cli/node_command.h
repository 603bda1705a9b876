#pragma once

namespace fireflyrun::cli {

/// `fireflyrun node`: runs the node of this host until SIGTERM or SIGINT. A second signal ends it
/// at once. Returns 0 after a graceful stop, 1 when it cannot start, 2 for wrong usage or settings.
int RunNode(int argc, char** argv);

}  // namespace fireflyrun::cli
