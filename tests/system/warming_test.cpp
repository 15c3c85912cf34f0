//===- warming_test.cpp - Upstreams that have just started ----------------===//
//
// A cold upstream gets no more requests within any second than it bears, from
// all gateways together, however empty it looks.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

constexpr double Bears = 6; ///< Requests a second while cold.
constexpr double Ratio = 1.5;
constexpr double Slack = 1;
constexpr int Bound = int(Bears * Ratio + Slack);
// A gateway that has just started sends none to cold upstreams for so long.
constexpr double StartSeconds = 1.5;
// Until a gateway has what the list shows.
constexpr double TellSeconds = 2;

class cold_world : public gateway_world {
public:
  explicit cold_world(size_t Upstreams, double ColdStartSeconds = 0) {
    for (size_t I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I),
                  .DataHall = I % 2 == 1 ? "charguia" : "lac"});
    json Routing = usualRouting();
    Routing["services"][0]["cold_start_s"] = ColdStartSeconds;
    Routing["services"][0]["cold_requests_per_s"] = Bears;
    startServing(Routing, {{"cold_ratio", Ratio}, {"cold_slack", Slack}});
    run(StartSeconds);
  }
  void setCold(const std::string &Id) {
    List->setCold(Id, 30);
    run(TellSeconds);
    Before = Replicas[Id]->arrivals();
  }
  /// Sends so many at once again and again, and counts the answers by status.
  std::map<int, int> press(int AtOnce, double Seconds,
                           const std::string &Path = "/safe/x") {
    std::map<int, int> Counts;
    double End = steadySeconds() + Seconds;
    while (steadySeconds() < End) {
      std::vector<std::shared_ptr<caller_answer>> Answers;
      for (int I = 0; I < AtOnce; ++I)
        Answers.push_back(beginRequest(Path));
      for (const auto &Answer : Answers) {
        until("an answer", [&] { return Answer->Done; });
        ++Counts[Answer->Status];
      }
      run(0.02);
    }
    return Counts;
  }
  int Before = 0; ///< Arrivals at the last that turned cold.
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_upstreams)

BOOST_AUTO_TEST_CASE(get_no_more_than_they_bear_and_all_is_served) {
  cold_world World(3);
  replica &Cold = *World.Replicas["i-1"];
  World.setCold("i-1");
  double Since = steadySeconds();
  auto Counts = World.press(10, 4);
  BOOST_TEST(Counts.size() == 1U);
  BOOST_TEST(Counts[200] > 100);
  int Sent = Cold.arrivals() - World.Before;
  BOOST_TEST(Sent <= int((steadySeconds() - Since + 1) * Bears));
  BOOST_TEST(Sent >= 2);
  BOOST_TEST(Cold.mostInASecond(Since) <= Bound);
  BOOST_TEST_CONTEXT("until the list says that they are warm") {
    World.List->setCold("i-1", 0);
    World.run(TellSeconds);
    World.Before = Cold.arrivals();
    World.press(10, 1);
    BOOST_TEST(Cold.arrivals() - World.Before > Bound);
  }
}

BOOST_AUTO_TEST_CASE(are_all_there_are_and_callers_hear_when_to_come_back) {
  cold_world World(1);
  World.setCold("i-1");
  double Since = steadySeconds();
  auto Counts = World.press(10, 3);
  BOOST_TEST(Counts[200] >= 3);
  BOOST_TEST(Counts[503] > 100);
  BOOST_TEST(Counts.size() == 2U);
  BOOST_TEST(World.Replicas["i-1"]->mostInASecond(Since) <= Bound);
  caller_answer Refused;
  World.until("one is refused", [&] {
    Refused = World.request("/unsafe/x");
    return Refused.Status == 503;
  });
  BOOST_TEST(Refused.outcome() == "not-run");
  BOOST_TEST(std::atof(Refused.header("retry-after").c_str()) > 0);
  BOOST_TEST(World.Replicas["i-1"]->runs(World.LastId) == 0);
}

BOOST_AUTO_TEST_CASE(are_supposed_to_be_cold_after_an_evacuation) {
  cold_world World(2, 3);
  auto Order = [&](const char *Verb) {
    BOOST_REQUIRE_EQUAL(
        World
            .operatorCall("POST", std::string("/v1/halls/") + Verb + "/lac", "")
            .Status,
        200);
  };
  Order("evacuate");
  World.run(TellSeconds);
  double Since = steadySeconds();
  Order("restore");
  World.press(10, 3);
  BOOST_TEST(World.Replicas["i-2"]->mostInASecond(Since) <= Bound);
  BOOST_TEST(World.Replicas["i-2"]->mostInASecond(Since) > 0);
}

BOOST_AUTO_TEST_CASE(get_none_from_a_gateway_that_has_just_started) {
  cold_world World(2);
  World.setCold("i-1");
  World.Gateway->kill();
  World.Gateway->start();
  World.until("it serves",
              [&] { return World.request("/safe/x").Status == 200; });
  World.Before = World.Replicas["i-1"]->arrivals();
  World.press(5, 0.3);
  BOOST_TEST(World.Replicas["i-1"]->arrivals() == World.Before);
}

BOOST_AUTO_TEST_CASE(without_a_limit_are_used_like_any_other) {
  cold_world World(2);
  json Routing = World.usualRouting();
  Routing["services"][0]["cold_requests_per_s"] = 0;
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  World.setCold("i-1");
  World.press(10, 1);
  BOOST_TEST(World.Replicas["i-1"]->arrivals() - World.Before > Bound);
}

BOOST_AUTO_TEST_SUITE_END()
