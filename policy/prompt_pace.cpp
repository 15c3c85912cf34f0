//===- prompt_pace.cpp - How long models read -----------------------------===//

#include "policy/prompt_pace.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Of the cheapest model, in seconds for a token, until it is learnt.
constexpr double FirstGuess = 3e-6;
// Attention over a prompt so long takes as much again: 0.15 ns for a pair of
// tokens beside 9 us for one.
constexpr double DoublingTokens = 58000;
// The pace is the time of the fastest answers in four, as the others waited.
constexpr double PaceQuantile = 0.25;
// Each answer moves it by so much, the first ones by more: the first guess may
// be wrong by three times, and a gateway may hear three answers a second. The
// first answer sets it, within bounds, as it may have waited.
constexpr double PaceStep = 0.03;
constexpr double FirstPaceStep = 1;
constexpr double MostOfGuess = 5;
// Where fewer were read, the first token tells nothing of the pace.
constexpr uint32_t LeastTokens = 1500;

// Reading takes longer than in proportion: each token looks at all before it.
double workOf(uint32_t Tokens) {
  return Tokens * (1 + Tokens / DoublingTokens);
}

} // namespace

double prompt_pace::secondsFor(const std::string &Model, double Cost,
                               uint32_t Tokens, uint32_t Kept) const {
  auto It = Paces.find(Model);
  double Pace =
      It == Paces.end() ? FirstGuess * Cost : It->second.SecondsPerToken;
  return Pace * (workOf(Tokens) - workOf(std::min(Kept, Tokens)));
}

void prompt_pace::firstToken(const std::string &Model, double Cost,
                             uint32_t Tokens, uint32_t Kept, double Seconds) {
  if (Tokens < LeastTokens || Tokens - LeastTokens < Kept)
    return;
  learnt &Learnt =
      Paces.try_emplace(Model, learnt{FirstGuess * Cost, 0}).first->second;
  double Seen = std::max(0.0, Seconds - FirstTokenSeconds) /
                (workOf(Tokens) - workOf(Kept));
  if (Learnt.Answers++ == 0) {
    double Guess = Learnt.SecondsPerToken;
    Learnt.SecondsPerToken =
        std::clamp(Seen, Guess / MostOfGuess, Guess * MostOfGuess);
    return;
  }
  double Step = std::max(PaceStep, FirstPaceStep / Learnt.Answers);
  Learnt.SecondsPerToken *= Seen < Learnt.SecondsPerToken
                                ? 1 - Step * (1 - PaceQuantile)
                                : 1 + Step * PaceQuantile;
}

} // namespace olivevalve
