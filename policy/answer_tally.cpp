//===- answer_tally.cpp - Upstreams with excess failures ------------------===//

#include "policy/answer_tally.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Time constant of the discount: long enough for some responses of each
// upstream, short enough that a recovered upstream is soon used again.
constexpr double DecaySeconds = 4;
// An upstream has excess failures if it has at least this many, its failure
// rate exceeds the minimum, and the rate is this many times that of the others.
constexpr double MinFailures = 3;
constexpr double MinFailureRate = 0.3;
constexpr double MinRateRatio = 3;
// Prior counts for the others: with few responses they are assumed to fail one
// in ten.
constexpr double PriorAnswers = 5;
constexpr double PriorFailures = 0.5;

} // namespace

answer_counts answer_tally::at(double Now) const {
  double Weight = std::exp(-std::max(0.0, Now - CountedAt) / DecaySeconds);
  return {.Answers = Counts.Answers * Weight,
          .Failures = Counts.Failures * Weight};
}

bool answer_tally::hasEnoughFailures() const {
  return Counts.Failures >= MinFailures;
}

void answer_tally::add(uint32_t Answers, uint32_t Failures, double Now) {
  Counts = at(Now);
  CountedAt = std::max(CountedAt, Now);
  Counts.Answers += Answers;
  Counts.Failures += std::min(Failures, Answers);
}

bool hasExcessFailures(const answer_counts &One, const answer_counts &Others) {
  if (One.Failures < MinFailures)
    return false;
  double Rate = One.Failures / One.Answers;
  double OthersRate =
      (Others.Failures + PriorFailures) / (Others.Answers + PriorAnswers);
  return Rate > std::max(MinFailureRate, MinRateRatio * OthersRate);
}

} // namespace olivevalve
