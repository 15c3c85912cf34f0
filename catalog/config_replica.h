//===- config_replica.h - Configuration replica under a lease ---*- C++ -*-===//
//
// The replica of the catalog in an entry or a sidecar, which never goes back to
// an older index, and the lease that limits how long the node may act on it.
// Pure: the clock is passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_CONFIG_REPLICA_H
#define OLIVEVALVE_CATALOG_CONFIG_REPLICA_H

#include "catalog/catalog.h"

namespace olivevalve {

/// Length of a lease. A node counts it from when it sent its request, control
/// from when it sends the grant, so that control never takes a lease as expired
/// before the node does.
constexpr double LeaseSeconds = 6.0;
/// Bounds the relative drift between the clocks of two VMs. A node shortens its
/// lease by this fraction.
constexpr double MaxClockDrift = 0.01;
/// Interval at which a node renews its lease.
constexpr double RenewSeconds = 1.0;

/// Times are in seconds on the node's monotonic clock.
class config_replica {
public:
  const catalog &config() const { return Catalog; }
  bool hasLease(double Now) const { return Now < LeaseEnd; }
  double leaseEnd() const { return LeaseEnd; }

  /// Applies the delta in \p Grant and extends the lease. Ignores a grant whose
  /// delta cannot be applied, or whose `sent_at`, the time of the request it
  /// responds to, is later than \p Now. True if the configuration changed.
  bool applyGrant(const wire::grant &Grant, double Now);

private:
  catalog Catalog;
  double LeaseEnd = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_CONFIG_REPLICA_H
