//===- published_estimates.h - Published estimates --------------*- C++ -*-===//
//
// Keeps for each cell of the estimates the sums that were last published to
// nodes and the rating count at which that happened. A cell is published again
// only when it has changed by more than a fraction of its standard error, so
// that entries get what affects their choices at a few hundred bytes per
// second. Pure, and not part of the replicated state: nothing depends on two
// leaders publishing the same cells at the same time.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_PUBLISHED_ESTIMATES_H
#define OLIVEVALVE_LEDGER_PUBLISHED_ESTIMATES_H

#include "policy/estimate.h"
#include "wire/wire.pb.h"
#include <set>

namespace olivevalve {

class published_estimates {
public:
  /// Publishes the cell if rating number \p Count has changed it to \p Sums by
  /// enough.
  void update(const estimate_key &Key, const estimate_sums &Sums,
              uint64_t Count);
  /// Publishes all cells at \p Count, after the state was restored.
  void reset(const estimates &Estimates, uint64_t Count);
  /// Adds the cells published after rating \p HeldIndex to \p Table, oldest
  /// first and about \p MaxCells of them. Sets the index of the table to the
  /// rating up to which the receiver then holds all publications.
  void fill(uint64_t HeldIndex, size_t MaxCells, const estimates &Estimates,
            uint64_t Count, wire::estimate_table &Table) const;

private:
  /// Last publication of a cell.
  struct published_cell {
    uint64_t Count = 0; ///< Number of ratings at that time.
    estimate_sums Sums;
  };
  /// Sorts publications by count.
  struct publication {
    uint64_t Count = 0;
    estimate_key Key;
    auto operator<=>(const publication &) const = default;
  };

  std::map<estimate_key, published_cell> Cells;
  std::set<publication> ByCount;
};

/// Writes one cell to \p Out.
void saveCell(const estimate_key &Key, const estimate_sums &Sums,
              wire::rating_sum &Out);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_PUBLISHED_ESTIMATES_H
