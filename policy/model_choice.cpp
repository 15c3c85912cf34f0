//===- model_choice.cpp - Which size of model answers ---------------------===//

#include "policy/model_choice.h"

namespace olivevalve {

namespace {

// Share of the slots taken above which each next smaller model answers: a full
// batch makes every token of every request slower.
constexpr double StepDownShare = 0.5;
constexpr double SmallestShare = 0.8;

} // namespace

size_t chooseModel(size_t Models, double LoadShare) {
  if (Models <= 1)
    return 0;
  if (LoadShare < StepDownShare)
    return Models - 1;
  return LoadShare < SmallestShare ? Models - 2 : 0;
}

} // namespace olivevalve
