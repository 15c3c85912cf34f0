//===- usage_test.cpp - Usage reported to the platform --------------------===//
//
// Guards against usage that is lost, counted twice or reported in two versions
// while control VMs are killed, gateways stop and the platform fails.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include <csignal>
#include <set>

using namespace olivevalve;

namespace {

constexpr double WindowSeconds = 1;

/// Three control VMs, a gateway and two upstreams, which count what they ran.
class usage_world : public gateway_world {
public:
  usage_world() : gateway_world(3, WindowSeconds) {
    addReplica({.Id = "i-1"});
    addReplica({.Id = "i-2"});
    startServing(defaultRouting());
  }

  /// Requests that upstreams began to run; repeats count once.
  uint64_t runs() {
    std::set<std::string> Ids;
    for (const auto &[Id, Replica] : Replicas)
      for (const auto &[AttemptId, Runs] : Replica->runsById())
        Ids.insert(AttemptId);
    return Ids.size();
  }
  void sendFor(double Seconds) {
    for (double End = steadySeconds() + Seconds; steadySeconds() < End;) {
      request("/safe/x");
      request("/stream/x?events=2",
              {.Headers = {"X-Model: large", "X-Token-Count: 100,20"}});
      request("/safe/x?do=fail");
      run(0.05);
    }
  }
  void untilAllReported() {
    until("all requests that ran are reported",
          [&] { return Duties->reported("dispatch") >= runs(); });
    run(WindowSeconds);
    BOOST_TEST(Duties->reported("dispatch") == runs());
    BOOST_TEST(Duties->Violation == "");
  }
  void killLeader() {
    seeded_control *Leader = nullptr;
    until("there is a leader", [&] { return (Leader = leaderOf()); });
    Leader->Process->kill();
    run(0.3);
    Leader->Process->start();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(usage_of_accounts)

BOOST_AUTO_TEST_CASE(is_reported_exactly_once_for_each_window) {
  usage_world World;
  World.sendFor(3 * WindowSeconds);
  World.untilAllReported();
  BOOST_TEST(World.Duties->HolderOfToken.size() == 1U);
  uint64_t First = World.Duties->Reports.begin()->first;
  BOOST_TEST(World.Duties->Reports.rbegin()->first - First + 1 ==
             World.Duties->Reports.size());
  BOOST_TEST_CONTEXT("operators see the holder and what was reported") {
    auto Answer = World.operatorCall("GET", "/v1/duties", "");
    json Duty = json::parse(Answer.Body)["duties"][0];
    BOOST_TEST(Duty["holder"] == World.Duties->HolderOfToken.begin()->second);
    BOOST_TEST(Duty["calling"] == true);
    BOOST_TEST(Duty["missed"] == 0);
  }
}

BOOST_AUTO_TEST_CASE(is_exact_when_leaders_are_killed) {
  usage_world World;
  // Too short for a leader to report anything, and long enough.
  for (double Windows : {1, 1, 4, 4}) {
    World.sendFor(Windows * WindowSeconds);
    World.killLeader();
  }
  World.untilAllReported();
  BOOST_TEST(World.Duties->HolderOfToken.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(is_exact_when_the_platform_fails_or_answers_late) {
  usage_world World;
  World.sendFor(WindowSeconds);
  for (duty_behaviour Behaviour :
       {duty_behaviour::Refuses, duty_behaviour::Fails, duty_behaviour::Ignores,
        duty_behaviour::AnswersLate}) {
    World.Duties->Behaviour = Behaviour;
    World.sendFor(1.5 * WindowSeconds);
    if (Behaviour == duty_behaviour::AnswersLate)
      World.killLeader();
    World.Duties->Behaviour = duty_behaviour::Answers;
    World.sendFor(0.5 * WindowSeconds);
  }
  World.untilAllReported();
}

BOOST_AUTO_TEST_CASE(of_a_gateway_that_stops_is_reported) {
  usage_world World;
  World.sendFor(0.5 * WindowSeconds);
  World.Gateway->signal(SIGTERM);
  World.until("the gateway has ended",
              [&] { return !World.Gateway->running(); });
  World.untilAllReported();
}

BOOST_AUTO_TEST_SUITE_END()
