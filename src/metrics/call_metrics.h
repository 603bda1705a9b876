#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "metrics/call_counter.h"
#include "metrics/call_timing.h"
#include "metrics/series_id.h"

namespace fireflyrun::metrics {

/// Counts calls by class and tenant, and records their durations by class. Resolve a class and
/// tenant once and keep the id, so that counting allocates nothing and builds no text. Memory and
/// text are bounded for any number of class and tenant names in calls.
class CallMetrics {
 public:
  static constexpr std::size_t kMaxTenants = 32;
  static constexpr std::size_t kMaxClasses = 64;
  /// Limit of (class, tenant) pairs. One pair per class for folded tenants may come on top of it.
  static constexpr std::size_t kMaxPairs = 512;
  /// Label value that tenants and classes over the limits are folded into.
  static constexpr std::string_view kOther = "other";

  /// `refusal_reasons` are the values of the label `reason`, in the order of CountRefusal().
  explicit CallMetrics(std::vector<std::string> refusal_reasons);

  /// Returns the series of a class and tenant; creates it on first use. Ids stay valid.
  SeriesId Resolve(std::string_view call_class, std::string_view tenant);

  void Count(SeriesId series, CallCounter counter);

  /// `reason` is an index into the constructor's list; one outside it is counted as the last.
  void CountRefusal(SeriesId series, std::size_t reason);

  /// Durations below 0 count as 0.
  void Observe(SeriesId series, CallTiming timing, Duration duration);

  /// Appends all series with a count in the Prometheus text format. The text crosses the links that
  /// carry calls, so it has no line that says 0, and no histogram for each tenant.
  void Render(std::string* out) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

  struct Timing {
    Timing();

    Histogram histogram;
    double sum_seconds = 0;
  };

  struct ClassTimings {
    std::string call_class;
    std::vector<Timing> timings;
  };

  struct Series {
    std::string call_class;
    std::string tenant;
    std::size_t class_index = 0;  ///< In `class_timings`.
    std::vector<std::uint64_t> counters;
    std::vector<std::uint64_t> refusals;
  };

  using Names = std::vector<std::string>;

  static std::string_view FoldName(std::string_view name, std::size_t limit, Names* known);
  SeriesId Add(std::pair<std::string, std::string> pair);
  std::size_t ClassIndex(const std::string& call_class);
  void RenderCounters(std::string* out) const;
  void RenderRefusals(std::string* out) const;
  void RenderTimings(std::string* out) const;
  static void RenderTiming(const ClassTimings& measured, CallTiming timing, std::string* out);

  std::vector<std::string> reasons;
  Names classes;
  Names tenants;
  std::map<std::pair<std::string, std::string>, SeriesId> pairs;
  std::vector<Series> all_series;
  std::vector<ClassTimings> class_timings;
};

}  // namespace fireflyrun::metrics
