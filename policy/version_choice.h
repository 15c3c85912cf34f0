//===- version_choice.h - Which version answers -----------------*- C++ -*-===//
//
// Picks the arm for a request: the cheapest mix of arms whose expected quality
// meets the target, a little exploration of arms that might be cheaper, and
// rolling versions inside their exposure budget. Pure: news and random numbers
// are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_VERSION_CHOICE_H
#define OLIVEVALVE_POLICY_VERSION_CHOICE_H

#include "policy/estimate.h"
#include <optional>
#include <random>
#include <vector>

namespace olivevalve {

/// One candidate and what is known of it.
struct version_candidate {
  version_name Name;
  bool Rolling = false;
  double Allowance = 0; ///< Answers this entry may still give, if Rolling.
  double PriorCost = 1; ///< From its prices, for an answer of usual size.
};

struct choice_question {
  std::string Template;
  std::string Account;
  double QualityTarget = 0.8;
  version_policy Policy;
  std::vector<version_candidate> Candidates; ///< In the template's order.
  bool MayCascade = false; ///< Not streamed, repeatable, time left.
};

struct choice_answer {
  arm Arm;
  bool Exploring = false;
  bool Rolling = false; ///< Counts against the exposure budget.
};

/// The rating below which a cascade goes to its second version.
double escalationThreshold(const choice_question &Question);

/// None only if there is no candidate.
std::optional<choice_answer> chooseArm(const choice_question &Question,
                                       const estimates &Estimates,
                                       std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_VERSION_CHOICE_H
