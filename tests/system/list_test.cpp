//===- list_test.cpp - Malformed and restarted entries of the list --------===//
//
// Guards against rejecting the platform's whole list of upstreams because of
// one malformed entry: gateways and control then keep an old list and send
// requests to upstreams that are leaving. Malformed entries come about because
// other software writes to the list too. Also covers upstreams that restart
// under the same id.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

class listed_world : public gateway_world {
public:
  listed_world() {
    addReplica({.Id = "i-1"});
    addReplica({.Id = "i-2"});
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("the gateway serves requests", [&] { return served(); });
  }
  bool served() { return request("/safe/x", {.Method = "GET"}).Status == 200; }
  bool hasLogged(const std::string &Text) {
    return Gateway->logText().find(Text) != std::string::npos;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(list_entries)

BOOST_AUTO_TEST_CASE(that_are_malformed_do_not_invalidate_the_others) {
  listed_world World;
  json Malformed = World.List->entryOf("i-1");
  Malformed["id"] = "i-0";
  Malformed.erase("state");
  World.List->putRawEntry("i-0", Malformed);
  World.List->putRawEntry("i-00", {{"id", 7}, {"service", json::array()}});
  World.List->putRawEntry("i-000", "not an entry");
  World.List->remove("i-1");
  World.until("the list is applied",
              [&] { return World.hasLogged("\"left\":1"); });
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
}

BOOST_AUTO_TEST_CASE(with_invalid_utf8_do_not_invalidate_the_others) {
  listed_world World;
  World.List->Garbage =
      "{\"id\":\"\xff\xfe\",\"service\":\"plain\"},{\"id\":tru,";
  World.List->remove("i-1");
  World.until("the list is applied",
              [&] { return World.hasLogged("\"left\":1"); });
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
}

BOOST_AUTO_TEST_CASE(with_a_new_start_time_are_new_upstreams) {
  listed_world World;
  json Entry = World.List->entryOf("i-1");
  Entry["born"] = 1760000000000;
  World.List->putRawEntry("i-1", Entry);
  World.List->remove("i-2");
  World.until("only one upstream is listed",
              [&] { return World.hasLogged("\"listed\":1"); });
  Entry["born"] = 1760000100000;
  World.List->putRawEntry("i-1", Entry);
  // The number of listed upstreams is unchanged, but the state held for the
  // upstream is discarded.
  World.until("the previous start is recorded as left", [&] {
    return World.hasLogged(
        "\"left\":1,\"level\":\"info\",\"listed\":1,\"message\":"
        "\"upstreams changed\",\"node\":\"gateway-1\",\"restarted\":1");
  });
  BOOST_TEST(World.served());
}

// Guards against overloading the platform: if many gateways that start together
// polled the list themselves, the platform could not respond to any of them.
BOOST_AUTO_TEST_CASE(are_not_polled_by_gateways_that_start) {
  gateway_world World;
  World.addReplica({.Id = "i-1"});
  World.List->Refusals = 1000000;
  BOOST_REQUIRE_EQUAL(World.putRouting(World.defaultRouting()).Status, 200);
  upstream_list_stand_in ForGateways(World.Loop);
  World.startGateway("gateway-1", {{"upstream_list", ForGateways.address()}});
  World.run(4);
  BOOST_TEST(ForGateways.RequestCount == 0);
  World.List->Refusals = 0;
  World.untilGatewayReady("gateway-1");
  BOOST_TEST(World.request("/safe/x").Status == 200);
  BOOST_TEST(ForGateways.RequestCount == 0);
  BOOST_TEST_CONTEXT("a gateway polls the list itself if control has none") {
    World.List->Refusals = 1000000;
    for (auto &Node : World.Seeded)
      Node->Process->kill();
    World.Gateway->kill();
    for (auto &Node : World.Seeded)
      Node->Process->start();
    World.Gateway->start();
    World.until("the gateway polls the list",
                [&] { return ForGateways.RequestCount > 0; });
  }
}

BOOST_AUTO_TEST_SUITE_END()
