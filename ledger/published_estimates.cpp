//===- published_estimates.cpp - Incremental publication of estimates -----===//

#include "ledger/published_estimates.h"
#include <cmath>

namespace olivevalve {

namespace {

// A cell is published again once its number of ratings has grown by this
// factor, because its weight against the mean of its template has changed.
constexpr double RatingGrowthFactor = 1.5;
// A cell is published again once its mean rating has changed by this fraction
// of its standard error. At the design size a fraction of 0.25 produces more
// updates than nodes receive: they never catch up and are off by up to 18
// standard errors in cells that are never sent. With 0.5 they keep up and are
// off by at most 1.7.
constexpr double ErrorFraction = 0.5;
// Assumed standard deviation of a single rating.
constexpr double RatingDeviation = 0.3;
// A cell is published again once its mean cost has changed by this fraction.
constexpr double CostFraction = 0.05;

bool hasChangedEnough(const estimate_sums &Then, const estimate_sums &Now) {
  if (Then.Ratings <= 0 || Now.Ratings >= RatingGrowthFactor * Then.Ratings)
    return true;
  double Error = RatingDeviation / std::sqrt(Now.Ratings + 1);
  double Quality = Now.Scores / Now.Ratings - Then.Scores / Then.Ratings;
  double CostThen = Then.Costs / Then.Ratings;
  double Cost = Now.Costs / Now.Ratings - CostThen;
  return std::abs(Quality) > ErrorFraction * Error ||
         std::abs(Cost) > CostFraction * CostThen;
}

} // namespace

void published_estimates::update(const estimate_key &Key,
                                 const estimate_sums &Sums, uint64_t Count) {
  published_cell &Cell = Cells[Key];
  if (!hasChangedEnough(Cell.Sums, Sums))
    return;
  ByCount.erase({Cell.Count, Key});
  Cell = {Count, Sums};
  ByCount.insert({Count, Key});
}

void published_estimates::reset(const estimates &Estimates, uint64_t Count) {
  Cells.clear();
  ByCount.clear();
  for (const auto &[Key, Sums] : Estimates.cells())
    update(Key, Sums, Count);
}

// Cells published at the same rating are sent in one message, even beyond
// MaxCells, because the index cannot tell which of them the receiver holds.
void published_estimates::fill(uint64_t HeldIndex, size_t MaxCells,
                               const estimates &Estimates, uint64_t Count,
                               wire::estimate_table &Table) const {
  Table.set_index(Count);
  for (auto It = ByCount.lower_bound({HeldIndex + 1, {}}); It != ByCount.end();
       ++It) {
    bool IsFull = size_t(Table.cells_size()) >= MaxCells;
    if (IsFull && It->Count != Table.index())
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
