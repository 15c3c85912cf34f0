//===- backoff_test.cpp - Upstreams that are backing off or leaving -------===//
//
// Guards against sending requests to an upstream that has refused one with
// Retry-After before that time is over, through any of the paths that choose an
// upstream, and against sending any more requests to one that has reported that
// it is leaving.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

constexpr double BackoffSeconds = 3;
// Requests in flight when the upstream refused may still arrive for this long.
constexpr double GraceSeconds = 0.5;
/// Limit on the requests that were still in flight at the refusal.
constexpr int MaxInFlight = 2;

class backoff_world : public gateway_world {
public:
  explicit backoff_world(size_t Upstreams) {
    for (size_t I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)});
    startServing(defaultRouting());
  }
  int sendRequest(const std::string &Path, client_request Request = {}) {
    return request(Path, std::move(Request)).Status;
  }
  void refuse(replica &Replica, const std::string &RetryAfter) {
    Replica.Refuses = true;
    Replica.RetryAfter = RetryAfter;
  }
  /// Sends requests until the upstream has refused one. Returns the latest time
  /// at which it did so.
  double untilRefused(replica &Replica) {
    int Before = Replica.arrivals();
    until("the upstream refuses a request", [&] {
      sendRequest("/safe/x");
      return Replica.arrivals() > Before;
    });
    return steadySeconds();
  }
  /// Number of requests that reach the upstream between the end of the grace
  /// period and the end of its backoff.
  int arrivalsInBackoff(replica &Replica, double RefusedAt,
                        const std::string &Path, client_request Request = {}) {
    run(GraceSeconds);
    int Before = Replica.arrivals();
    // The backoff began some time before the test observed the refusal.
    constexpr double Margin = 0.5;
    while (steadySeconds() < RefusedAt + BackoffSeconds - Margin)
      BOOST_TEST(sendRequest(Path, Request) == 200);
    return Replica.arrivals() - Before;
  }
};

const client_request AnyModel = {
    .Headers = {"X-Model: *", "X-Token-Count: 100,20"}};

} // namespace

BOOST_AUTO_TEST_SUITE(upstreams_backing_off)

BOOST_AUTO_TEST_CASE(get_no_requests_until_their_backoff_is_over) {
  backoff_world World(3);
  replica &BackingOff = *World.Replicas["i-1"];
  World.refuse(BackingOff, std::to_string(BackoffSeconds));
  double RefusedAt = World.untilRefused(BackingOff);
  BOOST_TEST(World.arrivalsInBackoff(BackingOff, RefusedAt, "/safe/x") <=
             MaxInFlight);
  BOOST_TEST_CONTEXT("an upstream gets requests again after its backoff") {
    BackingOff.Refuses = false;
    int Runs = BackingOff.runs();
    World.until("the upstream runs a request", [&] {
      World.sendRequest("/safe/x");
      return BackingOff.runs() > Runs;
    });
  }
}

BOOST_AUTO_TEST_CASE(get_no_requests_either_if_they_refused_with_429) {
  backoff_world World(3);
  replica &BackingOff = *World.Replicas["i-1"];
  BackingOff.RefusalStatus = 429;
  World.refuse(BackingOff, std::to_string(BackoffSeconds));
  double RefusedAt = World.untilRefused(BackingOff);
  BOOST_TEST(World.arrivalsInBackoff(BackingOff, RefusedAt, "/safe/x") <=
             MaxInFlight);
  BOOST_TEST_CONTEXT("callers are told when to return if all refuse") {
    for (auto &[Id, Replica] : World.Replicas)
      Replica->RefusalStatus = 429;
    for (auto &[Id, Replica] : World.Replicas)
      World.refuse(*Replica, std::to_string(BackoffSeconds));
    client_response Answer = World.request("/unsafe/x");
    BOOST_TEST(Answer.Status == 429);
    BOOST_TEST(std::atof(Answer.header("retry-after").c_str()) > 0);
  }
}

BOOST_AUTO_TEST_CASE(get_no_larger_model_requests_or_resumed_streams) {
  backoff_world World(3);
  replica &BackingOff = *World.Replicas["i-1"];
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence =
        0.1; // Low confidence: the request is repeated at a larger model.
  World.refuse(BackingOff, std::to_string(BackoffSeconds));
  double RefusedAt = World.untilRefused(BackingOff);
  BOOST_TEST(World.arrivalsInBackoff(BackingOff, RefusedAt,
                                     "/stream/x?events=4&break=2",
                                     AnyModel) <= MaxInFlight);
}

BOOST_AUTO_TEST_CASE(that_all_back_off_refuse_callers_with_retry_after) {
  backoff_world World(2);
  replica &Soon = *World.Replicas["i-1"];
  replica &Late = *World.Replicas["i-2"];
  World.refuse(Soon, "3");
  World.refuse(Late, "30");
  int OtherArrivals = Late.arrivals();
  World.untilRefused(Soon);
  World.until("the other upstream has refused too", [&] {
    return World.sendRequest("/safe/x") == 503 &&
           Late.arrivals() > OtherArrivals;
  });
  int Before = Soon.arrivals();
  std::set<std::string> Advice;
  for (int I = 0; I < 5; ++I) {
    client_response Answer = World.request("/unsafe/x");
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

BOOST_AUTO_TEST_CASE(with_an_invalid_retry_after_are_soon_used_again) {
  backoff_world World(1);
  replica &Only = *World.Replicas["i-1"];
  for (const char *Absurd : {"-5", "0", "nan", "soon", "1e999"}) {
    World.refuse(Only, Absurd);
    World.untilRefused(Only);
    Only.Refuses = false;
    World.until("the upstream gets a request again",
                [&] { return World.sendRequest("/safe/x") == 200; });
  }
}

BOOST_AUTO_TEST_CASE(that_report_leaving_get_no_more_requests) {
  backoff_world World(2);
  replica &Leaving = *World.Replicas["i-1"];
  Leaving.AnnouncesShutdown = true;
  int Before = Leaving.runs();
  World.until("the upstream responds", [&] {
    World.sendRequest("/safe/x");
    return Leaving.runs() > Before;
  });
  World.run(GraceSeconds);
  Before = Leaving.arrivals();
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(World.sendRequest("/safe/x") == 200);
  BOOST_TEST(Leaving.arrivals() == Before);
  BOOST_TEST_CONTEXT(
      "an upstream that restarts under the same id gets requests") {
    Leaving.AnnouncesShutdown = false;
    json Entry = World.List->entryOf("i-1");
    Entry["born"] = 1760000000000;
    World.List->putRawEntry("i-1", Entry);
    World.run(1);
    Entry["born"] = 1760000100000;
    World.List->putRawEntry("i-1", Entry);
    World.until("the upstream gets a request", [&] {
      World.sendRequest("/safe/x");
      return Leaving.arrivals() > Before;
    });
  }
}

BOOST_AUTO_TEST_SUITE_END()
