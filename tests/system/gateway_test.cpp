//===- gateway_test.cpp - Requests for plain services through a gateway ---===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;
using namespace std::string_literals;

namespace {

/// A ready gateway in front of two upstreams.
class served_world : public gateway_world {
public:
  served_world() {
    addReplica({.Id = "i-1"});
    addReplica({.Id = "i-2"});
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    startGateway("gateway-1");
    untilGatewayReady("gateway-1");
    until("the gateway serves requests",
          [&] { return request("/safe/x", {.Method = "GET"}).Status == 200; });
  }

  /// Sends raw bytes and returns everything received until the gateway closes
  /// the connection.
  std::string raw(const std::string &Bytes) {
    tcp_stream Stream(Loop, GatewayAddress.text());
    std::string Received;
    bool Closed = false;
    Stream.OnBytes = [&](std::string_view More) { Received.append(More); };
    Stream.OnEnd = [&](bool) { Closed = true; };
    Stream.write(Bytes);
    until("the connection is closed", [&] { return Closed; });
    return Received;
  }
};

std::string events(int First, int Last) {
  std::string Text;
  for (int I = First; I <= Last; ++I)
    Text +=
        "id: " + std::to_string(I) + "\ndata: " + std::to_string(I) + "\n\n";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateways)

BOOST_AUTO_TEST_CASE(forward_requests_and_responses_unchanged) {
  served_world World;
  client_response Answer = World.request(
      "/unsafe/book?a=%2e&b", {.Body = "{\"seat\": 7}",
                               .Headers = {"X-Odd: kept", "X-Tenant: forged"}});
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body.ends_with("got {\"seat\": 7}"));
  BOOST_TEST(Answer.header("x-response-seal").starts_with("seal-of-i-"));
  std::string Server = Answer.header("x-response-seal").substr(8);
  const http_head &Head = World.Replicas[Server]->lastHead();
  BOOST_TEST(Head.Target == "/unsafe/book?a=%2e&b");
  BOOST_TEST(*Head.find("X-Odd") == "kept");
  BOOST_TEST(*Head.find("X-Tenant") == "dispatch");
  BOOST_TEST(!Head.find("X-Credential"));
  BOOST_TEST(std::stoi(std::string(*Head.find("X-Deadline-Ms"))) <= 3000);

  // A chunked body is forwarded with a Content-Length.
  std::string Text = World.raw(
      "POST /unsafe/c HTTP/1.1\r\nHost: a.example\r\nX-Credential: k1\r\n"
      "X-Attempt-Id: c\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n"
      "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  BOOST_TEST(Text.find("got abcde") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refuse_requests_without_route_or_key) {
  served_world World;
  BOOST_TEST(World.request("/nowhere/x").Status == 404);
  BOOST_TEST(World
                 .request("/safe/x",
                          {.Method = "GET", .Headers = {"X-Credential: other"}})
                 .Status == 401);
  BOOST_TEST(World.runs(World.LastId) == 0);
}

BOOST_AUTO_TEST_CASE(reject_request_smuggling) {
  served_world World;
  int Before = World.Replicas["i-1"]->runs() + World.Replicas["i-2"]->runs();
  const std::string Head =
      "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Credential: k1\r\n"
      "X-Attempt-Id: smuggler\r\n";
  const std::string Inner =
      "0\r\n\r\nPOST /unsafe/y HTTP/1.1\r\nHost: a.example\r\n"
      "X-Credential: k1\r\nX-Attempt-Id: smuggled\r\n\r\n";
  const std::string Cases[] = {
      Head + "Content-Length: " + std::to_string(Inner.size()) +
          "\r\nTransfer-Encoding: chunked\r\n\r\n" + Inner,
      Head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" + Inner,
      Head + "Transfer-Encoding: xchunked\r\n\r\n" + Inner,
      Head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\n" + Inner,
      Head + "X-Zero: a\0b\r\nContent-Length: 0\r\n\r\n"s,
      Head + "X Blank: a\r\nContent-Length: 0\r\n\r\n",
  };
  for (const std::string &Case : Cases) {
    std::string Text = World.raw(Case);
    BOOST_TEST(Text.starts_with("HTTP/1.1 400"), Text);
    BOOST_TEST(Text.find("HTTP/1.1", 5) == std::string::npos);
  }
  int After = World.Replicas["i-1"]->runs() + World.Replicas["i-2"]->runs();
  BOOST_TEST(After == Before);
}

BOOST_AUTO_TEST_CASE(enforce_request_size_and_time_limits) {
  served_world World;
  std::string Start = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\n";
  BOOST_TEST(World.raw(Start + "X-Long: " + std::string(5000, 'x'))
                 .starts_with("HTTP/1.1 431"));
  BOOST_TEST(World.raw(Start + "Content-Length: 200000\r\n\r\n")
                 .starts_with("HTTP/1.1 413"));
  // An incomplete request head, and a connection on which nothing is sent.
  BOOST_TEST(World.raw(Start).starts_with("HTTP/1.1 408"));
  BOOST_TEST(World.raw("").empty());
}

// Guards against reporting the wrong outcome to callers. Each case makes both
// upstreams fail in one way and checks the status and the number of runs for a
// safe (repeatable) and an unsafe request.
BOOST_AUTO_TEST_CASE(report_whether_a_failed_request_ran) {
  served_world World;
  struct fault_case {
    const char *Do;
    int Safe; ///< Status of the safe request if both upstreams fail this way.
    bool MayRun; ///< Whether the safe request can run at an upstream.
    int Unsafe;  ///< Status of the unsafe request.
    int UnsafeRuns;
  };
  const fault_case Cases[] = {
      {"refuse", 503, false, 503, 0}, {"fail", 500, true, 500, 1},
      {"reset", 502, true, 502, 1},   {"cut", 502, true, 502, 1},
      {"garble", 502, true, 502, 1},  {"mute", 504, true, 504, 1},
  };
  for (const fault_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Do) {
      std::string Query = std::string("x?do=") + Case.Do;
      client_response Safe = World.request("/safe/" + Query, {.Method = "GET"});
      BOOST_TEST(Safe.Status == Case.Safe);
      // No more attempts than the route allows.
      int Runs = World.runs(World.LastId);
      BOOST_TEST((Case.MayRun ? Runs >= 2 && Runs <= 3 : Runs == 0));
      client_response Unsafe = World.request("/unsafe/" + Query);
      BOOST_TEST(Unsafe.Status == Case.Unsafe);
      BOOST_TEST(World.runs(World.LastId) == Case.UnsafeRuns);
    }
  for (const char *Do : {"extra", "unframed"})
    BOOST_TEST_CONTEXT(Do) {
      client_response Answer =
          World.request(std::string("/unsafe/x?do=") + Do, {.Body = "b"});
      BOOST_TEST(Answer.Status == 200);
      BOOST_TEST(Answer.Body.ends_with("got b"));
    }
  // The surplus response must not be delivered to a later request on the same
  // upstream connection.
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(World.request("/unsafe/x", {.Body = "z"}).Body.ends_with("z"));
}

BOOST_AUTO_TEST_CASE(do_not_truncate_responses_beyond_their_buffer) {
  served_world World;
  constexpr int BufferBytes = 16 << 20;
  constexpr int TextBytes = 8; // "i-1 got "
  for (int Beyond : {0, 1})
    BOOST_TEST_CONTEXT(Beyond << " bytes beyond") {
      client_response Answer = World.request(
          "/safe/x?pad=" + std::to_string(BufferBytes - TextBytes + Beyond));
      BOOST_TEST(Answer.Status == (Beyond ? 502 : 200));
      BOOST_TEST(Answer.outcome() == (Beyond ? "ran" : ""));
      BOOST_TEST(World.runs(World.LastId) == 1);
      if (!Beyond)
        BOOST_TEST(Answer.Body.size() == size_t(BufferBytes));
    }
}

BOOST_AUTO_TEST_CASE(respect_max_connections_of_upstreams) {
  served_world World;
  json Routing = World.defaultRouting();
  Routing["services"][0]["max_connections"] = 6;
  Routing["routes"][1]["path_prefix"] = "/few/";
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  World.until("the limit is in force",
              [&] { return World.request("/few/x").Status == 200; });
  std::vector<std::shared_ptr<client_response>> Open;
  for (int I = 0; I < 40; ++I)
    Open.push_back(World.beginRequest("/few/x?late=300"));
  size_t MaxConnections = 0;
  World.until("all requests are answered", [&] {
    for (auto &[Id, Replica] : World.Replicas)
      MaxConnections = std::max(MaxConnections, Replica->connections());
    return std::all_of(Open.begin(), Open.end(),
                       [](const auto &Each) { return Each->Done; });
  });
  BOOST_TEST(MaxConnections <= 6U);
  // Requests above the limit are refused at once as not run.
  for (const auto &Each : Open)
    BOOST_TEST((Each->Status == 200 || Each->outcome() == "not-run"),
               Each->Status << " " << Each->Error << " " << Each->Body);
}

BOOST_AUTO_TEST_CASE(retry_elsewhere_when_an_upstream_is_unreachable) {
  served_world World;
  for (proxy_fault Fault : {proxy_fault::Cut, proxy_fault::DropAll}) {
    World.Paths["i-1"]->set(Fault);
    for (int I = 0; I < 6; ++I) {
      client_response Answer = World.request("/safe/x", {.Method = "GET"});
      BOOST_TEST(Answer.Status == 200);
    }
    World.Paths["i-1"]->set(proxy_fault::None);
  }
}

// Guards against losing one unsafe request after another at an upstream that is
// out of reach. An unsafe request that may have run is not sent again, so the
// first failure costs one caller; after it the upstream gets no unsafe requests
// until it has answered others.
BOOST_AUTO_TEST_CASE(send_no_unsafe_requests_to_an_unrecovered_upstream) {
  served_world World;
  World.Paths["i-1"]->set(proxy_fault::Cut);
  // A request in flight on a closing connection may have run, and its failure
  // does not count against the upstream. Once the gateway has answered a later
  // request by itself, it has handled the earlier closes.
  World.until("its connections are closed",
              [&] { return World.Paths["i-1"]->connections() == 0; });
  BOOST_TEST(World.request("/nowhere/x").Status == 404);
  int Lost = 0;
  double Until = steadySeconds() + 4;
  World.until("the test period is over", [&] {
    Lost += World.request("/unsafe/x").Status != 200;
    return steadySeconds() > Until;
  });
  BOOST_TEST(Lost <= 1);
  // A safe request detects that the upstream can be reached again.
  World.Paths["i-1"]->set(proxy_fault::None);
  World.until("the upstream gets a safe request", [&] {
    BOOST_TEST(World.request("/safe/x", {.Method = "GET"}).Status == 200);
    return World.Replicas["i-1"]->runs(World.LastId) == 1;
  });
  World.until("the upstream gets an unsafe request", [&] {
    BOOST_TEST(World.request("/unsafe/x").Status == 200);
    return World.Replicas["i-1"]->runs(World.LastId) == 1;
  });
}

BOOST_AUTO_TEST_CASE(refuse_as_not_run_when_no_upstream_is_reachable) {
  served_world World;
  for (auto &[Id, Replica] : World.Replicas) {
    World.Paths[Id]->setTarget("127.0.0.1:1");
    World.Paths[Id]->set(proxy_fault::Cut);
    World.List->remove(Id);
    World.List->put(*Replica, "127.0.0.1:1");
  }
  int PollsBefore = World.List->RequestCount;
  World.until("the gateway has polled the new addresses",
              [&] { return World.List->RequestCount > PollsBefore + 2; });
  for (const char *Path : {"/safe/x", "/unsafe/x", "/stream/x"}) {
    client_response Answer = World.request(Path);
    BOOST_TEST(Answer.Status == 503);
    BOOST_TEST(Answer.outcome() == "not-run");
    BOOST_TEST(!Answer.header("retry-after").empty());
  }
  BOOST_TEST(World.Gateway->running());
}

BOOST_AUTO_TEST_SUITE(streams)

BOOST_AUTO_TEST_CASE(resume_at_another_upstream_in_the_same_response) {
  served_world World;
  client_response Answer = World.request("/stream/x?events=8");
  BOOST_TEST(Answer.Body == events(1, 8));
  Answer = World.request("/stream/x?events=8&break=3");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Error.empty());
  BOOST_TEST(Answer.Body == events(1, 8));
  BOOST_TEST(World.runs(World.LastId) == 2);
}

BOOST_AUTO_TEST_CASE(that_cannot_resume_end_with_an_error) {
  served_world World;
  // The only reachable upstream breaks off the stream and there is no other one
  // to continue it.
  World.Paths["i-1"]->set(proxy_fault::Cut);
  client_response Answer = World.request("/stream/x?events=8&break=3");
  BOOST_TEST(Answer.Body == events(1, 3));
  BOOST_TEST(!Answer.Error.empty());
}

BOOST_AUTO_TEST_CASE(
    are_cancelled_at_the_upstream_when_the_caller_disconnects) {
  served_world World;
  auto Answer = World.beginRequest("/stream/x?events=500", {.Seconds = 0.3});
  World.until("the caller has disconnected", [&] { return Answer->Done; });
  World.until("the upstream has stopped", [&] {
    return World.Replicas["i-1"]->cancelled() +
               World.Replicas["i-2"]->cancelled() ==
           1;
  });
}

BOOST_AUTO_TEST_CASE(with_low_confidence_are_sent_to_the_largest_model) {
  served_world World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.2;
  client_response Answer =
      World.request("/stream/x?events=3", {.Headers = {"X-Model: *"}});
  BOOST_TEST(Answer.Body == events(1, 3));
  BOOST_TEST(World.runs(World.LastId) == 2);
  std::string Server = Answer.header("x-response-seal").substr(8);
  BOOST_TEST(*World.Replicas[Server]->lastHead().find("X-Model") == "large");
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.9;
  World.request("/stream/x?events=3", {.Headers = {"X-Model: *"}});
  BOOST_TEST(World.runs(World.LastId) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_list)

BOOST_AUTO_TEST_CASE(is_applied_after_failed_polls) {
  served_world World;
  World.List->Refusals = 3;
  World.List->put(*World.Replicas["i-1"], World.Paths["i-1"]->address(),
                  "draining");
  int PollsBefore = World.List->RequestCount;
  World.until("the list has been polled again",
              [&] { return World.List->RequestCount > PollsBefore + 6; });
  int Before = World.Replicas["i-1"]->runs();
  for (int I = 0; I < 8; ++I)
    BOOST_TEST(World.request("/safe/x", {.Method = "GET"}).Status == 200);
  BOOST_TEST(World.Replicas["i-1"]->runs() == Before);
}

BOOST_AUTO_TEST_CASE(may_have_an_address_that_another_service_took_over) {
  served_world World;
  replica_options Other{.Id = "i-9", .Service = "other"};
  replica OtherService(World.Loop, Other);
  World.Paths["i-1"]->setTarget(OtherService.address());
  World.Replicas["i-1"]->crash();
  for (int I = 0; I < 8; ++I)
    BOOST_TEST(World.request("/safe/x", {.Method = "GET"}).Status == 200);
  BOOST_TEST(OtherService.runs() == 0);
}

// Guards against failing requests on a route with a single attempt. The first
// upstream has crashed, and a process of another service that took over its
// address declines the request; a declined request does not count as an
// attempt.
BOOST_AUTO_TEST_CASE(may_have_a_crashed_upstream_on_a_single_attempt_route) {
  served_world World;
  json Routing = World.defaultRouting();
  Routing["routes"][1]["max_attempts"] = 1;
  Routing["routes"][1]["path_prefix"] = "/once/";
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  World.until("the routing is in force",
              [&] { return World.request("/once/x").Status == 200; });
  replica OtherService(World.Loop, {.Id = "i-9", .Service = "other"});
  World.Paths["i-1"]->setTarget(OtherService.address());
  World.Replicas["i-1"]->crash();
  // A request in flight on a closing connection may have run. Once the gateway
  // has answered a later request by itself, it has handled the earlier closes.
  World.until("its connections are closed",
              [&] { return World.Paths["i-1"]->connections() == 0; });
  BOOST_TEST(World.request("/nowhere/x").Status == 404);
  for (int I = 0; I < 12; ++I) {
    BOOST_TEST(World.request("/once/x").Status == 200);
    BOOST_TEST(World.runs(World.LastId) == 1);
  }
  BOOST_TEST(OtherService.runs() == 0);
}

BOOST_AUTO_TEST_CASE(is_received_from_control_when_polling_fails) {
  gateway_world World;
  World.addReplica({.Id = "i-1"});
  BOOST_REQUIRE_EQUAL(World.putRouting(World.defaultRouting()).Status, 200);
  reserved_address Nobody;
  World.startGateway("gateway-1", {{"upstream_list", Nobody.text()}});
  World.untilGatewayReady("gateway-1");
  BOOST_TEST(World.request("/safe/x", {.Method = "GET"}).Status == 200);
  World.addReplica({.Id = "i-2"});
  World.List->remove("i-1");
  World.until("the new upstream gets a request", [&] {
    World.request("/safe/x", {.Method = "GET"});
    return World.Replicas["i-2"]->runs() > 0;
  });
}

BOOST_AUTO_TEST_CASE(is_polled_by_gateways_when_control_is_down) {
  served_world World;
  for (auto &Node : World.Seeded)
    Node->Process->kill();
  World.addReplica({.Id = "i-3"});
  World.until("the new upstream gets a request", [&] {
    World.request("/safe/x", {.Method = "GET"});
    return World.Replicas["i-3"]->runs() > 0;
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(starts)

namespace {

// Adds an upstream, stores a routing in control and then stops all control VMs.
void stopControl(gateway_world &World) {
  World.addReplica({.Id = "i-1"});
  World.untilVoters(3);
  BOOST_REQUIRE_EQUAL(World.putRouting(World.defaultRouting()).Status, 200);
  for (auto &Node : World.Seeded)
    Node->Process->kill();
}

bool listens(gateway_world &World) {
  return World.request("/unsafe/x", {.Headers = {"X-Deadline-Ms: 300"}})
             .Status == 503;
}

} // namespace

BOOST_AUTO_TEST_CASE(park_requests_until_the_routing_is_received) {
  gateway_world World;
  stopControl(World);
  World.startGateway("gateway-1", {{"start_seconds", 120}});
  World.until("the gateway listens", [&] { return listens(World); });
  auto Parked = World.beginRequest("/unsafe/x", {.Headers = {"X-Deadline-Ms: "
                                                             "100000"}});
  std::string Id = World.LastId;
  for (auto &Node : World.Seeded)
    Node->Process->start();
  World.until("the parked request is answered", [&] { return Parked->Done; });
  BOOST_TEST(Parked->Status == 200);
  BOOST_TEST(World.Replicas["i-1"]->runs(Id) == 1);
}

BOOST_AUTO_TEST_CASE(do_not_park_requests_with_short_deadlines) {
  gateway_world World;
  stopControl(World);
  World.startGateway("gateway-1", {{"start_seconds", 120}});
  World.until("the gateway listens", [&] { return listens(World); });
  // The gateway parks a request for at most a third of its deadline, so that
  // the caller still has time to try another gateway.
  client_response Answer =
      World.request("/unsafe/x", {.Headers = {"X-Deadline-Ms: 900"}});
  BOOST_TEST(Answer.Status == 503);
  BOOST_TEST(!Answer.header("retry-after").empty());
  BOOST_TEST(World.Replicas["i-1"]->runs(World.LastId) == 0);
}

BOOST_AUTO_TEST_CASE(refuse_requests_when_control_does_not_respond) {
  gateway_world World;
  stopControl(World);
  World.startGateway("gateway-1", {{"start_seconds", 0}});
  World.until("the gateway listens", [&] {
    return World.request("/unsafe/x", {.Headers = {"X-Deadline-Ms: 100000"}})
               .Status == 503;
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stops)

BOOST_AUTO_TEST_CASE(abort_no_request_in_flight) {
  served_world World;
  auto Slow = World.beginRequest("/unsafe/x?late=800", {.Body = "s"});
  World.until("the request runs at an upstream", [&] {
    return World.Replicas["i-1"]->runs() + World.Replicas["i-2"]->runs() > 1;
  });
  World.Gateway->signal(SIGTERM);
  World.until("the gateway reports that it is not ready",
              [&] { return !World.ready(World.GatewayHealth); });
  World.until("the slow request is answered", [&] { return Slow->Done; });
  BOOST_TEST(Slow->Status == 200);
  World.until("the gateway has exited",
              [&] { return !World.Gateway->running(); });
  BOOST_TEST(World.Gateway->exitCode() == 0);
}

BOOST_AUTO_TEST_CASE(are_not_caused_by_a_settings_reload) {
  served_world World;
  World.Gateway->signal(SIGHUP);
  World.until("the settings are reloaded", [&] {
    return World.Gateway->logText().find("settings reloaded") !=
           std::string::npos;
  });
  BOOST_TEST(World.Gateway->running());
  BOOST_TEST(World.request("/safe/x", {.Method = "GET"}).Status == 200);
}

// Guards against a gateway that is killed by a SIGHUP arriving while it shuts
// down: the signal must be handled until the process exits.
BOOST_AUTO_TEST_CASE(exit_cleanly_during_repeated_settings_reloads) {
  served_world World;
  constexpr int Restarts = 10;
  for (int Restart = 0; Restart < Restarts; ++Restart) {
    World.untilGatewayReady("gateway");
    BOOST_TEST(World.Gateway->handles(SIGHUP));
    World.Gateway->signal(SIGTERM);
    while (World.Gateway->running())
      World.Gateway->signal(SIGHUP);
    BOOST_TEST(World.Gateway->exitCode() == 0);
    World.Gateway->start();
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(routing_in_control)

BOOST_AUTO_TEST_CASE(
    reaches_gateways_and_is_never_replaced_by_an_older_version) {
  served_world World;
  json Old = World.defaultRouting();
  json New = World.defaultRouting();
  New["routes"].push_back(New["routes"][0]);
  New["routes"].back()["path_prefix"] = "/added/";
  BOOST_TEST(World.putRouting(New).Status == 200);
  World.until("the new route is in force", [&] {
    return World.request("/added/x", {.Method = "GET"}).Status == 200;
  });
  // An older version, a resend, and other content with the same version number
  // are acknowledged but change nothing.
  BOOST_TEST(World.putRouting(Old).Status == 200);
  BOOST_TEST(World.putRouting(New).Status == 200);
  json Other = New;
  Other["routes"].erase(3);
  BOOST_TEST(World.putRouting(Other).Status == 200);
  client_response Read = World.operatorCall("GET", "/v1/routing", "");
  BOOST_TEST(json::parse(Read.Body) == New);
  json Invalid = World.defaultRouting();
  Invalid["routes"][0]["service"] = "nobody";
  client_response Refused = World.putRouting(Invalid);
  BOOST_TEST(Refused.Status == 400);
  BOOST_TEST(Refused.Body.find("routes[0].service") != std::string::npos);
  BOOST_TEST(World.request("/added/x", {.Method = "GET"}).Status == 200);
}

BOOST_AUTO_TEST_CASE(stays_in_force_without_control_and_returns_with_it) {
  served_world World;
  World.untilVoters(3);
  for (auto &Node : World.Seeded)
    Node->Process->kill();
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(World.request("/safe/x", {.Method = "GET"}).Status == 200);
  // A gateway that starts now has no routing and refuses requests as not run.
  World.Gateway->kill();
  World.Gateway->start();
  World.until("the gateway listens", [&] {
    return World.request("/safe/x", {.Method = "GET"}).Status == 503;
  });
  for (auto &Node : World.Seeded)
    Node->Process->start();
  World.until("the gateway serves again", [&] {
    return World.request("/safe/x", {.Method = "GET"}).Status == 200;
  });
}

BOOST_AUTO_TEST_CASE(changes_through_a_new_leader_when_the_old_one_is_frozen) {
  served_world World;
  World.untilVoters(3);
  seeded_control *Old = World.leaderOf();
  Old->Process->signal(SIGSTOP);
  json New = World.defaultRouting();
  New["routes"][0]["path_prefix"] = "/moved/";
  BOOST_TEST(World.putRouting(New).Status == 200);
  World.until("the change is in force", [&] {
    return World.request("/moved/x", {.Method = "GET"}).Status == 200;
  });
  Old->Process->signal(SIGCONT);
  World.until("the old leader has stepped down",
              [&] { return !World.statusOf(*Old).value("leads", true); });
  BOOST_TEST(World.request("/moved/x", {.Method = "GET"}).Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(seeded_members)

BOOST_AUTO_TEST_CASE(keep_acknowledged_changes_after_two_lost_disks) {
  gateway_world World(5);
  World.untilVoters(5);
  json Routing = World.defaultRouting();
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  for (int Round = 0; Round < 2; ++Round) {
    // Two members, the leader among them, lose their disks and restart empty.
    seeded_control *Leader = World.leaderOf();
    BOOST_REQUIRE(Leader);
    std::vector<seeded_control *> Lost = {Leader};
    for (auto &Node : World.Seeded)
      if (Node.get() != Leader && Lost.size() < 2)
        Lost.push_back(Node.get());
    for (seeded_control *Each : Lost) {
      Each->Process->kill();
      std::filesystem::remove_all(Each->Folder);
    }
    for (seeded_control *Each : Lost)
      Each->Process->start();
    World.untilVoters(5);
    client_response Read = World.operatorCall("GET", "/v1/routing", "");
    BOOST_TEST(json::parse(Read.Body) == Routing);
    Routing = World.defaultRouting();
    BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  }
}

BOOST_AUTO_TEST_CASE(replace_a_lost_member_by_one_at_a_new_address) {
  gateway_world World(5);
  World.untilVoters(5);
  json Routing = World.defaultRouting();
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  World.Seeded[4]->Process->kill();
  World.addControl(false).Process->start();
  World.until("the new member votes in place of the lost one", [&] {
    seeded_control *Leader = World.leaderOf();
    if (!Leader)
      return false;
    json Status = World.statusOf(*Leader);
    std::string Members = Status["members"].dump();
    return Status["members"].size() == 5 && World.voters() == 5 &&
           Members.find("127.0.1.6:") != std::string::npos &&
           Members.find("127.0.1.5:") == std::string::npos;
  });
  BOOST_TEST(json::parse(World.operatorCall("GET", "/v1/routing", "").Body) ==
             Routing);
}

BOOST_AUTO_TEST_CASE(take_back_a_member_that_was_removed_while_it_was_down) {
  gateway_world World(5);
  World.untilVoters(5);
  seeded_control *Leader = World.leaderOf();
  BOOST_REQUIRE(Leader);
  std::vector<seeded_control *> Followers;
  for (auto &Node : World.Seeded)
    if (Node.get() != Leader)
      Followers.push_back(Node.get());
  auto UntilListed = [&](const seeded_control &Node, bool Listed) {
    World.until(Node.Ip + (Listed ? " is listed" : " is not listed"), [&] {
      seeded_control *Now = World.leaderOf();
      return Now && Listed == (World.statusOf(*Now)["members"].dump().find(
                                   Node.Ip + ":") != std::string::npos);
    });
  };
  seeded_control &Spare = World.addControl(false);
  Spare.Process->start();
  UntilListed(Spare, true);
  Followers[0]->Process->kill();
  UntilListed(*Followers[0], false);
  Followers[0]->Process->start();
  UntilListed(*Followers[0], true);
  Followers[1]->Process->kill();
  World.untilVoters(5);
}

BOOST_AUTO_TEST_CASE(recover_after_all_restart_at_once) {
  gateway_world World(5);
  World.untilVoters(5);
  json Routing = World.defaultRouting();
  BOOST_REQUIRE_EQUAL(World.putRouting(Routing).Status, 200);
  for (auto &Node : World.Seeded)
    Node->Process->kill();
  for (auto &Node : World.Seeded)
    Node->Process->start();
  BOOST_TEST(json::parse(World.operatorCall("GET", "/v1/routing", "").Body) ==
             Routing);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(roll_outs_of_services)

BOOST_AUTO_TEST_CASE(complete_for_a_healthy_version_and_revert_a_failing_one) {
  for (bool Good : {true, false})
    BOOST_TEST_CONTEXT((Good ? "healthy version" : "failing version")) {
      served_world World;
      World.addReplica({.Id = "i-3", .Version = "v2"});
      World.addReplica({.Id = "i-4", .Version = "v2"});
      for (const char *Id : {"i-3", "i-4"})
        World.Replicas[Id]->Fails = !Good;
      client_response Begun = World.operatorCall(
          "POST", "/v1/rollouts",
          R"({"service":"plain","target_version":"v2","duration_s":6})");
      BOOST_REQUIRE_EQUAL(Begun.Status, 200);
      std::string State;
      int Sent = 0;
      World.until("the roll-out has finished", [&] {
        World.request("/unsafe/x");
        ++Sent;
        client_response Read =
            World.operatorCall("GET", "/v1/rollouts/plain", "");
        State = json::parse(Read.Body).value("state", "");
        return State != "running";
      });
      BOOST_TEST(State == (Good ? "completed" : "reverted"));
      std::string Control;
      for (auto &Node : World.Seeded)
        Control +=
            (Control.empty() ? "" : ",") + World.operatorAddressOf(*Node);
      std::string Shown = World.ctl({"-c", Control, "rollout", "plain"}).Text;
      BOOST_TEST(Shown.find(State) != std::string::npos, Shown);
      BOOST_TEST(Shown.find(" responses bad, ") != std::string::npos, Shown);
      int New = World.Replicas["i-3"]->runs() + World.Replicas["i-4"]->runs();
      BOOST_TEST(New > 0);
      if (!Good)
        BOOST_TEST(New < Sent * 15 / 100 + 30);
      // The gateway receives the result with its next poll of control.
      World.run(1);
      int RunsAtEnd =
          World.Replicas["i-3"]->runs() + World.Replicas["i-4"]->runs();
      for (int I = 0; I < 6; ++I)
        World.request("/unsafe/x");
      int Since = World.Replicas["i-3"]->runs() +
                  World.Replicas["i-4"]->runs() - RunsAtEnd;
      BOOST_TEST(Since == (Good ? 6 : 0));
    }
}

// Guards against completing a version whose slow responses have not ended yet.
BOOST_AUTO_TEST_CASE(revert_a_version_whose_events_come_slowly) {
  for (bool Good : {true, false})
    BOOST_TEST_CONTEXT((Good ? "healthy version" : "slow version")) {
      served_world World;
      for (const char *Id : {"i-3", "i-4"}) {
        World.addReplica({.Id = Id, .Version = "v2"});
        World.Replicas[Id]->IsSlow = !Good;
      }
      std::vector<std::shared_ptr<client_response>> Sent;
      auto SendSome = [&] {
        for (int I = 0; I < 2; ++I)
          Sent.push_back(World.beginRequest("/stream/x?events=12"));
        World.run(0.05);
      };
      for (int I = 0; I < 20; ++I)
        SendSome();
      BOOST_REQUIRE_EQUAL(
          World
              .operatorCall(
                  "POST", "/v1/rollouts",
                  R"({"service":"plain","target_version":"v2","duration_s":8})")
              .Status,
          200);
      json Read;
      World.until("the roll-out has finished", [&] {
        SendSome();
        Read = json::parse(
            World.operatorCall("GET", "/v1/rollouts/plain", "").Body);
        return Read.value("state", "") != "running";
      });
      BOOST_TEST(Read.value("state", "") == (Good ? "completed" : "reverted"),
                 Read.dump());
      int New = World.Replicas["i-3"]->runs() + World.Replicas["i-4"]->runs();
      BOOST_TEST(New > 0);
      if (!Good)
        BOOST_TEST(New < int(Sent.size()) * 15 / 100 + 30);
    }
}

BOOST_AUTO_TEST_SUITE_END()
