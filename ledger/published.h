//===- published.h - Which estimates nodes have to hear ---------*- C++ -*-===//
//
// Remembers for each cell what was last published and when, counted in
// ratings. A cell is published anew only when it has moved by more than a part
// of its own error, so that entries hear what matters to their choices at a
// few hundred bytes a second. Pure; not part of the replicated state: a new
// leader that publishes a little more or later changes no promise.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_PUBLISHED_H
#define OLIVEVALVE_LEDGER_PUBLISHED_H

#include "policy/estimate.h"
#include "wire/wire.pb.h"
#include <set>

namespace olivevalve {

class published_cells {
public:
  /// The cell was changed by rating number \p Count.
  void note(const estimate_key &Key, const estimate_sums &Sums, uint64_t Count);
  /// Takes all cells as published at \p Count, after a restore.
  void reset(const estimates &Estimates, uint64_t Count);
  /// Adds the cells published after rating \p Known, oldest first and about
  /// \p Most of them. Sets the table's index to what the node then knows.
  void fill(uint64_t Known, size_t Most, const estimates &Estimates,
            uint64_t Count, wire::estimate_table &Table) const;

private:
  struct published {
    uint64_t Count = 0;
    estimate_sums Sums;
  };
  struct place {
    uint64_t Count = 0;
    estimate_key Key;
    auto operator<=>(const place &) const = default;
  };

  std::map<estimate_key, published> Cells;
  std::set<place> Order;
};

/// Writes one cell into \p Out.
void saveCell(const estimate_key &Key, const estimate_sums &Sums,
              wire::rating_sum &Out);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_PUBLISHED_H
