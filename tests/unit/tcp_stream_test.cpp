//===- tcp_stream_test.cpp - Bytes that wait to be sent -------------------===//

#include "boost/test/unit_test.hpp"
#include "net/tcp_stream.h"
#include <algorithm>
#include <array>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace olivevalve;

namespace {

/// A stream whose peer reads only when it is told to.
class slow_pair {
public:
  slow_pair() {
    std::array<int, 2> Sockets{};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
                             Sockets.data()) == 0);
    Peer = Sockets[1];
    Stream.emplace(Loop, Sockets[0]);
    Stream->OnBytes = [](std::string_view) {};
  }
  ~slow_pair() {
    Stream.reset();
    close(Peer);
    ev_loop_destroy(Loop);
  }
  slow_pair(const slow_pair &) = delete;
  slow_pair &operator=(const slow_pair &) = delete;

  /// Reads what has arrived at the peer, and lets the stream send more.
  std::string readSome() {
    std::string Bytes(64 << 10, '\0');
    ssize_t Count = read(Peer, Bytes.data(), Bytes.size());
    Bytes.resize(size_t(std::max<ssize_t>(Count, 0)));
    ev_run(Loop, EVRUN_NOWAIT);
    return Bytes;
  }

  struct ev_loop *Loop = ev_loop_new(0);
  int Peer = -1;
  std::optional<tcp_stream> Stream;
};

} // namespace

BOOST_AUTO_TEST_SUITE(streams_whose_peer_reads_slowly)

// Guards against a copy of a request's body for each attempt.
BOOST_AUTO_TEST_CASE(share_a_long_body_and_copy_a_short_one) {
  slow_pair Pair;
  auto Long = std::make_shared<const std::string>(4 << 20, 'l');
  auto Short = std::make_shared<const std::string>("short");
  Pair.Stream->write(std::string("head"), Long);
  Pair.Stream->write(std::string("more"), Short);
  BOOST_TEST(Long.use_count() == 2);
  BOOST_TEST(Short.use_count() == 1);
  BOOST_TEST(Pair.Stream->unsent() > 0U);
  std::string Received;
  while (Pair.Stream->unsent() > 0)
    Received += Pair.readSome();
  for (std::string Rest; !(Rest = Pair.readSome()).empty();)
    Received += Rest;
  BOOST_TEST((Received == "head" + *Long + "more" + *Short));
  BOOST_TEST(Long.use_count() == 1);
  BOOST_TEST(Pair.Stream->heldBytes() == 0U);
}

// Guards against sent bytes that are kept until all are sent.
BOOST_AUTO_TEST_CASE(free_what_has_been_sent) {
  constexpr size_t Bytes = 4 << 20;
  slow_pair Pair;
  for (size_t I = 0; I < Bytes / 1024; ++I)
    Pair.Stream->write(std::string(1024, 'x'));
  while (Pair.Stream->unsent() > Bytes / 4)
    BOOST_REQUIRE(!Pair.readSome().empty());
  BOOST_TEST(Pair.Stream->heldBytes() < Bytes / 2);
}

BOOST_AUTO_TEST_SUITE_END()
