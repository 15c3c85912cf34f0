//===- guard.cpp - Quality tests of versions ------------------------------===//

#include "policy/guard.h"
#include <algorithm>
#include <numeric>

namespace olivevalve {

namespace {

// Additional answers allowed for each rated answer. Above 1, so that the
// traffic of a good version grows by this factor with every round of ratings.
constexpr double GrowthPerRating = 2.0;
// Lower bound on the share of rated answers, by which the number of ratings is
// divided; without it, the allowance would grow without bound.
constexpr double MinRatedShare = 0.05;
// Evidence from which the traffic does not grow any more, far below the
// evidence that stops the version.
constexpr double GrowthHaltEvidence = 5;

double average(const auto &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         double(Values.size());
}

} // namespace

// A bet of size Lambda multiplies the wealth by
// 1 + Lambda * (Reference - Score). The factor is never below 0, and its mean
// is at most 1 if the mean score is at least Reference.
void score_test::add(double Score, double Reference) {
  Score = std::clamp(Score, 0.0, 1.0);
  Reference = std::clamp(Reference, 0.01, 0.99);
  double Largest = 1 / (1 - Reference);
  for (size_t I = 0; I < Bets.size(); ++I) {
    double Factor = 1 + Bets[I] * Largest * (Reference - Score);
    Wealth[I] = std::min(Wealth[I] * Factor, 1e100);
    Recent[I] = std::min(std::max(Recent[I], 1.0) * Factor, 1e100);
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

// The wealth is a product over ratings, so the wealth of several tests with
// disjoint ratings is the product of theirs.
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
  double Share = std::max(Input.RatedShare, MinRatedShare);
  double Growth = Input.Evidence > GrowthHaltEvidence ? 1.0 : GrowthPerRating;
  double Allowed = Growth * Input.Ratings / Share;
  return std::max(0.0, Input.Budget + Allowed - Input.Answers);
}

} // namespace olivevalve
