//===- version_choice.cpp - Which version answers -------------------------===//

#include "policy/version_choice.h"
#include "base/digest.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Share of requests that a version which is rolling out gets while it has an
// allowance. Ratings arrive fast enough, but in a burst of requests most still
// go to other versions.
constexpr double RollingShare = 0.25;
// The mix aims above the target by this many standard errors of its arms, so
// that the mean of the answers meets the target and not only its expectation.
constexpr double SafetyErrors = 0.7;
// An arm is worth exploring if its estimated quality plus this many standard
// errors reaches the target.
constexpr double OptimismErrors = 2.0;
// Share of requests that a cascade is assumed to escalate, for its prior cost.
constexpr double PriorEscalations = 0.4;
// Ratings below the target by more than this escalate. A first answer that is
// only slightly below the target is compensated by better ones.
constexpr double EscalationMargin = 0.1;

// Bound on the cache, of about 1 KB per choice. The choices are for cells of
// template and client account, with and without a cascade, and for each set of
// versions as versions roll out and are withdrawn.
constexpr size_t MaxCachedChoices = 2000;

double uniform(std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

struct scored_arm {
  arm Arm;
  estimate Estimate;
};

/// Indexes of two arms, which may be the same, and the share of requests that
/// get the better one.
struct mix {
  size_t Cheap = 0;
  size_t Better = 0;
  double BetterShare = 0;
};

std::vector<scored_arm> scoreArms(const choice_input &Input,
                                  const estimates &Estimates) {
  std::vector<scored_arm> Arms;
  auto Add = [&](const arm &Arm, double PriorCost) {
    estimate_key Key{Input.Template, Input.Account, Arm};
    Arms.push_back({Arm, Estimates.of(Key, PriorCost)});
  };
  for (const version_candidate &Candidate : Input.Candidates)
    if (!Candidate.Rolling)
      Add({Candidate.Name, {}}, Candidate.PriorCost);
  if (!Input.MayCascade)
    return Arms;
  for (const version_candidate &First : Input.Candidates)
    for (const version_candidate &Second : Input.Candidates)
      if (!First.Rolling && !Second.Rolling &&
          First.PriorCost < Second.PriorCost)
        Add({First.Name, Second.Name},
            First.PriorCost + PriorEscalations * Second.PriorCost);
  return Arms;
}

// Removes arms that are dominated by another arm in quality, error and cost. No
// mix with a dominated arm is better, and about a dozen of up to a hundred arms
// remain.
void removeDominated(std::vector<scored_arm> &Arms) {
  std::stable_sort(Arms.begin(), Arms.end(), [](const auto &A, const auto &B) {
    return A.Estimate.Cost < B.Estimate.Cost;
  });
  size_t Kept = 0;
  for (size_t I = 0; I < Arms.size(); ++I) {
    const estimate &E = Arms[I].Estimate;
    bool Dominated = std::any_of(Arms.begin(), Arms.begin() + int64_t(Kept),
                                 [&](const auto &Other) {
                                   return Other.Estimate.Quality >= E.Quality &&
                                          Other.Estimate.Error <= E.Error;
                                 });
    if (Dominated)
      continue;
    if (Kept != I)
      Arms[Kept] = std::move(Arms[I]);
    ++Kept;
  }
  Arms.resize(Kept);
}

// Finds the cheapest pair of an arm below the target and an arm above it, mixed
// so that the expected quality is the target, or a cheaper single arm above it.
// Returns none if no arm reaches the target.
std::optional<mix> cheapestMix(const std::vector<scored_arm> &Arms,
                               double Target) {
  mix Best;
  double BestCost = INFINITY;
  auto QualityOf = [&](size_t I) { return Arms[I].Estimate.Quality; };
  auto AimOf = [&](size_t I) {
    return Target + SafetyErrors * Arms[I].Estimate.Error;
  };
  for (size_t I = 0; I < Arms.size(); ++I)
    if (QualityOf(I) >= AimOf(I) && Arms[I].Estimate.Cost < BestCost) {
      BestCost = Arms[I].Estimate.Cost;
      Best = {I, I, 0};
    }
  for (size_t Low = 0; Low < Arms.size(); ++Low)
    for (size_t High = 0; High < Arms.size(); ++High) {
      double Aim = std::max(AimOf(Low), AimOf(High));
      if (QualityOf(Low) >= Aim || QualityOf(High) < Aim)
        continue;
      double Share =
          (Aim - QualityOf(Low)) / (QualityOf(High) - QualityOf(Low));
      double Cost = (1 - Share) * Arms[Low].Estimate.Cost +
                    Share * Arms[High].Estimate.Cost;
      if (Cost < BestCost) {
        BestCost = Cost;
        Best = {Low, High, Share};
      }
    }
  if (std::isinf(BestCost))
    return std::nullopt;
  return Best;
}

// Used for a target that no arm reaches: the arm of the highest quality. Of
// equal arms the first in the list is used, so that without any ratings it is a
// single version. The cheapest arm may be a cascade, from which the first
// ratings would give less information.
size_t highestQuality(const std::vector<scored_arm> &Arms) {
  size_t Best = 0;
  for (size_t I = 1; I < Arms.size(); ++I)
    if (Arms[I].Estimate.Quality > Arms[Best].Estimate.Quality)
      Best = I;
  return Best;
}

// Finds the least rated arm that might reach the target and is either cheaper
// than the mix or was never rated.
std::optional<size_t> armToExplore(const std::vector<scored_arm> &Arms,
                                   double MixCost, double Target) {
  std::optional<size_t> Best;
  for (size_t I = 0; I < Arms.size(); ++I) {
    const estimate &E = Arms[I].Estimate;
    bool MayReach = E.Quality + OptimismErrors * E.Error >= Target;
    bool Useful = MayReach && (E.Cost < MixCost || E.Ratings < 1);
    if (Useful && (!Best || E.Ratings < Arms[*Best].Estimate.Ratings))
      Best = I;
  }
  return Best;
}

cached_choice prepare(const choice_input &Input, const estimates &Estimates) {
  cached_choice Choice{.EstimatesRevision = Estimates.revision(),
                       .Template = Input.Template,
                       .Account = Input.Account};
  for (const version_candidate &Candidate : Input.Candidates)
    Choice.Candidates.push_back(Candidate.Name);
  std::vector<scored_arm> All = scoreArms(Input, Estimates);
  std::vector<scored_arm> Arms = All;
  removeDominated(Arms);
  auto Mix = cheapestMix(Arms, Input.QualityTarget);
  const scored_arm &Highest = All[highestQuality(All)];
  const scored_arm &Cheap = Mix ? Arms[Mix->Cheap] : Highest;
  const scored_arm &Better = Mix ? Arms[Mix->Better] : Highest;
  Choice.BetterShare = Mix ? Mix->BetterShare : 0;
  Choice.Cheap = Cheap.Arm;
  Choice.Better = Better.Arm;
  double MixCost = (1 - Choice.BetterShare) * Cheap.Estimate.Cost +
                   Choice.BetterShare * Better.Estimate.Cost;
  if (auto I = armToExplore(All, MixCost, Input.QualityTarget))
    Choice.Explore = All[*I].Arm;
  return Choice;
}

uint64_t hashOf(const choice_input &Input) {
  uint64_t Hash = checksum(Input.Template, Input.MayCascade ? 1 : 0);
  Hash = checksum(Input.Account, Hash);
  Hash = checksum({reinterpret_cast<const char *>(&Input.QualityTarget),
                   sizeof(Input.QualityTarget)},
                  Hash);
  for (const version_candidate &Candidate : Input.Candidates) {
    Hash = checksum(Candidate.Name.Model, Hash);
    Hash = checksum(Candidate.Name.Version, Hash + Candidate.Rolling);
  }
  return Hash;
}

// Different inputs may have the same hash; a client account must not get the
// arms of another one.
bool matches(const cached_choice &Choice, const choice_input &Input) {
  return Choice.Template == Input.Template && Choice.Account == Input.Account &&
         std::equal(Choice.Candidates.begin(), Choice.Candidates.end(),
                    Input.Candidates.begin(), Input.Candidates.end(),
                    [](const version_name &Name, const version_candidate &C) {
                      return Name == C.Name;
                    });
}

chosen_arm chooseCheapest(const cached_choice &Choice, double Explore,
                          std::mt19937_64 &Random) {
  if (uniform(Random) < Explore && Choice.Explore)
    return {*Choice.Explore, true, false};
  bool Better = uniform(Random) < Choice.BetterShare;
  return {Better ? Choice.Better : Choice.Cheap, false, false};
}

chosen_arm chooseSplit(const choice_input &Input,
                       const std::vector<double> &Weights,
                       std::mt19937_64 &Random) {
  double Total = 0;
  for (size_t I = 0; I < Input.Candidates.size(); ++I)
    Total += I < Weights.size() ? Weights[I] : 1;
  double Remaining = uniform(Random) * Total;
  for (size_t I = 0; I < Input.Candidates.size(); ++I) {
    Remaining -= I < Weights.size() ? Weights[I] : 1;
    if (Remaining < 0)
      return {{Input.Candidates[I].Name, {}}, false, false};
  }
  return {{Input.Candidates.back().Name, {}}, false, false};
}

chosen_arm chooseCascade(const choice_input &Input) {
  const auto &All = Input.Candidates;
  auto Cheaper = [](const auto &A, const auto &B) {
    return A.PriorCost < B.PriorCost;
  };
  const auto [Low, High] = std::minmax_element(All.begin(), All.end(), Cheaper);
  if (!Input.MayCascade || Low == High)
    return {{High->Name, {}}, false, false};
  return {{Low->Name, High->Name}, false, false};
}

struct policy_visitor {
  const choice_input &Input;
  const estimates &Estimates;
  choice_cache &Cache;
  std::mt19937_64 &Random;

  chosen_arm operator()(const fixed_policy &) const {
    return {{Input.Candidates.front().Name, {}}, false, false};
  }
  chosen_arm operator()(const split_policy &Policy) const {
    return chooseSplit(Input, Policy.Weights, Random);
  }
  chosen_arm operator()(const cheapest_policy &Policy) const {
    return chooseCheapest(Cache.get(Input, Estimates), Policy.ExploreShare,
                          Random);
  }
  chosen_arm operator()(const cascade_policy &) const {
    return chooseCascade(Input);
  }
};

} // namespace

double escalationThreshold(const choice_input &Input) {
  if (const auto *Cascade = std::get_if<cascade_policy>(&Input.Policy))
    return Cascade->Threshold;
  return Input.QualityTarget - EscalationMargin;
}

const cached_choice &choice_cache::get(const choice_input &Input,
                                       const estimates &Estimates) {
  uint64_t Hash = hashOf(Input);
  auto It = Choices.find(Hash);
  bool Valid = It != Choices.end() &&
               It->second.EstimatesRevision == Estimates.revision() &&
               matches(It->second, Input);
  if (Valid)
    return It->second;
  if (Choices.size() >= MaxCachedChoices)
    Choices.clear();
  return Choices[Hash] = prepare(Input, Estimates);
}

std::optional<chosen_arm> chooseArm(const choice_input &Input,
                                    const estimates &Estimates,
                                    choice_cache &Cache,
                                    std::mt19937_64 &Random) {
  const auto &All = Input.Candidates;
  auto IsRolling = [](const auto &Candidate) { return Candidate.Rolling; };
  size_t Rolling = size_t(std::count_if(All.begin(), All.end(), IsRolling));
  for (const version_candidate &Candidate : All) {
    if (!Candidate.Rolling || Candidate.Allowance < 1)
      continue;
    if (Rolling == All.size() || uniform(Random) < RollingShare)
      return chosen_arm{{Candidate.Name, {}}, false, true};
  }
  if (Rolling == All.size())
    return std::nullopt;
  policy_visitor Visitor{Input, Estimates, Cache, Random};
  if (Rolling == 0)
    return std::visit(Visitor, Input.Policy);
  choice_input NotRolling = Input;
  std::erase_if(NotRolling.Candidates, IsRolling);
  return std::visit(policy_visitor{NotRolling, Estimates, Cache, Random},
                    NotRolling.Policy);
}

} // namespace olivevalve
