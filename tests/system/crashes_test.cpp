//===- crashes_test.cpp - Requests that crash the upstreams that run them -===//
//
// A request under which three upstreams have ended gets no further one, at no
// gateway and through no start. What was only in company, is popular, or was
// broken off by upstreams that live is served on.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include <algorithm>

using namespace olivevalve;

namespace {

// By then every gateway must know, and none may send more than a few.
constexpr double SpreadSeconds = 3;
constexpr int EndsAllowed = 3;
constexpr int FewMore = 3;
constexpr int ManyTries = 8;
const std::string Guilty = "/safe/poison?do=crash";
const std::string GuiltyOnce = "/unsafe/poison?do=crash";
const std::string GuiltyStream = "/stream/poison?do=crash&break=2&events=5";

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
    BOOST_REQUIRE_EQUAL(putRouting(usualRouting()).Status, 200);
    for (size_t I = 0; I < GatewayCount; ++I)
      addGateway();
    untilServing();
  }
  ~crashing_world() {
    for (auto &Each : Gateways)
      Each->Process->kill();
  }

  /// Gateways reach it without a proxy: what ended refuses connections.
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
      until("upstreams are known",
            [&] { return ask("/safe/x", I).Status == 200; });
    }
  }
  std::shared_ptr<caller_answer> beginAt(const std::string &Path,
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
  caller_answer ask(const std::string &Path, size_t Gateway = 0,
                    const std::string &Body = "") {
    auto Answer = beginAt(Path, Gateway, Body);
    until("an answer", [&] { return Answer->Done; });
    return *Answer;
  }
  int crashed() const {
    return int(
        std::count_if(Replicas.begin(), Replicas.end(),
                      [](const auto &Each) { return Each.second->crashed(); }));
  }
  /// Tries as a caller does until so many upstreams have ended.
  void untilCrashed(const std::string &Path) {
    for (int I = 0; I < ManyTries && crashed() < EndsAllowed; ++I)
      ask(Path, size_t(I) % Gateways.size());
    BOOST_REQUIRE(crashed() >= EndsAllowed);
    run(SpreadSeconds);
  }
  /// Upstreams that end under so many further tries at all gateways.
  int endsOfMoreTries(const std::string &Path) {
    int Before = crashed();
    for (int I = 0; I < ManyTries; ++I)
      ask(Path, size_t(I) % Gateways.size());
    return crashed() - Before;
  }
  void startAllAnew() {
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
  /// All upstreams that run end at once and are replaced.
  void endAll(size_t Replacements) {
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

BOOST_AUTO_TEST_CASE(end_three_upstreams_and_then_no_more) {
  crashing_world World(14, 1);
  World.untilCrashed(Guilty);
  BOOST_TEST(World.endsOfMoreTries(Guilty) <= FewMore);
  BOOST_TEST_CONTEXT("and are refused as not run, at once") {
    caller_answer Answer = World.ask(Guilty);
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
    BOOST_TEST(std::atof(Answer.header("retry-after").c_str()) > 1);
  }
  BOOST_TEST_CONTEXT("while others of the same account are served") {
    BOOST_TEST(World.ask("/safe/other").Status == 200);
    BOOST_TEST(World.ask("/safe/poison").Status == 200);
  }
}

BOOST_AUTO_TEST_CASE(that_crash_in_their_stream_end_no_more_either) {
  crashing_world World(14, 1);
  World.untilCrashed(GuiltyStream);
  BOOST_TEST(World.endsOfMoreTries(GuiltyStream) <= FewMore);
}

// Each gateway saw one end.
BOOST_AUTO_TEST_CASE(are_known_by_ends_that_different_gateways_saw) {
  crashing_world World(14, 3);
  World.untilCrashed(GuiltyOnce);
  BOOST_TEST(World.crashed() == EndsAllowed);
  BOOST_TEST(World.endsOfMoreTries(GuiltyOnce) == 0);
}

BOOST_AUTO_TEST_CASE(are_known_to_a_gateway_that_starts_later) {
  crashing_world World(14, 1);
  World.untilCrashed(GuiltyOnce);
  World.addGateway();
  World.untilServing();
  BOOST_TEST(World.endsOfMoreTries(GuiltyOnce) == 0);
}

BOOST_AUTO_TEST_CASE(are_known_after_all_processes_have_started_anew) {
  crashing_world World(14, 2);
  World.untilCrashed(GuiltyOnce);
  World.startAllAnew();
  BOOST_TEST(World.endsOfMoreTries(GuiltyOnce) == 0);
}

BOOST_AUTO_TEST_CASE(are_shown_to_operators_and_let_out_by_them) {
  crashing_world World(8, 2);
  World.untilCrashed(GuiltyOnce);
  caller_answer Shown = World.operatorCall("GET", "/v1/quarantine", "");
  json List = json::parse(Shown.Body)["quarantine"];
  BOOST_REQUIRE_MESSAGE(List.size() == 1U, Shown.Body);
  BOOST_TEST(List[0]["upstreams_ended"].size() == size_t(EndsAllowed));
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
  World.until("it is tried again", [&] {
    World.ask(GuiltyOnce);
    return World.crashed() > Before;
  });
}

BOOST_AUTO_TEST_CASE(do_not_bar_a_popular_one_that_upstreams_end_under) {
  crashing_world World(4, 2);
  const std::string Popular = "/safe/popular?late=300";
  for (int Round = 0; Round < EndsAllowed + 1; ++Round) {
    BOOST_TEST(World.ask(Popular, 0).Status == 200);
    std::vector<std::shared_ptr<caller_answer>> Under;
    for (int I = 0; I < 8; ++I)
      Under.push_back(World.beginAt(Popular, size_t(I) % 2));
    World.run(0.1);
    World.endAll(4);
    World.until("the answers", [&] {
      return std::all_of(Under.begin(), Under.end(),
                         [](const auto &Each) { return Each->Done; });
    });
  }
  World.run(SpreadSeconds);
  BOOST_TEST(World.ask(Popular, 0).Status == 200);
  BOOST_TEST(World.ask(Popular, 1).Status == 200);
}

BOOST_AUTO_TEST_CASE(do_not_bar_their_company) {
  crashing_world World(4, 1);
  std::vector<std::shared_ptr<caller_answer>> Company;
  for (int I = 0; I < 12; ++I)
    Company.push_back(
        World.beginAt("/safe/company-" + std::to_string(I) + "?late=400"));
  World.run(0.1);
  World.ask(GuiltyOnce);
  World.until("the answers", [&] {
    return std::all_of(Company.begin(), Company.end(),
                       [](const auto &Each) { return Each->Done; });
  });
  for (const auto &Each : Company)
    BOOST_TEST(Each->Status == 200);
}

BOOST_AUTO_TEST_CASE(are_not_those_that_leaving_upstreams_cut) {
  crashing_world World(1, 1);
  const std::string Long = "/unsafe/long?late=2500";
  for (int Round = 0; Round <= EndsAllowed; ++Round) {
    auto Cut = World.beginAt(Long);
    std::string Id = "i-" + std::to_string(Round + 1);
    replica &Leaving = *World.Replicas[Id];
    World.until("it runs", [&] { return Leaving.runs() > 0; });
    World.List->put(Leaving, Leaving.address(), "draining");
    World.addUpstream();
    World.until("another one serves", [&] {
      int Before = Leaving.arrivals();
      return World.ask("/safe/x").Status == 200 && Leaving.arrivals() == Before;
    });
    World.run(1); // The gateway has the list.
    Leaving.crash();
    World.until("the answer", [&] { return Cut->Done; });
    BOOST_TEST(Cut->Status != 200);
  }
  World.run(SpreadSeconds);
  BOOST_TEST(World.ask(Long).Status == 200);
}

BOOST_AUTO_TEST_CASE(are_not_those_that_living_upstreams_broke_off) {
  crashing_world World(6, 1);
  for (const char *How : {"reset", "cut", "garble"}) {
    std::string Path = "/unsafe/broken?do=" + std::string(How);
    auto Runs = [&] {
      int Sum = 0;
      for (auto &[Id, Replica] : World.Replicas)
        Sum += Replica->runs();
      return Sum;
    };
    for (int I = 0; I < 2 * EndsAllowed; ++I) {
      int Before = Runs();
      World.ask(Path);
      BOOST_TEST(Runs() == Before + 1);
    }
  }
}

// The other way through the product: entries, and a sidecar beside each engine.
BOOST_AUTO_TEST_CASE(end_no_more_engines_behind_sidecars_either) {
  world World;
  World.startUsual();
  int Ends = 0;
  auto Ask = [&](const std::string &Entry, const std::string &Prompt) {
    int Before = Ends;
    auto Answer = World.begin(
        World.Entries[Entry]->Address.text(),
        {.Body = chatBody("plan", Prompt), .Headers = {"X-Deadline-Ms: 5000"}});
    World.until("an answer", [&] {
      for (auto &[Name, Sidecar] : World.Sidecars)
        if (Sidecar->Engine->crashes()) {
          ++Ends;
          std::string Address = Sidecar->Engine->address();
          Sidecar->Engine.reset();
          World.run(0.3);
          Sidecar->Engine = std::make_unique<stand_in>(
              World.Loop, stand_in_options{.Address = Address});
          BOOST_REQUIRE(Sidecar->Engine->bind());
        }
      return Answer->Done;
    });
    // It has run where an engine ended under it.
    if (Ends > Before)
      BOOST_TEST(Answer->outcome() != "not-run");
    return *Answer;
  };
  for (int I = 0; I < ManyTries && Ends < EndsAllowed; ++I)
    Ask("entry-1", "crash=1");
  BOOST_REQUIRE(Ends >= EndsAllowed);
  World.run(SpreadSeconds);
  int Before = Ends;
  for (int I = 0; I < ManyTries; ++I)
    Ask(I % 2 ? "entry-1" : "entry-2", "crash=1");
  BOOST_TEST(Ends - Before <= FewMore);
  caller_answer Refused = Ask("entry-2", "crash=1");
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(Refused.outcome() == "not-run");
  World.until("another request is served",
              [&] { return Ask("entry-1", "tokens=3").Status == 200; });
}

BOOST_AUTO_TEST_SUITE_END()
