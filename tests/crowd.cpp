//===- crowd.cpp - Many clients that keep to no rules ---------------------===//

#include "tests/crowd.h"
#include "boost/test/unit_test.hpp"
#include "net/ip_address.h"
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace olivevalve {

namespace {

// Small, so that what is not read stays with the server.
constexpr int ReceiveBufferBytes = 16 << 10;

int connectTo(const std::string &Address) {
  sockaddr_in Where{};
  BOOST_REQUIRE(parseIpAddress(Address, Where));
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_REQUIRE(Socket >= 0);
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof(ReceiveBufferBytes));
  BOOST_REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&Where),
                        sizeof(Where)) == 0);
  BOOST_REQUIRE(fcntl(Socket, F_SETFL, O_NONBLOCK) == 0);
  return Socket;
}

} // namespace

struct crowd::client {
  client(struct ev_loop *Loop, int Socket) : Stream(Loop, Socket) {}
  tcp_stream Stream;
  size_t NextPart = 0; ///< 0: Begin, then the repeats, then End.
  std::string Received;
  bool Sending = false;
  bool Ended = false;
};

crowd::crowd(struct ev_loop *Loop, crowd_options NewOptions)
    : Options(std::move(NewOptions)) {
  for (size_t I = 0; I < Options.Clients; ++I) {
    Clients.push_back(
        std::make_unique<client>(Loop, connectTo(Options.Address)));
    client &New = *Clients.back();
    New.Stream.setReading(Options.Reads);
    New.Stream.OnBytes = [&New](std::string_view Bytes) {
      New.Received.append(Bytes);
    };
    New.Stream.OnEnd = [&New](bool) {
      New.Ended = true;
      New.Stream.close();
    };
    New.Stream.OnDrained = [this, &New] { pump(New); };
  }
  for (const auto &Each : Clients)
    pump(*Each);
}

crowd::~crowd() = default;

void crowd::pump(client &Client) {
  if (Client.Sending)
    return;
  Client.Sending = true;
  while (!Client.Ended && Client.Stream.unsent() == 0 &&
         Client.NextPart < Options.Repeats + 2) {
    size_t Part = Client.NextPart++;
    Client.Stream.write(Part == 0                 ? Options.Begin
                        : Part <= Options.Repeats ? Options.Repeat
                                                  : Options.End);
  }
  Client.Sending = false;
}

uint64_t crowd::progress() const {
  uint64_t Sum = 0;
  for (const auto &Each : Clients)
    Sum += Each->Stream.sentBytes() + Each->Received.size() + Each->Ended;
  return Sum;
}

const std::string &crowd::received() const { return Clients.front()->Received; }

} // namespace olivevalve
