//===- routing_test.cpp - Routing documents and roll-outs -----------------===//

#include "base/error.h"
#include "base/fields.h"
#include "boost/test/unit_test.hpp"
#include "catalog/routing.h"
#include "ledger/state_machine.h"
#include "policy/service_guard.h"
#include "tests/unit/fixtures.h"
#include <random>

using namespace olivevalve;

namespace {

json smallRouting() {
  return {{"version", 7},
          {"routes",
           {{{"name", "plans"},
             {"host", "a.example"},
             {"path_prefix", "/plans/"},
             {"kind", "streaming"},
             {"timeout_ms", 20000},
             {"target_ms", 1500},
             {"gap_ms", 1200},
             {"priority", 1},
             {"max_attempts", 3},
             {"resumable", true},
             {"sizes", {"small", "large"}},
             {"service", "llm"}},
            {{"name", "all"},
             {"host", "a.example"},
             {"path_prefix", "/"},
             {"kind", "unsafe"},
             {"timeout_ms", 1500},
             {"split",
              {{{"service", "llm"}, {"weight", 0}},
               {{"service", "ledger"}, {"weight", 10}}}}}}},
          {"services",
           {{{"name", "llm"},
             {"max_connections", 620},
             {"engine",
              {{"slots", 128},
               {"cache_tokens", 682009},
               {"made_later", true},
               {"models", {{{"name", "small"}, {"cost", 0.015}}}}}}},
            {{"name", "ledger"}}}},
          {"limits", {{"max_body_bytes", 100}, {"idle_timeout_ms", 15000}}},
          {"accounts",
           {{{"name", "dispatch"}, {"keys", {"k1", "k2"}}, {"priority", 0}}}}};
}

wire::rollout order(const std::string &Target) {
  wire::rollout Order;
  Order.set_service("llm");
  Order.set_target_version(Target);
  Order.set_duration_seconds(20);
  return Order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(document_is_parsed_and_unknown_fields_are_ignored) {
  auto Config = readRouting(smallRouting().dump());
  BOOST_REQUIRE(Config.ok());
  BOOST_TEST(Config->Version == 7U);
  const route_spec &Plans = Config->Routes[0];
  BOOST_TEST(Plans.repeatable());
  BOOST_TEST(Plans.TimeoutSeconds == 20);
  BOOST_TEST(Plans.Sizes.size() == 2U);
  BOOST_TEST(!Config->Routes[1].repeatable());
  BOOST_TEST(Config->Routes[1].Services[1].Weight == 10U);
  BOOST_TEST(Config->Services[0].Engine->CacheTokens == 682009U);
  BOOST_TEST(Config->Limits.BodyBytes == 100U);
  BOOST_TEST(Config->Limits.IdleSeconds == 15);
}

BOOST_AUTO_TEST_CASE(table_matches_the_longest_prefix_of_the_host) {
  routing_table Table(*readRouting(smallRouting().dump()));
  BOOST_TEST(Table.route("a.example", "/plans/today")->Name == "plans");
  BOOST_TEST(Table.route("a.example", "/plans")->Name == "all");
  BOOST_TEST(Table.route("b.example", "/plans/today") == nullptr);
  BOOST_TEST(Table.accountOfKey("k2")->Name == "dispatch");
  BOOST_TEST(Table.accountOfKey("k3") == nullptr);
}

BOOST_AUTO_TEST_CASE(document_with_an_invalid_field_is_refused_by_name) {
  struct fault_case {
    const char *What;
    json::json_pointer Place;
    json Value;
    const char *Field;
  };
  const fault_case Cases[] = {
      {"no version", json::json_pointer("/version"), nullptr, "version"},
      {"routes are no list", json::json_pointer("/routes"), 3, "routes"},
      {"services are no list", json::json_pointer("/services"), "x",
       "services"},
      {"unknown service", json::json_pointer("/routes/0/service"), "nobody",
       "routes[0].service"},
      {"unknown service of a split",
       json::json_pointer("/routes/1/split/0/service"), "nobody",
       "routes[1].split[0].service"},
      {"weights sum to 0", json::json_pointer("/routes/1/split/1/weight"), 0,
       "routes[1].split"},
      {"no time", json::json_pointer("/routes/0/timeout_ms"), 0,
       "routes[0].timeout_ms"},
      {"same place twice", json::json_pointer("/routes/1/path_prefix"),
       "/plans/", "routes[1].path_prefix"},
      {"prefix without slash", json::json_pointer("/routes/1/path_prefix"),
       "/x", "routes[1].path_prefix"},
      {"unknown kind", json::json_pointer("/routes/0/kind"), "odd",
       "routes[0].kind"},
      {"shared key", json::json_pointer("/accounts/0/keys/1"), "k1",
       "accounts[0].keys"},
  };
  for (const fault_case &Case : Cases) {
    json Document = smallRouting();
    Document[Case.Place] = Case.Value;
    auto Config = readRouting(Document.dump());
    BOOST_TEST_CONTEXT(Case.What) {
      BOOST_REQUIRE(!Config.ok());
      std::string Text(messageOf(Config.status()));
      BOOST_TEST(Text.starts_with(Case.Field), Text);
    }
  }
  std::string CompleteText = smallRouting().dump();
  BOOST_TEST(
      !readRouting(CompleteText.substr(0, CompleteText.size() / 2)).ok());
}

BOOST_AUTO_TEST_SUITE(replicated_routing)

BOOST_AUTO_TEST_CASE(highest_version_wins_and_survives_a_snapshot) {
  state_machine State;
  auto Put = [&](uint64_t Index, uint64_t Version, const char *Document) {
    return State.apply(Index, commandText([&](wire::command &Command) {
                         Command.mutable_routing()->set_version(Version);
                         Command.mutable_routing()->set_document(Document);
                       }));
  };
  BOOST_TEST(Put(1, 5, "five").Status.ok());
  BOOST_TEST(Put(2, 9, "nine").Status.ok());
  BOOST_TEST(Put(3, 7, "seven").Status.ok());
  BOOST_TEST(Put(4, 9, "another nine").Status.ok());
  BOOST_TEST(State.routing().document() == "nine");
  state_machine Copy;
  BOOST_REQUIRE(Copy.restore(State.image()));
  BOOST_TEST(Copy.routing().document() == "nine");
  BOOST_TEST(Copy.routing().version() == 9U);
}

BOOST_AUTO_TEST_CASE(roll_out_ignores_repeated_orders_and_stale_steps) {
  rollout_store Store;
  BOOST_TEST(Store.begin(order("v2"), 100).ok());
  BOOST_TEST(Store.begin(order("v2"), 101).ok());
  BOOST_TEST(Store.revision() == 1U);
  BOOST_TEST(!Store.begin(order("v3"), 102).ok());
  wire::rollout_step Step;
  Step.set_service("llm");
  Step.set_target_version("v2");
  Step.set_from(wire::SHIFT);
  Step.set_to(wire::COMPLETED);
  Store.step(Step);
  BOOST_TEST(Store.find("llm")->stage() == wire::CANARY);
  Step.set_from(wire::CANARY);
  Step.set_to(wire::REVERTED);
  Store.step(Step);
  BOOST_TEST(Store.find("llm")->stage() == wire::REVERTED);
  // A late resend is not a new order. The same order much later is one.
  BOOST_TEST(Store.begin(order("v2"), 104).ok());
  BOOST_TEST(Store.find("llm")->stage() == wire::REVERTED);
  BOOST_TEST(Store.begin(order("v2"), 200).ok());
  BOOST_TEST(Store.find("llm")->stage() == wire::CANARY);
  wire::state_image Image;
  Store.save(Image);
  rollout_store Copy;
  Copy.load(Image);
  BOOST_TEST(Copy.find("llm")->begun_wall() == 200);
  BOOST_TEST(Copy.revision() == Store.revision());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_version_before_a_rollout)

using counts = std::map<std::string, size_t>;

wire::rollout ended(const std::string &Target, wire::rollout_stage Stage,
                    const std::string &Former) {
  wire::rollout Rollout = order(Target);
  Rollout.set_stage(Stage);
  Rollout.set_former_version(Former);
  return Rollout;
}

BOOST_AUTO_TEST_CASE(is_what_the_last_rollout_left) {
  const counts Listed = {{"v1", 1}, {"v2", 2}, {"v3", 3}};
  wire::rollout Completed = ended("v2", wire::COMPLETED, "v1");
  wire::rollout Reverted = ended("v2", wire::REVERTED, "v1");
  BOOST_TEST(formerVersion(&Completed, Listed, "v3") == "v2");
  BOOST_TEST(formerVersion(&Reverted, Listed, "v3") == "v1");
  BOOST_TEST(formerVersion(&Reverted, Listed, "v2") == "v1");
  BOOST_TEST_CONTEXT("also while the list is not known")
  BOOST_TEST(formerVersion(&Completed, {}, "v3") == "v2");
  BOOST_TEST_CONTEXT("unless it is no longer listed")
  BOOST_TEST(formerVersion(&Completed, {{"v7", 1}, {"v3", 3}}, "v3") == "v7");
}

BOOST_AUTO_TEST_CASE(is_else_that_of_most_other_upstreams) {
  BOOST_TEST(formerVersion(nullptr, {{"v10", 3}, {"v8", 1}, {"v9", 2}},
                           "v10") == "v9");
  BOOST_TEST(formerVersion(nullptr, {{"v10", 3}}, "v10").empty());
  BOOST_TEST(formerVersion(nullptr, {}, "v10").empty());
  wire::rollout Reverted = ended("v2", wire::REVERTED, "");
  BOOST_TEST(formerVersion(&Reverted, {{"v1", 1}, {"v2", 4}}, "v3") == "v1");
}

BOOST_AUTO_TEST_CASE(is_recorded_once) {
  rollout_store Store;
  BOOST_TEST(Store.begin(order("v2"), 100).ok());
  wire::rollout_step Step;
  Step.set_service("llm");
  Step.set_target_version("v2");
  Step.set_former_version("v1");
  Store.step(Step);
  BOOST_TEST(Store.find("llm")->former_version() == "v1");
  BOOST_TEST(Store.find("llm")->stage() == wire::CANARY);
  Step.set_former_version("v0");
  Store.step(Step);
  BOOST_TEST(Store.find("llm")->former_version() == "v1");
  wire::state_image Image;
  Store.save(Image);
  rollout_store Copy;
  Copy.load(Image);
  BOOST_TEST(Copy.find("llm")->former_version() == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(service_rollout_guard)

namespace {

version_tally tallyOf(uint64_t Answers, uint64_t Failures, double Seconds) {
  return {.Answers = Answers, .Failures = Failures, .Seconds = Seconds};
}

/// A roll-out that must be done within 20 s.
rollout_input at(rollout_phase Phase, double Elapsed, version_tally New,
                 version_tally Old) {
  return {.Phase = Phase,
          .ElapsedSeconds = Elapsed,
          .DurationSeconds = 20,
          .New = New,
          .Old = Old};
}

/// A canary on two upstreams, one response after the other.
class simulated_canary {
public:
  explicit simulated_canary(uint64_t Seed) : Random(Seed) {
    Input = at(rollout_phase::Canary, 5, {},
               {.Answers = 300, .Judged = 300, .Bad = 9});
    Input.NewByUpstream.resize(2);
  }

  /// The next response of either upstream is bad with these probabilities.
  /// Returns the verdict on all of them.
  rollout_verdict respond(double First, double Second) {
    size_t At = Random() % 2;
    double Share = At == 0 ? First : Second;
    bool Bad = std::uniform_real_distribution<double>(0, 1)(Random) < Share;
    for (version_tally *Tally : {&Input.New, &Input.NewByUpstream[At]}) {
      ++Tally->Answers;
      ++Tally->Judged;
      Tally->Bad += Bad;
    }
    return judgeRollout(Input).Verdict;
  }

  rollout_input Input;

private:
  std::mt19937_64 Random;
};

} // namespace

// Guards against error rates beyond those that the evidence stands for.
BOOST_AUTO_TEST_CASE(errs_as_rarely_as_it_states) {
  constexpr int Canaries = 1000;
  constexpr int Responses = 80;
  struct rate_case {
    const char *What;
    double First, Second;         ///< Shares of bad responses.
    int MinReverted, MaxReverted; ///< At once.
    int Within;                   ///< Responses.
    int MinFound;                 ///< Reverted at once or at the shift.
  };
  const rate_case Cases[] = {
      {"as good as the version before", 0.03, 0.03, 0, 5, Responses, 0},
      {"within the tolerance", 0.08, 0.08, 0, 5, Responses, 0},
      {"half are bad", 0.5, 0.5, 990, Canaries, 40, 990},
      {"a quarter is bad", 0.25, 0.25, 667, Canaries, Responses, 900},
      {"one upstream is at fault", 0.5, 0.03, 0, 20, Responses, 0},
  };
  for (const rate_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.What) {
      int Reverted = 0;
      int Found = 0;
      for (uint64_t Seed = 0; Seed < Canaries; ++Seed) {
        simulated_canary Canary(Seed);
        rollout_verdict Verdict = rollout_verdict::Stay;
        for (int I = 0; I < Case.Within && Verdict == rollout_verdict::Stay;
             ++I)
          Verdict = Canary.respond(Case.First, Case.Second);
        Reverted += Verdict == rollout_verdict::Revert;
        Canary.Input.ElapsedSeconds = shiftAfterSeconds(20) + 0.01;
        Found += judgeRollout(Canary.Input).Verdict == rollout_verdict::Revert;
      }
      BOOST_TEST(Found >= Case.MinFound);
      BOOST_TEST(Reverted >= Case.MinReverted);
      BOOST_TEST(Reverted <= Case.MaxReverted);
    }
}

BOOST_AUTO_TEST_CASE(does_not_shift_to_a_version_that_is_likely_bad) {
  double Late = shiftAfterSeconds(20) + 0.01;
  version_tally Old{.Answers = 300, .Judged = 300, .Bad = 9};
  version_tally New{.Answers = 30, .Judged = 30, .Bad = 9};
  for (rollout_phase Phase : {rollout_phase::Canary, rollout_phase::Hold})
    BOOST_TEST(int(judgeRollout(at(Phase, Late, New, Old)).Verdict) ==
               int(rollout_verdict::Revert));
  New.Bad = 1;
  BOOST_TEST(
      int(judgeRollout(at(rollout_phase::Hold, Late, New, Old)).Verdict) ==
      int(rollout_verdict::Shift));
}

BOOST_AUTO_TEST_CASE(gives_the_canary_the_load_of_an_old_upstream) {
  for (size_t Old : {4, 9, 18, 58, 860}) {
    double Share = canaryShare(Old);
    BOOST_TEST(Share / CanaryUpstreams == (1 - Share) / double(Old),
               boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(canaryShare(1) <= 0.4);
  BOOST_TEST(canaryShare(0) <= 0.4);
}

BOOST_AUTO_TEST_CASE(advances_by_time_and_reverts_on_bad_answers) {
  struct guard_case {
    const char *What;
    rollout_input Facts;
    rollout_verdict Verdict;
  };
  using enum rollout_phase;
  version_tally Old{.Answers = 500, .Failures = 25, .Seconds = 50};
  version_tally Healthy{.Answers = 40, .Failures = 2, .Seconds = 4};
  double Late = shiftAfterSeconds(20) + 0.01;
  double End = completeAfterSeconds(20) + 0.01;
  const guard_case Cases[] = {
      {"canary without excess failures", at(Canary, 5, Healthy, Old),
       rollout_verdict::Stay},
      {"no excess failures until the shift", at(Canary, Late, Healthy, Old),
       rollout_verdict::Shift},
      {"no answers at all", at(Canary, Late, {}, Old), rollout_verdict::Revert},
      {"shifted without excess failures", at(Shift, End, Healthy, Old),
       rollout_verdict::Complete},
      {"a few failures are normal", at(Canary, 5, tallyOf(10, 1, 1), Old),
       rollout_verdict::Stay},
      {"half fail", at(Canary, 5, tallyOf(10, 5, 1), Old),
       rollout_verdict::Revert},
      {"half fail after the shift", at(Shift, Late, tallyOf(100, 50, 10), Old),
       rollout_verdict::Revert},
      {"eight times slower", at(Canary, 5, tallyOf(12, 0, 9.6), Old),
       rollout_verdict::Revert},
      {"1.5 times slower", at(Canary, 5, tallyOf(40, 2, 6), Old),
       rollout_verdict::Stay},
  };
  for (const guard_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.What)
  BOOST_TEST(int(judgeRollout(Case.Facts).Verdict) == int(Case.Verdict));
}

// Guards against schedules that send many requests to a version that turns bad
// only after the shift, when it receives all of them. The bound is its share of
// the requests until the deadline.
BOOST_AUTO_TEST_CASE(bounds_the_share_of_a_version_that_turns_bad_late) {
  // Gateways report, and hear of a hold, twice a second.
  constexpr double HoldSeconds = 1;
  for (double Duration : {12.0, 16.0, 24.0, 60.0})
    for (double Rate : {5.0, 90.0, 5000.0})
      for (double Slack : {0.0, 30.0}) {
        double Elapsed = Duration / 2;
        rollout_input Input{.ElapsedSeconds = Elapsed,
                            .DurationSeconds = Duration,
                            .Exposure = {.Share = 0.15, .Slack = Slack}};
        Input.Old.Sent = uint64_t(Rate * Elapsed);
        double Requests = double(Input.Old.Sent) / Elapsed * Duration;
        double Shifted =
            (completeAfterSeconds(Duration) - shiftAfterSeconds(Duration)) *
            Rate;
        for (size_t Old : {1, 3, 9, 58}) {
          double UntilHeld = canaryShare(Old) * HoldSeconds * Rate;
          BOOST_TEST(canaryBudget(Input) + UntilHeld + Shifted <
                     0.15 * Requests + Slack + 1);
        }
        Input.New.Sent = uint64_t(canaryBudget(Input)) + 1;
        Input.Old.Sent -= Input.New.Sent;
        BOOST_TEST(int(judgeRollout(Input).Verdict) ==
                   int(rollout_verdict::Hold));
      }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
