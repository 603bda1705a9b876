#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "http/exchange.h"
#include "http/request.h"
#include "node/target_announcement.h"

namespace fireflyrun::node {

/// Serves the admin port: announcements of the local target, metrics, and operators' queries.
class AdminService {
 public:
  struct Hooks {
    /// Returns the number of calls that the node still has at the target or on the way to it, or
    /// why the announcement can't come from this host's target.
    std::function<tl::expected<std::size_t, Findings>(const TargetAnnouncement&)> on_announcement;
    /// The target with this id leaves; `born` is 0 when the request doesn't give it.
    std::function<void(const std::string& id, std::uint64_t born)> on_departure;
    std::function<std::string()> render_metrics;
    /// Collects the fleet report as JSON.
    std::function<void(std::function<void(std::string)>)> collect_fleet;
    /// This node's own records in force, as JSON.
    std::function<std::string()> describe_records;
    /// The targets in this node's membership view, as JSON.
    std::function<std::string()> describe_targets;
    std::function<bool()> ready;
    /// See ParseAnnouncement(); may be empty.
    ServiceRecordName service_record_name;
  };

  explicit AdminService(Hooks service_hooks);

  /// Handles `PUT /target[?id=ID]`, `DELETE /target?id=ID`, `GET /metrics`, `/fleet`, `/records`,
  /// `/targets`, `/health`.
  void OnRequest(const http::Request& request, const std::shared_ptr<http::Exchange>& exchange);

 private:
  void OnAnnouncement(const http::Request& request, http::Exchange& exchange);

  Hooks hooks;
};

}  // namespace fireflyrun::node
