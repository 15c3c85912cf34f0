//===- prefill_estimator.cpp - How long the prefill of prompts takes ------===//

#include "policy/prefill_estimator.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Initial estimate for the cheapest model.
constexpr double InitialSecondsPerToken = 3e-6;
// Attention makes the prefill time quadratic in the length of the prompt. At
// this length it doubles the time: attention takes 0.15 ns for each pair of
// tokens, everything else 9 us for each token.
constexpr double AttentionDoublingTokens = 58000;
// The estimate follows this quantile of the observed times per token, because
// the slower requests also waited in a queue.
constexpr double PaceQuantile = 0.25;
// Relative size of an update; the first updates are larger. The initial
// estimate may be wrong by a factor of three, and a gateway may observe as few
// as three first tokens per second.
constexpr double MinStep = 0.03;
constexpr double InitialStep = 1;
// The first observation replaces the initial estimate, limited to this factor
// in both directions, because the request may have waited in a queue.
constexpr double MaxFirstCorrection = 5;
// With fewer uncached tokens the time to first token says little about the
// prefill speed.
constexpr uint32_t MinUncachedTokens = 1500;

// Prefill work in units of one token without attention. It grows faster than
// the number of tokens, because each token attends to all tokens before it.
double prefillWork(uint32_t Tokens) {
  return Tokens * (1 + Tokens / AttentionDoublingTokens);
}

} // namespace

double prefill_estimator::estimateSeconds(const std::string &Model, double Cost,
                                          uint32_t Tokens,
                                          uint32_t Cached) const {
  auto It = Paces.find(Model);
  double Pace = It == Paces.end() ? InitialSecondsPerToken * Cost
                                  : It->second.SecondsPerToken;
  return Pace * (prefillWork(Tokens) - prefillWork(std::min(Cached, Tokens)));
}

void prefill_estimator::recordFirstToken(const std::string &Model, double Cost,
                                         uint32_t Tokens, uint32_t Cached,
                                         double Seconds) {
  if (Tokens < MinUncachedTokens || Tokens - MinUncachedTokens < Cached)
    return;
  if (Paces.size() >= MaxModels && !Paces.contains(Model))
    return;
  estimated_pace &Pace =
      Paces.try_emplace(Model, estimated_pace{InitialSecondsPerToken * Cost, 0})
          .first->second;
  double Observed = std::max(0.0, Seconds - FirstTokenOverheadSeconds) /
                    (prefillWork(Tokens) - prefillWork(Cached));
  if (Pace.Observations++ == 0) {
    double Initial = Pace.SecondsPerToken;
    Pace.SecondsPerToken = std::clamp(Observed, Initial / MaxFirstCorrection,
                                      Initial * MaxFirstCorrection);
    return;
  }
  double Step = std::max(MinStep, InitialStep / Pace.Observations);
  Pace.SecondsPerToken *= Observed < Pace.SecondsPerToken
                              ? 1 - Step * (1 - PaceQuantile)
                              : 1 + Step * PaceQuantile;
}

} // namespace olivevalve
