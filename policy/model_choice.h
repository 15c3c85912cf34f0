//===- model_choice.h - Which size of model answers -------------*- C++ -*-===//
//
// A route may list several models and leave the choice to the gateway. A larger
// model answers hard requests better, but costs more and takes more upstream
// time. Each model reports with its response how confident it is. The functions
// decide from this whether a larger model is asked instead. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_MODEL_CHOICE_H
#define OLIVEVALVE_POLICY_MODEL_CHOICE_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace olivevalve {

/// The size of a request, from which its utility is computed.
struct request_size {
  uint32_t InputTokens = 0;  ///< Input tokens of the prompt.
  uint32_t OutputTokens = 1; ///< Expected output tokens.
  uint32_t Priority = 0;     ///< 0 is the most urgent.
};

/// The input of largerModel(): what is known once a model has begun to answer.
/// Models are numbered in the order of the route's list, smallest first.
struct larger_model_input {
  size_t ModelCount = 1; ///< Number of models in the list.
  size_t ModelIndex = 0; ///< Index of the model that answers.
  double Confidence = 1; ///< Reported by that model, 0 to 1.
  request_size Size;
  /// Cost of the largest model for 1,000 output tokens, in the operator's unit.
  double LargestCost = 0;
  /// Upstream time for this request with the largest model, in seconds.
  double LargestSeconds = 0;
  /// Utility that other requests lose for each second of upstream time.
  double OpportunityCostPerSecond = 0;
  /// Probability that a new request is refused now because no slot becomes free
  /// in time, 0 to 1.
  double RefusalProbability = 0;
  /// The largest model is expected to send its first token within the route's
  /// target latency.
  bool InTime = true;
};

/// Average utility per second of upstream time of a service's requests, from
/// their first attempts. Old requests are discounted exponentially.
class utility_rate {
public:
  /// Adds a request of utility \p NewUtility that takes \p NewSeconds of
  /// upstream time.
  void add(double NewUtility, double NewSeconds);
  /// Utility per second; 0 before any request.
  double perSecond() const { return Seconds > 0 ? Utility / Seconds : 0; }

private:
  double Utility = 0;
  double Seconds = 0;
};

/// The index of the model that is asked first in a list of \p Models.
size_t firstModel(size_t Models);

/// The utility of a good answer, in the unit of the models' costs.
double utilityOf(const request_size &Size);

/// Statistics of the time that an upstream spends on a request to the largest
/// model. Old requests are discounted exponentially.
class processing_time_stats {
public:
  /// Adds a request considered for the largest model, which would take
  /// \p Seconds of upstream time.
  void add(double Seconds);
  /// The mean residual time of the request in progress when another one
  /// arrives, in seconds: E[S^2] / E[S], so a few long requests count for more
  /// than many short ones. 0 before any request.
  double residualSeconds() const { return Sum > 0 ? Squares / Sum : 0; }

private:
  double Sum = 0;
  double Squares = 0;
};

/// Utility that waiting and future requests lose for each second of upstream
/// time. \p UtilityPerSecond is what a service's requests achieve on average.
/// \p BacklogSeconds is the mean prefill backlog of an upstream.
/// \p ResidualSeconds is the mean residual time of a request to the largest
/// model, by which the backlog is judged to be short or long.
double opportunityCostPerSecond(double UtilityPerSecond, double BacklogSeconds,
                                double ResidualSeconds);

/// The probability that an answer with this confidence is poor, 0 to 1.
double poorAnswerProbability(double Confidence);

/// The index of the larger model to ask instead; none if the answer is good
/// enough or the larger model has more utility for other requests.
std::optional<size_t> largerModel(const larger_model_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_MODEL_CHOICE_H
