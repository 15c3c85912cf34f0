//===- model_choice.cpp - Which size of model answers ---------------------===//

#include "policy/model_choice.h"
#include "policy/work_shares.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Below the first confidence an answer is poor, above the second it is good,
// with an even slope between them. Read off the confidence of the largest
// model, which is right: 6 in 100 of its answers lie under 0.5, none under 0.3.
constexpr double SurelyPoor = 0.32;
constexpr double SurelyGood = 0.68;
// The larger model is asked if it makes so many tokens for each that it reads
// or makes, weighed by the chance that the answer in hand is poor: its price
// is that of what it reads, and the worth of an answer goes by its length.
constexpr double LeastYield = 0.009;
// A poor answer is of little use however short it is.
constexpr double YieldOfAny = 0.012;
// More of them when prompts wait: for each second beyond the usual.
constexpr double YieldPerSecond = 0.04;
constexpr double UsualBacklog = 0.15;
// An answer that begins late is worth so much of one in time.
constexpr double LateWorth = 0.28;

double yieldOf(const model_answer &Answer) {
  double Work =
      double(Answer.ReadTokens) + double(ReadTokensPerMade) * Answer.MadeTokens;
  return YieldOfAny + Answer.MadeTokens / std::max(1.0, Work);
}

} // namespace

// A small model takes a tenth of the largest one's time and cost, so asking it
// first pays when it is good enough for one request in ten.
size_t firstModel(size_t) { return 0; }

double poorChance(double Confidence) {
  return std::clamp((SurelyGood - Confidence) / (SurelyGood - SurelyPoor), 0.0,
                    1.0);
}

// A model in the middle is skipped: it would have to be left again for most
// requests that are too hard for the smallest.
std::optional<size_t> largerModel(const model_answer &Answer) {
  if (Answer.Place + 1 >= Answer.Models)
    return std::nullopt;
  double Gain = poorChance(Answer.Confidence) * yieldOf(Answer);
  if (!Answer.InTime)
    Gain *= LateWorth;
  double Waiting = std::max(0.0, Answer.BacklogSeconds - UsualBacklog);
  if (Gain < LeastYield + YieldPerSecond * Waiting)
    return std::nullopt;
  return Answer.Models - 1;
}

} // namespace olivevalve
