#pragma once

namespace fireflyrun::policy {

/// A token bucket, filled by a share of the successes, that bounds the total retries of all root
/// requests of one node under one retry allowance. Starts full.
class RetryBudget {
 public:
  /// `success_ratio`: retries earned per success, 0 to 1; `burst`: maximum number of retries held,
  /// at least 0.
  RetryBudget(double success_ratio, double burst);

  void OnSuccess();
  /// Spends one retry; false if less than one is available.
  bool TrySpend();
  /// Changes the parameters and keeps the retries held, up to the new burst.
  void Reconfigure(double success_ratio, double burst);
  double Available() const { return this->tokens; }

 private:
  double ratio;
  double capacity;
  double tokens;
};

}  // namespace fireflyrun::policy
