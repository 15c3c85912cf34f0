//===- rest_test.cpp - Upstreams that want nothing for a while, or leave --===//
//
// An upstream that refuses with a time gets nothing from that gateway until it
// is over, by no way; one that says that it leaves gets nothing more at all.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

constexpr double RestSeconds = 3;
// What was under way when the upstream refused may still arrive.
constexpr double GraceSeconds = 0.5;
constexpr int FewMore = 2;

class resting_world : public gateway_world {
public:
  explicit resting_world(size_t Upstreams) {
    for (size_t I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)});
    startServing(usualRouting());
  }
  int ask(const std::string &Path, caller_request Request = {}) {
    return request(Path, std::move(Request)).Status;
  }
  void refuse(replica &Replica, const std::string &RetryAfter) {
    Replica.Refuses = true;
    Replica.RetryAfter = RetryAfter;
  }
  /// Asks until it has refused a request. Returns when it did so at the latest.
  double untilRefused(replica &Replica) {
    int Before = Replica.arrivals();
    until("it refuses", [&] {
      ask("/safe/x");
      return Replica.arrivals() > Before;
    });
    return steadySeconds();
  }
  /// Arrivals there from the end of the grace until the rest is over.
  int arrivalsInRest(replica &Replica, double RefusedAt,
                     const std::string &Path, caller_request Request = {}) {
    run(GraceSeconds);
    int Before = Replica.arrivals();
    // The rest began some time before it was seen here.
    constexpr double Margin = 0.5;
    while (steadySeconds() < RefusedAt + RestSeconds - Margin)
      BOOST_TEST(ask(Path, Request) == 200);
    return Replica.arrivals() - Before;
  }
};

const caller_request AnyModel = {
    .Headers = {"X-Model: *", "X-Token-Count: 100,20"}};

} // namespace

BOOST_AUTO_TEST_SUITE(resting_upstreams)

BOOST_AUTO_TEST_CASE(get_no_requests_until_their_rest_is_over) {
  resting_world World(3);
  replica &Resting = *World.Replicas["i-1"];
  World.refuse(Resting, std::to_string(RestSeconds));
  double RefusedAt = World.untilRefused(Resting);
  BOOST_TEST(World.arrivalsInRest(Resting, RefusedAt, "/safe/x") <= FewMore);
  BOOST_TEST_CONTEXT("and then get some again") {
    Resting.Refuses = false;
    int Runs = Resting.runs();
    World.until("it runs a request", [&] {
      World.ask("/safe/x");
      return Resting.runs() > Runs;
    });
  }
}

BOOST_AUTO_TEST_CASE(get_none_for_a_larger_model_or_a_stream_that_goes_on) {
  resting_world World(3);
  replica &Resting = *World.Replicas["i-1"];
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.1; // A larger model is asked.
  World.refuse(Resting, std::to_string(RestSeconds));
  double RefusedAt = World.untilRefused(Resting);
  BOOST_TEST(World.arrivalsInRest(Resting, RefusedAt,
                                  "/stream/x?events=4&break=2",
                                  AnyModel) <= FewMore);
}

BOOST_AUTO_TEST_CASE(that_all_rest_are_told_to_callers_at_once) {
  resting_world World(2);
  replica &Soon = *World.Replicas["i-1"];
  replica &Late = *World.Replicas["i-2"];
  World.refuse(Soon, "3");
  World.refuse(Late, "30");
  int Others = Late.arrivals();
  World.untilRefused(Soon);
  World.until("the other has refused too", [&] {
    return World.ask("/safe/x") == 503 && Late.arrivals() > Others;
  });
  int Before = Soon.arrivals();
  std::set<std::string> Advice;
  for (int I = 0; I < 5; ++I) {
    caller_answer Answer = World.request("/unsafe/x");
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
    double Seconds = std::atof(Answer.header("retry-after").c_str());
    BOOST_TEST(Seconds > 0.5);
    BOOST_TEST(Seconds < 10);
    Advice.insert(Answer.header("retry-after"));
  }
  BOOST_TEST(Soon.arrivals() == Before);
  BOOST_TEST(Advice.size() > 1U);
}

BOOST_AUTO_TEST_CASE(are_not_left_for_long_by_an_absurd_time) {
  resting_world World(1);
  replica &Only = *World.Replicas["i-1"];
  for (const char *Absurd : {"-5", "0", "nan", "soon", "1e999"}) {
    World.refuse(Only, Absurd);
    World.untilRefused(Only);
    Only.Refuses = false;
    World.until("it is asked again",
                [&] { return World.ask("/safe/x") == 200; });
  }
}

BOOST_AUTO_TEST_CASE(that_say_they_leave_get_no_more_requests) {
  resting_world World(2);
  replica &Leaving = *World.Replicas["i-1"];
  Leaving.SaysLeaving = true;
  int Before = Leaving.runs();
  World.until("it answers", [&] {
    World.ask("/safe/x");
    return Leaving.runs() > Before;
  });
  World.run(GraceSeconds);
  Before = Leaving.arrivals();
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(World.ask("/safe/x") == 200);
  BOOST_TEST(Leaving.arrivals() == Before);
  BOOST_TEST_CONTEXT("until they start again under their id") {
    Leaving.SaysLeaving = false;
    json Entry = World.List->entryOf("i-1");
    Entry["born"] = 1760000000000;
    World.List->putRaw("i-1", Entry);
    World.run(1);
    Entry["born"] = 1760000100000;
    World.List->putRaw("i-1", Entry);
    World.until("it gets one", [&] {
      World.ask("/safe/x");
      return Leaving.arrivals() > Before;
    });
  }
}

BOOST_AUTO_TEST_SUITE_END()
