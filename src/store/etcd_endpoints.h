#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fireflyrun::store {

/// The addresses of the store and the one currently in use.
class EtcdEndpoints {
 public:
  /// `addresses` are `IP:PORT`.
  explicit EtcdEndpoints(std::vector<std::string> addresses);

  /// The URL of `path` at the address in use.
  std::string Url(const std::string& path) const;

  /// The number of connection attempts before a request fails: one per address, at least 1.
  std::size_t Attempts() const;

  /// Switches to the next address if `failed_url` is at the current one. Concurrent requests that
  /// fail at the same address switch only once.
  void SwitchFrom(const std::string& failed_url);

 private:
  std::vector<std::string> endpoints;
  std::size_t current = 0;
};

}  // namespace fireflyrun::store
