//===- cascade_test.cpp - A larger model that does not respond ------------===//
//
// Guards against failing a request although a usable response exists. A smaller
// model has begun to respond with low confidence, so that the request is sent
// to a larger one. If the larger model does not respond, the caller gets the
// response of the smaller one as a fallback.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

class cascade_world : public gateway_world {
public:
  explicit cascade_world(int Upstreams, const json &Settings = {}) {
    for (int I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)}).Confidence = 0.2;
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    startGateway("gateway-1", Settings);
    untilGatewayReady("gateway-1");
    until("the gateway serves requests",
          [&] { return request("/safe/x", {.Method = "GET"}).Status == 200; });
  }
  client_response sendRequest(const std::string &Query) {
    return request("/stream/x?" + Query, {.Headers = {"X-Model: *"}});
  }
  int runs() { return gateway_world::runs(LastId); }
};

void testComplete(const client_response &Answer, int Events) {
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Error.empty());
  BOOST_TEST(Answer.Body == eventsUpTo(Events));
}

// At 5 ms per event, longer than the gateway goes on reading a fallback
// response while it waits for the larger model.
constexpr int ManyEvents = 90;

} // namespace

BOOST_AUTO_TEST_SUITE(cascade)

BOOST_AUTO_TEST_SUITE(if_the_larger_model)

BOOST_AUTO_TEST_CASE(has_no_upstream_the_smaller_one_responds) {
  cascade_world World(1);
  testComplete(World.sendRequest("events=3"), 3);
  BOOST_TEST(World.runs() == 1);
}

BOOST_AUTO_TEST_CASE(refuses_the_smaller_one_responds) {
  cascade_world World(3);
  for (int Events : {3, ManyEvents})
    testComplete(
        World.sendRequest("large=refuse&events=" + std::to_string(Events)),
        Events);
}

BOOST_AUTO_TEST_CASE(fails_the_smaller_one_responds) {
  cascade_world World(3);
  for (int Events : {3, ManyEvents})
    testComplete(
        World.sendRequest("large=reset&events=" + std::to_string(Events)),
        Events);
}

BOOST_AUTO_TEST_CASE(sends_nothing_the_smaller_one_responds) {
  cascade_world World(3);
  testComplete(World.sendRequest("large=mute&events=3"), 3);
  // The gateway keeps the beginning of the fallback response and resumes the
  // stream at another upstream.
  testComplete(
      World.sendRequest("large=mute&events=" + std::to_string(ManyEvents)),
      ManyEvents);
  BOOST_TEST(World.runs() == 3);
}

// Guards against a response that begins and is cut off: without a retry left
// the rest of the smaller model's response cannot be had, which the gateway
// noticed only after it had sent the beginning.
BOOST_AUTO_TEST_CASE(sends_nothing_and_no_retry_is_left_the_gateway_responds) {
  // One retry for each request, which the larger model takes.
  cascade_world World(3, {{"retry_ratio", 1.15}, {"retry_slack", 0}});
  client_response Answer =
      World.sendRequest("large=mute&events=" + std::to_string(ManyEvents));
  BOOST_TEST(Answer.Error == "");
  BOOST_TEST(Answer.Status == 502);
  BOOST_TEST(Answer.outcome() == "unknown");
}

BOOST_AUTO_TEST_CASE(responds_its_response_is_forwarded) {
  cascade_world World(3);
  client_response Answer = World.sendRequest("events=3");
  testComplete(Answer, 3);
  BOOST_TEST(World.runs() == 2);
  std::string Server = Answer.header("x-response-seal").substr(8);
  BOOST_TEST(*World.Replicas[Server]->lastHead().find("X-Model") == "large");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(cancels_both_upstreams_when_the_caller_disconnects) {
  cascade_world World(3);
  auto Answer = World.beginRequest("/stream/x?large=mute&events=100000",
                                   {.Headers = {"X-Model: *"}, .Seconds = 0.2});
  World.until("the caller has disconnected", [&] { return Answer->Done; });
  World.until("both upstreams have stopped", [&] {
    int Cancelled = 0;
    for (auto &[Id, Replica] : World.Replicas)
      Cancelled += Replica->cancelled();
    return Cancelled == 2;
  });
}

// Guards against reporting "not run" for a request that has run: one upstream
// fails it and another one refuses it, and the refusal holds only for the
// latter.
BOOST_AUTO_TEST_CASE(does_not_report_not_run_after_another_upstream_ran_it) {
  cascade_world World(2);
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.9;
  World.Replicas["i-1"]->Fails = true;
  World.Replicas["i-2"]->Refuses = true;
  for (int I = 0; I < 8; ++I) {
    client_response Answer = World.request("/safe/x", {.Method = "GET"});
    if (World.runs() > 0)
      BOOST_TEST((Answer.Status != 503 && Answer.Status != 429));
  }
}

BOOST_AUTO_TEST_SUITE_END()
