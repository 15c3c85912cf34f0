//===- model_choice.cpp - Which size of model answers ---------------------===//

#include "policy/model_choice.h"
#include "policy/prompt_pace.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Below the first confidence an answer is poor, above the second it is good,
// with an even slope between them.
constexpr double SurelyPoor = 0.32;
constexpr double SurelyGood = 0.68;
// What an answer is worth to its caller for 1,000 tokens, those made counting
// as ReadTokensPerMade each, in the unit that the operator states the models'
// cost in: of the most urgent route, and so much less with each rank of
// priority. Higher ones have the largest model asked for more than it is worth
// where upstreams are busy.
constexpr double WorthPerThousand = 0.3;
constexpr double NextRank = 0.6;
// Models' costs are for tokens made; one that is read costs a quarter.
constexpr double CostOfRead = 0.25;
// So many works: with a mean backlog as long, an upstream is never free and
// each second more is a second's wait for others.
constexpr double FatalWorks = 4;
// An answer that begins late is worth so much of one in time.
constexpr double LateWorth = 0.28;
// Of what was earned before the last request: some 200 requests count.
constexpr double EarningsKept = 0.995;
constexpr double WorkKept = 0.995;
constexpr double Thousand = 1000;

} // namespace

// A small model takes a tenth of the largest one's time and cost, so asking it
// first pays when it is good enough for one request in ten.
size_t firstModel(size_t) { return 0; }

double poorChance(double Confidence) {
  return std::clamp((SurelyGood - Confidence) / (SurelyGood - SurelyPoor), 0.0,
                    1.0);
}

double worthOf(const request_size &Size) {
  double Tokens =
      double(Size.ReadTokens) + double(ReadTokensPerMade) * Size.MadeTokens;
  return WorthPerThousand * std::pow(NextRank, Size.Priority) * Tokens /
         Thousand;
}

void earnings::earned(double NewWorth, double NewSeconds) {
  Worth = EarningsKept * Worth + NewWorth;
  Seconds = EarningsKept * Seconds + NewSeconds;
}

void work_sizes::weighed(double Seconds) {
  Sum = WorkKept * Sum + Seconds;
  Squares = WorkKept * Squares + Seconds * Seconds;
}

// What waits already waits longer for it. A short wait costs hardly anything,
// as answers still begin in time; a long one all that the upstream would earn
// meanwhile.
double worthOfSecond(double WorthPerSecond, double BacklogSeconds,
                     double WorkSeconds) {
  double Part = BacklogSeconds / (FatalWorks * std::max(WorkSeconds, 1e-3));
  return WorthPerSecond * std::min(1.0, Part * Part);
}

// A model in the middle is skipped: it would have to be left again for most
// requests that are too hard for the smallest.
std::optional<size_t> largerModel(const model_answer &Answer) {
  if (Answer.Place + 1 >= Answer.Models)
    return std::nullopt;
  double Gain = poorChance(Answer.Confidence) * worthOf(Answer.Size);
  if (!Answer.InTime)
    Gain *= LateWorth;
  double Use = Answer.LargestCost *
               (CostOfRead * Answer.Size.ReadTokens + Answer.Size.MadeTokens) /
               Thousand;
  // It takes a slot more, which another request like this one may not get.
  double Refused = Answer.RefusedShare * worthOf(Answer.Size);
  if (Gain <= Use + Answer.LargestSeconds * Answer.WorthOfSecond + Refused)
    return std::nullopt;
  return Answer.Models - 1;
}

} // namespace olivevalve
