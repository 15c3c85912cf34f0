//===- crashes_test.cpp - Requests that crash the upstreams that run them -===//
//
// Guards against a request that crashes one upstream after another. Once three
// upstreams have crashed while processing the same request, it is quarantined
// at all gateways, also after they restart. Requests must not be quarantined
// because they ran next to the crashing one, because they are popular and many
// copies run when upstreams crash for another reason, or because an upstream
// that is still alive aborted them.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include <algorithm>

using namespace olivevalve;

namespace {

// Time by which every gateway has received the quarantine.
constexpr double PropagationSeconds = 3;
/// Crashes until a request is quarantined.
constexpr int CrashesToQuarantine = 3;
/// Limit on further crashes by copies of the request once it is quarantined.
constexpr int MaxFurtherCrashes = 3;
constexpr int Attempts = 8;
const std::string CrashingPath = "/safe/poison?do=crash";
const std::string CrashingPathNoRetry = "/unsafe/poison?do=crash";
const std::string CrashingStreamPath =
    "/stream/poison?do=crash&break=2&events=5";

class crashing_world : public gateway_world {
public:
  struct gateway {
    reserved_address Address;
    reserved_address Health;
    std::unique_ptr<daemon_process> Process;
  };

  crashing_world(size_t Upstreams, size_t GatewayCount) {
    for (size_t I = 0; I < Upstreams; ++I)
      addUpstream();
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    for (size_t I = 0; I < GatewayCount; ++I)
      addGateway();
    untilServing();
  }
  ~crashing_world() {
    for (auto &Each : Gateways)
      Each->Process->kill();
  }

  /// Gateways reach the upstream without a proxy, so that connections to it are
  /// refused after it has crashed.
  replica &addUpstream() {
    replica &Added = addReplica({.Id = "i-" + std::to_string(++Upstreams)});
    List->put(Added, Added.address());
    return Added;
  }
  gateway &addGateway() {
    auto New = std::make_unique<gateway>();
    New->Process = makeGateway("gateway-" + std::to_string(Gateways.size() + 1),
                               New->Address, New->Health);
    New->Process->start();
    Gateways.push_back(std::move(New));
    return *Gateways.back();
  }
  void untilServing() {
    for (size_t I = 0; I < Gateways.size(); ++I) {
      until("the gateway is ready", [&] { return ready(Gateways[I]->Health); });
      until("the gateway serves requests",
            [&] { return sendRequest("/safe/x", I).Status == 200; });
    }
  }
  std::shared_ptr<client_response> beginAt(const std::string &Path,
                                           size_t Gateway = 0,
                                           const std::string &Body = "") {
    return begin(
        Gateways[Gateway]->Address.text(),
        {.Path = Path,
         .Body = Body,
         .Key = "",
         .Headers = {"Host: a.example", "X-Credential: k1",
                     "X-Deadline-Ms: 5000", "X-Attempt-Id: " + nextId()}});
  }
  client_response sendRequest(const std::string &Path, size_t Gateway = 0,
                              const std::string &Body = "") {
    auto Answer = beginAt(Path, Gateway, Body);
    until("the request is answered", [&] { return Answer->Done; });
    return *Answer;
  }
  int crashed() const {
    return int(
        std::count_if(Replicas.begin(), Replicas.end(),
                      [](const auto &Each) { return Each.second->crashed(); }));
  }
  /// Sends the request again, as a caller does, until CrashesToQuarantine
  /// upstreams have crashed, then waits until all gateways have the quarantine.
  void untilCrashed(const std::string &Path) {
    for (int I = 0; I < Attempts && crashed() < CrashesToQuarantine; ++I)
      sendRequest(Path, size_t(I) % Gateways.size());
    BOOST_REQUIRE(crashed() >= CrashesToQuarantine);
    run(PropagationSeconds);
  }
  /// Number of upstreams that crash while Attempts further requests are sent,
  /// spread over all gateways.
  int crashesOnFurtherRequests(const std::string &Path) {
    int Before = crashed();
    for (int I = 0; I < Attempts; ++I)
      sendRequest(Path, size_t(I) % Gateways.size());
    return crashed() - Before;
  }
  void restartAll() {
    for (auto &Each : Gateways)
      Each->Process->kill();
    for (auto &Each : Seeded)
      Each->Process->kill();
    for (auto &Each : Seeded)
      Each->Process->start();
    for (auto &Each : Gateways)
      Each->Process->start();
    untilServing();
  }
  /// Crashes all running upstreams at once and adds the given number of new
  /// ones.
  void crashAll(size_t Replacements) {
    for (auto &[Id, Replica] : Replicas)
      if (!Replica->crashed()) {
        Replica->crash();
        List->remove(Id);
      }
    for (size_t I = 0; I < Replacements; ++I)
      addUpstream();
    untilServing();
  }

  std::vector<std::unique_ptr<gateway>> Gateways;

private:
  size_t Upstreams = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_AUTO_TEST_CASE(crash_three_upstreams_and_then_no_more) {
  crashing_world World(14, 1);
  World.untilCrashed(CrashingPath);
  BOOST_TEST(World.crashesOnFurtherRequests(CrashingPath) <= MaxFurtherCrashes);
  BOOST_TEST_CONTEXT("a quarantined request is refused at once as not run") {
    client_response Answer = World.sendRequest(CrashingPath);
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
    BOOST_TEST(std::atof(Answer.header("retry-after").c_str()) > 1);
  }
  BOOST_TEST_CONTEXT("other requests of the same account are served") {
    BOOST_TEST(World.sendRequest("/safe/other").Status == 200);
    BOOST_TEST(World.sendRequest("/safe/poison").Status == 200);
  }
}

BOOST_AUTO_TEST_CASE(that_crash_while_streaming_are_stopped_too) {
  crashing_world World(14, 1);
  World.untilCrashed(CrashingStreamPath);
  BOOST_TEST(World.crashesOnFurtherRequests(CrashingStreamPath) <=
             MaxFurtherCrashes);
}

// Guards against counting crashes per gateway only: here each gateway sees one
// of the three crashes, because the request is not retried.
BOOST_AUTO_TEST_CASE(are_quarantined_by_crashes_seen_at_different_gateways) {
  crashing_world World(14, 3);
  World.untilCrashed(CrashingPathNoRetry);
  BOOST_TEST(World.crashed() == CrashesToQuarantine);
  BOOST_TEST(World.crashesOnFurtherRequests(CrashingPathNoRetry) == 0);
}

BOOST_AUTO_TEST_CASE(are_quarantined_at_a_gateway_that_starts_later) {
  crashing_world World(14, 1);
  World.untilCrashed(CrashingPathNoRetry);
  World.addGateway();
  World.untilServing();
  BOOST_TEST(World.crashesOnFurtherRequests(CrashingPathNoRetry) == 0);
}

BOOST_AUTO_TEST_CASE(stay_quarantined_after_all_processes_restart) {
  crashing_world World(14, 2);
  World.untilCrashed(CrashingPathNoRetry);
  World.restartAll();
  BOOST_TEST(World.crashesOnFurtherRequests(CrashingPathNoRetry) == 0);
}

BOOST_AUTO_TEST_CASE(are_listed_and_released_by_operators) {
  crashing_world World(8, 2);
  World.untilCrashed(CrashingPathNoRetry);
  client_response Shown = World.operatorCall("GET", "/v1/quarantine", "");
  json List = json::parse(Shown.Body)["quarantine"];
  BOOST_REQUIRE_MESSAGE(List.size() == 1U, Shown.Body);
  BOOST_TEST(List[0]["upstreams_ended"].size() == size_t(CrashesToQuarantine));
  std::string Request = List[0]["request"];
  BOOST_TEST(World.Gateways[0]->Process->logText().find(Request) !=
             std::string::npos);
  auto Release = [&](const std::string &Name) {
    return World
        .operatorCall("POST", "/v1/quarantine/release",
                      json({{"request", Name}}).dump())
        .Status;
  };
  BOOST_TEST(Release("no digest") == 400);
  BOOST_TEST(Release(std::string(32, 'a')) == 404);
  BOOST_TEST(Release(Request) == 200);
  int Before = World.crashed();
  World.until("the released request is sent to an upstream", [&] {
    World.sendRequest(CrashingPathNoRetry);
    return World.crashed() > Before;
  });
}

BOOST_AUTO_TEST_CASE(exclude_popular_requests_in_flight_during_crashes) {
  crashing_world World(4, 2);
  const std::string Popular = "/safe/popular?late=300";
  for (int Round = 0; Round < CrashesToQuarantine + 1; ++Round) {
    BOOST_TEST(World.sendRequest(Popular, 0).Status == 200);
    std::vector<std::shared_ptr<client_response>> InFlight;
    for (int I = 0; I < 8; ++I)
      InFlight.push_back(World.beginAt(Popular, size_t(I) % 2));
    World.run(0.1);
    World.crashAll(4);
    World.until("the requests are answered", [&] {
      return std::all_of(InFlight.begin(), InFlight.end(),
                         [](const auto &Each) { return Each->Done; });
    });
  }
  World.run(PropagationSeconds);
  BOOST_TEST(World.sendRequest(Popular, 0).Status == 200);
  BOOST_TEST(World.sendRequest(Popular, 1).Status == 200);
}

BOOST_AUTO_TEST_CASE(exclude_requests_that_ran_concurrently) {
  crashing_world World(4, 1);
  std::vector<std::shared_ptr<client_response>> Concurrent;
  for (int I = 0; I < 12; ++I)
    Concurrent.push_back(
        World.beginAt("/safe/company-" + std::to_string(I) + "?late=400"));
  World.run(0.1);
  World.sendRequest(CrashingPathNoRetry);
  World.until("the requests are answered", [&] {
    return std::all_of(Concurrent.begin(), Concurrent.end(),
                       [](const auto &Each) { return Each->Done; });
  });
  for (const auto &Each : Concurrent)
    BOOST_TEST(Each->Status == 200);
}

BOOST_AUTO_TEST_CASE(exclude_requests_interrupted_by_leaving_upstreams) {
  crashing_world World(1, 1);
  const std::string Long = "/unsafe/long?late=2500";
  for (int Round = 0; Round <= CrashesToQuarantine; ++Round) {
    auto Interrupted = World.beginAt(Long);
    std::string Id = "i-" + std::to_string(Round + 1);
    replica &Leaving = *World.Replicas[Id];
    World.until("the request runs", [&] { return Leaving.runs() > 0; });
    World.List->put(Leaving, Leaving.address(), "draining");
    World.addUpstream();
    World.until("the leaving upstream gets no more requests", [&] {
      int Before = Leaving.arrivals();
      return World.sendRequest("/safe/x").Status == 200 &&
             Leaving.arrivals() == Before;
    });
    World.run(1); // Until the gateway has received the list.
    Leaving.crash();
    World.until("the request is answered", [&] { return Interrupted->Done; });
    BOOST_TEST(Interrupted->Status != 200);
  }
  World.run(PropagationSeconds);
  BOOST_TEST(World.sendRequest(Long).Status == 200);
}

BOOST_AUTO_TEST_CASE(exclude_requests_aborted_by_live_upstreams) {
  crashing_world World(6, 1);
  for (const char *How : {"reset", "cut", "garble"}) {
    std::string Path = "/unsafe/broken?do=" + std::string(How);
    auto Runs = [&] {
      int Sum = 0;
      for (auto &[Id, Replica] : World.Replicas)
        Sum += Replica->runs();
      return Sum;
    };
    for (int I = 0; I < 2 * CrashesToQuarantine; ++I) {
      int Before = Runs();
      World.sendRequest(Path);
      BOOST_TEST(Runs() == Before + 1);
    }
  }
}

// The same failure in the other deployment: entries, and a sidecar next to each
// engine.
BOOST_AUTO_TEST_CASE(crash_no_more_engines_behind_sidecars) {
  world World;
  World.startDefaultSystem();
  int Crashes = 0;
  auto SendRequest = [&](const std::string &Entry, const std::string &Prompt) {
    int Before = Crashes;
    auto Answer = World.begin(
        World.Entries[Entry]->Address.text(),
        {.Body = chatBody("plan", Prompt), .Headers = {"X-Deadline-Ms: 5000"}});
    World.until("the request is answered", [&] {
      for (auto &[Name, Sidecar] : World.Sidecars)
        if (Sidecar->Engine->crashes()) {
          ++Crashes;
          std::string Address = Sidecar->Engine->address();
          Sidecar->Engine.reset();
          World.run(0.3);
          Sidecar->Engine = std::make_unique<stand_in>(
              World.Loop, stand_in_options{.Address = Address});
          BOOST_REQUIRE(Sidecar->Engine->bind());
        }
      return Answer->Done;
    });
    // A request that crashed an engine must not be reported as not run.
    if (Crashes > Before)
      BOOST_TEST(Answer->outcome() != "not-run");
    return *Answer;
  };
  for (int I = 0; I < Attempts && Crashes < CrashesToQuarantine; ++I)
    SendRequest("entry-1", "crash=1");
  BOOST_REQUIRE(Crashes >= CrashesToQuarantine);
  World.run(PropagationSeconds);
  int Before = Crashes;
  for (int I = 0; I < Attempts; ++I)
    SendRequest(I % 2 ? "entry-1" : "entry-2", "crash=1");
  BOOST_TEST(Crashes - Before <= MaxFurtherCrashes);
  client_response Refused = SendRequest("entry-2", "crash=1");
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(Refused.outcome() == "not-run");
  World.until("another request is served",
              [&] { return SendRequest("entry-1", "tokens=3").Status == 200; });
}

BOOST_AUTO_TEST_SUITE_END()
