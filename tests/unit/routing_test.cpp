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

BOOST_AUTO_TEST_CASE(
    is_read_whole_and_fields_of_a_newer_writer_are_passed_over) {
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

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  routing_table Table(*readRouting(smallRouting().dump()));
  BOOST_TEST(Table.route("a.example", "/plans/today")->Name == "plans");
  BOOST_TEST(Table.route("a.example", "/plans")->Name == "all");
  BOOST_TEST(Table.route("b.example", "/plans/today") == nullptr);
  BOOST_TEST(Table.accountOfKey("k2")->Name == "dispatch");
  BOOST_TEST(Table.accountOfKey("k3") == nullptr);
}

BOOST_AUTO_TEST_CASE(what_cannot_be_meant_is_refused_with_its_field) {
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
  std::string Whole = smallRouting().dump();
  BOOST_TEST(!readRouting(Whole.substr(0, Whole.size() / 2)).ok());
}

BOOST_AUTO_TEST_SUITE(in_the_log)

BOOST_AUTO_TEST_CASE(the_highest_version_wins_and_survives_a_snapshot) {
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

BOOST_AUTO_TEST_CASE(
    a_roll_out_begins_once_and_steps_only_from_where_it_stands) {
  rollout_store Book;
  BOOST_TEST(Book.begin(order("v2"), 100).ok());
  BOOST_TEST(Book.begin(order("v2"), 101).ok());
  BOOST_TEST(Book.revision() == 1U);
  BOOST_TEST(!Book.begin(order("v3"), 102).ok());
  wire::rollout_step Step;
  Step.set_service("llm");
  Step.set_target_version("v2");
  Step.set_from(wire::SHIFT);
  Step.set_to(wire::COMPLETED);
  Book.step(Step);
  BOOST_TEST(Book.find("llm")->stage() == wire::CANARY);
  Step.set_from(wire::CANARY);
  Step.set_to(wire::REVERTED);
  Book.step(Step);
  BOOST_TEST(Book.find("llm")->stage() == wire::REVERTED);
  // A late resend is no new order; the same words much later are one.
  BOOST_TEST(Book.begin(order("v2"), 104).ok());
  BOOST_TEST(Book.find("llm")->stage() == wire::REVERTED);
  BOOST_TEST(Book.begin(order("v2"), 200).ok());
  BOOST_TEST(Book.find("llm")->stage() == wire::CANARY);
  wire::state_image Image;
  Book.save(Image);
  rollout_store Copy;
  Copy.load(Image);
  BOOST_TEST(Copy.find("llm")->begun_wall() == 200);
  BOOST_TEST(Copy.revision() == Book.revision());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(guard_of_a_service)

BOOST_AUTO_TEST_CASE(goes_on_by_time_and_back_by_answers) {
  struct guard_case {
    const char *What;
    rollout_input Facts;
    rollout_verdict Verdict;
  };
  using enum rollout_phase;
  version_tally Old{.Answers = 500, .Failures = 25, .Seconds = 50};
  version_tally Sound{.Answers = 40, .Failures = 2, .Seconds = 4};
  double Late = shiftAfterSeconds(20) + 0.01;
  double End = completeAfterSeconds(20) + 0.01;
  const guard_case Cases[] = {
      {"young and sound", {Canary, 5, 20, Sound, Old}, rollout_verdict::Stay},
      {"sound until late",
       {Canary, Late, 20, Sound, Old},
       rollout_verdict::Shift},
      {"not seen at all", {Canary, Late, 20, {}, Old}, rollout_verdict::Revert},
      {"shifted and sound",
       {Shift, End, 20, Sound, Old},
       rollout_verdict::Complete},
      {"a few failures are usual",
       {Canary, 5, 20, {10, 1, 1}, Old},
       rollout_verdict::Stay},
      {"half fail", {Canary, 5, 20, {10, 5, 1}, Old}, rollout_verdict::Revert},
      {"half fail after the shift",
       {Shift, Late, 20, {100, 50, 10}, Old},
       rollout_verdict::Revert},
      {"eight times slower",
       {Canary, 5, 20, {12, 0, 9.6}, Old},
       rollout_verdict::Revert},
      {"half as slow again",
       {Canary, 5, 20, {40, 2, 6}, Old},
       rollout_verdict::Stay},
  };
  for (const guard_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.What)
  BOOST_TEST(int(judgeRollout(Case.Facts).Verdict) == int(Case.Verdict));
}

// What a bad version gets at most, as a share of the requests until the
// deadline, when it turns bad only once everything goes to it.
BOOST_AUTO_TEST_CASE(leaves_a_late_bad_version_little) {
  for (double Duration : {12.0, 16.0, 24.0, 60.0}) {
    double Shifted =
        (completeAfterSeconds(Duration) - shiftAfterSeconds(Duration)) /
        Duration;
    BOOST_TEST(CanaryShare + Shifted < 0.15);
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
