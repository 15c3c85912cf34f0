//===- list_test.cpp - Malformed and restarted entries of the list --------===//
//
// Guards against rejecting the platform's whole list of upstreams because of
// one malformed entry: gateways and control then keep an old list and send
// requests to upstreams that are leaving. Malformed entries come about because
// other software writes to the list too. Also covers upstreams that restart
// under the same id.
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
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("the gateway serves requests", [&] { return served(); });
  }
  bool served() { return request("/safe/x", {.Method = "GET"}).Status == 200; }
  bool hasLogged(const std::string &Text) {
    return Gateway->logText().find(Text) != std::string::npos;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(list_entries)

BOOST_AUTO_TEST_CASE(that_are_malformed_do_not_invalidate_the_others) {
  listed_world World;
  json Malformed = World.List->entryOf("i-1");
  Malformed["id"] = "i-0";
  Malformed.erase("state");
  World.List->putRawEntry("i-0", Malformed);
  World.List->putRawEntry("i-00", {{"id", 7}, {"service", json::array()}});
  World.List->putRawEntry("i-000", "not an entry");
  World.List->remove("i-1");
  World.until("the list is applied",
              [&] { return World.hasLogged("\"left\":1"); });
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
}

BOOST_AUTO_TEST_CASE(with_invalid_utf8_do_not_invalidate_the_others) {
  listed_world World;
  World.List->Garbage =
      "{\"id\":\"\xff\xfe\",\"service\":\"plain\"},{\"id\":tru,";
  World.List->remove("i-1");
  World.until("the list is applied",
              [&] { return World.hasLogged("\"left\":1"); });
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
}

// Guards against a list entry that ends every process that reads it.
BOOST_AUTO_TEST_CASE(with_a_number_beyond_a_double_do_not_end_a_process) {
  listed_world World;
  World.List->Garbage = "{\"id\":\"i-0\",\"slots\":1e999},";
  World.List->remove("i-1");
  World.until("the list is applied",
              [&] { return World.hasLogged("\"left\":1"); });
  World.run(3);
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(World.served());
  BOOST_TEST(World.Gateway->running());
  std::string Logs;
  for (auto &Node : World.Seeded) {
    BOOST_TEST(Node->Process->running());
    Logs += Node->Process->logText();
  }
  BOOST_TEST_CONTEXT("the log names the entry and the field, once") {
    std::string Fault = "slots: 1e999 is beyond the range of a number";
    size_t At = Logs.find(Fault);
    BOOST_TEST(At != std::string::npos);
    BOOST_TEST(Logs.find(Fault, At + 1) == std::string::npos);
  }
}

// The same number in an operator's request.
BOOST_AUTO_TEST_CASE(and_requests_with_such_a_number_do_not_end_control) {
  listed_world World;
  std::string Body = World.defaultRouting().dump();
  Body.insert(Body.find("\"routes\":[{") + 11, "\"timeout_ms\":2e4000,");
  std::string Read = World.operatorCall("GET", "/v1/routing", "").Body;
  for (auto &Node : World.Seeded)
    for (const char *Path : {"/v1/routing", "/v1/rollouts", "/v1/changes"}) {
      client_response Answer =
          World.call(World.operatorAddressOf(*Node),
                     {.Path = Path, .Body = Body, .Key = ""});
      BOOST_TEST((Answer.Status == 307 || Answer.Status == 400 ||
                  Answer.Status == 503),
                 Path << " " << Answer.Status);
    }
  client_response Answer = World.operatorCall("POST", "/v1/routing", Body);
  BOOST_TEST(Answer.Status == 400);
  BOOST_TEST(Answer.Body.find("routes[0].timeout_ms: 2e4000") !=
                 std::string::npos,
             Answer.Body);
  for (auto &Node : World.Seeded)
    BOOST_TEST(Node->Process->running());
  BOOST_TEST(World.operatorCall("GET", "/v1/routing", "").Body == Read);
}

// Guards against a list that fills the memory of every process that reads it.
BOOST_AUTO_TEST_CASE(of_an_endless_page_are_not_read) {
  listed_world World;
  World.List->Garbage = "\"" + std::string(17 << 20, 'x') + "\",";
  World.until("the page is refused", [&] {
    for (auto &Node : World.Seeded)
      if (Node->Process->logText().find("is larger than 16 MiB") !=
          std::string::npos)
        return true;
    return false;
  });
  BOOST_TEST(World.served());
  World.List->Garbage.clear();
  World.List->remove("i-1");
  World.until("the next list is applied",
              [&] { return World.hasLogged("\"left\":1"); });
}

// Guards against ending olivevalvectl on fields of another type.
BOOST_AUTO_TEST_CASE(and_answers_of_something_else_do_not_end_the_client) {
  world World;
  for (const char *Body : {R"({"leads":"yes"})", R"({"leads":true,"error":7})",
                           R"({"leads":true,"error":{"code":7}})"}) {
    http_server Other(
        World.Loop, {}, [&](const std::shared_ptr<http_exchange> &Exchange) {
          bool IsStatus = Exchange->path() == "/v1/status";
          Exchange->reply(IsStatus ? 200 : 400, "application/json", Body);
        });
    BOOST_REQUIRE(Other.bind("127.0.0.1:0"));
    ctl_result Shown = World.ctl({"-c", Other.address(), "nodes"});
    BOOST_TEST(Shown.ExitCode > 0, Body);
    BOOST_TEST(Shown.Text.starts_with("olivevalvectl: "), Shown.Text);
  }
}

BOOST_AUTO_TEST_CASE(with_a_new_start_time_are_new_upstreams) {
  listed_world World;
  json Entry = World.List->entryOf("i-1");
  Entry["born"] = 1760000000000;
  World.List->putRawEntry("i-1", Entry);
  World.List->remove("i-2");
  World.until("only one upstream is listed",
              [&] { return World.hasLogged("\"listed\":1"); });
  Entry["born"] = 1760000100000;
  World.List->putRawEntry("i-1", Entry);
  // The number of listed upstreams is unchanged, but the state held for the
  // upstream is discarded.
  World.until("the previous start is recorded as left", [&] {
    return World.hasLogged(
        "\"left\":1,\"level\":\"info\",\"listed\":1,\"message\":"
        "\"upstreams changed\",\"node\":\"gateway-1\",\"restarted\":1");
  });
  BOOST_TEST(World.served());
}

// Guards against overloading the platform: if many gateways that start together
// polled the list themselves, the platform could not respond to any of them.
BOOST_AUTO_TEST_CASE(are_not_polled_by_gateways_that_start) {
  gateway_world World;
  World.addReplica({.Id = "i-1"});
  World.List->Refusals = 1000000;
  BOOST_REQUIRE_EQUAL(World.putRouting(World.defaultRouting()).Status, 200);
  upstream_list_stand_in ForGateways(World.Loop);
  World.startGateway("gateway-1", {{"upstream_list", ForGateways.address()}});
  World.run(4);
  BOOST_TEST(ForGateways.RequestCount == 0);
  World.List->Refusals = 0;
  World.untilGatewayReady("gateway-1");
  BOOST_TEST(World.request("/safe/x").Status == 200);
  BOOST_TEST(ForGateways.RequestCount == 0);
  BOOST_TEST_CONTEXT("a gateway polls the list itself if control has none") {
    World.List->Refusals = 1000000;
    for (auto &Node : World.Seeded)
      Node->Process->kill();
    World.Gateway->kill();
    for (auto &Node : World.Seeded)
      Node->Process->start();
    World.Gateway->start();
    World.until("the gateway polls the list",
                [&] { return ForGateways.RequestCount > 0; });
  }
}

BOOST_AUTO_TEST_SUITE_END()
