//===- pauses_test.cpp - Processes that are suspended and resumed ---------===//
//
// Guards against acting on stale state after a process was suspended. When it
// resumes, it holds the state from before the pause, messages and callers'
// requests that arrived meanwhile are unread in its sockets, and its timers are
// overdue.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

// Longer than a leaving upstream still accepts requests after it was listed as
// leaving; a request that reaches it after the pause is lost.
constexpr double PauseSeconds = 5;

/// A gateway in front of two upstreams.
class paused_world : public gateway_world {
public:
  paused_world() {
    addReplica({.Id = "i-1"});
    addReplica({.Id = "i-2"});
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("both upstreams serve", [&] {
      request("/safe/x", {.Method = "GET"});
      return Replicas["i-1"]->runs() > 0 && Replicas["i-2"]->runs() > 0;
    });
  }

  void pauseFor(double Seconds) {
    double End = steadySeconds() + Seconds;
    until("the pause is over", [&] { return steadySeconds() >= End; });
  }

  /// Sends requests while the gateway is suspended, each on its own connection.
  std::vector<std::shared_ptr<client_response>> beginMany(int Count) {
    std::vector<std::shared_ptr<client_response>> Answers;
    for (int I = 0; I < Count; ++I)
      Answers.push_back(beginRequest("/safe/x", {.Method = "GET"}));
    // Until their bytes have reached the gateway's sockets.
    pauseFor(0.3);
    return Answers;
  }
  void
  testServed(const std::vector<std::shared_ptr<client_response>> &Answers) {
    until("all requests are answered", [&] {
      return std::all_of(Answers.begin(), Answers.end(),
                         [](const auto &Each) { return Each->Done; });
    });
    for (const auto &Each : Answers)
      BOOST_TEST(Each->Status == 200);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(pauses)

BOOST_AUTO_TEST_CASE(cause_no_requests_to_an_upstream_that_left_meanwhile) {
  paused_world World;
  World.Gateway->signal(SIGSTOP);
  World.List->put(*World.Replicas["i-2"], World.Paths["i-2"]->address(),
                  "draining");
  World.pauseFor(PauseSeconds);
  auto Answers = World.beginMany(20);
  int Before = World.Replicas["i-2"]->runs();
  World.Gateway->signal(SIGCONT);
  World.testServed(Answers);
  BOOST_TEST(World.Replicas["i-2"]->runs() == Before);
}

BOOST_AUTO_TEST_CASE(do_not_stop_a_disconnected_gateway_from_serving) {
  paused_world World;
  World.Gateway->signal(SIGSTOP);
  for (auto &Node : World.Seeded)
    Node->Process->kill();
  World.List->Refusals = 1000000;
  World.pauseFor(PauseSeconds);
  auto Answers = World.beginMany(4);
  World.Gateway->signal(SIGCONT);
  World.testServed(Answers);
}

BOOST_AUTO_TEST_CASE(lose_no_response_that_arrived_meanwhile) {
  paused_world World;
  auto Answer =
      World.beginRequest("/safe/x?late=300",
                         {.Method = "GET", .Headers = {"X-Deadline-Ms: 9000"}});
  std::string Id = World.LastId;
  World.until("the request runs at an upstream", [&] {
    return World.Replicas["i-1"]->runs(Id) + World.Replicas["i-2"]->runs(Id) ==
           1;
  });
  World.Gateway->signal(SIGSTOP);
  // Longer than the gateway waits for an upstream that sends nothing. The
  // response arrived long before that limit.
  World.pauseFor(2);
  World.Gateway->signal(SIGCONT);
  World.until("the request is answered", [&] { return Answer->Done; });
  BOOST_TEST(Answer->Status == 200);
  BOOST_TEST(
      World.Replicas["i-1"]->runs(Id) + World.Replicas["i-2"]->runs(Id) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
