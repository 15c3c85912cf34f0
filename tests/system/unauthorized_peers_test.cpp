//===- unauthorized_peers_test.cpp - Unauthorized and malformed traffic ---===//

#include "boost/test/unit_test.hpp"
#include "net/link.h"
#include "net/tcp_stream.h"
#include "tests/world.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

using namespace olivevalve;
using namespace std::string_literals;

namespace {

/// Sends raw bytes to Address and returns everything received until the
/// connection is closed.
std::string exchangeRaw(world &World, const std::string &Address,
                        const std::string &Bytes) {
  tcp_stream Stream(World.Loop, Address);
  std::string Received;
  bool Ended = false;
  Stream.OnBytes = [&](std::string_view More) { Received.append(More); };
  Stream.OnEnd = [&](bool) { Ended = true; };
  Stream.write(Bytes);
  World.until("the connection is closed", [&] { return Ended; });
  return Received;
}

void sendRaw(const std::string &Address, const std::string &Bytes) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Where.sin_port =
      htons(uint16_t(std::stoi(Address.substr(Address.rfind(':') + 1))));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) == 0)
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  close(Socket);
}

} // namespace

BOOST_AUTO_TEST_SUITE(unauthorized_peers)

BOOST_AUTO_TEST_CASE(are_rejected_and_do_no_harm) {
  world World;
  std::array<char, 41> Public{};
  std::array<char, 41> Secret{};
  BOOST_REQUIRE(zmq_curve_keypair(Public.data(), Secret.data()) == 0);
  std::string Prefix = World.Folder.path() + "/system";
  std::ofstream(Prefix + ".public") << Public.data() << "\n";
  std::ofstream(Prefix + ".secret") << Secret.data() << "\n";
  World.ExtraSettings = {{"keys",
                          {{"public_file", Prefix + ".public"},
                           {"secret_file", Prefix + ".secret"}}}};
  World.startDefaultSystem(3);
  sidecar_node &Sidecar = *World.Sidecars["a"];
  uint64_t Before = World.engineCounts(Sidecar)["started"];

  std::array<char, 41> OtherPublic{};
  std::array<char, 41> OtherSecret{};
  zmq_curve_keypair(OtherPublic.data(), OtherSecret.data());
  struct unauthorized_peer {
    const char *What;
    link_keys Keys;
  };
  const unauthorized_peer UnauthorizedPeers[] = {
      {"a peer without a key", {}},
      {"a peer with a foreign key", {OtherPublic.data(), OtherSecret.data()}},
  };
  for (const unauthorized_peer &Peer : UnauthorizedPeers) {
    BOOST_TEST_CONTEXT(Peer.What) {
      link_context Context(Peer.Keys);
      int MessagesReceived = 0;
      client_link Link(Context, World.Loop, "stranger",
                       [&](const wire::envelope &) { ++MessagesReceived; });
      Link.connect(Sidecar.Address.text());
      wire::envelope Hello;
      Hello.mutable_hello();
      for (int I = 0; I < 20; ++I) {
        Link.send(Hello);
        World.run(0.05);
      }
      BOOST_TEST(MessagesReceived == 0);
    }
  }
  // Random bytes on every port must not disturb valid requests.
  std::mt19937_64 Random(7);
  std::vector<std::string> Ports = {Sidecar.Address.text(),
                                    World.Control[0]->Address.text(),
                                    World.Control[0]->Operators.text(),
                                    World.Entries["entry-1"]->Address.text()};
  for (int I = 0; I < 60; ++I) {
    std::string Bytes(200, 0);
    for (char &C : Bytes)
      C = char(Random());
    sendRaw(Ports[size_t(I) % Ports.size()], Bytes);
    client_response Answer =
        World.call(World.Entries["entry-1"]->Address.text(),
                   {.Body = chatBody("plan", "x")});
    BOOST_TEST(Answer.Status == 200);
  }
  BOOST_TEST(World.engineCounts(Sidecar)["started"].get<uint64_t>() <=
             Before + 60);
  for (auto &[Name, Node] : World.Entries)
    BOOST_TEST(Node->Process->running());
  for (auto &[Name, Node] : World.Sidecars)
    BOOST_TEST(Node->Process->running());
  for (auto &Node : World.Control) {
    BOOST_TEST(Node->Process->running());
    BOOST_TEST(Node->Process->logText().find(Secret.data()) ==
               std::string::npos);
  }
}

// Guards against running an attempt twice. A peer with the system's key sends
// attempts that are duplicated, late, or addressed to another start of the
// sidecar.
BOOST_AUTO_TEST_CASE(duplicated_and_late_attempts_run_once) {
  world World;
  World.startDefaultSystem(1);
  sidecar_node &Sidecar = *World.Sidecars["led"];
  link_context Context;
  uint64_t Incarnation = 0;
  int Refused = 0;
  int Ends = 0;
  client_link Link(Context, World.Loop, "rough",
                   [&](const wire::envelope &Message) {
                     if (Message.has_news())
                       Incarnation = Message.news().incarnation();
                     Refused += Message.has_refused() ? 1 : 0;
                     Ends += Message.has_end() ? 1 : 0;
                   });
  Link.connect(Sidecar.Address.text());
  wire::envelope Hello;
  Hello.mutable_hello();
  World.until("the sidecar has sent a report", [&] {
    Link.send(Hello);
    return Incarnation != 0;
  });
  auto Attempt = [&](uint64_t Request, uint64_t Start) {
    wire::envelope Message;
    wire::attempt *A = Message.mutable_attempt();
    A->mutable_id()->set_entry(99);
    A->mutable_id()->set_request(Request);
    A->set_sidecar_incarnation(Start);
    A->set_account("dispatch");
    A->set_method("POST");
    A->set_path("/ledger/x");
    A->set_idempotency_key("rough-" + std::to_string(Request));
    A->set_budget_ms(5000);
    return Message;
  };
  wire::envelope Duplicated = Attempt(1, Incarnation);
  for (int I = 0; I < 5; ++I)
    Link.send(Duplicated);
  World.until("the attempt has ended", [&] { return Ends == 1; });
  Link.send(Duplicated);
  Link.send(Attempt(2, Incarnation + 1));
  wire::envelope Cancel;
  *Cancel.mutable_cancel()->mutable_id() = Attempt(3, 0).attempt().id();
  Cancel.mutable_cancel()->set_only_if_not_started(true);
  Cancel.mutable_cancel()->set_sidecar_incarnation(Incarnation);
  Link.send(Cancel);
  Link.send(Attempt(3, Incarnation));
  World.until("the attempts are refused", [&] { return Refused >= 2; });
  json Counts = World.engineCounts(Sidecar);
  BOOST_TEST(bookingRuns(Counts, "rough-1") == 1U);
  BOOST_TEST(bookingRuns(Counts, "rough-2") == 0U);
  BOOST_TEST(bookingRuns(Counts, "rough-3") == 0U);
}

BOOST_AUTO_TEST_CASE(cannot_smuggle_requests) {
  world World;
  World.startDefaultSystem(1);
  uint64_t Before = World.engineCounts(*World.Sidecars["led"])["started"];
  const std::string Head = "POST /ledger/x HTTP/1.1\r\nHost: a\r\n"
                           "Authorization: Bearer demo-dispatch\r\n"
                           "Idempotency-Key: k\r\n";
  const std::string Inner = "0\r\n\r\n" + Head + "Content-Length: 0\r\n\r\n";
  const std::string Cases[] = {
      Head + "Content-Length: " + std::to_string(Inner.size()) +
          "\r\nTransfer-Encoding: chunked\r\n\r\n" + Inner,
      Head + "X-Zero: a\0b\r\nContent-Length: 0\r\n\r\n"s,
  };
  for (const std::string &Case : Cases)
    for (const std::string &Address : {World.Entries["entry-1"]->Address.text(),
                                       World.Control[0]->Operators.text()}) {
      std::string Text = exchangeRaw(World, Address, Case);
      BOOST_TEST(Text.starts_with("HTTP/1.1 400"), Text);
      BOOST_TEST(Text.find("HTTP/1.1", 5) == std::string::npos, Text);
    }
  BOOST_TEST(World.engineCounts(*World.Sidecars["led"])["started"] == Before);
}

BOOST_AUTO_TEST_CASE(that_send_nothing_are_closed_to_make_room_for_callers) {
  world World;
  World.EntrySettings = {{"max_open_requests", 10}};
  World.startDefaultSystem(1);
  const std::string Address = World.Entries["entry-1"]->Address.text();
  auto Running = World.begin(
      Address, {.Body = chatBody("plan", "tokens=400 gap=5", true)});
  // More connections than the entry accepts.
  std::vector<std::unique_ptr<tcp_stream>> Idle;
  for (int I = 0; I < 400; ++I) {
    Idle.push_back(std::make_unique<tcp_stream>(World.Loop, Address));
    Idle.back()->OnBytes = [](std::string_view) {};
    Idle.back()->OnEnd = [Raw = Idle.back().get()](bool) { Raw->close(); };
    Idle.back()->write(I % 2 ? "POST /v1/chat" : "");
  }
  World.until("some idle connections are closed", [&] {
    return std::any_of(Idle.begin(), Idle.end(),
                       [](const auto &Each) { return !Each->open(); });
  });
  BOOST_TEST(World.ask(Address, {.Body = chatBody("plan", "hi")}).Status ==
             200);
  World.until("the stream has ended", [&] { return Running->Done; });
  BOOST_TEST(Running->Error.empty());
  BOOST_TEST(Running->Body.ends_with("data: [DONE]\n\n"));
}

BOOST_AUTO_TEST_SUITE_END()
