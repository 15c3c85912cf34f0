//===- shared_rate.h - Bounds that all gateways share -----------*- C++ -*-===//
//
// Some upstreams take only a few requests per second from all gateways
// together: one that has just started, and one that states a limit. Because an
// upstream that gets few requests looks best to all gateways at the same
// moment, each gateway limits itself to its own share of that rate. Pure.
//
// The shares must not add up to more than the bound although gateways learn
// late which other gateways exist. Gateways with the same list of gateways
// therefore plan at most half of the bound together, so that the bound holds
// while two different lists are in use. The shares are whole requests per
// window, and only as many gateways as there are requests get one: with many
// gateways, equal shares would add up to one request of each at once.
//
// Gateways without a share learn from the others when a bound ends. In case
// they do not, because there was no request or no report, each of them sends a
// probe from time to time.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SHARED_RATE_H
#define OLIVEVALVE_POLICY_SHARED_RATE_H

#include <algorithm>
#include <cstddef>
#include <limits>

namespace olivevalve {

/// A gap between requests that means: no requests.
constexpr double NeverSeconds = std::numeric_limits<double>::infinity();

/// The bound on the requests that all gateways together send to one upstream
/// within any window: Ratio times what the upstream takes in that time, plus
/// Slack.
struct shared_bound {
  double Ratio = 1;
  double Slack = 0;
  double WindowSeconds = 1;
  /// The part of the bound that is kept for probes.
  double ProbePart = 0;
};

/// The gateways that may send to an upstream, as one of them sees them.
struct gateway_group {
  /// The number of gateways including this one; 0 if it is not known.
  size_t Gateways = 0;
  /// The rank of this gateway, from 0. It differs between upstreams, so that
  /// the remainder of the division goes to different gateways.
  size_t Rank = 0;
  /// From 0 to below 1, spread evenly over the gateways: keeps them from
  /// sending at the same moment.
  double Phase = 0;
};

/// Seconds between the requests of this gateway to an upstream that takes
/// \p RequestsPerSecond.
double shareGap(double RequestsPerSecond, const shared_bound &Bound,
                const gateway_group &Group);

/// Seconds between the probes of a gateway without a share, of which there are
/// at most \p Gateways; 0: the number is not known.
double probeGap(double RequestsPerSecond, const shared_bound &Bound,
                size_t Gateways);

/// Spaces out one gateway's requests to one upstream. Times are steady-clock
/// seconds.
class request_pacer {
public:
  void recordRequest(double Now) { LastAt = std::max(LastAt, Now); }
  /// The time from which the next request is allowed. The gap counts from the
  /// last request even if it has changed since.
  double nextAt(double GapSeconds) const { return LastAt + GapSeconds; }
  /// Begins to space out requests: the first one follows after the part of the
  /// gap that \p Phase leaves.
  void begin(double Now, double GapSeconds, double Phase) {
    LastAt = GapSeconds < NeverSeconds ? Now - Phase * GapSeconds : Now;
  }

private:
  /// Of the last request; long ago if there was none.
  double LastAt = std::numeric_limits<double>::lowest();
};

/// After its start a gateway sends nothing to cold upstreams for this long: the
/// bound applies to any second, and the gateway does not know what it sent
/// before the restart.
constexpr double RestartDelaySeconds = 1.1;

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SHARED_RATE_H
