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

/// What is known when a model has begun to answer; places are in the list of
/// models, smallest first.
struct model_answer {
  size_t Models = 1;         ///< In the list.
  size_t Place = 0;          ///< Of the one that answers.
  double Confidence = 1;     ///< Its own, 0 to 1.
  uint32_t ReadTokens = 0;   ///< Of the prompt.
  uint32_t MadeTokens = 1;   ///< Expected, of the answer.
  double BacklogSeconds = 0; ///< Of prompts, at an upstream of the service.
  bool InTime = true; ///< The larger model is expected to begin within the
                      ///< route's target.
};

/// The place of the model that is asked first.
size_t firstModel(size_t Models);

/// How likely an answer is poor whose model has this confidence, 0 to 1.
double poorChance(double Confidence);

/// The place of a larger model that should be asked instead, or none when the
/// answer is good enough or the larger model is needed more elsewhere.
std::optional<size_t> largerModel(const model_answer &Answer);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_MODEL_CHOICE_H
