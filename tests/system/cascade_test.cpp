//===- cascade_test.cpp - A larger model that does not answer -------------===//
//
// A smaller model has begun to answer and doubts itself, so that a larger one
// is asked. What the smaller one gave is ready: the caller gets it when the
// larger one gives nothing.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

class cascade_world : public gateway_world {
public:
  explicit cascade_world(int Upstreams) {
    for (int I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)}).Confidence = 0.2;
    BOOST_REQUIRE_EQUAL(putRouting(usualRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("upstreams are known",
          [&] { return request("/safe/x", {.Method = "GET"}).Status == 200; });
  }
  caller_answer ask(const std::string &Query) {
    return request("/stream/x?" + Query, {.Headers = {"X-Model: *"}});
  }
  int runs() {
    int Sum = 0;
    for (auto &[Id, Replica] : Replicas)
      Sum += Replica->runs(LastId);
    return Sum;
  }
};

std::string eventsUpTo(int Last) {
  std::string Text;
  for (int I = 1; I <= Last; ++I)
    Text +=
        "id: " + std::to_string(I) + "\ndata: " + std::to_string(I) + "\n\n";
  return Text;
}

void isWhole(const caller_answer &Answer, int Events) {
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Error.empty());
  BOOST_TEST(Answer.Body == eventsUpTo(Events));
}

// More than a kept answer is heard on for, at 5 ms an event.
constexpr int ManyEvents = 90;

} // namespace

BOOST_AUTO_TEST_SUITE(cascade)

BOOST_AUTO_TEST_SUITE(where_the_larger_model)

BOOST_AUTO_TEST_CASE(has_no_upstream_goes_on_with_the_smaller) {
  cascade_world World(1);
  isWhole(World.ask("events=3"), 3);
  BOOST_TEST(World.runs() == 1);
}

BOOST_AUTO_TEST_CASE(is_refused_gives_the_smaller_ones_answer) {
  cascade_world World(3);
  for (int Events : {3, ManyEvents})
    isWhole(World.ask("large=refuse&events=" + std::to_string(Events)), Events);
}

BOOST_AUTO_TEST_CASE(fails_gives_the_smaller_ones_answer) {
  cascade_world World(3);
  for (int Events : {3, ManyEvents})
    isWhole(World.ask("large=reset&events=" + std::to_string(Events)), Events);
}

BOOST_AUTO_TEST_CASE(stays_silent_gives_the_smaller_ones_answer) {
  cascade_world World(3);
  isWhole(World.ask("large=mute&events=3"), 3);
  // Part of it is kept, the rest comes from elsewhere.
  isWhole(World.ask("large=mute&events=" + std::to_string(ManyEvents)),
          ManyEvents);
  BOOST_TEST(World.runs() == 3);
}

BOOST_AUTO_TEST_CASE(answers_is_the_one_that_the_caller_hears) {
  cascade_world World(3);
  caller_answer Answer = World.ask("events=3");
  isWhole(Answer, 3);
  BOOST_TEST(World.runs() == 2);
  std::string Server = Answer.header("x-response-seal").substr(8);
  BOOST_TEST(*World.Replicas[Server]->lastHead().find("X-Model") == "large");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(leaves_nothing_at_work_when_the_caller_goes) {
  cascade_world World(3);
  auto Answer = World.beginRequest("/stream/x?large=mute&events=100000",
                                   {.Headers = {"X-Model: *"}, .Seconds = 0.2});
  World.until("the caller has left", [&] { return Answer->Done; });
  World.until("both upstreams have stopped", [&] {
    int Cancelled = 0;
    for (auto &[Id, Replica] : World.Replicas)
      Cancelled += Replica->cancelled();
    return Cancelled == 2;
  });
}

// An upstream's "not run" is true of itself only.
BOOST_AUTO_TEST_CASE(does_not_call_not_run_what_another_upstream_ran) {
  cascade_world World(2);
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.9;
  World.Replicas["i-1"]->Fails = true;
  World.Replicas["i-2"]->Refuses = true;
  for (int I = 0; I < 8; ++I) {
    caller_answer Answer = World.request("/safe/x", {.Method = "GET"});
    if (World.runs() > 0)
      BOOST_TEST((Answer.Status != 503 && Answer.Status != 429));
  }
}

BOOST_AUTO_TEST_SUITE_END()
