//===- measure_gateway.cpp - Resource use of a gateway --------------------===//
//
// Processor time of one gateway per request and per event of a stream, and its
// memory. Run by scripts/measure; not a test.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include "tests/measure.h"

using namespace olivevalve;

namespace {

constexpr int Upstreams = 4;

/// One gateway in front of several upstreams without faults.
class loaded_world : public gateway_world {
public:
  loaded_world() {
    for (int I = 0; I < Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)});
    json Routing = defaultRouting();
    for (json &Route : Routing["routes"])
      Route["timeout_ms"] = 60000;
    putRouting(Routing);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("upstreams are listed",
          [&] { return request("/safe/x", {.Method = "GET"}).Status == 200; });
  }

  /// Sends \p Count requests, at most \p Concurrent at a time, and waits for
  /// all responses.
  void sendRequests(const std::string &Path, int Count, int Concurrent) {
    std::vector<std::shared_ptr<client_response>> Open;
    int Sent = 0;
    int Succeeded = 0;
    until(
        "all responses are complete",
        [&] {
          std::erase_if(Open, [&](const auto &Answer) {
            Succeeded += Answer->Done && Answer->Status == 200;
            return Answer->Done;
          });
          for (; Sent < Count && int(Open.size()) < Concurrent; ++Sent)
            Open.push_back(beginRequest(Path, {.Seconds = 60}));
          return Sent == Count && Open.empty();
        },
        120);
    BOOST_TEST(Succeeded == Count);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(gateway) {
  csv_file Csv;
  loaded_world World;
  for (int Count : {1000, 4000}) {
    resource_use Before = resourceUseOf(*World.Gateway);
    World.sendRequests("/unsafe/x", Count, 8);
    resource_use After = resourceUseOf(*World.Gateway);
    Csv.row("gateway", "gateway", Count, "us a request",
            (After.CpuSeconds - Before.CpuSeconds) / Count * 1e6);
    Csv.row("gateway", "gateway", Count, "resident MB", After.ResidentMb);
  }
  for (int Streams : {20, 100, 400}) {
    constexpr int Events = 200;
    resource_use Before = resourceUseOf(*World.Gateway);
    World.sendRequests("/stream/x?events=" + std::to_string(Events), Streams,
                       Streams);
    resource_use After = resourceUseOf(*World.Gateway);
    Csv.row("gateway_streams", "gateway", Streams, "us an event",
            (After.CpuSeconds - Before.CpuSeconds) / Streams / Events * 1e6);
    Csv.row("gateway_streams", "gateway", Streams, "resident MB",
            After.ResidentMb);
  }
}
