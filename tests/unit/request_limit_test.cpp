//===- request_limit_test.cpp - Request limit that an upstream states -----===//

#include "boost/test/unit_test.hpp"
#include "gateway/send_permit.h"
#include "policy/request_limit.h"
#include <cmath>

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(request_limits)

BOOST_AUTO_TEST_CASE(begin_change_and_end_with_own_responses) {
  request_limit Limit;
  BOOST_TEST(!Limit.requestsPerSecond());
  BOOST_TEST((Limit.recordResponse({}, 1, 2) == limit_change::None));
  BOOST_TEST((Limit.recordResponse(1.7, 9, 10) == limit_change::Began));
  BOOST_TEST((Limit.recordResponse(1.7, 10.1, 11) == limit_change::None));
  BOOST_TEST((Limit.recordResponse(5, 11, 12) == limit_change::Changed));
  BOOST_TEST(*Limit.requestsPerSecond() == 5);
  BOOST_TEST(Limit.beganAt() == 10);
  BOOST_TEST_CONTEXT("a response to a request sent before does not end it") {
    BOOST_TEST((Limit.recordResponse({}, 11.9, 13) == limit_change::None));
    BOOST_TEST(Limit.requestsPerSecond().has_value());
  }
  BOOST_TEST((Limit.recordResponse({}, 12.1, 13) == limit_change::Ended));
  BOOST_TEST(!Limit.requestsPerSecond());
  BOOST_TEST((Limit.recordResponse(0, 14, 15) == limit_change::Began));
  BOOST_TEST(*Limit.requestsPerSecond() == 0);
}

BOOST_AUTO_TEST_CASE(are_known_from_reports) {
  request_limit Limit;
  BOOST_TEST((Limit.recordReport({.RequestsPerSecond = 2, .AgeSeconds = 1},
                                 10) == limit_change::Began));
  BOOST_TEST(*Limit.requestsPerSecond() == 2);
  BOOST_TEST_CONTEXT("an older report changes nothing") {
    BOOST_TEST((Limit.recordReport({.RequestsPerSecond = 9, .AgeSeconds = 2},
                                   10.1) == limit_change::None));
    BOOST_TEST(
        (Limit.recordReport({.AgeSeconds = 1.5}, 10.2) == limit_change::None));
  }
  BOOST_TEST_CONTEXT("a delayed report of the end does not end a newer one") {
    BOOST_TEST(
        (Limit.recordReport({.AgeSeconds = 0.9}, 10) == limit_change::None));
  }
  BOOST_TEST(
      (Limit.recordReport({.AgeSeconds = 0.1}, 10) == limit_change::Ended));
  BOOST_TEST_CONTEXT("a late report of the ended limit does not revive it") {
    BOOST_TEST((Limit.recordReport({.RequestsPerSecond = 2, .AgeSeconds = 0.5},
                                   10.1) == limit_change::None));
  }
}

BOOST_AUTO_TEST_CASE(are_reported_only_by_gateways_that_were_told) {
  request_limit Told;
  request_limit Heard;
  BOOST_TEST(!Told.report(10));
  Told.recordResponse(3, 9, 10);
  auto Report = Told.report(12);
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(*Report->RequestsPerSecond == 3);
  BOOST_TEST(Report->AgeSeconds == 2);
  Heard.recordReport(*Report, 12);
  BOOST_TEST(!Heard.report(12));
  BOOST_TEST_CONTEXT("the end is reported for some seconds") {
    Told.recordResponse({}, 13, 14);
    Report = Told.report(15);
    BOOST_REQUIRE(Report.has_value());
    BOOST_TEST(!Report->RequestsPerSecond);
    BOOST_TEST(Report->AgeSeconds == 2);
    BOOST_TEST((Heard.recordReport(*Report, 15) == limit_change::Ended));
    BOOST_TEST(!Told.report(20));
  }
}

BOOST_AUTO_TEST_CASE(of_an_upstream_end_with_its_incarnation) {
  upstream_table Table;
  platform::listed_upstream Listed{
      .Id = "a", .Service = "s", .Version = "v1", .StartedMs = 1000};
  Table.update({Listed}, 10);
  Table.all().at("a")->Limit.recordResponse(2, 9, 10);
  Listed.StartedMs = 2000;
  Table.update({Listed}, 11);
  BOOST_TEST(!Table.all().at("a")->Limit.requestsPerSecond());
}

BOOST_AUTO_TEST_CASE(hold_back_requests_assigned_before_they_began) {
  upstream Upstream;
  Upstream.Limit.recordResponse(2, 9, 10);
  BOOST_TEST(!Upstream.stillAccepts(9.9, 10.1));
  BOOST_TEST(Upstream.stillAccepts(10.1, 10.2));
  BOOST_TEST_CONTEXT("of several reasons the longest holds") {
    Upstream.backOff(3, 11);
    BOOST_TEST(!Upstream.stillAccepts(10.1, 11));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(send_permits)

BOOST_AUTO_TEST_CASE(name_the_reason_and_the_time_of_the_next_request) {
  struct ev_loop *Loop = ev_loop_new(0);
  {
    gateway_state State;
    State.Gateways = 1;
    State.LimitBounds = {
        .Ratio = 1.5, .Slack = 5, .WindowSeconds = 4, .ProbePart = 0.1};
    State.Routing = std::make_shared<const routing_table>(routing_config());
    peer_work Peers(Loop, State.Upstreams, {.Incarnation = 1});
    State.Peers = &Peers;
    State.Upstreams.update({{.Id = "a", .Service = "s", .Version = "v1"}}, 0);
    upstream &Upstream = *State.Upstreams.all().at("a");
    auto Permit = [&](double Now) {
      return permitFor(State, *State.Routing, Upstream, Now);
    };
    BOOST_TEST(Permit(10).granted());
    recordLimitChange(State, Upstream, Upstream.Limit.recordResponse(2, 9, 10),
                      "own request", "id", 10);
    double Gap = Permit(10).GapSeconds;
    BOOST_TEST((Permit(10).Reason == hold_reason::Limit));
    BOOST_TEST(Gap >= 0.5);
    BOOST_TEST(std::abs(Permit(10).Seconds - Gap) < 1e-9);
    BOOST_TEST(Permit(10 + Gap).granted());
    BOOST_TEST(std::abs(reopeningOf(State, "s", 10).Seconds - Gap) < 1e-9);
    BOOST_TEST(reopeningOf(State, "s", 10).RequestsPerSecond == 1 / Gap);
    BOOST_TEST_CONTEXT("a shorter reason does not hide a longer one") {
      Upstream.backOff(5, 10);
      BOOST_TEST((Permit(10).Reason == hold_reason::Backoff));
      BOOST_TEST(Permit(10).Seconds == 5);
    }
    BOOST_TEST_CONTEXT("an upstream that is leaving has no next time") {
      Upstream.markLeaving();
      BOOST_TEST((Permit(10).Reason == hold_reason::Unavailable));
      BOOST_TEST(Permit(10).Seconds == 0);
    }
  }
  ev_loop_destroy(Loop);
}

BOOST_AUTO_TEST_SUITE_END()
