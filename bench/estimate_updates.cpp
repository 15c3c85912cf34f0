//===- estimate_updates.cpp - Size of estimate updates to a node ----------===//

#include "bench/bench.h"
#include "ledger/ratings.h"
#include <algorithm>
#include <cmath>
#include <random>

namespace olivevalve {

namespace {

constexpr int WarmUpSeconds = 300; ///< Not measured.
constexpr int Seconds = 360;       ///< Whole run, with the warm-up.
/// MaxCellsPerGrant of control/control_task.cpp.
constexpr size_t CellsPerGrant = 50;

struct update_scenario {
  const char *Name;
  int Versions;
  int Templates;
  int Accounts;
  int RatingsPerSecond;
};

const update_scenario Sizes[] = {
    {"sahel, 70 ratings/s", 4, 5, 10, 70},
    {"design size, 2,500 ratings/s", 13, 10, 20, 2500},
};

/// Draws an index below \p Count with a skewed distribution: a few accounts and
/// templates get most ratings.
int skewed(std::mt19937_64 &Random, int Count) {
  std::uniform_real_distribution<double> Unit(0, 1);
  double U = Unit(Random);
  return int(U * U * U * Count);
}

wire::rating makeRating(std::mt19937_64 &Random, const update_scenario &Size) {
  wire::rating Rating;
  int Version = skewed(Random, Size.Versions);
  Rating.set_template_("template-" +
                       std::to_string(skewed(Random, Size.Templates)));
  Rating.set_account("account-" +
                     std::to_string(skewed(Random, Size.Accounts)));
  Rating.set_model("model");
  Rating.set_version(std::to_string(Version));
  std::normal_distribution<double> Score(0.6 + 0.02 * Version, 0.2);
  Rating.set_score(std::clamp(Score(Random), 0.0, 1.0));
  Rating.set_cost(1 + 0.1 * Version);
  return Rating;
}

estimate_update_row runUpdates(const update_scenario &Size) {
  std::mt19937_64 Random(11);
  catalog Catalog;
  rating_store Store;
  estimates AtNode;
  uint64_t ReceivedIndex = 0;
  estimate_update_row Row{Size.Name};
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int I = 0; I < Size.RatingsPerSecond; ++I)
      Store.add(makeRating(Random, Size), Catalog);
    wire::estimate_table Table;
    Store.fillEstimateTable(ReceivedIndex, CellsPerGrant, Table);
    loadCells(Table.cells(), AtNode);
    ReceivedIndex = Table.index();
    if (Second >= WarmUpSeconds)
      Row.BytesPerSecond +=
          double(Table.ByteSizeLong()) / (Seconds - WarmUpSeconds);
  }
  wire::estimate_table Whole;
  saveCells(Store.quality(), *Whole.mutable_cells());
  Row.WholeTableBytes = double(Whole.ByteSizeLong());
  Row.Behind = double(Store.ratings() - ReceivedIndex);
  for (const auto &[Key, Sums] : Store.quality().cells()) {
    estimate AtControl = Store.quality().of(Key, 1);
    double Deviation = std::abs(AtNode.of(Key, 1).Quality - AtControl.Quality);
    Row.MaxEstimateError =
        std::max(Row.MaxEstimateError, Deviation / AtControl.Error);
  }
  return Row;
}

} // namespace

std::vector<estimate_update_row> benchEstimateUpdates() {
  std::vector<estimate_update_row> Rows;
  for (const update_scenario &Size : Sizes)
    Rows.push_back(runUpdates(Size));
  return Rows;
}

} // namespace olivevalve
