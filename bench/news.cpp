//===- news.cpp - Estimates on their way to a node ------------------------===//

#include "bench/bench.h"
#include "ledger/ratings.h"
#include <algorithm>
#include <cmath>
#include <random>

namespace olivevalve {

namespace {

constexpr int WarmSeconds = 300;
constexpr int Seconds = 360;
constexpr size_t CellsOfGrant = 50;

struct news_size {
  const char *Name;
  int Versions;
  int Templates;
  int Accounts;
  int RatingsPerSecond;
};

const news_size Sizes[] = {
    {"sahel, 70 ratings/s", 4, 5, 10, 70},
    {"design size, 2,500 ratings/s", 13, 10, 20, 2500},
};

/// A few large accounts and templates, many small ones.
int skewed(std::mt19937_64 &Random, int Count) {
  std::uniform_real_distribution<double> Unit(0, 1);
  double U = Unit(Random);
  return int(U * U * U * Count);
}

wire::rating makeRating(std::mt19937_64 &Random, const news_size &Size) {
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

news_row runNews(const news_size &Size) {
  std::mt19937_64 Random(11);
  catalog Catalog;
  rating_store Book;
  estimates AtNode;
  uint64_t Known = 0;
  news_row Row{Size.Name};
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int I = 0; I < Size.RatingsPerSecond; ++I)
      Book.add(makeRating(Random, Size), Catalog);
    wire::estimate_table Table;
    Book.fillEstimateTable(Known, CellsOfGrant, Table);
    loadCells(Table.cells(), AtNode);
    Known = Table.index();
    if (Second >= WarmSeconds)
      Row.BytesPerSecond +=
          double(Table.ByteSizeLong()) / (Seconds - WarmSeconds);
  }
  wire::estimate_table Whole;
  saveCells(Book.quality(), *Whole.mutable_cells());
  Row.WholeTableBytes = double(Whole.ByteSizeLong());
  Row.Behind = double(Book.ratings() - Known);
  for (const auto &[Key, Sums] : Book.quality().cells()) {
    estimate Here = Book.quality().of(Key, 1);
    double Off = std::abs(AtNode.of(Key, 1).Quality - Here.Quality);
    Row.WorstOff = std::max(Row.WorstOff, Off / Here.Error);
  }
  return Row;
}

} // namespace

std::vector<news_row> benchNews() {
  std::vector<news_row> Rows;
  for (const news_size &Size : Sizes)
    Rows.push_back(runNews(Size));
  return Rows;
}

} // namespace olivevalve
