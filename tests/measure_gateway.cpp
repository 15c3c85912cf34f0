//===- measure_gateway.cpp - What a gateway spends on each event ----------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include "tests/measure.h"

using namespace olivevalve;

namespace {

constexpr int Upstreams = 4;

/// A gateway before some upstreams that all answer well.
class busy_world : public gateway_world {
public:
  busy_world() {
    for (int I = 0; I < Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)});
    json Routing = usualRouting();
    for (json &Route : Routing["routes"])
      Route["timeout_ms"] = 60000;
    putRouting(Routing);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("upstreams are known",
          [&] { return request("/safe/x", {.Method = "GET"}).Status == 200; });
  }

  /// Requests one after the other, so many at a time.
  void ask(const std::string &Path, int Count, int AtOnce) {
    std::vector<std::shared_ptr<caller_answer>> Open;
    int Begun = 0;
    int Good = 0;
    until(
        "all are answered",
        [&] {
          std::erase_if(Open, [&](const auto &Answer) {
            Good += Answer->Done && Answer->Status == 200;
            return Answer->Done;
          });
          for (; Begun < Count && int(Open.size()) < AtOnce; ++Begun)
            Open.push_back(beginRequest(Path, {.Seconds = 60}));
          return Begun == Count && Open.empty();
        },
        120);
    BOOST_TEST(Good == Count);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(gateway) {
  csv_file Csv;
  busy_world World;
  for (int Count : {1000, 4000}) {
    process_use Before = useOf(*World.Gateway);
    World.ask("/unsafe/x", Count, 8);
    process_use After = useOf(*World.Gateway);
    Csv.row("gateway", "gateway", Count, "us a request",
            (After.CpuSeconds - Before.CpuSeconds) / Count * 1e6);
    Csv.row("gateway", "gateway", Count, "resident MB", After.ResidentMb);
  }
  for (int Streams : {20, 100, 400}) {
    constexpr int Events = 200;
    process_use Before = useOf(*World.Gateway);
    World.ask("/stream/x?events=" + std::to_string(Events), Streams, Streams);
    process_use After = useOf(*World.Gateway);
    Csv.row("gateway_streams", "gateway", Streams, "us an event",
            (After.CpuSeconds - Before.CpuSeconds) / Streams / Events * 1e6);
    Csv.row("gateway_streams", "gateway", Streams, "resident MB",
            After.ResidentMb);
  }
}
