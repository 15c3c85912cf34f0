//===- answer_tally.cpp - Upstreams that fail more than the others --------===//

#include "policy/answer_tally.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Long enough for some answers of each upstream, short enough that one that
// has recovered is found again.
constexpr double MemorySeconds = 4;
constexpr double LeastFailures = 3;
constexpr double LeastShare = 0.3;
constexpr double TimesOthers = 3;
// Where little is known of the others, they are supposed to fail a tenth.
constexpr double SupposedAnswers = 5;
constexpr double SupposedFailures = 0.5;

} // namespace

answer_counts answer_tally::at(double Now) const {
  double Kept = std::exp(-std::max(0.0, Now - CountedAt) / MemorySeconds);
  return {.Answers = Counts.Answers * Kept, .Failures = Counts.Failures * Kept};
}

bool answer_tally::mayFail() const { return Counts.Failures >= LeastFailures; }

void answer_tally::add(uint32_t Answers, uint32_t Failures, double Now) {
  Counts = at(Now);
  CountedAt = std::max(CountedAt, Now);
  Counts.Answers += Answers;
  Counts.Failures += std::min(Failures, Answers);
}

bool failsMore(const answer_counts &One, const answer_counts &Others) {
  if (One.Failures < LeastFailures)
    return false;
  double Share = One.Failures / One.Answers;
  double OthersShare =
      (Others.Failures + SupposedFailures) / (Others.Answers + SupposedAnswers);
  return Share > std::max(LeastShare, TimesOthers * OthersShare);
}

} // namespace olivevalve
