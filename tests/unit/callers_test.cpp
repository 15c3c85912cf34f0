//===- callers_test.cpp - Connections of callers --------------------------===//

#include "boost/test/unit_test.hpp"
#include "net/http_server.h"
#include "net/ip_address.h"
#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace olivevalve;

namespace {

/// A caller that writes bytes of its own and reads when it is told to.
class raw_caller {
public:
  explicit raw_caller(const std::string &Address) {
    sockaddr_in Where{};
    BOOST_REQUIRE(parseIpAddress(Address, Where));
    Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Small = 4096;
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Small, sizeof(Small));
    BOOST_REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&Where),
                          sizeof(Where)) == 0);
    BOOST_REQUIRE(fcntl(Socket, F_SETFL, O_NONBLOCK) == 0);
  }
  ~raw_caller() { close(Socket); }
  raw_caller(const raw_caller &) = delete;
  raw_caller &operator=(const raw_caller &) = delete;

  void send(std::string_view Bytes) { Unsent.append(Bytes); }
  /// Writes what the server takes.
  void write() {
    ssize_t Count = ::send(Socket, Unsent.data(), Unsent.size(), MSG_NOSIGNAL);
    if (Count > 0)
      Unsent.erase(0, size_t(Count));
  }
  void read() {
    std::string Bytes(16 << 10, '\0');
    ssize_t Count = recv(Socket, Bytes.data(), Bytes.size(), 0);
    Closed = Closed || Count == 0 || (Count < 0 && errno != EAGAIN);
    Received.append(Bytes, 0, size_t(std::max<ssize_t>(Count, 0)));
  }

  std::string Unsent;
  std::string Received;
  bool Closed = false; ///< The server has closed the connection.

private:
  int Socket = -1;
};

/// A server that answers each request with its path and some more bytes.
class echo_server {
public:
  explicit echo_server(http_limits Limits = {}) {
    Server.emplace(
        Loop, Limits, [this](const std::shared_ptr<http_exchange> &Exchange) {
          ++Requests;
          Exchange->reply(200, "text/plain",
                          Exchange->path() + "\n" + std::string(PadBytes, '.'));
        });
    BOOST_REQUIRE(Server->bind("127.0.0.1:0"));
  }
  ~echo_server() {
    Server.reset();
    ev_loop_destroy(Loop);
  }
  echo_server(const echo_server &) = delete;
  echo_server &operator=(const echo_server &) = delete;
  void turn() { ev_run(Loop, EVRUN_NOWAIT); }
  void answer(http_exchange &Exchange) const {
    Exchange.reply(200, "text/plain",
                   Exchange.path() + "\n" + std::string(PadBytes, '.'));
  }
  void answerHeld() {
    for (const auto &Each : std::exchange(Held, {}))
      answer(*Each);
  }

  struct ev_loop *Loop = ev_loop_new(0);
  std::optional<http_server> Server;
  size_t PadBytes = 0;
  size_t Requests = 0;
  bool Holds = false; ///< Requests are answered by answerHeld().
  std::vector<std::shared_ptr<http_exchange>> Held;
};

std::string get(size_t Number) {
  return "GET /" + std::to_string(Number) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests_sent_ahead)

BOOST_AUTO_TEST_CASE(are_answered_in_order) {
  constexpr size_t Count = 5000;
  echo_server Server;
  raw_caller Caller(Server.Server->address());
  for (size_t I = 0; I < Count; ++I)
    Caller.send(get(I));
  while (Caller.Received.find("/" + std::to_string(Count - 1) + "\n") ==
         std::string::npos) {
    Caller.write();
    Server.turn();
    Caller.read();
    BOOST_REQUIRE(!Caller.Closed);
  }
  size_t At = 0;
  for (size_t I = 0; I < Count; ++I) {
    At = Caller.Received.find("\r\n\r\n/" + std::to_string(I) + "\n", At);
    BOOST_REQUIRE(At != std::string::npos);
  }
}

// Guards against a connection that holds up the event loop for as long as it
// has bytes.
BOOST_AUTO_TEST_CASE(take_one_turn_of_the_event_loop_each) {
  echo_server Server;
  raw_caller Caller(Server.Server->address());
  for (size_t I = 0; I < 100; ++I)
    Caller.send(get(I));
  Caller.write();
  for (size_t Before = 0; Before < 100; Before = Server.Requests) {
    Server.turn();
    BOOST_REQUIRE(Server.Requests <= Before + 1);
  }
}

// Guards against responses that pile up.
BOOST_AUTO_TEST_CASE(wait_until_the_last_response_has_left) {
  echo_server Server;
  Server.PadBytes = 16 << 20;
  raw_caller Caller(Server.Server->address());
  Caller.send(get(1) + get(2));
  Caller.write();
  for (int I = 0; I < 1000; ++I)
    Server.turn();
  BOOST_TEST(Server.Requests == 1U);
  while (Server.Requests < 2) {
    Server.turn();
    Caller.read();
    BOOST_REQUIRE(!Caller.Closed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(memory_of_callers)

BOOST_AUTO_TEST_CASE(keeps_a_part_for_ordinary_requests) {
  caller_memory Memory(1 << 20);
  constexpr size_t Large = 400 << 10;
  constexpr size_t Small = 1 << 10;
  BOOST_TEST(caller_memory::isLarge(Large));
  BOOST_TEST(!caller_memory::isLarge(Small));
  Memory.update(0, Large);
  BOOST_TEST(!Memory.isFull());
  Memory.update(0, Large);
  BOOST_TEST(Memory.isFullOfLarge());
  Memory.update(Large, 0);
  for (int I = 0; I < 600; ++I)
    Memory.update(0, Small);
  BOOST_TEST(!Memory.isFull());
  for (int I = 0; I < 100; ++I)
    Memory.update(0, Small);
  BOOST_TEST(Memory.isFull());
  BOOST_TEST(!Memory.isFullOfLarge());
  Memory.update(Large, 0);
  BOOST_TEST(!Memory.isFull());
  for (int I = 0; I < 700; ++I)
    Memory.update(Small, 0);
  BOOST_TEST(Memory.heldBytes() == 0U);
}

// Guards against a bound that refuses a request within the limits.
BOOST_AUTO_TEST_CASE(lets_a_single_large_request_take_any_amount) {
  caller_memory Memory(1 << 20);
  Memory.update(0, 16 << 20);
  BOOST_TEST(!Memory.isFull());
  Memory.update(0, 100 << 10);
  BOOST_TEST(Memory.isFull());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers_that_hold_too_much)

namespace {

constexpr size_t BodyBytes = 300 << 10;

std::string unfinished() {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n" +
         std::string(BodyBytes - 1, 'b');
}

void exchange(echo_server &Server, raw_caller &Caller,
              const std::string &Until) {
  for (int I = 0; I < 100000 && !Caller.Closed; ++I) {
    Caller.write();
    Server.turn();
    Caller.read();
    if (Until.empty() ? Caller.Unsent.empty()
                      : Caller.Received.find(Until) != std::string::npos)
      return;
  }
  BOOST_ERROR("nothing came of it: " + Caller.Received.substr(0, 200));
}

} // namespace

// Guards against a refusal that does not say that the request has not run.
BOOST_AUTO_TEST_CASE(are_told_that_their_request_has_not_run) {
  echo_server Server({.MaxHeldBytes = 1 << 20});
  std::vector<std::unique_ptr<raw_caller>> Callers;
  for (int I = 0; I < 4; ++I) {
    Callers.push_back(std::make_unique<raw_caller>(Server.Server->address()));
    Callers.back()->send(unfinished());
    exchange(Server, *Callers.back(), "");
  }
  for (int I = 0; I < 100; ++I)
    Server.turn();
  size_t Refused = 0;
  for (const auto &Each : Callers) {
    Each->read();
    if (Each->Received.empty())
      continue;
    ++Refused;
    BOOST_TEST(Each->Received.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(Each->Received.find("X-Olivevalve-Outcome: not-run") !=
               std::string::npos);
    BOOST_TEST(Each->Received.find("Retry-After: 1") != std::string::npos);
  }
  BOOST_TEST(Refused >= 1U);
  BOOST_TEST(Refused < 4U);
  BOOST_TEST(Server.Requests == 0U);
  BOOST_TEST(Server.Server->callers().shedCounts().Refused == Refused);
  BOOST_TEST_CONTEXT("an ordinary request is served") {
    raw_caller Ordinary(Server.Server->address());
    Ordinary.send(get(1));
    exchange(Server, Ordinary, "HTTP/1.1 200 ");
  }
  BOOST_TEST_CONTEXT("those that were left go on, and nothing stays") {
    for (const auto &Each : Callers)
      if (Each->Received.empty()) {
        Each->send("b");
        exchange(Server, *Each, "HTTP/1.1 200 ");
      }
    Callers.clear();
    for (int I = 0; I < 100; ++I)
      Server.turn();
    BOOST_TEST(Server.Server->callers().memory().heldBytes() == 0U);
  }
}

// Guards against requests at work that are given up for others.
BOOST_AUTO_TEST_CASE(lose_no_request_that_is_being_answered) {
  echo_server Server({.MaxHeldBytes = 1 << 20});
  Server.Holds = true;
  std::vector<std::unique_ptr<raw_caller>> Callers;
  for (int I = 0; I < 8; ++I) {
    Callers.push_back(std::make_unique<raw_caller>(Server.Server->address()));
    Callers.back()->send(unfinished() + "b" + "G");
    exchange(Server, *Callers.back(), "");
  }
  for (int I = 0; I < 100; ++I)
    Server.turn();
  BOOST_TEST(Server.Requests >= 1U);
  BOOST_TEST(Server.Requests < 8U);
  size_t Begun = Server.Requests;
  Server.Holds = false;
  Server.answerHeld();
  size_t Served = 0;
  for (const auto &Each : Callers) {
    exchange(Server, *Each, "HTTP/1.1 ");
    Served += Each->Received.starts_with("HTTP/1.1 200 ");
  }
  BOOST_TEST(Served == Begun);
}

BOOST_AUTO_TEST_SUITE_END()
