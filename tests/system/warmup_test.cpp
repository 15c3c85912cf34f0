//===- warmup_test.cpp - Upstreams that have just started -----------------===//
//
// Guards against overloading an upstream that has just started. Its low load
// attracts requests, but until it is warm all gateways together may send it no
// more requests per second than cold_requests_per_s allows.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

/// Requests per second that a cold upstream may get (cold_requests_per_s).
constexpr double ColdRequestsPerSecond = 6;
constexpr double Ratio = 1.5;
constexpr double Slack = 1;
/// Limit on the requests that a cold upstream gets within any second.
constexpr int MaxColdInASecond = int(ColdRequestsPerSecond * Ratio + Slack);
// Time after its start during which a gateway sends no requests to cold
// upstreams.
constexpr double GatewayStartSeconds = 1.5;
// Time until a gateway has received a change of the list.
constexpr double ListUpdateSeconds = 2;

class cold_world : public gateway_world {
public:
  explicit cold_world(size_t Upstreams, double ColdStartSeconds = 0) {
    for (size_t I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I),
                  .DataHall = I % 2 == 1 ? "charguia" : "lac"});
    json Routing = defaultRouting();
    Routing["services"][0]["cold_start_s"] = ColdStartSeconds;
    Routing["services"][0]["cold_requests_per_s"] = ColdRequestsPerSecond;
    startServing(Routing, {{"cold_ratio", Ratio}, {"cold_slack", Slack}});
    run(GatewayStartSeconds);
  }
  void setCold(const std::string &Id) {
    List->setCold(Id, 30);
    run(ListUpdateSeconds);
    ArrivalsBefore = Replicas[Id]->arrivals();
  }
  /// Sends batches of AtOnce concurrent requests, one batch after another, for
  /// the given number of seconds. Returns the number of responses by status.
  std::map<int, int> sendBatches(int AtOnce, double Seconds,
                                 const std::string &Path = "/safe/x") {
    std::map<int, int> Counts;
    double End = steadySeconds() + Seconds;
    while (steadySeconds() < End) {
      std::vector<std::shared_ptr<client_response>> Answers;
      for (int I = 0; I < AtOnce; ++I)
        Answers.push_back(beginRequest(Path));
      for (const auto &Answer : Answers) {
        until("the request is answered", [&] { return Answer->Done; });
        ++Counts[Answer->Status];
      }
      run(0.02);
    }
    return Counts;
  }
  /// Arrivals at the upstream that was set cold last, counted when the gateway
  /// had received that change.
  int ArrivalsBefore = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_upstreams)

BOOST_AUTO_TEST_CASE(get_no_more_than_their_rate_and_all_requests_are_served) {
  cold_world World(3);
  replica &Cold = *World.Replicas["i-1"];
  World.setCold("i-1");
  double Since = steadySeconds();
  auto Counts = World.sendBatches(10, 4);
  BOOST_TEST(Counts.size() == 1U);
  BOOST_TEST(Counts[200] > 100);
  int Sent = Cold.arrivals() - World.ArrivalsBefore;
  BOOST_TEST(Sent <=
             int((steadySeconds() - Since + 1) * ColdRequestsPerSecond));
  BOOST_TEST(Sent >= 2);
  BOOST_TEST(Cold.maxArrivalsPerSecond(Since) <= MaxColdInASecond);
  BOOST_TEST_CONTEXT(
      "the limit ends when the list shows the upstream as warm") {
    World.List->setCold("i-1", 0);
    World.run(ListUpdateSeconds);
    World.ArrivalsBefore = Cold.arrivals();
    World.sendBatches(10, 1);
    BOOST_TEST(Cold.arrivals() - World.ArrivalsBefore > MaxColdInASecond);
  }
}

BOOST_AUTO_TEST_CASE(refuse_callers_with_retry_after_if_all_are_cold) {
  cold_world World(1);
  World.setCold("i-1");
  double Since = steadySeconds();
  auto Counts = World.sendBatches(10, 3);
  BOOST_TEST(Counts[200] >= 3);
  BOOST_TEST(Counts[503] > 100);
  BOOST_TEST(Counts.size() == 2U);
  BOOST_TEST(World.Replicas["i-1"]->maxArrivalsPerSecond(Since) <=
             MaxColdInASecond);
  client_response Refused;
  World.until("a request is refused", [&] {
    Refused = World.request("/unsafe/x");
    return Refused.Status == 503;
  });
  BOOST_TEST(Refused.outcome() == "not-run");
  BOOST_TEST(std::atof(Refused.header("retry-after").c_str()) > 0);
  BOOST_TEST(World.Replicas["i-1"]->runs(World.LastId) == 0);
}

BOOST_AUTO_TEST_CASE(are_assumed_cold_after_an_evacuation) {
  cold_world World(2, 3);
  auto Order = [&](const char *Verb) {
    BOOST_REQUIRE_EQUAL(
        World
            .operatorCall("POST", std::string("/v1/halls/") + Verb + "/lac", "")
            .Status,
        200);
  };
  Order("evacuate");
  World.run(ListUpdateSeconds);
  double Since = steadySeconds();
  Order("restore");
  World.sendBatches(10, 3);
  BOOST_TEST(World.Replicas["i-2"]->maxArrivalsPerSecond(Since) <=
             MaxColdInASecond);
  BOOST_TEST(World.Replicas["i-2"]->maxArrivalsPerSecond(Since) > 0);
}

BOOST_AUTO_TEST_CASE(get_no_requests_from_a_gateway_that_has_just_started) {
  cold_world World(2);
  World.setCold("i-1");
  World.Gateway->kill();
  World.Gateway->start();
  World.until("the gateway serves",
              [&] { return World.request("/safe/x").Status == 200; });
  World.ArrivalsBefore = World.Replicas["i-1"]->arrivals();
  World.sendBatches(5, 0.3);
  BOOST_TEST(World.Replicas["i-1"]->arrivals() == World.ArrivalsBefore);
}

BOOST_AUTO_TEST_CASE(without_a_rate_limit_are_not_throttled) {
  cold_world World(2);
  json Routing = World.defaultRouting();
  Routing["services"][0]["cold_requests_per_s"] = 0;
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  World.setCold("i-1");
  World.sendBatches(10, 1);
  BOOST_TEST(World.Replicas["i-1"]->arrivals() - World.ArrivalsBefore >
             MaxColdInASecond);
}

BOOST_AUTO_TEST_SUITE_END()
