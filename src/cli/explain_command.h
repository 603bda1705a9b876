#pragma once

namespace fireflyrun::cli {

/// `fireflyrun explain`: what the logs of many nodes say of one request.
int RunExplain(int argc, char** argv);

}  // namespace fireflyrun::cli
