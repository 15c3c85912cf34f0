//===- model_choice.cpp - Which size of model answers ---------------------===//

#include "policy/model_choice.h"
#include "policy/prefill_estimator.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Answers with a confidence below the first value are considered poor, those
// above the second good. The probability is linear in between.
constexpr double PoorConfidence = 0.32;
constexpr double GoodConfidence = 0.68;
// Utility of a good answer to a request of the most urgent priority, for 1,000
// tokens, where each output token counts as several input tokens. It is in the
// unit in which the operator configures the cost of models. With a higher value
// gateways ask the largest model too often where upstreams are busy and its
// upstream time has more utility for other requests.
constexpr double UtilityPerThousandTokens = 0.3;
// Factor by which the utility falls with each lower priority.
constexpr double PriorityFactor = 0.6;
// Cost of an input token relative to an output token, for which the cost of
// models is configured.
constexpr double InputTokenCost = 0.25;
// With a mean backlog of this many residual times an upstream is never idle,
// and each further second of work delays other requests by a second.
constexpr double SaturatedBacklog = 4;
// Utility of an answer that begins late, relative to one in time.
constexpr double LateUtilityFactor = 0.28;
// Discount per request: about the last 200 requests count.
constexpr double UtilityDecay = 0.995;
constexpr double TimeDecay = 0.995;
constexpr double Thousand = 1000;

} // namespace

// The smallest model: it has a tenth of the time and cost of the largest
// one, so asking it first pays if it is good enough for one request in ten.
size_t firstModel(size_t) { return 0; }

double poorAnswerProbability(double Confidence) {
  return std::clamp((GoodConfidence - Confidence) /
                        (GoodConfidence - PoorConfidence),
                    0.0, 1.0);
}

double utilityOf(const request_size &Size) {
  double Tokens = double(Size.InputTokens) +
                  double(InputTokensPerOutputToken) * Size.OutputTokens;
  return UtilityPerThousandTokens * std::pow(PriorityFactor, Size.Priority) *
         Tokens / Thousand;
}

void utility_rate::add(double NewUtility, double NewSeconds) {
  Utility = UtilityDecay * Utility + NewUtility;
  Seconds = UtilityDecay * Seconds + NewSeconds;
}

void processing_time_stats::add(double Seconds) {
  Sum = TimeDecay * Sum + Seconds;
  Squares = TimeDecay * Squares + Seconds * Seconds;
}

// The work delays requests that are already waiting. A short backlog costs
// hardly anything, because answers still begin in time. With a long one, the
// utility that the upstream would have achieved in the meantime is lost.
double opportunityCostPerSecond(double UtilityPerSecond, double BacklogSeconds,
                                double ResidualSeconds) {
  double Saturation =
      BacklogSeconds / (SaturatedBacklog * std::max(ResidualSeconds, 1e-3));
  return UtilityPerSecond * std::min(1.0, Saturation * Saturation);
}

// Returns the largest model, never one in the middle: most requests that are
// too hard for the smallest model are too hard for those as well.
std::optional<size_t> largerModel(const larger_model_input &Input) {
  if (Input.ModelIndex + 1 >= Input.ModelCount)
    return std::nullopt;
  double Gain = poorAnswerProbability(Input.Confidence) * utilityOf(Input.Size);
  if (!Input.InTime)
    Gain *= LateUtilityFactor;
  double Cost =
      Input.LargestCost *
      (InputTokenCost * Input.Size.InputTokens + Input.Size.OutputTokens) /
      Thousand;
  // The request occupies one more slot, so another request like it may be
  // refused.
  double RefusalLoss = Input.RefusalProbability * utilityOf(Input.Size);
  if (Gain <= Cost + Input.LargestSeconds * Input.OpportunityCostPerSecond +
                  RefusalLoss)
    return std::nullopt;
  return Input.ModelCount - 1;
}

} // namespace olivevalve
