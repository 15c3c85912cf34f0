//===- model_choice.h - Which size of model answers -------------*- C++ -*-===//
//
// Routes that list several models leave the choice to the system: a larger one
// answers hard requests well and takes more of its upstream. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_MODEL_CHOICE_H
#define OLIVEVALVE_POLICY_MODEL_CHOICE_H

#include <cstddef>

namespace olivevalve {

/// Place in the list of models, smallest first, for an upstream of which
/// \p LoadShare of the slots are taken.
size_t chooseModel(size_t Models, double LoadShare);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_MODEL_CHOICE_H
