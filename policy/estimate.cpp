//===- estimate.cpp - Expected quality and cost ---------------------------===//

#include "policy/estimate.h"
#include <cmath>

namespace olivevalve {

namespace {

// The weight of the parent cell's mean, in ratings.
constexpr double ParentWeight = 30;
// Quality of an arm without ratings, and its weight in ratings.
constexpr double PriorQuality = 0.6;
constexpr double PriorWeight = 2;
// The number of ratings after which the weight of an old one has fallen to 1/e:
// few enough to follow a change within some hundred answers, enough to average
// out noise.
constexpr double DecayRatings = 600;
// Standard deviation assumed for a single rating. Ratings are between 0 and 1
// and correlated.
constexpr double RatingDeviation = 0.3;

double shrunkMean(const estimate_sums &Sums, double Parent, double Weight,
                  double Sum) {
  return (Sum + Weight * Parent) / (Sums.Ratings + Weight);
}

} // namespace

std::string arm::text() const {
  return isCascade() ? First.text() + ">" + Second.text() : First.text();
}

arm parseArm(std::string_view Text) {
  size_t Separator = Text.find('>');
  if (Separator == std::string_view::npos)
    return {parseVersionName(Text), {}};
  return {parseVersionName(Text.substr(0, Separator)),
          parseVersionName(Text.substr(Separator + 1))};
}

void estimate_sums::add(double Score, double Cost) {
  constexpr double Decay = 1 - 1 / DecayRatings;
  Ratings = Ratings * Decay + 1;
  Scores = Scores * Decay + Score;
  Costs = Costs * Decay + Cost;
}

void estimates::add(const estimate_key &Key, double Score, double Cost) {
  ++Revision;
  Cells[Key].add(Score, Cost);
  if (!Key.Account.empty())
    Cells[{Key.Template, "", Key.Arm}].add(Score, Cost);
  if (!Key.Template.empty())
    Cells[{"", "", Key.Arm}].add(Score, Cost);
}

const estimate_sums &estimates::cell(const estimate_key &Key) const {
  static const estimate_sums None;
  auto It = Cells.find(Key);
  return It == Cells.end() ? None : It->second;
}

estimate estimates::of(const estimate_key &Key, double PriorCost) const {
  const estimate_sums &Arm = cell({"", "", Key.Arm});
  const estimate_sums &Template = cell({Key.Template, "", Key.Arm});
  const estimate_sums &Account = cell(Key);
  double Quality = shrunkMean(Arm, PriorQuality, PriorWeight, Arm.Scores);
  Quality = shrunkMean(Template, Quality, ParentWeight, Template.Scores);
  double Cost = shrunkMean(Arm, PriorCost, PriorWeight, Arm.Costs);
  Cost = shrunkMean(Template, Cost, ParentWeight, Template.Costs);
  double Ratings = Template.Ratings;
  if (!Key.Account.empty()) {
    Quality = shrunkMean(Account, Quality, ParentWeight, Account.Scores);
    Cost = shrunkMean(Account, Cost, ParentWeight, Account.Costs);
  }
  return {.Quality = Quality,
          .Error = RatingDeviation / std::sqrt(Ratings + 1),
          .Cost = Cost,
          .Ratings = Ratings};
}

} // namespace olivevalve
