//===- admission.h - Whom a full service takes ------------------*- C++ -*-===//
//
// Where more is asked of a service than its upstreams can begin in time, each
// request that waits makes those behind it late too. A gateway refuses what
// would wait too long before it is sent anywhere, and tells its caller when to
// come back. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_ADMISSION_H
#define OLIVEVALVE_POLICY_ADMISSION_H

#include "policy/upstream_choice.h"
#include <cstdint>
#include <random>

namespace olivevalve {

/// What a gateway has learnt of a service's requests.
class service_pace {
public:
  /// A request of a route with this target came.
  void asked(double TargetSeconds);
  /// An answer is over; it held its slot for so long.
  void ended(double SlotSeconds);
  /// The mean; 0 before any answer is over.
  double slotSeconds() const { return SlotSeconds; }
  /// The shortest of its routes; 0 before any request came.
  double shortestTarget() const { return ShortestTarget; }

private:
  double SlotSeconds = 0;
  double ShortestTarget = 0;
};

/// Seconds until a slot is free for one request more, at one of the less full
/// upstreams.
double waitForSlot(const std::vector<upstream_view> &Upstreams,
                   double SlotSeconds);

/// How likely a request should be refused, 0 to 1. \p WaitSeconds: for a slot
/// where it would begin soonest. \p TargetSeconds: the shortest of the service.
/// \p Priority: 0 is the most urgent.
double refusalChance(double WaitSeconds, double TargetSeconds,
                     uint32_t Priority);

/// Seconds after which a refused caller has the best chance. \p LeftSeconds: of
/// the time that it has.
double comeBackAfter(double LeftSeconds, std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_ADMISSION_H
