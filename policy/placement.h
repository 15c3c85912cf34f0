//===- placement.h - Which replicas hold which versions ---------*- C++ -*-===//
//
// Replicas have room for a few versions each, and the weight store gives only
// so many at once. From the demand for each version and from what is assigned
// and loaded now comes the next small step: one that ended versions make room
// for, that a version short of copies needs, or that evens out demand. Steps
// are taken one after another from what is true then, so whoever leads next
// goes on where the last one stopped. Pure.
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

/// A replica whose versions control decides on.
struct placed_replica {
  std::string Name;
  std::string DataHall;
  size_t Room = 1;                 ///< Versions that fit at once.
  std::vector<std::string> Models; ///< That it may hold.
  std::set<version_name> Assigned;
  std::set<version_name> Loaded;
  bool Usable = true; ///< Its sidecar holds a lease and it is not leaving.
};

/// A version that takes new work.
struct placed_version {
  version_name Name;
  double InFlight = 0; ///< Requests running and waiting, smoothed.
};

struct placement_question {
  std::vector<placed_replica> Replicas;
  std::vector<placed_version> Versions;
  size_t LoadsAtOnce = 2; ///< That the weight store bears.
};

/// A replica and what it shall hold from now on.
struct placement_step {
  size_t Replica = 0; ///< Its place in the question.
  std::set<version_name> Assigned;
};

/// None when all is well, or while the weight store is busy.
std::optional<placement_step> nextPlacement(const placement_question &Question);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_PLACEMENT_H
