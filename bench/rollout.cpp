//===- rollout.cpp - Exposure to bad versions in roll-outs ----------------===//

#include "base/fields.h"
#include "bench/bench.h"
#include "ledger/ratings.h"
#include "policy/version_choice.h"
#include <algorithm>
#include <functional>
#include <queue>

namespace olivevalve {

namespace {

constexpr int Runs = 40;
constexpr int Requests = 12000;
constexpr int Accounts = 10;
constexpr double RatedShare = 0.5;     ///< Share of answers that get a rating.
constexpr double MeanRatingDelay = 80; ///< In requests.
constexpr double GoodQuality = 0.85;
constexpr double Spread = 0.15; ///< Standard deviation of ratings.
constexpr int GuardEvery = 20;  ///< Requests between two runs of the guard.

/// In which way the new version is bad.
struct bench_scenario {
  std::string Name;
  double Drop = 0;          ///< Drop of the mean quality.
  int From = 0;             ///< Request from which on it is bad.
  bool OneTemplate = false; ///< Bad for one of four templates only.
  bool OneAccount = false;  ///< Bad for one of ten client accounts only.
  double Fails = 0;         ///< Share of answers that fail.
  bool isBad() const { return Drop > 0 || Fails > 0; }
};

const bench_scenario Scenarios[] = {
    {"as good as the old"},
    {"much worse from the start", 0.3},
    {"a little worse from the start", 0.12},
    {"turns bad after settling", 0.3, 6000},
    {"bad for one template", 0.4, 0, true},
    {"bad for one account", 0.5, 0, false, true},
    {"a third of answers fail", 0, 0, false, false, 0.33},
};

catalog makeCatalog(const std::string &State,
                    const stopped_scopes &Stopped = {}) {
  json Scopes = {{"templates", Stopped.Templates},
                 {"accounts", Stopped.Accounts}};
  wire::change_set Set;
  wire::config_change *Change = Set.add_changes();
  Change->set_kind("model");
  Change->set_name("m");
  Change->set_document(
      "{\"versions\":{\"1\":{},\"2\":{\"state\":\"" + State +
      "\",\"exposure_budget\":30,\"stopped_for\":" + Scopes.dump() + "}}}");
  catalog Catalog;
  Catalog.applyChanges(Set, 1).IgnoreError();
  return Catalog;
}

/// A rating that arrives before request number At.
struct delayed_rating {
  int At;
  wire::rating Rating;
  bool operator>(const delayed_rating &Other) const { return At > Other.At; }
};

struct run_result {
  int Exposed = 0;      ///< Bad or failed answers.
  int SettledAt = -1;   ///< Request at which it got all traffic; -1: never.
  bool Stopped = false; ///< For all requests.
  /// Stopped for exactly the template or client account for which it is bad.
  bool InPart = false;
  bool AnyPart = false;   ///< Stopped for some template or client account.
  std::vector<int> Curve; ///< Exposed after each CurveStep requests.
};

/// A run with requests and answers, whose ratings are delayed, incomplete and
/// noisy.
class rollout_run {
public:
  rollout_run(const bench_scenario &Scenario, uint64_t Seed)
      : Random(Seed), Scenario(Scenario) {
    // The old version starts with many ratings.
    for (int I = 0; I < 800; ++I) {
      Template = "t" + std::to_string(Random() % 4);
      Account = "a" + std::to_string(Random() % Accounts);
      Store.add(makeRating("1", I, false), Config);
    }
  }

  /// \p UsesNew decides for each request whether the new version answers; \p
  /// RunGuard is called every GuardEvery requests and may stop or settle it.
  run_result run(const std::function<bool(rollout_run &, int)> &UsesNew,
                 const std::function<void(rollout_run &, int)> &RunGuard) {
    for (int I = 0; I < Requests; ++I) {
      Template = "t" + std::to_string(Random() % 4);
      Account = "a" + std::to_string(Random() % Accounts);
      while (!Delayed.empty() && Delayed.top().At <= I) {
        const wire::rating &Rating = Delayed.top().Rating;
        Store.add(Rating, Config);
        if (Rating.version() == "2")
          addWindowRating(Rating.failed() ? 0 : Rating.score());
        Delayed.pop();
      }
      if (I % GuardEvery == 0)
        RunGuard(*this, I);
      bool New = !Result.Stopped && UsesNew(*this, I);
      answer(New ? "2" : "1", I);
      if (I % CurveStep == 0)
        Result.Curve.push_back(Result.Exposed);
    }
    return Result;
  }

  std::string Template; ///< Template of the current request.
  std::string Account;  ///< Client account of the current request.
  stopped_scopes Stopped;
  catalog Config = makeCatalog("rolling");
  rating_store Store;
  run_result Result;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  double Allowance = 0; ///< Requests that the new version may still get.
  void stopScopes(const std::vector<guard_scope> &NewScopes) {
    for (const guard_scope &Scope : NewScopes) {
      bool IsTemplate = Scope.Kind == guard_scope::scope_kind::Template;
      (IsTemplate ? Stopped.Templates : Stopped.Accounts).push_back(Scope.Name);
    }
    Config = makeCatalog(Settled ? "active" : "rolling", Stopped);
    Result.AnyPart = true;
    Result.InPart = (Scenario.OneTemplate && Stopped.Accounts.empty() &&
                     Stopped.Templates == std::vector<std::string>{"t0"}) ||
                    (Scenario.OneAccount && Stopped.Templates.empty() &&
                     Stopped.Accounts == std::vector<std::string>{"a0"});
  }

  double WindowSum = 0;
  double WindowCount = 0;
  bool Settled = false;

private:
  bool isBad(const std::string &Template, const std::string &Account,
             int I) const {
    return Scenario.isBad() && I >= Scenario.From &&
           (!Scenario.OneTemplate || Template == "t0") &&
           (!Scenario.OneAccount || Account == "a0");
  }

  wire::rating makeRating(const std::string &Version, int I, bool MayBeBad) {
    wire::rating Rating;
    Rating.set_template_(Template);
    Rating.set_account(Account);
    Rating.set_model("m");
    Rating.set_version(Version);
    bool Bad = MayBeBad && Version == "2" &&
               isBad(Rating.template_(), Rating.account(), I);
    std::normal_distribution<double> Noise(
        GoodQuality - (Bad ? Scenario.Drop : 0), Spread);
    Rating.set_score(std::clamp(Noise(Random), 0.0, 1.0));
    Rating.set_failed(Bad && Unit(Random) < Scenario.Fails);
    Rating.set_cost(1);
    LastBad = Bad && (Scenario.Fails == 0 || Rating.failed());
    return Rating;
  }

  void answer(const std::string &Version, int I) {
    wire::rating Rating = makeRating(Version, I, true);
    Result.Exposed += LastBad ? 1 : 0;
    wire::exposure Exposure;
    Exposure.set_model("m");
    Exposure.set_version(Version);
    Exposure.set_answers(1);
    Store.addExposure(Exposure);
    std::exponential_distribution<double> Delay(1 / MeanRatingDelay);
    // A failure is reported at once; a rating arrives late or not at all.
    int At = I + 1 + (Rating.failed() ? 0 : int(Delay(Random)));
    if (Rating.failed() || Unit(Random) < RatedShare)
      Delayed.push({At, Rating});
  }

  void addWindowRating(double Score) {
    WindowSum += Score;
    WindowCount += 1;
  }

  const bench_scenario &Scenario;
  std::priority_queue<delayed_rating, std::vector<delayed_rating>,
                      std::greater<>>
      Delayed;
  bool LastBad = false;
};

run_result runOlivevalve(const bench_scenario &Scenario, uint64_t Seed,
                         decision_signature &Signature) {
  rollout_run Run(Scenario, Seed);
  estimates None;
  choice_cache Cache;
  auto UsesNew = [&](rollout_run &R, int) {
    choice_input Input{.Template = "t", .Policy = cheapest_policy{}};
    Input.Candidates = {{.Name = {"m", "1"}}, {.Name = {"m", "2"}}};
    Input.Candidates[1].Rolling = !R.Settled;
    Input.Candidates[1].Allowance = R.Allowance;
    if (R.Stopped.covers(R.Template, R.Account))
      return false;
    if (R.Settled)
      return true;
    bool New = chooseArm(Input, None, Cache, R.Random)->Rolling;
    R.Allowance -= New ? 1 : 0;
    return New;
  };
  auto RunGuard = [&](rollout_run &R, int I) {
    for (const guard_report &Report : R.Store.evaluate(R.Config)) {
      if (Report.Name.Version != "2" || R.Result.Stopped)
        continue;
      R.Allowance = Report.Allowance;
      Signature.add(std::to_string(int(Report.Verdict)));
      if (Report.Verdict == guard_verdict::Stop) {
        R.Result.Stopped = true;
        R.Result.InPart = false;
      } else if (!Report.StoppedScopes.empty()) {
        R.stopScopes(Report.StoppedScopes);
      } else if (Report.Verdict == guard_verdict::Settle && !R.Settled) {
        R.Settled = true;
        R.Result.SettledAt = I;
        R.Config = makeCatalog("active", R.Stopped);
      }
    }
  };
  return Run.run(UsesNew, RunGuard);
}

// Runs a baseline: a canary of fixed length gets a tenth of the requests until
// 3,000 have passed, and then all, unless its mean rating is lower than that of
// the old version by more than the guard's tolerance.
run_result runCanary(const bench_scenario &Scenario, uint64_t Seed) {
  constexpr int CanaryRequests = 3000;
  rollout_run Run(Scenario, Seed);
  auto UsesNew = [&](rollout_run &R, int) {
    return R.Settled || R.Unit(R.Random) < 0.1;
  };
  auto RunGuard = [&](rollout_run &R, int I) {
    if (I < CanaryRequests || R.Settled || R.Result.Stopped)
      return;
    double Mean = R.WindowCount > 0 ? R.WindowSum / R.WindowCount : 0;
    if (Mean < GoodQuality - guard_options().Tolerance) {
      R.Result.Stopped = true;
      return;
    }
    R.Settled = true;
    R.Result.SettledAt = I;
  };
  return Run.run(UsesNew, RunGuard);
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return -1;
  std::sort(Values.begin(), Values.end());
  return Values[size_t(Share * double(Values.size() - 1))];
}

rollout_row summarise(const bench_scenario &Scenario, const std::string &Policy,
                      const std::vector<run_result> &Results) {
  rollout_row Row{Scenario.Name, Policy};
  std::vector<double> Exposed;
  std::vector<double> Settled;
  for (const run_result &Result : Results) {
    Exposed.push_back(Result.Exposed);
    Row.PartialStopShare += Result.InPart ? 1.0 / double(Results.size()) : 0;
    Row.StoppedShare += Result.Stopped ? 1.0 / double(Results.size()) : 0;
    if (Result.SettledAt >= 0)
      Settled.push_back(Result.SettledAt);
    Row.Curve.resize(Result.Curve.size());
    for (size_t I = 0; I < Result.Curve.size(); ++I)
      Row.Curve[I] += Result.Curve[I] / double(Results.size());
  }
  Row.MedianExposed = quantile(Exposed, 0.5);
  Row.WorstExposed = quantile(Exposed, 1);
  Row.MedianSettled = quantile(Settled, 0.5);
  return Row;
}

} // namespace

std::vector<rollout_row> benchRollout(decision_signature &Signature) {
  std::vector<rollout_row> Rows;
  for (const bench_scenario &Scenario : Scenarios) {
    std::vector<run_result> Olivevalve;
    std::vector<run_result> Canary;
    for (int Run = 0; Run < Runs; ++Run) {
      Olivevalve.push_back(
          runOlivevalve(Scenario, uint64_t(Run) + 1, Signature));
      Canary.push_back(runCanary(Scenario, uint64_t(Run) + 1));
    }
    Rows.push_back(summarise(Scenario, "fixed-time canary", Canary));
    Rows.push_back(summarise(Scenario, "olivevalve", Olivevalve));
  }
  return Rows;
}

false_stop_row benchFalseStops() {
  constexpr int Clean = 1000;
  constexpr uint64_t FirstSeed = 1000;
  false_stop_row Row{.Rollouts = Clean};
  decision_signature None;
  for (int Run = 0; Run < Clean; ++Run) {
    run_result Result =
        runOlivevalve(Scenarios[0], FirstSeed + uint64_t(Run), None);
    Row.Stopped += Result.Stopped ? 1 : 0;
    Row.PartialStops += Result.AnyPart ? 1 : 0;
  }
  return Row;
}

} // namespace olivevalve
