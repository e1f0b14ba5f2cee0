/// \file
/// Limits retries to a fraction of the requests, so that failures cannot
/// multiply the load.
#ifndef EBONYVALE_DECISIONS_PROCESS_RETRY_BUDGET_H
#define EBONYVALE_DECISIONS_PROCESS_RETRY_BUDGET_H

#include <algorithm>

namespace ebonyvale {

/// Token bucket for retries: each request adds `Ratio`, each retry takes 1.
class retry_budget {
public:
  /// Long-term number of retries for each request.
  static constexpr double Ratio = 0.2;
  /// Capacity of the bucket, in retries.
  static constexpr double MaxBalance = 10;

  /// Counts the first attempt of a request.
  void onRequest() { Balance = std::min(MaxBalance, Balance + Ratio); }

  /// Takes one retry. Returns false if none is left.
  bool tryRetry() {
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

private:
  double Balance = MaxBalance;
};

} // namespace ebonyvale

#endif
