//===- routing_size_test.cpp - Large routing tables on narrow links -------===//
//
// Guards against copies of a large routing table that fill the gateways' links
// and control's memory. Control sent the whole table to every gateway after
// each change, once more for every poll that arrived while the first copy was
// still in transit, and so did every other control VM that a gateway turned to
// because the first seemed silent. Lists of upstreams and callers' responses
// queued behind the copies, and unsent copies filled control's memory.
//
// With 1,400 routes added, the links were full for seven seconds: gateways
// refused requests on the new routes with 404 and sent requests to upstreams
// that had left, lists that arrived 4.7 s late reported an age of 0.02 s, and
// control's memory rose from 18 to 264 MB. After a loss of power control VMs
// ran out of memory repeatedly.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/control_path.h"
#include "tests/gateway_world.h"
#include "tests/measure.h"

using namespace olivevalve;

namespace {

constexpr int ManyRoutes = 1400;

/// Two upstreams, three control VMs, and one gateway behind a link of limited
/// bandwidth.
class slow_link_world : public gateway_world {
public:
  slow_link_world() {
    addReplica({.Id = "i-1"});
    addReplica({.Id = "i-2"});
    untilVoters(3);
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    Path = std::make_unique<control_path>(Loop, nodeAddressOf(*leaderOf()));
  }
  ~slow_link_world() { Gateway->kill(); }

  void startBehindPath(const std::string &ListAddress) {
    startGatewayBehind(Path->address(), "gateway-1",
                       {{"upstream_list", ListAddress}});
    untilGatewayReady("gateway-1");
  }

  int statusOn(const std::string &Route) {
    return request("/" + Route + "/x", {.Method = "GET"}).Status;
  }

  std::unique_ptr<control_path> Path;
};

std::string lastRoute() { return "r" + std::to_string(ManyRoutes - 1); }

/// A gateway simulated by the test. It polls control and can be made to stop
/// reading the responses.
class polling_gateway {
public:
  polling_gateway(link_context &Context, struct ev_loop *Loop,
                  const std::string &Target, int Number)
      : Path(Loop, Target),
        Link(Context, Loop, "gateway/asking-" + std::to_string(Number),
             [this](const wire::envelope &Message) {
               Received = Received || Message.has_notice();
               for (uint64_t Key : Message.notice().staying())
                 Staying.insert(Key);
             }),
        Number(Number) {
    Link.connect(Path.address());
  }

  void poll(uint64_t StayingKey = 0) {
    wire::envelope Message;
    wire::watch *Watch = Message.mutable_watch();
    Watch->set_node("asking-" + std::to_string(Number));
    Watch->set_incarnation(uint64_t(Number) + 1);
    if (StayingKey)
      Watch->add_staying(StayingKey);
    Link.send(Message);
  }

  proxy Path;
  client_link Link;
  int Number;
  bool Received = false;
  std::set<uint64_t> Staying;
};

} // namespace

BOOST_AUTO_TEST_SUITE(large_routing)

BOOST_AUTO_TEST_CASE(sends_changes_and_not_the_whole_table) {
  slow_link_world World;
  json Large = World.largeRouting(ManyRoutes);
  BOOST_REQUIRE_EQUAL(World.putRouting(Large).Status, 200);
  size_t TableBytes = Large.dump().size();
  World.startBehindPath(World.List->address());
  BOOST_TEST(World.statusOn(lastRoute()) == 200);
  // A single copy at the start, however often the gateway polls meanwhile.
  BOOST_TEST(World.Path->Bytes < 2 * TableBytes);
  size_t Before = World.Path->Bytes;
  for (int I = 0; I < 10; ++I) {
    std::string MovedRoute = "moved-" + std::to_string(I);
    Large["version"] = World.RoutingVersion += 3;
    Large["routes"][3]["path_prefix"] = "/" + MovedRoute + "/";
    BOOST_REQUIRE_EQUAL(World.putRouting(Large).Status, 200);
    World.until(MovedRoute + " is in force",
                [&] { return World.statusOn(MovedRoute) == 200; });
  }
  BOOST_TEST(World.Path->Bytes - Before < TableBytes / 4);
  // The other routes are unchanged.
  BOOST_TEST(World.statusOn("r0") == 404);
  BOOST_TEST(World.statusOn("r1") == 200);
  BOOST_TEST(World.statusOn(lastRoute()) == 200);
}

BOOST_AUTO_TEST_CASE(does_not_delay_reports_of_leaving_upstreams) {
  slow_link_world World;
  // No process listens at this address, so the gateway receives the list only
  // from control.
  reserved_address Nobody;
  World.startBehindPath(Nobody.text());
  World.until("the gateway serves requests",
              [&] { return World.statusOn("safe") == 200; });
  World.Path->BytesPerSecond = 30000;
  size_t Before = World.Path->Bytes;
  BOOST_REQUIRE_EQUAL(World.putRouting(World.largeRouting(ManyRoutes)).Status,
                      200);
  World.until("the table is in transit",
              [&] { return World.Path->Bytes > Before + 10000; });
  World.List->remove("i-1");
  World.until("the gateway has received that the upstream left", [&] {
    return World.Gateway->logText().find("\"left\":1") != std::string::npos;
  });
  BOOST_TEST(World.statusOn(lastRoute()) == 404);
  World.Path->BytesPerSecond = 0;
  World.until("the table is in force",
              [&] { return World.statusOn(lastRoute()) == 200; });
}

BOOST_AUTO_TEST_CASE(counts_transit_time_in_the_age_of_a_list) {
  slow_link_world World;
  upstream_list_stand_in OwnList(World.Loop);
  for (auto &[Id, Replica] : World.Replicas)
    OwnList.put(*Replica, World.Paths[Id]->address());
  World.startBehindPath(OwnList.address());
  World.until("the gateway serves requests",
              [&] { return World.statusOn("safe") == 200; });
  // With this delay every list from control is stale on arrival, so the gateway
  // must poll the platform itself as often as if it received nothing.
  World.Path->DelaySeconds = 3;
  int Before = OwnList.RequestCount;
  World.until("the gateway polls the platform",
              [&] { return OwnList.RequestCount >= Before + 3; });
}

BOOST_AUTO_TEST_CASE(uses_little_memory_for_gateways_that_do_not_read) {
  constexpr int Gateways = 16;
  constexpr int RequestCount = 40;
  gateway_world World;
  World.untilVoters(3);
  BOOST_REQUIRE_EQUAL(World.putRouting(World.largeRouting(ManyRoutes)).Status,
                      200);
  seeded_control &Leader = *World.leaderOf();
  std::string Target = World.nodeAddressOf(Leader);
  link_context Context;
  std::vector<std::unique_ptr<polling_gateway>> Pollers;
  for (int I = 0; I <= Gateways; ++I)
    Pollers.push_back(
        std::make_unique<polling_gateway>(Context, World.Loop, Target, I));
  polling_gateway &Reader = *Pollers[0];
  for (auto &Each : Pollers)
    World.until("the simulated gateway is connected", [&] {
      Each->poll();
      return Each->Received;
    });
  for (int I = 1; I <= Gateways; ++I)
    Pollers[size_t(I)]->Path.set(proxy_fault::ClientStalls);
  constexpr uint64_t FirstKey = 1000;
  for (int I = 1; I <= Gateways; ++I)
    for (int Question = 0; Question < RequestCount; ++Question)
      Pollers[size_t(I)]->poll(Question + 1 == RequestCount ? FirstKey + I : 0);
  // The last poll of each stalled gateway carries a key that control passes on
  // to the one that reads, which shows that control has processed all polls.
  World.until("control has processed all polls", [&] {
    Reader.poll();
    return Reader.Staying.size() == Gateways;
  });
#ifdef __SANITIZE_ADDRESS__
  // The sanitizer keeps freed memory, so that only a build without it can check
  // the bound.
  BOOST_TEST_MESSAGE("memory use is not checked in this build");
#else
  constexpr double MaxMb = 128;
  BOOST_TEST(resourceUseOf(*Leader.Process).ResidentMb < MaxMb);
#endif
  BOOST_TEST(Leader.Process->running());
}

BOOST_AUTO_TEST_SUITE_END()
