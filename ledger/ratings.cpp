//===- ratings.cpp - Ratings and exposure in the replicated state ---------===//

#include "ledger/ratings.h"
#include <algorithm>
#include <optional>

namespace olivevalve {

namespace {

constexpr guard_options Guard;
// Reference score while no settled version of the model has a rating.
constexpr double DefaultReferenceScore = 0.6;
// Least share of its answers that a version must complete in time.
constexpr double RequiredSuccessRate = 0.9;
// Names of the tests in a wire::version_image.
constexpr std::string_view OverallScope = "all";
constexpr std::string_view FailureScope = "failures";
constexpr std::string_view TemplatePrefix = "template:";
constexpr std::string_view AccountPrefix = "account:";

void saveTest(wire::version_image &Image, const std::string &Scope,
              const score_test &Test) {
  wire::test_image *Out = Image.add_tests();
  Out->set_scope(Scope);
  for (double Value : Test.allWealth())
    Out->add_wealth(Value);
  for (double Value : Test.recentWealth())
    Out->add_recent(Value);
  Out->set_ratings(Test.ratings());
}

score_test loadTest(const wire::test_image &Image) {
  score_test::wealth All{};
  score_test::wealth Recent{};
  for (size_t I = 0; I < All.size(); ++I) {
    All[I] = int(I) < Image.wealth_size() ? Image.wealth(int(I)) : 1;
    Recent[I] = int(I) < Image.recent_size() ? Image.recent(int(I)) : 1;
  }
  score_test Test;
  Test.restore(All, Recent, Image.ratings());
  return Test;
}

} // namespace

// The score that a version has to reach: for a rolling version that of the best
// active version of its model, for any other its own estimate, each less the
// tolerance.
double rating_store::referenceScore(const std::string &Template,
                                    const version_name &Name,
                                    const catalog &Catalog) const {
  const model_spec *Model = Catalog.model(Name.Model);
  const version_spec *Self = Catalog.version(Name);
  if (!Model || !Self)
    return DefaultReferenceScore - Guard.Tolerance;
  bool Rolling = Self->State == version_state::Rolling;
  std::optional<double> Best;
  for (const auto &[Version, Spec] : Model->Versions) {
    bool IsReference =
        Rolling ? Spec.State == version_state::Active : Version == Name.Version;
    if (!IsReference)
      continue;
    arm Arm{{Name.Model, Version}, {}};
    double Quality = Estimates.of({Template, "", Arm}, 1).Quality;
    Best = std::max(Best.value_or(0), Quality);
  }
  return Best.value_or(DefaultReferenceScore) - Guard.Tolerance;
}

void rating_store::add(const wire::rating &Rating, const catalog &Catalog) {
  ++Count;
  version_name Name{Rating.model(), Rating.version()};
  if (!Rating.arm().empty()) {
    addEstimate({Rating.template_(), Rating.account(), parseArm(Rating.arm())},
                Rating.score(), Rating.cost());
    return;
  }
  version_record &Record = Versions[Name];
  Record.Failures.add(Rating.failed() ? 0 : 1, RequiredSuccessRate);
  if (Rating.failed()) {
    ++Record.Ratings;
    return;
  }
  double Reference = referenceScore(Rating.template_(), Name, Catalog);
  ++Record.Ratings;
  Record.Overall.add(Rating.score(), Reference);
  Record.ByTemplate[Rating.template_()].add(Rating.score(), Reference);
  Record.ByAccount[Rating.account()].add(Rating.score(), Reference);
  addEstimate({Rating.template_(), Rating.account(), {Name, {}}},
              Rating.score(), Rating.cost());
}

// A rating changes three cells: that of its template and account, that of its
// template, and that of its arm.
void rating_store::addEstimate(const estimate_key &Key, double Score,
                               double Cost) {
  Estimates.add(Key, Score, Cost);
  for (const estimate_key &Each : {Key, estimate_key{Key.Template, "", Key.Arm},
                                   estimate_key{"", "", Key.Arm}}) {
    auto It = Estimates.cells().find(Each);
    if (It != Estimates.cells().end())
      Published.update(Each, It->second, Count);
  }
}

void rating_store::fillEstimateTable(uint64_t HeldIndex, size_t MaxCells,
                                     wire::estimate_table &Table) const {
  // A node with a higher index got it from another control group; it is sent
  // all cells.
  Published.fill(HeldIndex > Count ? 0 : HeldIndex, MaxCells, Estimates, Count,
                 Table);
}

void rating_store::addExposure(const wire::exposure &Exposure) {
  Versions[{Exposure.model(), Exposure.version()}].Answers +=
      double(Exposure.answers());
}

void rating_store::reset(const version_name &Name) { Versions.erase(Name); }

// Evidence against a version, without the scopes that are stopped already and,
// if given, without \p Scope. The same ratings are split once by template and
// once by account. A stopped template is left out of the first split only, its
// ratings still count in the second, and vice versa; so the lower result is
// used.
double rating_store::evidenceExcluding(const version_spec &Spec,
                                       const version_record &Record,
                                       const guard_scope *Scope) {
  using scope_kind = guard_scope::scope_kind;
  auto Combined = [&](const scope_tests &Tests, scope_kind Kind,
                      const std::vector<std::string> &Stopped) {
    std::vector<const score_test *> Kept;
    for (const auto &[Name, Test] : Tests) {
      bool Excluded =
          std::find(Stopped.begin(), Stopped.end(), Name) != Stopped.end() ||
          (Scope && Scope->Kind == Kind && Scope->Name == Name);
      if (!Excluded)
        Kept.push_back(&Test);
    }
    return score_test::combined(Kept);
  };
  return std::min(Combined(Record.ByTemplate, scope_kind::Template,
                           Spec.StoppedFor.Templates),
                  Combined(Record.ByAccount, scope_kind::Account,
                           Spec.StoppedFor.Accounts));
}

// True if a version passes without the traffic of \p Scope. For a version that
// is not rolling this is assumed: over its many ratings the combined evidence
// no longer tells how good it is at present.
bool rating_store::passesExcluding(const version_spec &Spec,
                                   const version_record &Record,
                                   const guard_scope &Scope) {
  if (Spec.State != version_state::Rolling)
    return true;
  const scope_tests &Tests = Scope.Kind == guard_scope::scope_kind::Template
                                 ? Record.ByTemplate
                                 : Record.ByAccount;
  uint64_t RemainingRatings =
      Record.Overall.ratings() - Tests.find(Scope.Name)->second.ratings();
  return RemainingRatings >= Guard.MinOtherRatings &&
         evidenceExcluding(Spec, Record, &Scope) < 1;
}

// The template or account with the highest evidence among those without which a
// rolling version passes.
std::optional<guard_scope>
rating_store::onlyFailingScope(const version_spec &Spec,
                               const version_record &Record) {
  using scope_kind = guard_scope::scope_kind;
  std::optional<guard_scope> Worst;
  double WorstEvidence = 1;
  auto Consider = [&](const scope_tests &Tests, scope_kind Kind) {
    for (const auto &[Name, Test] : Tests) {
      guard_scope Scope{Kind, Name};
      if (Test.evidence() <= WorstEvidence ||
          !passesExcluding(Spec, Record, Scope))
        continue;
      WorstEvidence = Test.evidence();
      Worst = Scope;
    }
  };
  Consider(Record.ByTemplate, scope_kind::Template);
  Consider(Record.ByAccount, scope_kind::Account);
  return Worst;
}

// Every additional test raises the probability of a false stop. The thresholds
// of the tests by template and by account are therefore multiplied by the
// number of such tests.
guard_report rating_store::evaluateVersion(const version_name &Name,
                                           const version_spec &Spec,
                                           const version_record &Record) {
  using scope_kind = guard_scope::scope_kind;
  bool Rolling = Spec.State == version_state::Rolling;
  guard_report Report{.Name = Name};
  Report.Ratings = Record.Ratings;
  Report.Answers = Record.Answers;
  auto Judge = [&](double Evidence, uint64_t Ratings, double Tests) {
    guard_options Options = Guard;
    Options.RollingEvidence *= Tests;
    Options.SettledEvidence *= Tests;
    Report.Evidence = std::max(Report.Evidence, Evidence / Tests);
    return judgeVersion(Evidence, Ratings, Rolling, Options);
  };
  auto EvidenceOf = [&](const score_test &Test) {
    return Rolling ? Test.evidence() : Test.recentEvidence();
  };
  auto JudgeScopes = [&](const scope_tests &Tests, scope_kind Kind) {
    for (const auto &[Scope, Test] : Tests) {
      bool IsTemplate = Kind == scope_kind::Template;
      bool Stopped = Spec.StoppedFor.covers(IsTemplate ? Scope : "",
                                            IsTemplate ? "" : Scope);
      if (Stopped)
        continue;
      guard_verdict Verdict =
          Judge(EvidenceOf(Test), Test.ratings(), double(Tests.size()));
      if (Verdict != guard_verdict::Stop)
        continue;
      Report.Reason = (IsTemplate ? "template " : "account ") + Scope;
      if (passesExcluding(Spec, Record, {Kind, Scope}))
        Report.StoppedScopes.push_back({Kind, Scope});
      else
        Report.Verdict = guard_verdict::Stop;
    }
  };
  guard_verdict Failures =
      Judge(EvidenceOf(Record.Failures), Record.Failures.ratings(), 1);
  JudgeScopes(Record.ByTemplate, scope_kind::Template);
  JudgeScopes(Record.ByAccount, scope_kind::Account);
  double All = Rolling ? evidenceExcluding(Spec, Record, nullptr)
                       : Record.Overall.recentEvidence();
  guard_verdict Overall = Judge(All, Record.Overall.ratings(), 1);
  if (Failures == guard_verdict::Stop) {
    Report.Verdict = guard_verdict::Stop;
    Report.Reason = "failures";
  } else if (Overall == guard_verdict::Stop &&
             Report.Verdict != guard_verdict::Stop) {
    std::optional<guard_scope> FailingScope;
    if (Rolling)
      FailingScope = onlyFailingScope(Spec, Record);
    if (FailingScope)
      Report.StoppedScopes = {*FailingScope};
    else
      Report.Verdict = guard_verdict::Stop;
    Report.Reason = "all answers";
  } else if (Overall == guard_verdict::Settle && Report.StoppedScopes.empty() &&
             Report.Verdict == guard_verdict::Go) {
    Report.Verdict = guard_verdict::Settle;
  }
  return Report;
}

std::vector<guard_report> rating_store::evaluate(const catalog &Catalog) const {
  static const version_record None;
  double Answers = 0;
  double Ratings = 0;
  for (const auto &[Name, Record] : Versions) {
    Answers += Record.Answers;
    Ratings += Record.Ratings;
  }
  double RatedShare = Answers > 100 ? std::min(1.0, Ratings / Answers) : 1.0;
  std::vector<guard_report> Reports;
  Catalog.forEach<model_spec>([&](const model_spec &Model) {
    for (const auto &[Version, Spec] : Model.Versions) {
      if (!takesNewWork(Spec.State))
        continue;
      version_name Name{Model.Name, Version};
      auto It = Versions.find(Name);
      const version_record &Record = It == Versions.end() ? None : It->second;
      guard_report Report = evaluateVersion(Name, Spec, Record);
      Report.Allowance = exposureAllowance({.Budget = Spec.ExposureBudget,
                                            .Answers = Record.Answers,
                                            .Ratings = Record.Ratings,
                                            .RatedShare = RatedShare,
                                            .Evidence = Report.Evidence});
      Reports.push_back(std::move(Report));
    }
  });
  return Reports;
}

void saveCells(const estimates &Estimates,
               google::protobuf::RepeatedPtrField<wire::rating_sum> &Out) {
  for (const auto &[Key, Sums] : Estimates.cells())
    saveCell(Key, Sums, *Out.Add());
}

void loadCells(const google::protobuf::RepeatedPtrField<wire::rating_sum> &In,
               estimates &Estimates) {
  for (const wire::rating_sum &Cell : In)
    Estimates.set({Cell.template_(), Cell.account(), parseArm(Cell.arm())},
                  {Cell.ratings(), Cell.scores(), Cell.costs()});
}

void rating_store::save(wire::state_image &Image) const {
  saveCells(Estimates, *Image.mutable_ratings());
  for (const auto &[Name, Record] : Versions) {
    wire::version_image *Out = Image.add_versions();
    Out->set_model(Name.Model);
    Out->set_version(Name.Version);
    Out->set_answers(Record.Answers);
    Out->set_ratings(Record.Ratings);
    saveTest(*Out, std::string(OverallScope), Record.Overall);
    saveTest(*Out, std::string(FailureScope), Record.Failures);
    for (const auto &[Template, Test] : Record.ByTemplate)
      saveTest(*Out, std::string(TemplatePrefix) + Template, Test);
    for (const auto &[Account, Test] : Record.ByAccount)
      saveTest(*Out, std::string(AccountPrefix) + Account, Test);
  }
  Image.set_rating_count(Count);
}

void rating_store::load(const wire::state_image &Image) {
  Versions.clear();
  Count = Image.rating_count();
  Estimates.clear();
  loadCells(Image.ratings(), Estimates);
  Published.reset(Estimates, Count);
  for (const wire::version_image &In : Image.versions()) {
    version_record &Record = Versions[{In.model(), In.version()}];
    Record.Answers = In.answers();
    Record.Ratings = In.ratings();
    for (const wire::test_image &Test : In.tests()) {
      const std::string &Scope = Test.scope();
      if (Scope == OverallScope)
        Record.Overall = loadTest(Test);
      else if (Scope == FailureScope)
        Record.Failures = loadTest(Test);
      else if (Scope.starts_with(TemplatePrefix))
        Record.ByTemplate[Scope.substr(TemplatePrefix.size())] = loadTest(Test);
      else if (Scope.starts_with(AccountPrefix))
        Record.ByAccount[Scope.substr(AccountPrefix.size())] = loadTest(Test);
    }
  }
}

} // namespace olivevalve
