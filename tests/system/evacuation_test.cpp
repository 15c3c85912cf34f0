//===- evacuation_test.cpp - Data halls that get no new requests ----------===//
//
// Guards against new requests reaching an evacuated data hall through any of
// the paths that choose an upstream, before the hall is restored, and against
// aborting the requests that already run there.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

// Time by which an order is in force at all gateways and entries.
constexpr double InForceSeconds = 2;

class hall_world : public gateway_world {
public:
  /// Two upstreams in each of the data halls charguia and lac.
  hall_world() {
    addReplica({.Id = "c-1", .DataHall = "charguia"});
    addReplica({.Id = "c-2", .DataHall = "charguia"});
    addReplica({.Id = "l-1", .DataHall = "lac"});
    addReplica({.Id = "l-2", .DataHall = "lac"});
    startServing(defaultRouting());
  }
  int sendRequest(const std::string &Path, client_request Request = {}) {
    return request(Path, std::move(Request)).Status;
  }
  client_response order(const std::string &Verb, const std::string &Hall,
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
    client_response Answer = operatorCall("GET", "/v1/halls", "");
    json Body = json::parse(Answer.Body, nullptr, false);
    for (const json &Hall : Body["halls"])
      if (Hall["data_hall"] == Name)
        return Hall;
    return {};
  }
  /// Sends requests through every path that chooses an upstream and checks that
  /// none of them reaches the hall.
  void testHallGetsNoRequests(const std::string &Hall) {
    const client_request AnyModel = {
        .Headers = {"X-Model: *", "X-Token-Count: 100,20"}};
    int ArrivalsBefore = arrivalsIn(Hall);
    for (int I = 0; I < 10; ++I) {
      BOOST_TEST(sendRequest("/safe/x") == 200);
      BOOST_TEST(sendRequest("/unsafe/x") == 200);
      BOOST_TEST(sendRequest("/stream/x?events=4&break=2", AnyModel) == 200);
      sendRequest("/safe/x?do=fail");
    }
    BOOST_TEST(arrivalsIn(Hall) == ArrivalsBefore);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuated_halls)

BOOST_AUTO_TEST_CASE(get_no_requests_by_any_path_until_restored) {
  hall_world World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence =
        0.1; // Low confidence: the request is repeated at a larger model.
  World.evacuate("charguia");
  World.testHallGetsNoRequests("charguia");
  BOOST_TEST_CONTEXT("an upstream newly listed in the hall gets none either") {
    World.addReplica({.Id = "c-3", .DataHall = "charguia"});
    World.run(2);
    World.testHallGetsNoRequests("charguia");
  }
  BOOST_TEST_CONTEXT("a repeated order changes nothing") {
    BOOST_TEST(World.order("evacuate", "charguia").Status == 200);
    BOOST_TEST(World.hall("charguia")["evacuated"] == true);
  }
  BOOST_TEST_CONTEXT("a restored hall gets requests again") {
    BOOST_TEST(World.order("restore", "charguia").Status == 200);
    int ArrivalsBefore = World.arrivalsIn("charguia");
    World.until("a request goes there", [&] {
      World.sendRequest("/safe/x");
      return World.arrivalsIn("charguia") > ArrivalsBefore;
    });
    BOOST_TEST(World.hall("charguia")["evacuated"] == false);
  }
}

BOOST_AUTO_TEST_CASE(finish_requests_in_flight) {
  hall_world World;
  World.Replicas["l-1"]->Refuses = World.Replicas["l-2"]->Refuses = true;
  auto Stream = World.beginRequest("/stream/x?events=300");
  World.until("the stream has started",
              [&] { return Stream->Body.size() > 0; });
  World.Replicas["l-1"]->Refuses = World.Replicas["l-2"]->Refuses = false;
  BOOST_REQUIRE_EQUAL(World.order("evacuate", "charguia").Status, 200);
  World.until("the request is reported as open", [&] {
    return World.hall("charguia").value("open_requests", 0) == 1;
  });
  World.until("the stream has ended", [&] { return Stream->Done; });
  BOOST_TEST(Stream->Body.find("data: 300\n") != std::string::npos);
  World.until("the hall is reported as empty", [&] {
    json Hall = World.hall("charguia");
    return Hall.value("open_requests", -1) == 0 &&
           Hall.value("gateways_behind", -1) == 0;
  });
}

BOOST_AUTO_TEST_CASE(refuse_callers_at_once_if_no_other_hall_is_left) {
  hall_world World;
  BOOST_REQUIRE_EQUAL(World.order("evacuate", "charguia").Status, 200);
  World.evacuate("lac");
  int ArrivalsBefore = World.arrivalsIn("charguia") + World.arrivalsIn("lac");
  for (const char *Path : {"/safe/x", "/unsafe/x", "/stream/x?events=3"}) {
    double Since = steadySeconds();
    client_response Answer = World.request(Path);
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
    BOOST_TEST(std::atof(Answer.header("retry-after").c_str()) > 0.3);
    BOOST_TEST(steadySeconds() - Since < 1);
  }
  BOOST_TEST(World.arrivalsIn("charguia") + World.arrivalsIn("lac") ==
             ArrivalsBefore);
}

BOOST_AUTO_TEST_CASE(stay_evacuated_after_the_loss_of_every_process) {
  hall_world World;
  World.evacuate("charguia");
  BOOST_TEST_CONTEXT("after the loss of the leader") {
    seeded_control *Leader = World.leaderOf();
    BOOST_REQUIRE(Leader != nullptr);
    Leader->Process->kill();
    World.testHallGetsNoRequests("charguia");
    Leader->Process->start();
  }
  BOOST_TEST_CONTEXT("after the loss of all processes") {
    World.Gateway->kill();
    for (auto &Node : World.Seeded)
      Node->Process->kill();
    for (auto &Node : World.Seeded)
      Node->Process->start();
    World.Gateway->start();
    World.untilGatewayReady("gateway-1");
    World.until("the gateway serves",
                [&] { return World.sendRequest("/safe/x") == 200; });
    World.testHallGetsNoRequests("charguia");
  }
}

// Guards against applying an order after a newer one. The operator's client
// resends an order to another VM while the first copy is still unread at the
// frozen leader, which reads it once it runs again.
BOOST_AUTO_TEST_CASE(ignore_a_late_copy_of_an_order_at_a_frozen_leader) {
  hall_world World;
  World.untilVoters(3);
  seeded_control *FrozenLeader = World.leaderOf();
  BOOST_REQUIRE(FrozenLeader != nullptr);
  FrozenLeader->Process->signal(SIGSTOP);
  auto LateCopy =
      World.begin(World.operatorAddressOf(*FrozenLeader),
                  {.Path = "/v1/halls/evacuate/charguia", .Key = ""});
  World.run(0.3);
  BOOST_TEST(World.order("evacuate", "charguia").Status == 200);
  BOOST_TEST(World.order("restore", "charguia").Status == 200);
  FrozenLeader->Process->signal(SIGCONT);
  World.until("the late copy is answered", [&] { return LateCopy->Done; });
  BOOST_TEST(LateCopy->Status != 200);
  World.run(InForceSeconds);
  BOOST_TEST(World.hall("charguia")["evacuated"] == false);
  int ArrivalsBefore = World.arrivalsIn("charguia");
  World.until("a request goes there", [&] {
    World.sendRequest("/safe/x");
    return World.arrivalsIn("charguia") > ArrivalsBefore;
  });
}

BOOST_AUTO_TEST_CASE(reject_malformed_orders) {
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
  BOOST_TEST_CONTEXT("a name in different case evacuates no other hall") {
    World.evacuate("Charguia");
    int ArrivalsBefore = World.arrivalsIn("charguia");
    World.until("a request goes there", [&] {
      World.sendRequest("/safe/x");
      return World.arrivalsIn("charguia") > ArrivalsBefore;
    });
  }
}

BOOST_AUTO_TEST_CASE(apply_concurrent_orders_consistently) {
  hall_world World;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::shared_ptr<client_response>> Answers;
    seeded_control *Leader = World.leaderOf();
    BOOST_REQUIRE(Leader != nullptr);
    for (const char *Verb : {"evacuate", "restore", "evacuate", "restore"})
      Answers.push_back(World.begin(
          World.operatorAddressOf(*Leader),
          {.Path = "/v1/halls/" + std::string(Verb) + "/charguia", .Key = ""}));
    for (const auto &Answer : Answers) {
      World.until("the order is answered", [&] { return Answer->Done; });
      BOOST_TEST(Answer->Status == 200);
    }
    World.run(InForceSeconds);
    bool Evacuated = World.hall("charguia")["evacuated"].get<bool>();
    int ArrivalsBefore = World.arrivalsIn("charguia");
    for (int I = 0; I < 40; ++I)
      World.sendRequest("/safe/x");
    BOOST_TEST((World.arrivalsIn("charguia") > ArrivalsBefore) == !Evacuated);
    World.order("restore", "charguia");
  }
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Entries with sidecar a in data hall charguia and sidecar b in data hall lac.
class two_halls : public world {
public:
  two_halls() {
    startDefaultSystem();
    json Upstreams = defaultConfig()["upstreams"];
    Upstreams["b"]["data_hall"] = "lac";
    putObject("upstream", "b", Upstreams["b"]);
  }
  client_response sendRequest() {
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

BOOST_AUTO_TEST_CASE(get_no_new_requests_until_restored) {
  two_halls World;
  BOOST_TEST(World.hall("lac")["evacuated"] == false);
  BOOST_TEST(World.ctl({"evacuate", "lac"}).ExitCode == 0);
  BOOST_TEST(World.hall("lac")["evacuated"] == true);
  World.run(InForceSeconds);
  for (int I = 0; I < 20; ++I) {
    client_response Answer = World.sendRequest();
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(Answer.upstream() == "a");
  }
  BOOST_TEST_CONTEXT("callers are refused at once if all halls are evacuated") {
    BOOST_TEST(World.ctl({"evacuate", "charguia"}).ExitCode == 0);
    World.run(InForceSeconds);
    client_response Answer = World.sendRequest();
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
  }
  BOOST_TEST_CONTEXT("a restored hall gets requests again") {
    BOOST_TEST(World.ctl({"restore", "lac"}).ExitCode == 0);
    World.until("b answers",
                [&] { return World.sendRequest().upstream() == "b"; });
  }
}

BOOST_AUTO_TEST_CASE(are_named_by_operators_in_exact_spelling) {
  two_halls World;
  ctl_result Wrong = World.ctl({"evacuate", "Lac"});
  BOOST_TEST(Wrong.ExitCode == 1);
  BOOST_TEST(Wrong.Text.find("Lac: no such data hall") != std::string::npos);
  BOOST_TEST(World.ctl({"evacuate"}).ExitCode == 2);
  BOOST_TEST(World.ctl({"restore", "lac", "charguia"}).ExitCode == 2);
  BOOST_TEST(World.ctl({"halls"}).Text.find("EVACUATED") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
