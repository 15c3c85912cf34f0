//===- model_choice.h - Which size of model answers -------------*- C++ -*-===//
//
// Routes that list several models leave the choice to the system. A larger one
// answers hard requests well, costs more and takes more of its upstream; each
// tells with its answer how good it thinks it is. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_MODEL_CHOICE_H
#define OLIVEVALVE_POLICY_MODEL_CHOICE_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace olivevalve {

/// What a request asks of a model.
struct request_size {
  uint32_t ReadTokens = 0; ///< Of the prompt.
  uint32_t MadeTokens = 1; ///< Expected, of the answer.
  uint32_t Priority = 0;   ///< 0 is the most urgent.
};

/// What is known when a model has begun to answer; places are in the list of
/// models, smallest first.
struct model_answer {
  size_t Models = 1;     ///< In the list.
  size_t Place = 0;      ///< Of the one that answers.
  double Confidence = 1; ///< Its own, 0 to 1.
  request_size Size;
  double LargestCost = 0;    ///< Of the largest model, for 1,000 tokens made.
  double LargestSeconds = 0; ///< Of an upstream's time, with that model.
  double WorthOfSecond = 0;  ///< Of an upstream's time, to others.
  double RefusedShare = 0;   ///< Of requests that come now, for want of a slot.
  bool InTime = true; ///< The largest model is expected to begin within the
                      ///< route's target.
};

/// What the first models of a service earn with an upstream's time.
class earnings {
public:
  void earned(double Worth, double Seconds);
  /// Worth for a second; 0 before anything was earned.
  double perSecond() const { return Seconds > 0 ? Worth / Seconds : 0; }

private:
  double Worth = 0;
  double Seconds = 0;
};

/// The place of the model that is asked first.
size_t firstModel(size_t Models);

/// What a good answer is worth to its caller, in the unit of models' cost.
double worthOf(const request_size &Size);

/// How long the largest model's requests keep an upstream at work.
class work_sizes {
public:
  /// One of them is weighed; it would take so long.
  void weighed(double Seconds);
  /// What is left of the one that is at work when another comes, on average: a
  /// few long ones weigh more than many short ones. 0 before any.
  double residual() const { return Sum > 0 ? Squares / Sum : 0; }

private:
  double Sum = 0;
  double Squares = 0;
};

/// What a second of an upstream's time is worth to the requests that wait or
/// will come. \p WorthPerSecond: that the first models earn. \p WorkSeconds:
/// residual of the works there; a backlog is long beside these.
double worthOfSecond(double WorthPerSecond, double BacklogSeconds,
                     double WorkSeconds);

/// How likely an answer is poor whose model has this confidence, 0 to 1.
double poorChance(double Confidence);

/// The place of a larger model that should be asked instead, or none when the
/// answer is good enough or the larger model is needed more elsewhere.
std::optional<size_t> largerModel(const model_answer &Answer);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_MODEL_CHOICE_H
