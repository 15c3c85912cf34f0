//===- estimate.cpp - Expected quality and cost ---------------------------===//

#include "policy/estimate.h"
#include <cmath>

namespace olivevalve {

namespace {

// Ratings that the parent's mean is worth in a small cell.
constexpr double ParentWeight = 30;
// What is believed of an arm never rated.
constexpr double PriorQuality = 0.6;
constexpr double PriorWeight = 2;
// Ratings after which an old one has faded to a third: drift is followed
// within some hundred answers, noise is still averaged.
constexpr double MemoryRatings = 600;
// Standard deviation of one rating; ratings of 0 to 1 that hang together.
constexpr double RatingSpread = 0.3;

double leaning(const estimate_sums &Sums, double Parent, double Weight,
               double Sum) {
  return (Sum + Weight * Parent) / (Sums.Ratings + Weight);
}

} // namespace

std::string arm::text() const {
  return isCascade() ? First.text() + ">" + Second.text() : First.text();
}

arm parseArm(std::string_view Text) {
  size_t Mark = Text.find('>');
  if (Mark == std::string_view::npos)
    return {parseVersionName(Text), {}};
  return {parseVersionName(Text.substr(0, Mark)),
          parseVersionName(Text.substr(Mark + 1))};
}

void estimate_sums::add(double Score, double Cost) {
  constexpr double Fade = 1 - 1 / MemoryRatings;
  Ratings = Ratings * Fade + 1;
  Scores = Scores * Fade + Score;
  Costs = Costs * Fade + Cost;
}

void estimates::add(const estimate_key &Key, double Score, double Cost) {
  ++Change;
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
  double Quality = leaning(Arm, PriorQuality, PriorWeight, Arm.Scores);
  Quality = leaning(Template, Quality, ParentWeight, Template.Scores);
  double Cost = leaning(Arm, PriorCost, PriorWeight, Arm.Costs);
  Cost = leaning(Template, Cost, ParentWeight, Template.Costs);
  double Known = Template.Ratings;
  if (!Key.Account.empty()) {
    Quality = leaning(Account, Quality, ParentWeight, Account.Scores);
    Cost = leaning(Account, Cost, ParentWeight, Account.Costs);
  }
  return {.Quality = Quality,
          .Error = RatingSpread / std::sqrt(Known + 1),
          .Cost = Cost,
          .Ratings = Known};
}

} // namespace olivevalve
