//===- evacuation_test.cpp - Data halls that get no new requests ----------===//
//
// Nothing new goes to upstreams of an evacuated data hall, by no way, until it
// is restored; what runs there ends whole.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

constexpr double InForceSeconds = 2;

class hall_world : public gateway_world {
public:
  /// Two upstreams in each of the data halls charguia and lac.
  hall_world() {
    addReplica({.Id = "c-1", .DataHall = "charguia"});
    addReplica({.Id = "c-2", .DataHall = "charguia"});
    addReplica({.Id = "l-1", .DataHall = "lac"});
    addReplica({.Id = "l-2", .DataHall = "lac"});
    startServing(usualRouting());
  }
  int ask(const std::string &Path, caller_request Request = {}) {
    return request(Path, std::move(Request)).Status;
  }
  caller_answer order(const std::string &Verb, const std::string &Hall,
                      const std::string &Body = "") {
    return operatorCall("POST", "/v1/halls/" + Verb + "/" + Hall, Body);
  }
  void evacuate(const std::string &Hall) {
    BOOST_REQUIRE_EQUAL(order("evacuate", Hall).Status, 200);
    run(InForceSeconds);
  }
  int arrivalsIn(const std::string &Hall) {
    int Sum = 0;
    for (auto &[Id, Replica] : Replicas)
      if (Replica->options().DataHall == Hall)
        Sum += Replica->arrivals();
    return Sum;
  }
  json hall(const std::string &Name) {
    caller_answer Answer = operatorCall("GET", "/v1/halls", "");
    json Body = json::parse(Answer.Body, nullptr, false);
    for (const json &Hall : Body["halls"])
      if (Hall["data_hall"] == Name)
        return Hall;
    return {};
  }
  /// Asks in all the ways that choose an upstream; none may reach the hall.
  void testNothingGoesTo(const std::string &Hall) {
    const caller_request AnyModel = {
        .Headers = {"X-Model: *", "X-Token-Count: 100,20"}};
    int Before = arrivalsIn(Hall);
    for (int I = 0; I < 10; ++I) {
      BOOST_TEST(ask("/safe/x") == 200);
      BOOST_TEST(ask("/unsafe/x") == 200);
      BOOST_TEST(ask("/stream/x?events=4&break=2", AnyModel) == 200);
      ask("/safe/x?do=fail");
    }
    BOOST_TEST(arrivalsIn(Hall) == Before);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuated_halls)

BOOST_AUTO_TEST_CASE(get_no_requests_by_any_way_until_they_are_restored) {
  hall_world World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.1; // A larger model is asked.
  World.evacuate("charguia");
  World.testNothingGoesTo("charguia");
  BOOST_TEST_CONTEXT("nor where the platform lists a new upstream there") {
    World.addReplica({.Id = "c-3", .DataHall = "charguia"});
    World.run(2);
    World.testNothingGoesTo("charguia");
  }
  BOOST_TEST_CONTEXT("a late copy of the order changes nothing") {
    BOOST_TEST(World.order("evacuate", "charguia").Status == 200);
    BOOST_TEST(World.hall("charguia")["evacuated"] == true);
  }
  BOOST_TEST_CONTEXT("and then get some again") {
    BOOST_TEST(World.order("restore", "charguia").Status == 200);
    int Before = World.arrivalsIn("charguia");
    World.until("a request goes there", [&] {
      World.ask("/safe/x");
      return World.arrivalsIn("charguia") > Before;
    });
    BOOST_TEST(World.hall("charguia")["evacuated"] == false);
  }
}

BOOST_AUTO_TEST_CASE(end_what_runs_there) {
  hall_world World;
  World.Replicas["l-1"]->Refuses = World.Replicas["l-2"]->Refuses = true;
  auto Stream = World.beginRequest("/stream/x?events=300");
  World.until("it runs", [&] { return Stream->Body.size() > 0; });
  World.Replicas["l-1"]->Refuses = World.Replicas["l-2"]->Refuses = false;
  BOOST_REQUIRE_EQUAL(World.order("evacuate", "charguia").Status, 200);
  World.until("it is shown as open", [&] {
    return World.hall("charguia").value("open_requests", 0) == 1;
  });
  World.until("an answer", [&] { return Stream->Done; });
  BOOST_TEST(Stream->Body.find("data: 300\n") != std::string::npos);
  World.until("it is shown as empty", [&] {
    json Hall = World.hall("charguia");
    return Hall.value("open_requests", -1) == 0 &&
           Hall.value("gateways_behind", -1) == 0;
  });
}

BOOST_AUTO_TEST_CASE(are_all_there_are_and_callers_hear_so_at_once) {
  hall_world World;
  BOOST_REQUIRE_EQUAL(World.order("evacuate", "charguia").Status, 200);
  World.evacuate("lac");
  int Before = World.arrivalsIn("charguia") + World.arrivalsIn("lac");
  for (const char *Path : {"/safe/x", "/unsafe/x", "/stream/x?events=3"}) {
    double Since = steadySeconds();
    caller_answer Answer = World.request(Path);
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
    BOOST_TEST(std::atof(Answer.header("retry-after").c_str()) > 0.3);
    BOOST_TEST(steadySeconds() - Since < 1);
  }
  BOOST_TEST(World.arrivalsIn("charguia") + World.arrivalsIn("lac") == Before);
}

BOOST_AUTO_TEST_CASE(are_remembered_through_the_loss_of_every_process) {
  hall_world World;
  World.evacuate("charguia");
  BOOST_TEST_CONTEXT("of the leader") {
    seeded_control *Leader = World.leaderOf();
    BOOST_REQUIRE(Leader != nullptr);
    Leader->Process->kill();
    World.testNothingGoesTo("charguia");
    Leader->Process->start();
  }
  BOOST_TEST_CONTEXT("of all") {
    World.Gateway->kill();
    for (auto &Node : World.Seeded)
      Node->Process->kill();
    for (auto &Node : World.Seeded)
      Node->Process->start();
    World.Gateway->start();
    World.untilGatewayReady("gateway-1");
    World.until("it serves", [&] { return World.ask("/safe/x") == 200; });
    World.testNothingGoesTo("charguia");
  }
}

// An order that was sent again elsewhere lies unread at the first VM asked.
BOOST_AUTO_TEST_CASE(are_not_moved_by_a_copy_that_a_frozen_leader_reads_late) {
  hall_world World;
  World.untilVoters(3);
  seeded_control *Frozen = World.leaderOf();
  BOOST_REQUIRE(Frozen != nullptr);
  Frozen->Process->signal(SIGSTOP);
  auto Late = World.begin(World.operatorAddressOf(*Frozen),
                          {.Path = "/v1/halls/evacuate/charguia", .Key = ""});
  World.run(0.3);
  BOOST_TEST(World.order("evacuate", "charguia").Status == 200);
  BOOST_TEST(World.order("restore", "charguia").Status == 200);
  Frozen->Process->signal(SIGCONT);
  World.until("the copy is answered", [&] { return Late->Done; });
  BOOST_TEST(Late->Status != 200);
  World.run(InForceSeconds);
  BOOST_TEST(World.hall("charguia")["evacuated"] == false);
  int Before = World.arrivalsIn("charguia");
  World.until("a request goes there", [&] {
    World.ask("/safe/x");
    return World.arrivalsIn("charguia") > Before;
  });
}

BOOST_AUTO_TEST_CASE(need_a_clear_order) {
  hall_world World;
  BOOST_TEST(World.order("restore", "charguia").Status == 200);
  BOOST_TEST(World.order("restore", "never-heard-of").Status == 200);
  BOOST_TEST(World.order("evacuate", "charguia", "{}").Status == 400);
  BOOST_TEST(World.order("evacuate", "").Status == 400);
  BOOST_TEST(World.order("evacuate", "a/b").Status == 400);
  BOOST_TEST(World.order("evacuate", std::string(300, 'x')).Status == 400);
  BOOST_TEST(World.operatorCall("GET", "/v1/halls/evacuate/lac", "").Status ==
             404);
  BOOST_TEST(World.hall("charguia")["evacuated"] == false);
  BOOST_TEST(World.hall("lac")["upstreams"] == 2);
  BOOST_TEST_CONTEXT("a name of another spelling evacuates nothing else") {
    World.evacuate("Charguia");
    int Before = World.arrivalsIn("charguia");
    World.until("a request goes there", [&] {
      World.ask("/safe/x");
      return World.arrivalsIn("charguia") > Before;
    });
  }
}

BOOST_AUTO_TEST_CASE(answer_two_operators_at_once_in_one_order) {
  hall_world World;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::shared_ptr<caller_answer>> Answers;
    seeded_control *Leader = World.leaderOf();
    BOOST_REQUIRE(Leader != nullptr);
    for (const char *Verb : {"evacuate", "restore", "evacuate", "restore"})
      Answers.push_back(World.begin(
          World.operatorAddressOf(*Leader),
          {.Path = "/v1/halls/" + std::string(Verb) + "/charguia", .Key = ""}));
    for (const auto &Answer : Answers) {
      World.until("an answer", [&] { return Answer->Done; });
      BOOST_TEST(Answer->Status == 200);
    }
    World.run(InForceSeconds);
    bool Evacuated = World.hall("charguia")["evacuated"].get<bool>();
    int Before = World.arrivalsIn("charguia");
    for (int I = 0; I < 40; ++I)
      World.ask("/safe/x");
    BOOST_TEST((World.arrivalsIn("charguia") > Before) == !Evacuated);
    World.order("restore", "charguia");
  }
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Entries with sidecar a in the data hall charguia and b in lac.
class two_halls : public world {
public:
  two_halls() {
    startUsual();
    json Upstreams = usualConfig()["upstreams"];
    Upstreams["b"]["data_hall"] = "lac";
    putObject("upstream", "b", Upstreams["b"]);
  }
  caller_answer ask() {
    return call(Entries["entry-1"]->Address.text(),
                {.Body = chatBody("plan", "x")});
  }
  json hall(const std::string &Name) {
    json Halls = json::parse(ctl({"get", "halls", "-o", "json"}).Text);
    for (const json &Hall : Halls["halls"])
      if (Hall["data_hall"] == Name)
        return Hall;
    return {};
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuated_halls_of_entries)

BOOST_AUTO_TEST_CASE(get_nothing_new_until_they_are_restored) {
  two_halls World;
  BOOST_TEST(World.hall("lac")["evacuated"] == false);
  BOOST_TEST(World.ctl({"evacuate", "lac"}).ExitCode == 0);
  BOOST_TEST(World.hall("lac")["evacuated"] == true);
  World.run(InForceSeconds);
  for (int I = 0; I < 20; ++I) {
    caller_answer Answer = World.ask();
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(Answer.upstream() == "a");
  }
  BOOST_TEST_CONTEXT("callers hear at once that all halls are") {
    BOOST_TEST(World.ctl({"evacuate", "charguia"}).ExitCode == 0);
    World.run(InForceSeconds);
    caller_answer Answer = World.ask();
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
  }
  BOOST_TEST_CONTEXT("restored they get requests again") {
    BOOST_TEST(World.ctl({"restore", "lac"}).ExitCode == 0);
    World.until("b answers", [&] { return World.ask().upstream() == "b"; });
  }
}

BOOST_AUTO_TEST_CASE(are_named_by_operators_as_they_are_spelt) {
  two_halls World;
  ctl_result Wrong = World.ctl({"evacuate", "Lac"});
  BOOST_TEST(Wrong.ExitCode == 1);
  BOOST_TEST(Wrong.Text.find("Lac: no such data hall") != std::string::npos);
  BOOST_TEST(World.ctl({"evacuate"}).ExitCode == 2);
  BOOST_TEST(World.ctl({"restore", "lac", "charguia"}).ExitCode == 2);
  BOOST_TEST(World.ctl({"halls"}).Text.find("EVACUATED") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
