//===- published.cpp - Which estimates nodes have to hear -----------------===//

#include "ledger/published.h"
#include <cmath>

namespace olivevalve {

namespace {

// A cell with so many times the ratings is worth hearing of again: its weight
// against its template's mean has changed.
constexpr double Growth = 1.5;
// Part of its standard error by which a mean must have moved. `bench` (news of
// estimates): at the design size 0.25 kept nodes behind for ever and 18 errors
// off in the cells they never heard of; 0.5 keeps up, 1.7 errors off at worst.
constexpr double PartOfError = 0.5;
constexpr double RatingSpread = 0.3;
// Part by which a cost must have moved.
constexpr double PartOfCost = 0.05;

bool hasMoved(const estimate_sums &Then, const estimate_sums &Now) {
  if (Then.Ratings <= 0 || Now.Ratings >= Growth * Then.Ratings)
    return true;
  double Error = RatingSpread / std::sqrt(Now.Ratings + 1);
  double Quality = Now.Scores / Now.Ratings - Then.Scores / Then.Ratings;
  double CostThen = Then.Costs / Then.Ratings;
  double Cost = Now.Costs / Now.Ratings - CostThen;
  return std::abs(Quality) > PartOfError * Error ||
         std::abs(Cost) > PartOfCost * CostThen;
}

} // namespace

void published_cells::note(const estimate_key &Key, const estimate_sums &Sums,
                           uint64_t Count) {
  published &Cell = Cells[Key];
  if (!hasMoved(Cell.Sums, Sums))
    return;
  Order.erase({Cell.Count, Key});
  Cell = {Count, Sums};
  Order.insert({Count, Key});
}

void published_cells::reset(const estimates &Estimates, uint64_t Count) {
  Cells.clear();
  Order.clear();
  for (const auto &[Key, Sums] : Estimates.cells())
    note(Key, Sums, Count);
}

// Cells of one rating go together, or the index could not tell which of them
// the node has.
void published_cells::fill(uint64_t Known, size_t Most,
                           const estimates &Estimates, uint64_t Count,
                           wire::estimate_table &Table) const {
  Table.set_index(Count);
  for (auto It = Order.lower_bound({Known + 1, {}}); It != Order.end(); ++It) {
    bool Full = size_t(Table.cells_size()) >= Most;
    if (Full && It->Count != Table.index())
      return;
    saveCell(It->Key, Estimates.cells().at(It->Key), *Table.add_cells());
    Table.set_index(It->Count);
  }
  Table.set_index(Count);
}

void saveCell(const estimate_key &Key, const estimate_sums &Sums,
              wire::rating_sum &Out) {
  Out.set_template_(Key.Template);
  Out.set_account(Key.Account);
  Out.set_arm(Key.Arm.text());
  Out.set_ratings(Sums.Ratings);
  Out.set_scores(Sums.Scores);
  Out.set_costs(Sums.Costs);
}

} // namespace olivevalve
