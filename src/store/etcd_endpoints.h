#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fireflyrun::store {

/// The store's addresses and the one in use.
class EtcdEndpoints {
 public:
  /// `addresses` are `IP:PORT`.
  explicit EtcdEndpoints(std::vector<std::string> addresses);

  /// The URL of `path` at the address in use.
  std::string Url(const std::string& path) const;

  /// How many addresses to try before giving up; at least 1.
  std::size_t Attempts() const;

  /// Goes on to the next address if `failed_url` is at the one in use, so that requests that fail
  /// together move on once.
  void MoveOn(const std::string& failed_url);

 private:
  std::vector<std::string> endpoints;
  std::size_t current = 0;
};

}  // namespace fireflyrun::store
