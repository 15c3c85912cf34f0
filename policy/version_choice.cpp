//===- version_choice.cpp - Which version answers -------------------------===//

#include "policy/version_choice.h"
#include "base/digest.h"
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

// Prepared choices held: cells of templates and client accounts, with and
// without a cascade, while versions roll in and out; a kilobyte each.
constexpr size_t MostPrepared = 2000;

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

// Leaves out arms that another one beats in quality, error and cost alike: no
// mix is better for them, and what is left are a dozen of up to a hundred.
void dropBeaten(std::vector<scored_arm> &Arms) {
  std::stable_sort(Arms.begin(), Arms.end(), [](const auto &A, const auto &B) {
    return A.Estimate.Cost < B.Estimate.Cost;
  });
  size_t Kept = 0;
  for (size_t I = 0; I < Arms.size(); ++I) {
    const estimate &E = Arms[I].Estimate;
    bool Beaten = std::any_of(Arms.begin(), Arms.begin() + int64_t(Kept),
                              [&](const auto &Other) {
                                return Other.Estimate.Quality >= E.Quality &&
                                       Other.Estimate.Error <= E.Error;
                              });
    if (Beaten)
      continue;
    if (Kept != I)
      Arms[Kept] = std::move(Arms[I]);
    ++Kept;
  }
  Arms.resize(Kept);
}

// The target lies on an edge between an arm below it and an arm above it; the
// cheapest such edge is the best that mixing can do. None if no arm reaches it.
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

// For a target that no arm reaches. Of arms that nothing is known of the first
// listed counts, a version alone: with the cheapest, a cascade, the first
// ratings would teach less.
size_t bestAlone(const std::vector<scored_arm> &Arms) {
  size_t Best = 0;
  for (size_t I = 1; I < Arms.size(); ++I)
    if (Arms[I].Estimate.Quality > Arms[Best].Estimate.Quality)
      Best = I;
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

prepared_choice prepare(const choice_question &Question,
                        const estimates &Estimates) {
  prepared_choice Choice{.EstimatesChange = Estimates.change(),
                         .Template = Question.Template,
                         .Account = Question.Account};
  for (const version_candidate &Candidate : Question.Candidates)
    Choice.Candidates.push_back(Candidate.Name);
  std::vector<scored_arm> All = scoreArms(Question, Estimates);
  std::vector<scored_arm> Arms = All;
  dropBeaten(Arms);
  auto Mix = cheapestMix(Arms, Question.QualityTarget);
  const scored_arm &Alone = All[bestAlone(All)];
  const scored_arm &Cheap = Mix ? Arms[Mix->Cheap] : Alone;
  const scored_arm &Better = Mix ? Arms[Mix->Better] : Alone;
  Choice.BetterShare = Mix ? Mix->BetterShare : 0;
  Choice.Cheap = Cheap.Arm;
  Choice.Better = Better.Arm;
  double MixCost = (1 - Choice.BetterShare) * Cheap.Estimate.Cost +
                   Choice.BetterShare * Better.Estimate.Cost;
  if (auto I = worthExploring(All, MixCost, Question.QualityTarget))
    Choice.Explore = All[*I].Arm;
  return Choice;
}

uint64_t hashOf(const choice_question &Question) {
  uint64_t Hash = checksum(Question.Template, Question.MayCascade ? 1 : 0);
  Hash = checksum(Question.Account, Hash);
  Hash = checksum({reinterpret_cast<const char *>(&Question.QualityTarget),
                   sizeof(Question.QualityTarget)},
                  Hash);
  for (const version_candidate &Candidate : Question.Candidates) {
    Hash = checksum(Candidate.Name.Model, Hash);
    Hash = checksum(Candidate.Name.Version, Hash + Candidate.Rolling);
  }
  return Hash;
}

// A hash may stand for two questions; an account must not get the other's arms.
bool isFor(const prepared_choice &Choice, const choice_question &Question) {
  return Choice.Template == Question.Template &&
         Choice.Account == Question.Account &&
         std::equal(Choice.Candidates.begin(), Choice.Candidates.end(),
                    Question.Candidates.begin(), Question.Candidates.end(),
                    [](const version_name &Name, const version_candidate &C) {
                      return Name == C.Name;
                    });
}

choice_answer chooseCheapest(const prepared_choice &Choice, double Explore,
                             std::mt19937_64 &Random) {
  if (uniform(Random) < Explore && Choice.Explore)
    return {*Choice.Explore, true, false};
  bool Better = uniform(Random) < Choice.BetterShare;
  return {Better ? Choice.Better : Choice.Cheap, false, false};
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
  prepared_choices &Prepared;
  std::mt19937_64 &Random;

  choice_answer operator()(const fixed_policy &) const {
    return {{Question.Candidates.front().Name, {}}, false, false};
  }
  choice_answer operator()(const split_policy &Policy) const {
    return chooseSplit(Question, Policy.Weights, Random);
  }
  choice_answer operator()(const cheapest_policy &Policy) const {
    return chooseCheapest(Prepared.of(Question, Estimates), Policy.ExploreShare,
                          Random);
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

const prepared_choice &prepared_choices::of(const choice_question &Question,
                                            const estimates &Estimates) {
  uint64_t Hash = hashOf(Question);
  auto It = Choices.find(Hash);
  bool Good = It != Choices.end() &&
              It->second.EstimatesChange == Estimates.change() &&
              isFor(It->second, Question);
  if (Good)
    return It->second;
  if (Choices.size() >= MostPrepared)
    Choices.clear();
  return Choices[Hash] = prepare(Question, Estimates);
}

std::optional<choice_answer> chooseArm(const choice_question &Question,
                                       const estimates &Estimates,
                                       prepared_choices &Prepared,
                                       std::mt19937_64 &Random) {
  const auto &All = Question.Candidates;
  auto IsRolling = [](const auto &Candidate) { return Candidate.Rolling; };
  size_t Rolling = size_t(std::count_if(All.begin(), All.end(), IsRolling));
  for (const version_candidate &Candidate : All) {
    if (!Candidate.Rolling || Candidate.Allowance < 1)
      continue;
    if (Rolling == All.size() || uniform(Random) < RollingShare)
      return choice_answer{{Candidate.Name, {}}, false, true};
  }
  if (Rolling == All.size())
    return std::nullopt;
  policy_visitor Visitor{Question, Estimates, Prepared, Random};
  if (Rolling == 0)
    return std::visit(Visitor, Question.Policy);
  choice_question Settled = Question;
  std::erase_if(Settled.Candidates, IsRolling);
  return std::visit(policy_visitor{Settled, Estimates, Prepared, Random},
                    Settled.Policy);
}

} // namespace olivevalve
