//===- version_choice.h - Which version answers -----------------*- C++ -*-===//
//
// Chooses the arm for a request: a model version, or a cascade of two. Uses the
// cheapest mix of arms whose expected quality meets the target, sends a small
// share of requests to arms that might be cheaper, and gives versions that are
// rolling out requests within their exposure budget. Pure: estimates and random
// numbers are passed in.
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

/// A version that may answer the request.
struct version_candidate {
  version_name Name;
  bool Rolling = false; ///< It is rolling out.
  /// The number of answers that this entry may still get from it; used only for
  /// versions that are rolling out.
  double Allowance = 0;
  /// Cost of an answer of usual length at the version's prices, used until
  /// costs are observed.
  double PriorCost = 1;
};

/// The input of chooseArm().
struct choice_input {
  std::string Template;
  std::string Account;
  double QualityTarget = 0.8; ///< Expected rating to reach, 0 to 1.
  version_policy Policy;
  std::vector<version_candidate> Candidates; ///< In the template's order.
  /// A cascade is possible: the response is not streamed, ratings are enabled,
  /// and the request has no session and no idempotency key.
  bool MayCascade = false;
};

/// The result of chooseArm().
struct chosen_arm {
  arm Arm;
  bool Exploring = false; ///< Chosen to learn more about this arm.
  bool Rolling = false;   ///< Counts against the exposure budget.
};

/// The cheapest mix of two arms for one cell (template and client account). It
/// is valid until the estimates change. The prior costs are those of the
/// request for which it was computed.
struct cached_choice {
  uint64_t EstimatesRevision = 0; ///< Of the estimates that were used.
  std::string Template;
  std::string Account;
  std::vector<version_name> Candidates;
  arm Cheap;
  arm Better;
  double BetterShare = 0;     ///< Share of requests that get Better, 0 to 1.
  std::optional<arm> Explore; ///< The arm to explore; none if no arm is useful.
};

/// A cache of these choices by a hash of the input; an entry process has one.
class choice_cache {
public:
  /// Returns the choice for \p Input. Computes it if it is not in the cache or
  /// if \p Estimates have changed since. The reference is valid until the next
  /// call.
  const cached_choice &get(const choice_input &Input,
                           const estimates &Estimates);

private:
  absl::flat_hash_map<uint64_t, cached_choice> Choices;
};

/// The rating below which a cascade asks its second version.
double escalationThreshold(const choice_input &Input);

/// Returns none if there is no candidate, or if all candidates are rolling out
/// and none has an allowance left.
std::optional<chosen_arm> chooseArm(const choice_input &Input,
                                    const estimates &Estimates,
                                    choice_cache &Cache,
                                    std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_VERSION_CHOICE_H
