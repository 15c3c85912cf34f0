//===- admission_test.cpp - Upstreams whose slots and queues are full -----===//
//
// Guards against queueing requests at upstreams that cannot start them before
// their deadline. Upstreams report their load with each response; the gateway
// refuses a request that could not start in time instead of sending it.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

// Values of X-Server-Load: requests running, requests waiting, slots.
const std::string LowLoad = "1,0,8";
// The waiting requests are five times the slots.
const std::string FullLoad = "8,40,8";
// A stream sends an event every 5 ms; its length tells the gateway how long a
// response occupies a slot.
const std::string LongStream = "/stream/x?events=40";
constexpr double DeadlineSeconds = 6;

class full_world : public gateway_world {
public:
  full_world() {
    for (const char *Id : {"i-1", "i-2", "i-3"})
      addReplica({.Id = Id});
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("the gateway serves requests",
          [&] { return request("/safe/x", {.Method = "GET"}).Status == 200; });
    BOOST_REQUIRE_EQUAL(sendRequest(LongStream).Status, 200);
  }
  void setReportedLoad(const std::string &Load) {
    for (auto &[Id, Replica] : Replicas)
      Replica->Load = Load;
  }
  client_response sendRequest(const std::string &Path,
                              client_request Request = {}) {
    Request.Headers.push_back("X-Model: *");
    Request.Headers.push_back("X-Deadline-Ms: 6000");
    return request(Path, Request);
  }
  /// Sends requests until all upstreams have reported that they are full.
  void untilRefused() {
    setReportedLoad(FullLoad);
    until("a request is refused",
          [&] { return sendRequest("/stream/x?events=1").Status == 503; });
  }
  int runs() {
    int Sum = 0;
    for (auto &[Id, Replica] : Replicas)
      Sum += Replica->runs(LastId);
    return Sum;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(full_upstreams)

BOOST_AUTO_TEST_CASE(get_no_requests_that_could_not_start_in_time) {
  full_world World;
  World.untilRefused();
  client_response Refused = World.sendRequest("/stream/x?events=1");
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(Refused.header("x-olivevalve-outcome") == "not-run");
  BOOST_TEST(Refused.Body.find("queue_full") != std::string::npos);
  BOOST_TEST(World.runs() == 0);
  double RetryAfter = std::stod(Refused.header("retry-after"));
  BOOST_TEST(RetryAfter > 0.8 * DeadlineSeconds / 6);
  BOOST_TEST(RetryAfter <= DeadlineSeconds / 3);
  // A stream whose caller already has its beginning is resumed, not refused.
  client_response Resumed = World.sendRequest(
      "/stream/x?events=3", {.Headers = {"Last-Event-Id: 1"}});
  BOOST_TEST(Resumed.Status == 200);
}

BOOST_AUTO_TEST_CASE(get_requests_again_when_their_load_report_is_old) {
  full_world World;
  World.untilRefused();
  World.setReportedLoad(LowLoad);
  World.until("requests are accepted again", [&] {
    return World.sendRequest("/stream/x?events=1").Status == 200;
  });
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(World.sendRequest("/stream/x?events=1").Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
