#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "common/clock.h"
#include "http/client_error.h"

namespace fireflyrun::standins {

/// What became of one kind of request.
struct Tally {
  std::size_t sent = 0;
  std::size_t attempts = 0;  ///< Sent requests and their repeats.
  std::size_t whole = 0;
  std::size_t wrong = 0;                        ///< Answers that are not the whole own answer.
  std::map<std::string, std::size_t> refused;   ///< By "STATUS OUTCOME".
  std::map<std::string, std::size_t> failed;    ///< By the client's kind of error.
  std::vector<double> latencies_ms;             ///< Of whole answers.
  std::vector<std::size_t> goodput_per_second;  ///< Whole answers by the second they came in.
};

/// Collects the results of a run and writes its summary.
class CallerResults {
 public:
  void Sent(const std::string& label);
  void Attempted(const std::string& label);
  /// `since_start` is the time of the answer since the run began.
  void Whole(const std::string& label, Duration latency, Duration since_start);
  void Refused(const std::string& label, const std::string& status_and_outcome);
  void Failed(const std::string& label, http::ClientErrorKind kind);
  /// Keeps the first few reasons.
  void Wrong(const std::string& label, const std::string& reason);

  /// The totals, with each label's own under "by_label" when there are several.
  nlohmann::json ToJson() const;

 private:
  std::map<std::string, Tally> tallies;
  std::vector<std::string> wrong_reasons;
};

}  // namespace fireflyrun::standins
