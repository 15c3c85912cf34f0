//===- pauses_test.cpp - Processes that stand still and wake --------------===//
//
// A process that stood still holds what was true before. What reached it
// meanwhile lies unread in its sockets, callers' requests among them, and its
// timers are long due.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

// Work that comes to a leaving upstream later than this after it was listed so
// is lost there; a pause of this length outlasts it.
constexpr double PauseSeconds = 5;

/// A gateway before two upstreams. One leaves while the gateway stands still.
class paused_world : public gateway_world {
public:
  paused_world() {
    addReplica({.Id = "i-1"});
    addReplica({.Id = "i-2"});
    BOOST_REQUIRE_EQUAL(putRouting(usualRouting()).Status, 200);
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

  /// Begun while the gateway stands still, each on a connection of its own.
  std::vector<std::shared_ptr<caller_answer>> beginMany(int Count) {
    std::vector<std::shared_ptr<caller_answer>> Answers;
    for (int I = 0; I < Count; ++I)
      Answers.push_back(beginRequest("/safe/x", {.Method = "GET"}));
    // Their bytes are on the way to the gateway's sockets.
    pauseFor(0.3);
    return Answers;
  }
  void areServed(const std::vector<std::shared_ptr<caller_answer>> &Answers) {
    until("all are answered", [&] {
      return std::all_of(Answers.begin(), Answers.end(),
                         [](const auto &Each) { return Each->Done; });
    });
    for (const auto &Each : Answers)
      BOOST_TEST(Each->Status == 200);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(pauses)

BOOST_AUTO_TEST_CASE(leave_no_work_for_an_upstream_that_left_meanwhile) {
  paused_world World;
  World.Gateway->signal(SIGSTOP);
  World.List->put(*World.Replicas["i-2"], World.Paths["i-2"]->address(),
                  "draining");
  World.pauseFor(PauseSeconds);
  auto Answers = World.beginMany(20);
  int Before = World.Replicas["i-2"]->runs();
  World.Gateway->signal(SIGCONT);
  World.areServed(Answers);
  BOOST_TEST(World.Replicas["i-2"]->runs() == Before);
}

BOOST_AUTO_TEST_CASE(do_not_keep_a_gateway_that_is_cut_off_from_serving) {
  paused_world World;
  World.Gateway->signal(SIGSTOP);
  for (auto &Node : World.Seeded)
    Node->Process->kill();
  World.List->Refusals = 1000000;
  World.pauseFor(PauseSeconds);
  auto Answers = World.beginMany(4);
  World.Gateway->signal(SIGCONT);
  World.areServed(Answers);
}

BOOST_AUTO_TEST_CASE(lose_no_answer_that_came_meanwhile) {
  paused_world World;
  auto Answer =
      World.beginRequest("/safe/x?late=300",
                         {.Method = "GET", .Headers = {"X-Deadline-Ms: 9000"}});
  std::string Id = World.LastId;
  World.until("it is at work", [&] {
    return World.Replicas["i-1"]->runs(Id) + World.Replicas["i-2"]->runs(Id) ==
           1;
  });
  World.Gateway->signal(SIGSTOP);
  // Longer than a gateway waits for a silent upstream; the answer came long
  // before.
  World.pauseFor(2);
  World.Gateway->signal(SIGCONT);
  World.until("it is answered", [&] { return Answer->Done; });
  BOOST_TEST(Answer->Status == 200);
  BOOST_TEST(
      World.Replicas["i-1"]->runs(Id) + World.Replicas["i-2"]->runs(Id) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
