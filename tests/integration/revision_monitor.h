#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace fireflyrun::integration {

/// The revision of the records that a node shows, 0 when it has none or does not answer.
std::int64_t ShownRevision(const std::string& admin_url);

/// Asks nodes for their revision all the time, and notes whoever shows an older one after a newer.
/// A node that is started anew is held to what its earlier process showed.
class RevisionMonitor {
 public:
  /// Admin URLs by node.
  explicit RevisionMonitor(std::map<std::string, std::string> admin_urls);
  ~RevisionMonitor();
  RevisionMonitor(const RevisionMonitor&) = delete;
  RevisionMonitor& operator=(const RevisionMonitor&) = delete;

  /// What went wrong, as text; empty when nothing did.
  std::string Reversions() const;
  /// Answers heard from all nodes.
  int Answers() const;

 private:
  void Run();

  const std::map<std::string, std::string> urls;
  std::atomic<bool> stopping{false};
  mutable std::mutex mutex;
  std::map<std::string, std::int64_t> newest;
  std::string reversions;
  int answers = 0;
  std::thread thread;
};

}  // namespace fireflyrun::integration
