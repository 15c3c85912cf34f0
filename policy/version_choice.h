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

#include "absl/container/flat_hash_map.h"
#include "policy/estimate.h"
#include <optional>
#include <random>
#include <string>
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
/// The cheapest mix of two arms for one cell, worked out once for as long as
/// the estimates stay as they are. What a version never used costs is taken
/// from the request it was worked out for.
struct prepared_choice {
  uint64_t EstimatesChange = 0; ///< estimates::change() when it was worked out.
  std::string Template;
  std::string Account;
  std::vector<version_name> Candidates;
  arm Cheap;
  arm Better;
  double BetterShare = 0;
  std::optional<arm> Explore;
};

/// Prepared choices by a hash of the question. An entry keeps one.
class prepared_choices {
public:
  /// The choice for \p Question, worked out anew if it is not held or is older
  /// than \p Estimates.
  const prepared_choice &of(const choice_question &Question,
                            const estimates &Estimates);

private:
  absl::flat_hash_map<uint64_t, prepared_choice> Choices;
};

double escalationThreshold(const choice_question &Question);

/// None only if there is no candidate.
std::optional<choice_answer> chooseArm(const choice_question &Question,
                                       const estimates &Estimates,
                                       prepared_choices &Prepared,
                                       std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_VERSION_CHOICE_H
