//===- streams_test.cpp - Streams that end before they are complete -------===//
//
// Guards against completing a response that its upstream has broken off. Each
// stream is cut after each of its bytes, in each framing; the upstream closes
// the connection in order.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include <algorithm>

using namespace olivevalve;

namespace {

constexpr int EventCount = 3;

const int EventBytes = int(eventsUpTo(1).size());
const std::string AllEvents = eventsUpTo(EventCount);

/// How gateways reach an upstream. A proxy accepts connections also after its
/// upstream has exited.
enum class upstream_path : uint8_t { Proxied, Direct };

/// A gateway with upstreams, a resumable route "/stream/" and a route
/// "/stream/once/" whose streams cannot be resumed.
class stream_world : public gateway_world {
public:
  explicit stream_world(int Upstreams = 3,
                        upstream_path Path = upstream_path::Proxied) {
    for (int I = 1; I <= Upstreams; ++I) {
      replica &Added = addReplica({.Id = "i-" + std::to_string(I)});
      if (Path == upstream_path::Direct)
        List->put(Added, Added.address());
    }
    json Routing = defaultRouting();
    json Once = Routing["routes"][2];
    Once["name"] = "once";
    Once["path_prefix"] = "/stream/once/";
    Once["resumable"] = false;
    Routing["routes"].push_back(Once);
    startServing(Routing);
    // Until then it may send few requests again.
    until("the gateway knows the number of gateways", [&] {
      return Gateway->logText().find("number of gateways") != std::string::npos;
    });
  }
  client_response cut(const std::string &Path, const std::string &Framing,
                      int Bytes, const std::string &More = "") {
    return request(Path + "?events=" + std::to_string(EventCount) + "&frame=" +
                   Framing + "&cut=" + std::to_string(Bytes) + More);
  }
};

void testWhole(const client_response &Answer) {
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Error.empty(), Answer.Error);
  BOOST_TEST(Answer.Body == AllEvents);
}

/// A stream that its connection ends after a complete event looks complete.
bool looksComplete(const std::string &Framing, int Bytes) {
  return Framing == "close" && Bytes > 0 && Bytes % EventBytes == 0;
}

/// The caller must have seen that the response is incomplete and have whole
/// events only.
void testBroken(const client_response &Answer, int Bytes) {
  bool NothingSent = Bytes < EventBytes;
  BOOST_TEST(Answer.Status == (NothingSent ? 502 : 200));
  BOOST_TEST(Answer.Error.empty() == NothingSent);
  if (!NothingSent)
    BOOST_TEST(Answer.Body == eventsUpTo(Bytes / EventBytes));
}

} // namespace

BOOST_AUTO_TEST_SUITE(streams_cut_inside_an_event)

BOOST_AUTO_TEST_CASE(are_not_completed_but_resumed) {
  stream_world World;
  for (const char *Framing : {"close", "chunks", "length"})
    for (int Bytes = 0; Bytes < int(AllEvents.size()); ++Bytes)
      if (!looksComplete(Framing, Bytes))
        BOOST_TEST_CONTEXT(Framing << ", cut after " << Bytes) {
          testWhole(World.cut("/stream/x", Framing, Bytes));
          BOOST_TEST(World.runs(World.LastId) == 2);
        }
}

BOOST_AUTO_TEST_CASE(are_not_completed_if_they_cannot_be_resumed) {
  stream_world World;
  for (const char *Framing : {"close", "chunks", "length"})
    for (int Bytes = 0; Bytes < int(AllEvents.size()); ++Bytes)
      if (!looksComplete(Framing, Bytes))
        BOOST_TEST_CONTEXT(Framing << ", cut after " << Bytes) {
          testBroken(World.cut("/stream/once/x", Framing, Bytes), Bytes);
          BOOST_TEST(World.runs(World.LastId) == 1);
        }
}

BOOST_AUTO_TEST_CASE(are_not_completed_if_each_continuation_is_cut_too) {
  stream_world World;
  for (const char *Framing : {"close", "chunks", "length"})
    BOOST_TEST_CONTEXT(Framing) {
      client_response Answer =
          World.request(std::string("/stream/x?events=5&cut_runs=3&frame=") +
                        Framing + "&cut=" + std::to_string(EventBytes + 4));
      BOOST_TEST(Answer.Status == 200);
      BOOST_TEST(!Answer.Error.empty());
      BOOST_TEST(Answer.Body == eventsUpTo(3));
      BOOST_TEST(World.runs(World.LastId) == 3);
    }
}

BOOST_AUTO_TEST_CASE(are_not_completed_when_kept_during_a_model_switch) {
  stream_world World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.2;
  for (int Bytes : {4, EventBytes + 4, 2 * EventBytes + 4})
    BOOST_TEST_CONTEXT("cut after " << Bytes) {
      client_response Answer = World.request(
          "/stream/x?large=refuse&events=" + std::to_string(EventCount) +
              "&frame=close&cut=" + std::to_string(Bytes),
          {.Headers = {"X-Model: *"}});
      testWhole(Answer);
    }
}

BOOST_AUTO_TEST_CASE(are_not_completed_after_a_switch_to_a_larger_model) {
  stream_world World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.2;
  for (int Bytes : {4, EventBytes + 4, 2 * EventBytes + 4})
    BOOST_TEST_CONTEXT("each run cut after " << Bytes) {
      client_response Answer =
          World.request("/stream/x?cut_runs=9&events=9&frame=close&cut=" +
                            std::to_string(Bytes),
                        {.Headers = {"X-Model: *"}});
      bool LooksComplete = Answer.Status == 200 && Answer.Error.empty();
      BOOST_TEST(!LooksComplete, Answer.Body);
      BOOST_TEST(World.runs(World.LastId) > 1);
    }
}

BOOST_AUTO_TEST_CASE(are_not_completed_if_their_framing_ends_properly) {
  stream_world World;
  for (const char *Framing : {"chunks", "length"})
    for (int Bytes : {4, EventBytes + 4, 2 * EventBytes + 14})
      BOOST_TEST_CONTEXT(Framing << ", cut after " << Bytes) {
        testWhole(World.cut("/stream/x", Framing, Bytes, "&proper=1"));
        testBroken(World.cut("/stream/once/x", Framing, Bytes, "&proper=1"),
                   Bytes);
      }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(responses_without_a_framing)

namespace {

class exiting_world : public stream_world {
public:
  exiting_world() : stream_world(11, upstream_path::Direct) {}
  int exited() const {
    return int(
        std::count_if(Replicas.begin(), Replicas.end(),
                      [](const auto &Each) { return Each.second->crashed(); }));
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(of_upstreams_that_exit_after_an_event_are_not_completed) {
  exiting_world World;
  for (int Events : {1, 2}) {
    int Bytes = Events * EventBytes;
    BOOST_TEST_CONTEXT("resumable, exit after event " << Events) {
      testWhole(World.cut("/stream/x", "close", Bytes, "&exit=1"));
      BOOST_TEST(World.runs(World.LastId) == 2);
    }
    BOOST_TEST_CONTEXT("not resumable, exit after event " << Events) {
      testBroken(World.cut("/stream/once/x", "close", Bytes, "&exit=1"), Bytes);
      BOOST_TEST(World.runs(World.LastId) == 1);
    }
  }
  BOOST_TEST(World.exited() == 4);
}

BOOST_AUTO_TEST_CASE(of_upstreams_that_exit_in_a_body_are_not_completed) {
  exiting_world World;
  BOOST_TEST_CONTEXT("each upstream that runs the request exits") {
    BOOST_TEST(World.request("/safe/x?do=unframed&cut=4&exit=1").Status == 502);
    BOOST_TEST(World.exited() == 3);
  }
  BOOST_TEST_CONTEXT("not repeatable") {
    client_response Answer =
        World.request("/unsafe/x?do=unframed&cut=4&exit=1");
    BOOST_TEST(Answer.Status == 502);
    BOOST_TEST(Answer.outcome() == "unknown");
    BOOST_TEST(World.runs(World.LastId) == 1);
  }
}

BOOST_AUTO_TEST_CASE(of_upstreams_that_live_on_are_complete) {
  exiting_world World;
  for (int I = 0; I < 20; ++I) {
    testWhole(World.request("/stream/x?frame=close&events=3"));
    BOOST_TEST(World.runs(World.LastId) == 1);
    BOOST_TEST(World.request("/unsafe/x?do=unframed").Status == 200);
    BOOST_TEST(World.runs(World.LastId) == 1);
  }
}

BOOST_AUTO_TEST_CASE(of_leaving_upstreams_that_exit_then_are_complete) {
  exiting_world World;
  auto Answer = World.beginRequest("/unsafe/x?do=unframed&late=2500&exit=1");
  std::string Id = World.LastId;
  World.until("the request runs", [&] { return World.runs(Id) > 0; });
  for (auto &[Name, Replica] : World.Replicas)
    if (Replica->runs(Id) > 0)
      World.List->put(*Replica, Replica->address(), "draining");
  World.until("the request is answered", [&] { return Answer->Done; });
  BOOST_TEST(Answer->Status == 200);
  BOOST_TEST(World.exited() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(responses_of_streaming_routes)

BOOST_AUTO_TEST_CASE(without_events_are_delivered_whole) {
  stream_world World;
  struct response_case {
    const char *Type;
    const char *Framing;
  };
  // Without a type and a framing nothing shows that the body is no stream.
  const response_case Cases[] = {{"application/json", "length"},
                                 {"application/json", "chunks"},
                                 {"application/json", "close"},
                                 {"none", "length"},
                                 {"none", "chunks"}};
  for (double Confidence : {0.9, 0.2})
    for (const response_case &Case : Cases)
      BOOST_TEST_CONTEXT(Case.Type << ", " << Case.Framing) {
        for (auto &[Id, Replica] : World.Replicas)
          Replica->Confidence = Confidence;
        client_response Answer = World.request(
            std::string("/stream/x?large=refuse&body={%22a%22:1}&type=") +
                Case.Type + "&frame=" + Case.Framing,
            {.Headers = {"X-Model: *"}});
        BOOST_TEST(Answer.Status == 200);
        BOOST_TEST(Answer.Error.empty(), Answer.Error);
        BOOST_TEST(Answer.Body == "{%22a%22:1}");
      }
}

BOOST_AUTO_TEST_CASE(without_events_are_not_joined_when_cut) {
  stream_world World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Confidence = 0.2;
  for (const char *Framing : {"length", "chunks"})
    BOOST_TEST_CONTEXT(Framing) {
      client_response Answer = World.request(
          std::string("/stream/x?large=refuse&body=abcdefgh&cut=5&type="
                      "text/plain&frame=") +
              Framing,
          {.Headers = {"X-Model: *"}});
      BOOST_TEST(Answer.Status == 200);
      BOOST_TEST(Answer.Error.empty(), Answer.Error);
      BOOST_TEST(Answer.Body == "abcdefgh");
    }
}

BOOST_AUTO_TEST_CASE(without_a_type_are_streamed_as_events) {
  stream_world World;
  for (const char *Framing : {"close", "chunks", "length"})
    testWhole(World.cut("/stream/x", Framing, EventBytes + 4, "&type=none"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(streams_to_http_1_0_callers)

namespace {

/// What a caller of HTTP/1.0 sees: the end of the connection is the end of the
/// response, unless it is a reset.
struct http_1_0_response {
  std::string Text;
  bool Ended = false;
  bool Reset = false;
};

class http_1_0_call {
public:
  http_1_0_call(stream_world &World, const std::string &Path,
                const std::string &Line = "")
      : World(World), Stream(World.Loop, World.GatewayAddress.text()) {
    Stream.OnBytes = [this](std::string_view Bytes) {
      Response.Text.append(Bytes);
    };
    Stream.OnEnd = [this](bool Reset) {
      Response.Ended = true;
      Response.Reset = Reset;
    };
    Stream.write("POST " + Path + " HTTP/1.0\r\nHost: a.example\r\n" +
                 "X-Credential: k1\r\nX-Attempt-Id: " + World.nextId() +
                 "\r\n" + Line + "\r\n");
  }
  void untilBegun() {
    World.until("the first event is received", [this] {
      return Response.Text.find("data: 1") != std::string::npos;
    });
  }
  const http_1_0_response &untilEnded() {
    World.until("the connection has ended", [this] { return Response.Ended; });
    return Response;
  }

private:
  stream_world &World;
  http_1_0_response Response;
  tcp_stream Stream;
};

} // namespace

BOOST_AUTO_TEST_CASE(end_with_a_reset_if_they_are_broken_off) {
  stream_world World;
  std::string Cut = "/stream/once/x?events=3&cut=" + std::to_string(EventBytes);
  BOOST_TEST_CONTEXT("by the upstream")
  BOOST_TEST(http_1_0_call(World, Cut).untilEnded().Reset);
  BOOST_TEST_CONTEXT("by the deadline")
  BOOST_TEST(
      http_1_0_call(World, "/stream/x?events=500", "X-Deadline-Ms: 300\r\n")
          .untilEnded()
          .Reset);
  BOOST_TEST_CONTEXT("by the end of the process") {
    http_1_0_call Call(World, "/stream/x?events=500");
    Call.untilBegun();
    World.Gateway->kill();
    BOOST_TEST(Call.untilEnded().Reset);
  }
}

BOOST_AUTO_TEST_CASE(end_with_a_close_if_they_are_complete) {
  stream_world World;
  for (const char *Framing : {"close", "chunks", "length"}) {
    http_1_0_call Call(World,
                       std::string("/stream/x?events=3&frame=") + Framing);
    const http_1_0_response &Response = Call.untilEnded();
    BOOST_TEST(!Response.Reset);
    BOOST_TEST(Response.Text.ends_with("\r\n\r\n" + AllEvents));
  }
}

BOOST_AUTO_TEST_SUITE_END()
