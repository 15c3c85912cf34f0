//===- guard.cpp - Tells a bad version from a good one --------------------===//

#include "policy/guard.h"
#include <algorithm>
#include <numeric>

namespace olivevalve {

namespace {

// Answers earned by each rating that came back: above 1, so that a good
// version's traffic grows by this factor with every round of ratings.
constexpr double GrowthPerRating = 2.0;
// With fewer ratings than this share the growth would be unbounded.
constexpr double LeastRatedShare = 0.05;
// Evidence at which growth halts, long before the stop.
constexpr double DoubtEvidence = 5;

double average(const auto &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         double(Values.size());
}

} // namespace

// A bet of Lambda pays 1 + Lambda * (Reference - Score): never below 0, and
// at most 1 on average if the mean score is at least Reference.
void score_test::add(double Score, double Reference) {
  Score = std::clamp(Score, 0.0, 1.0);
  Reference = std::clamp(Reference, 0.01, 0.99);
  double Largest = 1 / (1 - Reference);
  for (size_t I = 0; I < Bets.size(); ++I) {
    double Pays = 1 + Bets[I] * Largest * (Reference - Score);
    Wealth[I] = std::min(Wealth[I] * Pays, 1e100);
    Recent[I] = std::min(std::max(Recent[I], 1.0) * Pays, 1e100);
  }
  ++Ratings;
}

void score_test::restore(const wealth &All, const wealth &Newest,
                         uint64_t Count) {
  Wealth = All;
  Recent = Newest;
  Ratings = Count;
}

double score_test::evidence() const { return average(Wealth); }

double score_test::recentEvidence() const { return average(Recent); }

// Wealth is a product over ratings: that of all is the product of the parts.
double score_test::combined(const std::vector<const score_test *> &Tests) {
  wealth All = {1, 1, 1, 1};
  for (const score_test *Test : Tests)
    for (size_t I = 0; I < BetCount; ++I)
      All[I] = std::min(All[I] * Test->Wealth[I], 1e100);
  return average(All);
}

guard_verdict judgeVersion(double Evidence, uint64_t Ratings, bool Rolling,
                           const guard_options &Options) {
  if (!Rolling)
    return Evidence > Options.SettledEvidence ? guard_verdict::Stop
                                              : guard_verdict::Go;
  if (Evidence > Options.RollingEvidence)
    return guard_verdict::Stop;
  bool Done =
      Ratings >= Options.SettleRatings && Evidence < Options.SettleEvidence;
  return Done ? guard_verdict::Settle : guard_verdict::Go;
}

double exposureAllowance(const exposure_input &Input) {
  double Share = std::max(Input.RatedShare, LeastRatedShare);
  double Growth = Input.Evidence > DoubtEvidence ? 1.0 : GrowthPerRating;
  double Earned = Growth * Input.Ratings / Share;
  return std::max(0.0, Input.Budget + Earned - Input.Answers);
}

} // namespace olivevalve
