//===- work_shares.cpp - Long prompts apart from short ones ---------------===//

#include "policy/work_shares.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Upper ends of the classes, in seconds of an upstream. Short: what a reader
// hardly notices to wait for. Few prompts take longer than the second, and each
// of them makes all others wait. Bounds at 0.04, 0.15 and 0.5 s parted the
// prompts that share a beginning among three classes: 24% of shared tokens were
// found in memory, beside 59%.
constexpr std::array<double, WorkClasses - 1> ClassEnds = {0.1, 1.2};
// Of the cheapest model, until it is learnt.
constexpr double FirstGuess = 3e-6;
// Attention over a prompt so long takes as much again: 0.15 ns for a pair of
// tokens beside 9 us for one.
constexpr double DoublingTokens = 58000;
// The pace is the time of the fastest answers in ten, as the others waited;
// each answer moves it by so much.
constexpr double PaceQuantile = 0.15;
constexpr double PaceStep = 0.03;
// Shorter prompts tell nothing of the pace.
constexpr uint32_t LeastTokens = 3000;
// Seconds after which work counts a third.
constexpr double Memory = 20;
// Every class keeps this part of the upstreams, so that its first request
// finds one.
constexpr double LeastShare = 0.03;

} // namespace

work_class workClassOf(double Seconds) {
  size_t Class = 0;
  while (Class < ClassEnds.size() && Seconds >= ClassEnds[Class])
    ++Class;
  return work_class(Class);
}

double prompt_pace::secondsFor(const std::string &Model, double Cost,
                               uint32_t Tokens) const {
  auto It = SecondsPerToken.find(Model);
  double Pace = It == SecondsPerToken.end() ? FirstGuess * Cost : It->second;
  return Pace * Tokens * (1 + Tokens / DoublingTokens);
}

void prompt_pace::firstToken(const std::string &Model, double Cost,
                             uint32_t Tokens, double Seconds) {
  if (Tokens < LeastTokens)
    return;
  double &Pace =
      SecondsPerToken.try_emplace(Model, FirstGuess * Cost).first->second;
  double Seen = std::max(0.0, Seconds - FirstTokenSeconds) /
                (Tokens * (1 + Tokens / DoublingTokens));
  Pace *= Seen < Pace ? 1 - PaceStep * (1 - PaceQuantile)
                      : 1 + PaceStep * PaceQuantile;
}

void work_shares::seen(work_class Class, double Seconds, double Now) {
  double Faded = std::exp((Last - Now) / Memory);
  for (double &Each : Work)
    Each *= Faded;
  Last = Now;
  Work[size_t(Class)] += Seconds;
}

upstream_range work_shares::rangeOf(work_class Class, size_t Count) const {
  double Sum = 0;
  for (double Each : Work)
    Sum += Each;
  if (Sum <= 0 || Count <= 1)
    return {0, Count};
  double Begin = 0;
  double End = 0;
  constexpr double Rest = 1 - LeastShare * WorkClasses;
  for (size_t I = 0; I <= size_t(Class); ++I) {
    Begin = End;
    End += LeastShare + Rest * Work[I] / Sum;
  }
  // Whoever has half of an upstream or more has it; one at least.
  auto First = size_t(std::lround(Begin * double(Count)));
  auto Last = size_t(std::lround(End * double(Count)));
  if (First >= Last) {
    First = std::min(size_t((Begin + End) / 2 * double(Count)), Count - 1);
    Last = First + 1;
  }
  return {First, std::min(Last, Count)};
}

} // namespace olivevalve
