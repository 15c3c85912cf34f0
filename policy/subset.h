//===- subset.h - Which upstreams an entry connects to ----------*- C++ -*-===//
//
// If every entry received reports from every replica, the control traffic would
// grow with the product of their numbers. Each entry therefore connects to a
// subset of the replicas of a version or service: small enough for the bound on
// control traffic, and large enough that each replica is connected to several
// entries. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SUBSET_H
#define OLIVEVALVE_POLICY_SUBSET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace olivevalve {

/// A replica of a version or service.
struct subset_replica {
  std::string Name;
  bool SameHall = true; ///< In the same data hall as the entry.
};

/// The entry that the subset is for.
struct subset_input {
  uint64_t EntryHash = 0; ///< Determines the entry's order of the replicas.
  size_t Entries = 1;     ///< The number of entries that share the replicas.
};

/// The number of entries from which the subsets are computed. An increase takes
/// effect at once, a decrease only if it lasts: a new leader of control has few
/// leases at first, and links opened because of that would soon be closed
/// again.
class steady_entry_count {
public:
  /// Takes the number that control \p Reported at \p Now (steady-clock
  /// seconds). Returns true if value() has changed.
  bool update(size_t Reported, double Now);
  size_t value() const { return Value; }

private:
  size_t Value = 1;
  double DecreasedAt = 0; ///< When a lower number was reported; 0: it was not.
};

/// The number of replicas, out of \p Replicas, that an entry connects to.
size_t subsetSize(size_t Replicas, size_t Entries);

/// The names of the replicas that the entry connects to: the first ones in the
/// entry's own pseudo-random order, most of them in its data hall.
std::vector<std::string> chooseSubset(std::vector<subset_replica> Replicas,
                                      const subset_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SUBSET_H
