//===- limits.h - Rates, concurrency and retries ----------------*- C++ -*-===//
//
// What one entry lets through: its share of a client account's rate and
// concurrency, and a budget of retries that follows the traffic. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_LIMITS_H
#define OLIVEVALVE_POLICY_LIMITS_H

#include <cstdint>

namespace olivevalve {

/// A token bucket; rates are per second.
class rate_limit {
public:
  /// Takes one token if there is one. \p Rate may differ at every call.
  bool take(double Rate, double Now);

private:
  double Tokens = -1; ///< -1: full at first use.
  double Last = 0;
};

/// What retries a budget allows.
struct retry_bounds {
  double Ratio = 0.1; ///< Retries earned by each request.
  double Saved = 10;  ///< The most that is kept for later.
};

/// Allows retries as a share of requests, so that retries cannot multiply an
/// overload.
class retry_budget {
public:
  explicit retry_budget(retry_bounds Bounds = {})
      : Bounds(Bounds), Tokens(Bounds.Saved / 2) {}
  void requestSeen();
  bool take();

private:
  retry_bounds Bounds;
  double Tokens;
};

/// Running mean of a rate, for the shares that control hands out.
class rate_meter {
public:
  void count(double Now);
  double perSecond(double Now) const;

private:
  double Value = 0;
  double Last = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_LIMITS_H
