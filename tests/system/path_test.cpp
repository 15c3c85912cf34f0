//===- path_test.cpp - Requests from the caller to the engine and back ----===//

#include "boost/test/unit_test.hpp"
#include "tests/world.h"
#include <arpa/inet.h>
#include <array>
#include <list>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace olivevalve;

namespace {

/// A caller with a small receive buffer that reads only on calls of read().
class slow_caller {
public:
  explicit slow_caller(const std::string &Address)
      : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int Small = 8192;
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Small, sizeof(Small));
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Where.sin_port =
        htons(uint16_t(std::stoi(Address.substr(Address.rfind(':') + 1))));
    BOOST_REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&Where),
                          sizeof(Where)) == 0);
  }
  ~slow_caller() { close(Socket); }
  slow_caller(const slow_caller &) = delete;
  slow_caller &operator=(const slow_caller &) = delete;

  void send(const std::string &Bytes) const {
    BOOST_REQUIRE(::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
                  ssize_t(Bytes.size()));
  }
  /// Appends the bytes that can be read without blocking to Out. Returns false
  /// once the connection is closed.
  bool read(std::string &Out) const {
    std::array<char, 65536> Buffer{};
    for (;;) {
      ssize_t Received =
          recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Received <= 0)
        return Received < 0;
      Out.append(Buffer.data(), size_t(Received));
    }
  }

private:
  int Socket;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_path)

BOOST_AUTO_TEST_CASE(answers_plain_streamed_and_service_requests) {
  world World;
  World.startDefaultSystem(1);
  std::string Entry = World.Entries["entry-1"]->Address.text();

  BOOST_TEST_CONTEXT("a plain response names the version and the upstream") {
    client_response Answer =
        World.call(Entry, {.Body = chatBody("plan", "tokens=3")});
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(!Answer.version().empty());
    BOOST_TEST(!Answer.upstream().empty());
    BOOST_TEST(json::parse(Answer.Body)["usage"]["completion_tokens"] == 3);
  }
  BOOST_TEST_CONTEXT("a stream is forwarded up to its end") {
    client_response Answer =
        World.call(Entry, {.Body = chatBody("plan", "tokens=40", true)});
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(Answer.Error == "");
    BOOST_TEST(Answer.Body.ends_with("data: [DONE]\n\n"));
  }
  BOOST_TEST_CONTEXT("a stream that is cut short ends in an error") {
    client_response Answer =
        World.call(Entry, {.Body = chatBody("plan", "tokens=40 cut=10", true)});
    BOOST_TEST(Answer.Error != "");
  }
  BOOST_TEST_CONTEXT("the engine stops when the caller disconnects") {
    auto Cancelled = [&] {
      return World.engineCounts(*World.Sidecars["a"])["cancelled"]
                 .get<uint64_t>() +
             World.engineCounts(*World.Sidecars["b"])["cancelled"]
                 .get<uint64_t>();
    };
    uint64_t Before = Cancelled();
    client_response Left = World.call(
        Entry, {.Body = chatBody("plan", "tokens=100000 gap=5", true),
                .Seconds = 0.3});
    BOOST_TEST(Left.Error != "");
    World.until("the engine stops", [&] { return Cancelled() > Before; });
  }
  BOOST_TEST_CONTEXT("histograms are kept by client account and by class") {
    std::string Metrics =
        World
            .call(World.Entries["entry-1"]->Health.text(),
                  {.Method = "GET", .Path = "/metrics", .Key = ""})
            .Body;
    for (const char *Series :
         {"time_to_first_token_seconds_count{class=\"dispatch\"}",
          "time_to_first_token_seconds_count{class=\"priority 1\"}",
          "between_tokens_seconds_count{class=\"priority 1\"}",
          "total_seconds_count{class=\"dispatch\"}",
          "cost_count{class=\"dispatch\"}"})
      BOOST_TEST(Metrics.find(std::string("olivevalve_") + Series) !=
                     std::string::npos,
                 Series);
  }
  struct refusal_case {
    const char *What;
    client_request Request;
    int Status;
    const char *Code;
  };
  std::string Good = chatBody("plan", "x");
  std::string Deep(200, '[');
  const refusal_case Cases[] = {
      {"a wrong key", {.Body = Good, .Key = "x"}, 401, "invalid_api_key"},
      {"no key", {.Body = Good, .Key = ""}, 401, "invalid_api_key"},
      {"broken JSON", {.Body = "{\"model\":"}, 400, "bad_request"},
      {"deep JSON", {.Body = Deep}, 400, "bad_request"},
      {"no messages", {.Body = "{\"model\":\"plan\"}"}, 400, "bad_request"},
      {"an unknown model", {.Body = chatBody("nope", "x")}, 404, "not_found"},
      {"an unknown path", {.Path = "/nope", .Body = Good}, 404, "not_found"},
      {"a body too large",
       {.Body = std::string(9 << 20, 'x')},
       413,
       "body_too_large"},
      {"an invalid deadline",
       {.Body = Good, .Headers = {"X-Deadline-Ms: soon"}},
       400,
       "bad_request"},
      {"an idempotency key that is not UTF-8",
       {.Path = "/ledger/book",
        .Body = "{}",
        .Headers = {"Idempotency-Key: \xff\xfe"}},
       400,
       "bad_request"},
      {"a booking without a key",
       {.Path = "/ledger/book", .Body = "{}"},
       400,
       "idempotency_key_required"},
  };
  for (const refusal_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      client_response Answer = World.call(Entry, Case.Request);
      BOOST_TEST(Answer.Status == Case.Status);
      BOOST_TEST(Answer.outcome() == "not-run");
      json Body = json::parse(Answer.Body, nullptr, false);
      BOOST_REQUIRE(Body.is_object());
      BOOST_TEST(Body["error"]["code"] == Case.Code);
    }
  }
}

namespace {

/// Takes the place of an engine that exits in the middle of a response without
/// a length.
class exiting_engine {
public:
  exiting_engine(struct ev_loop *Loop, const std::string &Address)
      : Listener(Loop, [this, Loop](int Socket) {
          Stream.emplace(Loop, Socket);
          Stream->OnBytes = [this](std::string_view) { exit(); };
          Stream->OnEnd = [](bool) {};
        }) {
    BOOST_REQUIRE(Listener.bind(Address));
  }

private:
  void exit() {
    Listener.close();
    Stream->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
                  "{\"choices\": [");
    Stream->closeWhenSent();
  }

  std::optional<tcp_stream> Stream;
  tcp_listener Listener;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_response_whose_engine_exits_in_its_body_is_broken) {
  world World;
  World.startDefaultSystem();
  std::list<exiting_engine> Engines;
  for (auto &[Name, Sidecar] : World.Sidecars) {
    std::string Address = Sidecar->Engine->address();
    Sidecar->Engine.reset();
    Engines.emplace_back(World.Loop, Address);
  }
  client_response Answer = World.call(World.Entries["entry-1"]->Address.text(),
                                      {.Body = chatBody("plan", "tokens=3")});
  BOOST_TEST((Answer.Status == 502 || !Answer.Error.empty()),
             Answer.Status << " " << Answer.Body);
}

BOOST_AUTO_TEST_CASE(a_stream_without_the_last_event_of_its_engine_is_broken) {
  world World;
  World.startDefaultSystem();
  std::string Entry = World.Entries["entry-1"]->Address.text();
  client_response Answer =
      World.call(Entry, {.Body = chatBody("plan", "tokens=40 short=10", true)});
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Error != "");
  BOOST_TEST_CONTEXT("before its first event, at each upstream") {
    Answer = World.call(Entry,
                        {.Body = chatBody("plan", "tokens=40 short=0", true)});
    BOOST_TEST(Answer.Status == 502);
  }
}

// Guards against buffering a response without bound for a caller that does not
// read. Flow control reaches back to the engine, and the caller gets the
// complete response when it reads later.
BOOST_AUTO_TEST_CASE(a_slow_caller_throttles_its_engine) {
  world World;
  World.startDefaultSystem(1);
  constexpr uint64_t Tokens = 30000;
  std::string Body =
      chatBody("plan", "pad=1500 gap=0 tokens=" + std::to_string(Tokens), true);
  slow_caller Caller(World.Entries["entry-1"]->Address.text());
  auto Sum = [&](const char *Count) {
    uint64_t Both = 0;
    for (const char *Name : {"a", "b"})
      Both += World.engineCounts(*World.Sidecars[Name])[Count].get<uint64_t>();
    return Both;
  };
  uint64_t FinishedBefore = Sum("finished");
  Caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
              "Authorization: Bearer demo-dispatch\r\nConnection: close\r\n"
              "Content-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" + Body);
  World.until("the engine has generated all tokens",
              [&] { return Sum("finished") == FinishedBefore + 1; });
  uint64_t Before = 0;
  World.until("no more tokens are taken from the engine", [&] {
    uint64_t Taken = Sum("taken");
    bool Unchanged = Taken == Before;
    Before = Taken;
    World.run(0.5);
    return Unchanged;
  });
  BOOST_TEST_MESSAGE(
      "tokens taken from the engine for a caller that does not read: "
      << Before << " of " << Tokens);
  BOOST_TEST(Before < Tokens / 2);
  std::string Answer;
  World.until("the caller has read the whole response",
              [&] { return !Caller.read(Answer); });
  BOOST_TEST(Answer.find("data: [DONE]\n\n") != std::string::npos);
  BOOST_TEST(Answer.ends_with("\r\n0\r\n\r\n"));
  BOOST_TEST(Answer.size() > Tokens * 1500);
}

BOOST_AUTO_TEST_CASE(a_request_above_the_limit_is_refused_as_not_run) {
  world World;
  World.EntrySettings = {{"max_open_requests", 2}};
  World.startDefaultSystem(1);
  std::string Entry = World.Entries["entry-1"]->Address.text();
  std::vector<std::shared_ptr<client_response>> Open;
  for (int I = 0; I < 2; ++I)
    Open.push_back(World.begin(Entry, {.Body = chatBody("plan", "first=800")}));
  World.until("both requests run", [&] {
    return World.engineCounts(*World.Sidecars["a"])["running"].get<int>() +
               World.engineCounts(*World.Sidecars["b"])["running"].get<int>() ==
           2;
  });
  client_response Third = World.call(Entry, {.Body = chatBody("plan", "x")});
  BOOST_TEST(Third.Status == 503);
  BOOST_TEST(Third.outcome() == "not-run");
  BOOST_TEST(Third.header("retry-after") == "1");
  World.until("both requests are answered",
              [&] { return Open[0]->Status == 200 && Open[1]->Status == 200; });
  client_response Wide =
      World.call(Entry, {.Body = chatBody("plan", "x"),
                         .Headers = {"X-Wide: " + std::string(40 << 10, 'x')}});
  BOOST_TEST(Wide.Status == 431);
  BOOST_TEST(World.call(Entry, {.Body = chatBody("plan", "x")}).Status == 200);
}

BOOST_AUTO_TEST_CASE(the_log_level_can_be_changed_at_run_time) {
  world World;
  World.startDefaultSystem(1);
  entry_node &Entry = *World.Entries["entry-1"];
  auto SetLevel = [&](const std::string &Level) {
    return World
        .call(Entry.Health.text(),
              {.Method = "PUT", .Path = "/log-level", .Body = Level, .Key = ""})
        .Status;
  };
  auto Logged = [&](const std::string &Level) {
    client_response Answer =
        World.call(Entry.Address.text(), {.Body = chatBody("plan", Level)});
    std::string Id = Answer.header("x-request-id");
    World.until("the response is complete",
                [&] { return Answer.Status == 200; });
    World.run(0.1);
    return Entry.Process->logText().find(Id) != std::string::npos;
  };
  BOOST_TEST(!Logged("info"));
  BOOST_TEST(SetLevel("debug") == 200);
  BOOST_TEST(Logged("debug"));
  BOOST_TEST(SetLevel("loud") == 400);
  BOOST_TEST(Logged("still debug"));
  BOOST_TEST(SetLevel("error") == 200);
  BOOST_TEST(!Logged("error"));
}

BOOST_AUTO_TEST_SUITE_END()
