//===- config_replica.cpp - Configuration replica under a lease -----------===//

#include "catalog/config_replica.h"
#include <algorithm>

namespace olivevalve {

bool config_replica::applyGrant(const wire::grant &Grant, double Now) {
  if (Grant.sent_at() > Now)
    return false;
  uint64_t Before = Catalog.index();
  if (Grant.has_delta() && !Catalog.applyDelta(Grant.delta()))
    return false;
  double Length = std::min(Grant.lease_seconds(), LeaseSeconds);
  double End = Grant.sent_at() + Length * (1 - MaxClockDrift);
  LeaseEnd = std::max(LeaseEnd, End);
  return Catalog.index() != Before;
}

} // namespace olivevalve
