//===- list_test.cpp - Odd and restarted entries of the platform's list ---===//
//
// Others write into the platform's list too, and an upstream may start again
// under the id that it had. One entry that could not be read made the whole
// list count as not had: gateways and control went on with an old one, and an
// old one sends work to upstreams that leave.
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
    BOOST_REQUIRE_EQUAL(putRouting(usualRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("upstreams are known", [&] { return served(); });
  }
  bool served() { return request("/safe/x", {.Method = "GET"}).Status == 200; }
  bool logs(const std::string &Text) {
    return Gateway->logText().find(Text) != std::string::npos;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entries_of_the_list)

BOOST_AUTO_TEST_CASE(that_are_odd_leave_the_others_in_force) {
  listed_world World;
  json Odd = World.List->entryOf("i-1");
  Odd["id"] = "i-0";
  Odd.erase("state");
  World.List->putRaw("i-0", Odd);
  World.List->putRaw("i-00", {{"id", 7}, {"service", json::array()}});
  World.List->putRaw("i-000", "not an entry");
  World.List->remove("i-1");
  World.until("the list is followed", [&] { return World.logs("\"left\":1"); });
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
}

BOOST_AUTO_TEST_CASE(with_bytes_that_are_no_text_leave_the_others_in_force) {
  listed_world World;
  World.List->Garbage =
      "{\"id\":\"\xff\xfe\",\"service\":\"plain\"},{\"id\":tru,";
  World.List->remove("i-1");
  World.until("the list is followed", [&] { return World.logs("\"left\":1"); });
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
}

BOOST_AUTO_TEST_CASE(with_a_new_start_are_other_upstreams) {
  listed_world World;
  json Entry = World.List->entryOf("i-1");
  Entry["born"] = 1760000000000;
  World.List->putRaw("i-1", Entry);
  World.List->remove("i-2");
  World.until("it is the only one", [&] { return World.logs("\"listed\":1"); });
  Entry["born"] = 1760000100000;
  World.List->putRaw("i-1", Entry);
  // Nothing is listed less, but all that was known of it is gone.
  World.until("what was there has left", [&] {
    return World.logs(
        "\"left\":1,\"level\":\"info\",\"listed\":1,\"message\":"
        "\"upstreams changed\",\"node\":\"gateway-1\",\"restarted\":1");
  });
  BOOST_TEST(World.served());
}

// Many gateways that start together would keep the platform from answering.
BOOST_AUTO_TEST_CASE(are_left_to_control_by_gateways_that_start) {
  gateway_world World;
  World.addReplica({.Id = "i-1"});
  World.List->Refusals = 1000000;
  BOOST_REQUIRE_EQUAL(World.putRouting(World.usualRouting()).Status, 200);
  upstream_list_stand_in ForGateways(World.Loop);
  World.startGateway("gateway-1", {{"upstream_list", ForGateways.address()}});
  World.run(4);
  BOOST_TEST(ForGateways.Questions == 0);
  World.List->Refusals = 0;
  World.untilGatewayReady("gateway-1");
  BOOST_TEST(World.request("/safe/x").Status == 200);
  BOOST_TEST(ForGateways.Questions == 0);
  BOOST_TEST_CONTEXT("but not for ever") {
    World.List->Refusals = 1000000;
    for (auto &Node : World.Seeded)
      Node->Process->kill();
    World.Gateway->kill();
    for (auto &Node : World.Seeded)
      Node->Process->start();
    World.Gateway->start();
    World.until("it asks for itself",
                [&] { return ForGateways.Questions > 0; });
  }
}

BOOST_AUTO_TEST_SUITE_END()
