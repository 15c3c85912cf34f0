//===- admission.h - Admission control for overloaded services --*- C++ -*-===//
//
// If a service receives more requests than its upstreams can start in time,
// each queued request also delays those behind it. A gateway therefore refuses
// requests that would wait too long, before it sends them to an upstream, and
// returns a Retry-After to the caller. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_ADMISSION_H
#define OLIVEVALVE_POLICY_ADMISSION_H

#include "policy/upstream_choice.h"
#include <cstdint>
#include <random>

namespace olivevalve {

/// What a gateway has observed of a service's requests.
class service_stats {
public:
  /// Records a request to a route with this target latency.
  void recordRequest(double TargetSeconds);
  /// Records a finished response that occupied its slot for \p Seconds.
  void recordResponse(double Seconds);
  /// The mean time that a response occupies its slot; 0 before the first one.
  double meanSlotSeconds() const { return SlotSeconds; }
  /// The shortest target latency of the routes that had requests, in seconds; 0
  /// before the first request.
  double shortestTargetSeconds() const { return ShortestTarget; }

private:
  double SlotSeconds = 0;
  double ShortestTarget = 0;
};

/// Expected seconds until one more request gets a slot at one of the less
/// loaded upstreams. \p SlotSeconds: the mean time that a response occupies its
/// slot.
double expectedSlotWait(const std::vector<upstream_view> &Upstreams,
                        double SlotSeconds);

/// The probability with which a request should be refused, 0 to 1.
/// \p WaitSeconds: the expected wait for a slot.
/// \p TargetSeconds: the shortest target latency of the service; 0 if none is
/// known, and then nothing is refused. \p Priority: 0 is the most urgent.
double refusalProbability(double WaitSeconds, double TargetSeconds,
                          uint32_t Priority);

/// What a refused caller can expect.
struct return_request {
  double SoonestSeconds = 0; ///< Until the first request can be sent again.
  /// Requests that can be sent per second from then on; 0: any number.
  double TurnsPerSecond = 0;
  double LeftSeconds = 0; ///< Until the caller's deadline.
};

/// Gives the callers that one gateway refuses because upstreams take few
/// requests a time each at which to return: in the order of their requests, and
/// no faster than the upstreams take them.
class return_schedule {
public:
  /// The Retry-After in seconds, randomized. A caller whose turn comes too late
  /// takes none.
  double secondsUntilTurn(const return_request &Request, double Now,
                          std::mt19937_64 &Random);

private:
  double LastTurnAt = 0;
};

/// The Retry-After for a refused request, in seconds, randomized.
/// \p LeftSeconds: time left until the caller's deadline.
double retryAfterSeconds(double LeftSeconds, std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_ADMISSION_H
