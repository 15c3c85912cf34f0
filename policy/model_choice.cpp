//===- model_choice.cpp - Which size of model answers ---------------------===//

#include "policy/model_choice.h"

namespace olivevalve {

namespace {

// Below it an answer is more likely poor than good. Measured on quiet days: of
// the smallest model's answers 49% are above it and 51% of its credit is
// earned; a few in a hundred lie on the wrong side.
constexpr double GoodConfidence = 0.5;

} // namespace

// A small model takes a tenth of the largest one's time and cost, so asking it
// first pays when it is good enough for one request in ten.
size_t firstModel(size_t) { return 0; }

// A model in the middle is skipped: it would have to be left again for most
// requests that are too hard for the smallest.
std::optional<size_t> largerModel(const model_answer &Answer) {
  bool Largest = Answer.Place + 1 >= Answer.Models;
  if (Largest || Answer.Confidence >= GoodConfidence)
    return std::nullopt;
  return Answer.Models - 1;
}

} // namespace olivevalve
