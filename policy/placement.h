//===- placement.h - Which replicas hold which versions ---------*- C++ -*-===//
//
// Assigns versions to replicas. A replica has room for a few versions, and the
// weight store supports only a few loads at once. nextPlacement() computes a
// single step from the demand for each version and from what is assigned and
// loaded now: it removes versions that take no more work, adds a copy of a
// version that has too few, or rebalances the demand. Each step is computed
// from the current state, so that a new leader continues where the previous one
// stopped. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_PLACEMENT_H
#define OLIVEVALVE_POLICY_PLACEMENT_H

#include "catalog/document.h"
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace olivevalve {

/// A replica to which control assigns versions.
struct placed_replica {
  std::string Name;
  std::string DataHall;
  size_t MaxLoadedVersions = 1;    ///< Number of versions that it can hold.
  std::vector<std::string> Models; ///< Models that it may hold.
  std::set<version_name> Assigned;
  std::set<version_name> Loaded;
  bool Usable = true; ///< Its sidecar holds a lease and it is not leaving.
};

/// A version that takes new work.
struct placed_version {
  version_name Name;
  double InFlight = 0; ///< Requests running and queued, smoothed.
};

/// The input of nextPlacement().
struct placement_input {
  std::vector<placed_replica> Replicas;
  std::vector<placed_version> Versions;
  /// The number of concurrent loads that the weight store supports.
  size_t MaxConcurrentLoads = 2;
};

/// A replica and the versions that it is to hold from now on.
struct placement_step {
  size_t Replica = 0; ///< Index of the replica in the input.
  std::set<version_name> Assigned;
};

/// Returns none if nothing is to be changed, or if a load is needed while the
/// weight store is busy.
std::optional<placement_step> nextPlacement(const placement_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_PLACEMENT_H
