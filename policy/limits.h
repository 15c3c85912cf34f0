//===- limits.h - Rate limits and retry budgets -----------------*- C++ -*-===//
//
// Limits of one entry: its share of a client account's request rate, and a
// retry budget that is proportional to the traffic. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_LIMITS_H
#define OLIVEVALVE_POLICY_LIMITS_H

#include <cstdint>

namespace olivevalve {

/// A token bucket.
class rate_limit {
public:
  /// Takes one token; false if there is none. \p Rate, in tokens per second,
  /// may differ between calls.
  bool take(double Rate, double Now);

private:
  double Tokens = -1; ///< -1: not used yet; the bucket starts full.
  double Last = 0;    ///< Time of the last call, steady-clock seconds.
};

/// The size of a retry budget.
struct retry_bounds {
  double Ratio = 0.1;    ///< Retries that each request adds to the budget.
  double MaxTokens = 10; ///< Upper bound on the saved retries.
};

/// Allows a number of retries proportional to the number of requests, so that
/// retries cannot amplify an overload.
class retry_budget {
public:
  explicit retry_budget(retry_bounds Bounds = {})
      : Bounds(Bounds), Tokens(Bounds.MaxTokens / 2) {}
  /// Records a request, which adds to the budget.
  void recordRequest();
  /// Takes one retry from the budget; false if there is none.
  bool take();

private:
  retry_bounds Bounds;
  double Tokens;
};

/// Exponentially weighted mean of a request rate. Entries report it to control,
/// which divides each client account's limits among the entries accordingly.
class rate_meter {
public:
  void count(double Now);
  double perSecond(double Now) const;

private:
  double Value = 0; ///< Per second, as of Last.
  double Last = 0;  ///< Time of the last count, steady-clock seconds.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_LIMITS_H
