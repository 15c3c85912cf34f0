//===- node_copy.h - Configuration held under a lease -----------*- C++ -*-===//
//
// What an entry or a sidecar holds: a copy of the catalog that never goes
// back, and a lease that says until when it may act on it. Pure: the clock is
// passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_NODE_COPY_H
#define OLIVEVALVE_CATALOG_NODE_COPY_H

#include "catalog/catalog.h"

namespace olivevalve {

/// A granted lease, counted from when the node asked. Control counts from
/// when it answered, so its end is never before the node's.
constexpr double LeaseSeconds = 6.0;
/// Clocks of two VMs may drift apart by this share; the node gives it away.
constexpr double DriftShare = 0.01;
/// Between two renewals of a node.
constexpr double RenewSeconds = 1.0;

class node_copy {
public:
  const catalog &config() const { return Catalog; }
  bool hasLease(double Now) const { return Now < LeaseEnd; }
  double leaseEnd() const { return LeaseEnd; }

  /// Takes a grant. A grant for a delta that cannot be applied, or that
  /// answers a question of the future, gives no lease. True if the
  /// configuration changed.
  bool take(const wire::grant &Grant, double Now);

private:
  catalog Catalog;
  double LeaseEnd = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_NODE_COPY_H
