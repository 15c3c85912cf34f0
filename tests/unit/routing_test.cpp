//===- routing_test.cpp - Routing documents and roll-outs -----------------===//

#include "base/error.h"
#include "base/fields.h"
#include "boost/test/unit_test.hpp"
#include "catalog/routing.h"
#include "ledger/state_machine.h"
#include "policy/service_guard.h"
#include "tests/unit/fixtures.h"

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

BOOST_AUTO_TEST_SUITE(service_rollout_guard)

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
      {"canary without excess failures",
       {Canary, 5, 20, Healthy, Old},
       rollout_verdict::Stay},
      {"no excess failures until the shift",
       {Canary, Late, 20, Healthy, Old},
       rollout_verdict::Shift},
      {"no answers at all",
       {Canary, Late, 20, {}, Old},
       rollout_verdict::Revert},
      {"shifted without excess failures",
       {Shift, End, 20, Healthy, Old},
       rollout_verdict::Complete},
      {"a few failures are normal",
       {Canary, 5, 20, {10, 1, 1}, Old},
       rollout_verdict::Stay},
      {"half fail", {Canary, 5, 20, {10, 5, 1}, Old}, rollout_verdict::Revert},
      {"half fail after the shift",
       {Shift, Late, 20, {100, 50, 10}, Old},
       rollout_verdict::Revert},
      {"eight times slower",
       {Canary, 5, 20, {12, 0, 9.6}, Old},
       rollout_verdict::Revert},
      {"1.5 times slower",
       {Canary, 5, 20, {40, 2, 6}, Old},
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
  for (double Duration : {12.0, 16.0, 24.0, 60.0}) {
    double Shifted =
        (completeAfterSeconds(Duration) - shiftAfterSeconds(Duration)) /
        Duration;
    BOOST_TEST(CanaryShare + Shifted < 0.15);
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
