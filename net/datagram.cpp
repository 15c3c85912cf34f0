//===- datagram.cpp - A UDP socket on the event loop ----------------------===//

#include "net/datagram.h"
#include "net/ip_address.h"
#include <array>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace olivevalve {

namespace {

// The most that a datagram holds.
constexpr size_t MostBytes = 64 << 10;
// Read in one turn of the loop, so that requests are not held up.
constexpr int MostInOneTurn = 64;

} // namespace

datagram_socket::datagram_socket(struct ev_loop *Loop, handler NewOnBytes)
    : OnBytes(std::move(NewOnBytes)), Watch(Loop, [this](int) { receive(); }) {}

datagram_socket::~datagram_socket() {
  Watch.stop();
  if (Socket >= 0)
    close(Socket);
}

bool datagram_socket::bind(const std::string &Address) {
  sockaddr_in Where{};
  if (!parseIpAddress(Address, Where))
    return false;
  Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto *Raw = reinterpret_cast<sockaddr *>(&Where);
  if (Socket < 0 || ::bind(Socket, Raw, sizeof(Where)) != 0)
    return false;
  socklen_t Size = sizeof(Where);
  getsockname(Socket, Raw, &Size);
  Bound = formatIpAddress(Where);
  Watch.start(Socket, EV_READ);
  return true;
}

bool datagram_socket::send(const std::string &To, std::string_view Bytes) {
  sockaddr_in Where{};
  if (Socket < 0 || !parseIpAddress(To, Where))
    return false;
  auto *Raw = reinterpret_cast<sockaddr *>(&Where);
  ssize_t Sent = sendto(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL, Raw,
                        sizeof(Where));
  SentBytes += Sent > 0 ? uint64_t(Sent) : 0;
  return Sent == ssize_t(Bytes.size());
}

void datagram_socket::receive() {
  static std::array<char, MostBytes> Buffer;
  for (int I = 0; I < MostInOneTurn; ++I) {
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    ssize_t Got = recvfrom(Socket, Buffer.data(), Buffer.size(), 0,
                           reinterpret_cast<sockaddr *>(&From), &Size);
    if (Got < 0)
      return;
    ReceivedBytes += uint64_t(Got);
    OnBytes(formatIpAddress(From), {Buffer.data(), size_t(Got)});
  }
}

} // namespace olivevalve
