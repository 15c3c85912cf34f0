//===- measure_routing.cpp - Cost of a routing change ---------------------===//
//
// Runs one gateway process, and in this process only the connections to control
// of many more gateways. Measures ten consecutive changes of one route each.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "lease/control_watch.h"
#include "tests/gateway_world.h"
#include "tests/measure.h"
#include <algorithm>

using namespace olivevalve;

namespace {

constexpr int Changes = 10;

/// Control VMs with the given number of connected gateways.
class connected_world : public gateway_world {
public:
  explicit connected_world(int Gateways) {
    untilVoters(3);
    std::vector<std::string> Seeds;
    for (auto &Node : Seeded)
      Seeds.push_back(nodeAddressOf(*Node));
    for (int I = 1; I < Gateways; ++I) {
      auto Watch = std::make_unique<control_watch>(
          Context, Loop,
          control_watch_options{.Node = "g" + std::to_string(I),
                                .Incarnation = uint64_t(I) + 1,
                                .DataHall = "charguia",
                                .Seeds = Seeds});
      Watch->OnRouting = [](const auto &...) {};
      Watch->OnRollouts = [](const wire::notice &) {};
      Watch->OnSessions = [](const wire::notice &) {};
      Watch->OnGateways = [](uint32_t) {};
      Watch->OnPeerAddresses = [](const std::vector<std::string> &) {};
      Watches.push_back(std::move(Watch));
    }
  }

  /// Waits until all connections have received \p Version and the gateway
  /// process serves \p Route.
  void untilInForce(uint64_t Version, const std::string &Route) {
    until(
        "the change is in force",
        [&] {
          return std::all_of(Watches.begin(), Watches.end(),
                             [&](const auto &Watch) {
                               return Watch->routingVersion() >= Version;
                             }) &&
                 request("/" + Route + "/x", {.Method = "GET"}).Status == 200;
        },
        120);
  }

  /// Bytes that the connections in this process have received.
  double receivedBytes() {
    uint64_t Sum = 0;
    for (const message_traffic &Kind : Context.traffic().ByKind)
      Sum += Kind.ReceivedBytes;
    return double(Sum);
  }

  link_context Context;
  std::vector<std::unique_ptr<control_watch>> Watches;
};

void measure(csv_file &Csv, int Routes, int Gateways) {
  connected_world World(Gateways);
  World.addReplica({.Id = "i-1"});
  json Routing = World.largeRouting(Routes);
  World.putRouting(Routing);
  World.startGateway("gateway-1");
  World.untilGatewayReady("gateway-1");
  World.untilInForce(World.RoutingVersion, "safe");
  World.run(1);
  seeded_control &Leader = *World.leaderOf();
  resource_use ControlBefore = resourceUseOf(*Leader.Process);
  resource_use GatewayBefore = resourceUseOf(*World.Gateway);
  double BytesBefore = World.receivedBytes();
  std::vector<double> Delays;
  for (int I = 0; I < Changes; ++I) {
    std::string Moved = "moved-" + std::to_string(I);
    Routing["version"] = World.RoutingVersion += 3;
    Routing["routes"][0]["path_prefix"] = "/" + Moved + "/";
    double Start = steadySeconds();
    World.putRouting(Routing);
    World.untilInForce(World.RoutingVersion, Moved);
    Delays.push_back(steadySeconds() - Start);
  }
  std::sort(Delays.begin(), Delays.end());
  resource_use ControlAfter = resourceUseOf(*Leader.Process);
  resource_use GatewayAfter = resourceUseOf(*World.Gateway);
  auto Row = [&](const char *Role, const char *Quantity, double Value) {
    Csv.row("routing", Role, Routes,
            std::string(Quantity) + " with " + std::to_string(Gateways) +
                " gateways",
            Value);
  };
  Row("gateway", "bytes each",
      (World.receivedBytes() - BytesBefore) / (Gateways - 1) / Changes);
  Row("gateway", "cpu ms each",
      (GatewayAfter.CpuSeconds - GatewayBefore.CpuSeconds) / Changes * 1e3);
  Row("gateway", "resident MB", GatewayAfter.ResidentMb);
  Row("control", "cpu ms each",
      (ControlAfter.CpuSeconds - ControlBefore.CpuSeconds) / Changes * 1e3);
  Row("control", "resident MB", ControlAfter.ResidentMb);
  Row("all", "s to in force, median", Delays[Changes / 2]);
  Row("all", "s to in force, worst", Delays.back());
  World.Gateway->kill();
}

} // namespace

BOOST_AUTO_TEST_CASE(routing) {
  csv_file Csv;
  for (int Routes : {100, 1400, 5000})
    for (int Gateways : {10, 32, 100})
      measure(Csv, Routes, Gateways);
}
