//===- crashes_test.cpp - Requests that crash the upstreams that run them -===//
//
// Guards against a request that crashes one upstream after another. Once three
// upstreams have crashed while processing the same request, it is quarantined
// at all gateways, also after they restart. Requests must not be quarantined
// because they ran next to the crashing one, because they are popular and many
// copies run when upstreams crash for another reason, or because an upstream
// that is still alive aborted them. The same holds for a block of prompts that
// crashes upstreams, whatever else the requests with it contain.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include <algorithm>
#include <array>
#include <set>

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

/// Entries, and engines behind sidecars. A crashed engine is started again.
class engine_world : public world {
public:
  engine_world() { startDefaultSystem(); }
  client_response sendChat(const std::string &Entry, const std::string &Body) {
    int Before = Crashes;
    auto Answer = begin(Entries[Entry]->Address.text(),
                        {.Body = Body, .Headers = {"X-Deadline-Ms: 5000"}});
    until("the request is answered", [&] {
      for (auto &[Name, Sidecar] : Sidecars)
        if (Sidecar->Engine->crashes()) {
          ++Crashes;
          std::string Address = Sidecar->Engine->address();
          Sidecar->Engine.reset();
          run(0.3);
          Sidecar->Engine = std::make_unique<stand_in>(
              Loop, stand_in_options{.Address = Address});
          BOOST_REQUIRE(Sidecar->Engine->bind());
        }
      return Answer->Done;
    });
    // A request that crashed an engine must not be reported as not run.
    if (Crashes > Before)
      BOOST_TEST(Answer->outcome() != "not-run");
    return *Answer;
  }

  int Crashes = 0;
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
  engine_world World;
  auto SendRequest = [&](const std::string &Entry, const std::string &Prompt) {
    return World.sendChat(Entry, chatBody("plan", Prompt));
  };
  for (int I = 0; I < Attempts && World.Crashes < CrashesToQuarantine; ++I)
    SendRequest("entry-1", "crash=1");
  BOOST_REQUIRE(World.Crashes >= CrashesToQuarantine);
  World.run(PropagationSeconds);
  int Before = World.Crashes;
  for (int I = 0; I < Attempts; ++I)
    SendRequest(I % 2 ? "entry-1" : "entry-2", "crash=1");
  BOOST_TEST(World.Crashes - Before <= MaxFurtherCrashes);
  client_response Refused = SendRequest("entry-2", "crash=1");
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(Refused.outcome() == "not-run");
  World.until("another request is served",
              [&] { return SendRequest("entry-1", "tokens=3").Status == 200; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crashing_prompt_blocks)

namespace {

// Target: at most so many runs of requests with the block from so long after
// the fifth crash on.
constexpr int CrashesUntilKnown = 5;
constexpr int MaxLateRuns = 3;
const std::string BadBlock = "bad";

/// Sound requests and requests with a block that crashes upstreams, all
/// different, that share their first block, their account and other blocks.
class block_world : public crashing_world {
public:
  explicit block_world(size_t GatewayCount, bool CrashesBeforeHead = false)
      : crashing_world(10, GatewayCount), CrashesBeforeHead(CrashesBeforeHead) {
    json Routing = defaultRouting();
    Routing["accounts"].push_back({{"name", "other"}, {"keys", {"k2"}}});
    BOOST_REQUIRE_EQUAL(putRouting(Routing).Status, 200);
    run(1);
    setCrashingBlock(BadBlock);
  }
  void setCrashingBlock(const std::string &Block) {
    Crashing = Block;
    for (auto &[Id, Replica] : Replicas) {
      Replica->CrashingBlock = Block;
      Replica->CrashesBeforeHead = CrashesBeforeHead;
    }
  }
  /// Sends a request whose last block is its own.
  std::shared_ptr<client_response>
  beginPrompt(const std::vector<std::string> &SharedBlocks, size_t Gateway,
              const std::string &Key = "k1") {
    LastId = nextId();
    std::string Blocks;
    for (const std::string &Block : SharedBlocks)
      Blocks += Block + ":200,";
    std::array<char, 24> Own{};
    std::snprintf(Own.data(), Own.size(), "f%06d:100", ++Prompts);
    return begin(Gateways[Gateway]->Address.text(),
                 {.Path = "/stream/" + LastId + "?events=3",
                  .Body = LastId,
                  .Key = "",
                  .Headers = {"Host: a.example", "X-Credential: " + Key,
                              "X-Deadline-Ms: 5000", "X-Attempt-Id: " + LastId,
                              "X-Model: small", "X-Token-Count: 1000,20",
                              "X-Prefix-Hash: " + Blocks + Own.data()}});
  }
  /// Plays \p Seconds of sound requests, one of \p Every with the bad block; 0:
  /// none. A crashed upstream is replaced by one with another id.
  void play(double Seconds, int Every) {
    double End = steadySeconds() + Seconds;
    for (; steadySeconds() < End; run(0.02)) {
      ++Turn;
      size_t Gateway = size_t(Turn) % Gateways.size();
      std::string Middle = "b" + std::to_string(Turn % 3);
      std::string Key = Turn % 5 == 0 ? "k2" : "k1";
      Sound.push_back({beginPrompt({"a1", Middle}, Gateway, Key), LastId});
      if (Every > 0 && Turn % Every == 0)
        beginBad(Gateway, Middle, Key);
      replaceCrashed();
    }
  }
  /// Plays until CrashesUntilKnown upstreams have crashed or no more crash, and
  /// then until all gateways have to refuse the block.
  void playUntilKnown(int Every = 8) {
    play(1, 0);
    for (int I = 0; I < 10 && Crashes < CrashesUntilKnown; ++I)
      play(0.5, Every);
    play(PropagationSeconds, Every);
    Sound.clear();
  }
  void crashAllAtOnce() {
    crashAll(10);
    for (auto &[Id, Replica] : Replicas)
      if (Replica->crashed())
        Replaced.insert(Id);
    setCrashingBlock(Crashing);
  }
  int badRuns() const {
    int Sum = 0;
    for (const std::string &Id : BadIds)
      Sum += runs(Id);
    return Sum;
  }
  void testRefused(double Seconds = 3) {
    int Before = badRuns();
    play(Seconds, 4);
    BOOST_TEST(badRuns() - Before <= MaxLateRuns);
    testSoundServed();
  }
  /// Target: sound requests begin at their first attempt at least half as often
  /// as without crashes, where all do.
  void testSoundServed() {
    run(1);
    size_t First = 0;
    for (const sent_request &Each : Sound)
      First += Each.Answer->Status == 200 && runs(Each.Id) == 1;
    BOOST_TEST_MESSAGE("sound requests served at the first attempt: "
                       << First << " of " << Sound.size() << ", crashes "
                       << Crashes);
    BOOST_TEST(2 * First >= Sound.size());
  }
  json quarantinedBlocks() {
    client_response Shown = operatorCall("GET", "/v1/quarantine", "");
    json List = json::parse(Shown.Body)["quarantine"];
    json Blocks = json::array();
    for (const json &Each : List)
      if (Each.value("kind", "") == "block")
        Blocks.push_back(Each);
    return Blocks;
  }

  int Crashes = 0;

private:
  struct sent_request {
    std::shared_ptr<client_response> Answer;
    std::string Id;
  };
  void beginBad(size_t Gateway, const std::string &Middle,
                const std::string &Key) {
    std::vector<std::vector<std::string>> Prompts = {
        {"a1", BadBlock, Middle}, {BadBlock, Middle}, {"a2", Middle, BadBlock}};
    Bad.push_back(beginPrompt(Prompts[size_t(Turn) % 3], Gateway, Key));
    BadIds.push_back(LastId);
  }
  void replaceCrashed() {
    for (auto &[Id, Replica] : Replicas)
      if (Replica->crashed() && Replaced.insert(Id).second) {
        ++Crashes;
        List->remove(Id);
        addUpstream();
        return setCrashingBlock(Crashing);
      }
  }

  bool CrashesBeforeHead;
  std::string Crashing;
  int Prompts = 0;
  int Turn = 0;
  std::vector<sent_request> Sound;
  std::vector<std::shared_ptr<client_response>> Bad;
  std::vector<std::string> BadIds;
  std::set<std::string> Replaced;
};

} // namespace

BOOST_AUTO_TEST_CASE(stop_crashing_upstreams_at_one_gateway) {
  block_world World(1);
  World.playUntilKnown();
  World.testRefused();
  BOOST_TEST_CONTEXT("a request with the block is refused as not run") {
    auto Answer = World.beginPrompt({BadBlock}, 0);
    World.until("the request is answered", [&] { return Answer->Done; });
    BOOST_TEST(Answer->Status == 503);
    BOOST_TEST(Answer->outcome() == "not-run");
    BOOST_TEST(std::atof(Answer->header("retry-after").c_str()) > 1);
  }
  BOOST_TEST_CONTEXT("as the last block it belongs to the request only") {
    auto Answer = World.beginPrompt({"a1"}, 0);
    World.until("the request is answered", [&] { return Answer->Done; });
    BOOST_TEST(Answer->Status == 200);
  }
}

BOOST_AUTO_TEST_CASE(stop_crashing_upstreams_at_three_gateways) {
  block_world World(3);
  World.playUntilKnown();
  World.testRefused();
}

BOOST_AUTO_TEST_CASE(stop_crashing_upstreams_that_send_no_head) {
  block_world World(3, true);
  World.playUntilKnown();
  World.testRefused();
}

BOOST_AUTO_TEST_CASE(that_were_sound_before_are_refused) {
  block_world World(2);
  World.setCrashingBlock("");
  World.play(3, 2);
  BOOST_TEST(World.Crashes == 0);
  World.setCrashingBlock(BadBlock);
  World.playUntilKnown();
  World.testRefused();
}

BOOST_AUTO_TEST_CASE(are_refused_at_a_gateway_that_starts_later) {
  block_world World(1);
  World.playUntilKnown();
  World.addGateway();
  World.untilServing();
  World.testRefused();
}

BOOST_AUTO_TEST_CASE(stay_refused_after_all_processes_restart) {
  block_world World(2);
  World.playUntilKnown();
  World.restartAll();
  World.testRefused();
}

BOOST_AUTO_TEST_CASE(exclude_blocks_in_flight_during_mass_crashes) {
  block_world World(3);
  World.setCrashingBlock("");
  for (int Round = 0; Round < 3; ++Round) {
    World.play(2, 4);
    World.crashAllAtOnce();
  }
  World.play(PropagationSeconds, 4);
  BOOST_TEST(World.quarantinedBlocks().empty());
  World.playUntilKnown();
  World.play(2, 0);
  World.testSoundServed();
}

BOOST_AUTO_TEST_CASE(are_served_again_once_upstreams_have_been_fixed) {
  block_world World(2);
  World.until("the block is quarantined", [&] {
    World.play(0.2, 8);
    return !World.quarantinedBlocks().empty();
  });
  World.setCrashingBlock("");
  World.until("the block is released", [&] {
    World.play(0.2, 8);
    return World.quarantinedBlocks().empty();
  });
  World.until("a request with the block is served", [&] {
    auto Answer = World.beginPrompt({"a1", BadBlock}, 0);
    World.until("the request is answered", [&] { return Answer->Done; });
    return Answer->Status == 200;
  });
}

BOOST_AUTO_TEST_CASE(are_listed_and_released_by_operators) {
  block_world World(1);
  World.playUntilKnown();
  json Blocks = World.quarantinedBlocks();
  BOOST_REQUIRE_MESSAGE(Blocks.size() == 1U, Blocks.dump());
  World.setCrashingBlock("");
  json Release = {{"request", Blocks[0]["request"]}};
  BOOST_TEST(
      World.operatorCall("POST", "/v1/quarantine/release", Release.dump())
          .Status == 200);
  World.until("a request with the block is served", [&] {
    auto Answer = World.beginPrompt({"a1", BadBlock}, 0);
    World.until("the request is answered", [&] { return Answer->Done; });
    return Answer->Status == 200;
  });
}

// The same failure with entries and sidecars, where the blocks are messages.
BOOST_AUTO_TEST_CASE(crash_no_more_engines_behind_sidecars) {
  engine_world World;
  int Number = 0;
  auto Chat = [&](const std::string &First) {
    json Messages = json::array();
    for (const std::string &Text :
         {std::string("tokens=3"), First, "own=" + std::to_string(++Number)})
      Messages.push_back({{"role", "user"}, {"content", Text}});
    return json({{"model", "plan"}, {"messages", Messages}}).dump();
  };
  auto EntryOf = [](int I) { return I % 2 ? "entry-1" : "entry-2"; };
  for (int I = 0; I < Attempts && World.Crashes < CrashesUntilKnown; ++I) {
    World.sendChat(EntryOf(I), Chat("crash=1"));
    BOOST_TEST(World.sendChat(EntryOf(I), Chat("sound")).Status == 200);
  }
  World.run(PropagationSeconds);
  int Before = World.Crashes;
  for (int I = 0; I < Attempts; ++I) {
    World.sendChat(EntryOf(I), Chat("crash=1"));
    BOOST_TEST(World.sendChat(EntryOf(I), Chat("sound")).Status == 200);
  }
  BOOST_TEST(World.Crashes - Before <= MaxLateRuns);
  client_response Refused = World.sendChat("entry-2", Chat("crash=1"));
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(Refused.outcome() == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()
