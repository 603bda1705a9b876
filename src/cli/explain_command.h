#pragma once

namespace fireflyrun::cli {

/// Runs `fireflyrun explain`: reconstructs the course of one request from the logs of many nodes.
int RunExplain(int argc, char** argv);

}  // namespace fireflyrun::cli
