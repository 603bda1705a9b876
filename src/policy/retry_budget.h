#pragma once

namespace fireflyrun::policy {

/// A token bucket, filled by a share of successes, that bounds the retries of all root requests of
/// one node and allowance together. Starts full.
class RetryBudget {
 public:
  /// `success_ratio`: retries earned by one success, 0 to 1; `burst`: most retries held, at least
  /// 0.
  RetryBudget(double success_ratio, double burst);

  void OnSuccess();
  /// Spends one retry; false if less than one is held.
  bool TrySpend();
  /// Changes the parameters and keeps what is held, up to the new burst.
  void Reconfigure(double success_ratio, double burst);
  double Available() const { return this->tokens; }

 private:
  double ratio;
  double capacity;
  double tokens;
};

}  // namespace fireflyrun::policy
