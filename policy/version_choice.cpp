//===- version_choice.cpp - Which version answers -------------------------===//

#include "policy/version_choice.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Share of eligible requests that a rolling version gets while it has
// allowance: learning is fast, yet no burst of callers meets it alone.
constexpr double RollingShare = 0.25;
// The target is aimed at from this far above, in standard errors of the arms
// used, so that the mean of answers meets it and not only its expectation.
constexpr double SafetyErrors = 0.7;
// An arm is worth exploring while its quality might be this many errors
// above its estimate.
constexpr double HopefulErrors = 2.0;
// Prior share of requests that a cascade escalates.
constexpr double PriorEscalations = 0.4;
// Ratings this far below the target escalate: a first answer a little below
// it is made up for by others.
constexpr double EscalationMargin = 0.1;

double uniform(std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

struct scored_arm {
  arm Arm;
  estimate Estimate;
};

/// Two arms (or one twice) and how often the better one is used.
struct mix {
  size_t Cheap = 0;
  size_t Better = 0;
  double BetterShare = 0;
};

std::vector<scored_arm> scoreArms(const choice_question &Question,
                                  const estimates &Estimates) {
  std::vector<scored_arm> Arms;
  auto Add = [&](const arm &Arm, double PriorCost) {
    estimate_key Key{Question.Template, Question.Account, Arm};
    Arms.push_back({Arm, Estimates.of(Key, PriorCost)});
  };
  for (const version_candidate &Candidate : Question.Candidates)
    if (!Candidate.Rolling)
      Add({Candidate.Name, {}}, Candidate.PriorCost);
  if (!Question.MayCascade)
    return Arms;
  for (const version_candidate &First : Question.Candidates)
    for (const version_candidate &Second : Question.Candidates)
      if (!First.Rolling && !Second.Rolling &&
          First.PriorCost < Second.PriorCost)
        Add({First.Name, Second.Name},
            First.PriorCost + PriorEscalations * Second.PriorCost);
  return Arms;
}

// The target lies on an edge between an arm below it and an arm above it; the
// cheapest such edge is the best that mixing can do. If no arm reaches the
// target, the best one is used alone.
mix cheapestMix(const std::vector<scored_arm> &Arms, double Target) {
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
  if (!std::isinf(BestCost))
    return Best;
  for (size_t I = 0; I < Arms.size(); ++I)
    if (QualityOf(I) > QualityOf(Best.Cheap))
      Best = {I, I, 0};
  return Best;
}

// An arm that is cheaper than what the mix pays, and might well be good
// enough, deserves a few requests; so does one that was never rated.
std::optional<size_t> worthExploring(const std::vector<scored_arm> &Arms,
                                     double MixCost, double Target) {
  std::optional<size_t> Best;
  for (size_t I = 0; I < Arms.size(); ++I) {
    const estimate &E = Arms[I].Estimate;
    bool Hopeful = E.Quality + HopefulErrors * E.Error >= Target;
    bool Useful = Hopeful && (E.Cost < MixCost || E.Ratings < 1);
    if (Useful && (!Best || E.Ratings < Arms[*Best].Estimate.Ratings))
      Best = I;
  }
  return Best;
}

choice_answer chooseCheapest(const choice_question &Question, double Explore,
                             const estimates &Estimates,
                             std::mt19937_64 &Random) {
  std::vector<scored_arm> Arms = scoreArms(Question, Estimates);
  mix Mix = cheapestMix(Arms, Question.QualityTarget);
  double MixCost = (1 - Mix.BetterShare) * Arms[Mix.Cheap].Estimate.Cost +
                   Mix.BetterShare * Arms[Mix.Better].Estimate.Cost;
  if (uniform(Random) < Explore)
    if (auto I = worthExploring(Arms, MixCost, Question.QualityTarget))
      return {Arms[*I].Arm, true, false};
  bool Better = uniform(Random) < Mix.BetterShare;
  return {Arms[Better ? Mix.Better : Mix.Cheap].Arm, false, false};
}

choice_answer chooseSplit(const choice_question &Question,
                          const std::vector<double> &Weights,
                          std::mt19937_64 &Random) {
  double Total = 0;
  for (size_t I = 0; I < Question.Candidates.size(); ++I)
    Total += I < Weights.size() ? Weights[I] : 1;
  double Left = uniform(Random) * Total;
  for (size_t I = 0; I < Question.Candidates.size(); ++I) {
    Left -= I < Weights.size() ? Weights[I] : 1;
    if (Left < 0)
      return {{Question.Candidates[I].Name, {}}, false, false};
  }
  return {{Question.Candidates.back().Name, {}}, false, false};
}

choice_answer chooseCascade(const choice_question &Question) {
  const auto &All = Question.Candidates;
  auto Cheaper = [](const auto &A, const auto &B) {
    return A.PriorCost < B.PriorCost;
  };
  const auto [Low, High] = std::minmax_element(All.begin(), All.end(), Cheaper);
  if (!Question.MayCascade || Low == High)
    return {{High->Name, {}}, false, false};
  return {{Low->Name, High->Name}, false, false};
}

struct policy_visitor {
  const choice_question &Question;
  const estimates &Estimates;
  std::mt19937_64 &Random;

  choice_answer operator()(const fixed_policy &) const {
    return {{Question.Candidates.front().Name, {}}, false, false};
  }
  choice_answer operator()(const split_policy &Policy) const {
    return chooseSplit(Question, Policy.Weights, Random);
  }
  choice_answer operator()(const cheapest_policy &Policy) const {
    return chooseCheapest(Question, Policy.ExploreShare, Estimates, Random);
  }
  choice_answer operator()(const cascade_policy &) const {
    return chooseCascade(Question);
  }
};

} // namespace

double escalationThreshold(const choice_question &Question) {
  if (const auto *Cascade = std::get_if<cascade_policy>(&Question.Policy))
    return Cascade->Threshold;
  return Question.QualityTarget - EscalationMargin;
}

std::optional<choice_answer> chooseArm(const choice_question &Question,
                                       const estimates &Estimates,
                                       std::mt19937_64 &Random) {
  if (Question.Candidates.empty())
    return std::nullopt;
  choice_question Settled = Question;
  std::erase_if(Settled.Candidates, [](const auto &C) { return C.Rolling; });
  for (const version_candidate &Candidate : Question.Candidates) {
    if (!Candidate.Rolling || Candidate.Allowance < 1)
      continue;
    if (Settled.Candidates.empty() || uniform(Random) < RollingShare)
      return choice_answer{{Candidate.Name, {}}, false, true};
  }
  if (Settled.Candidates.empty())
    return std::nullopt;
  return std::visit(policy_visitor{Settled, Estimates, Random}, Settled.Policy);
}

} // namespace olivevalve
