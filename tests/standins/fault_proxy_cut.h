#pragma once

namespace fireflyrun::standins {

/// The directions of a connection whose bytes wait in a FaultProxy.
struct FaultProxyCut {
  bool to_server = false;
  bool to_client = false;
};

}  // namespace fireflyrun::standins
