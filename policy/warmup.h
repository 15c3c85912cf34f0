//===- warmup.h - Request rate to a cold upstream ---------------*- C++ -*-===//
//
// An upstream that has just started can process only a few requests per second
// from all gateways together and fails under much more. Because an empty
// upstream looks best to all gateways at the same moment, each gateway limits
// itself to its own share of that rate. Pure.
//
// The shares must not add up to more than the bound although gateways learn
// late which other gateways exist. Gateways with the same list of gateways
// therefore plan only half of the bound together, so that the bound holds while
// two different lists are in use. A gateway spaces out its requests, and waits
// after its own start, because it does not know what it sent before.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_WARMUP_H
#define OLIVEVALVE_POLICY_WARMUP_H

#include <cstddef>

namespace olivevalve {

/// The bound on the requests that all gateways together send to a cold upstream
/// within any second: Ratio times the rate that the upstream can process, plus
/// Slack.
struct cold_bounds {
  double Ratio = 1;
  double Slack = 0;
};

/// The gateways that may send to a cold upstream, as one of them sees them.
struct warmup_group {
  /// The number of gateways including this one; 0 if it is not known.
  size_t Gateways = 0;
  /// The rank of this gateway, from 0. It differs between upstreams, so that
  /// the remainder of the division goes to different gateways.
  size_t Rank = 0;
};

/// The rate in requests per second at which this gateway may send to a cold
/// upstream that can process \p RequestsPerSecond; 0: it must not send at all.
double warmupRate(double RequestsPerSecond, cold_bounds Bounds,
                  warmup_group Group);

/// Spaces out one gateway's requests to one cold upstream. Times are
/// steady-clock seconds.
class warmup_pacer {
public:
  bool allows(double Now) const { return Now >= NextAt; }
  /// The time from which the next request is allowed.
  double nextAt() const { return NextAt; }
  /// Records a request. \p Rate: in requests per second, above 0.
  void recordRequest(double Now, double Rate);
  /// Allows no request before \p Then.
  void blockUntil(double Then) { NextAt = Then; }

private:
  double NextAt = 0;
};

/// After its start a gateway sends nothing to cold upstreams for this long: the
/// bound applies to any second, and the gateway does not know what it sent
/// before the restart.
constexpr double RestartDelaySeconds = 1.1;

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_WARMUP_H
