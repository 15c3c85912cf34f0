//===- subset.h - Which upstreams an entry talks to -------------*- C++ -*-===//
//
// News of every replica at every entry would grow with their product. Each
// entry keeps to a part of the replicas of a version or service: few enough for
// the bound on control traffic, and so many that each replica is known to
// several entries. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SUBSET_H
#define OLIVEVALVE_POLICY_SUBSET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace olivevalve {

/// One replica of a version or service.
struct subset_replica {
  std::string Name;
  bool SameHall = true; ///< As the entry.
};

struct subset_question {
  uint64_t EntryHash = 0;
  size_t Entries = 1; ///< That share the replicas.
};

/// The number of entries to count with. More entries count at once; fewer only
/// when it stays so: a new leader knows few leases at first, and links opened
/// for that would be closed again.
class steady_entry_count {
public:
  /// Takes what control said at \p Now; true if value() has changed.
  bool update(size_t Told, double Now);
  size_t value() const { return Value; }

private:
  size_t Value = 1;
  double FewerSince = 0;
};

/// How many of \p Replicas an entry links to.
size_t subsetSize(size_t Replicas, size_t Entries);

/// Names of the replicas that the entry links to: the first in an order of its
/// own, most of them in its data hall.
std::vector<std::string> chooseSubset(std::vector<subset_replica> Replicas,
                                      const subset_question &Question);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SUBSET_H
