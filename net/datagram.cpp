//===- datagram.cpp - A UDP socket on the event loop ----------------------===//

#include "net/datagram.h"
#include "net/ip_address.h"
#include <array>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace olivevalve {

namespace {

// No UDP datagram is larger than this.
constexpr size_t MaxDatagramBytes = 64 << 10;
// Bounds the datagrams read in one loop iteration, so that a burst does not
// delay requests.
constexpr int MaxDatagramsPerTurn = 64;

} // namespace

datagram_socket::datagram_socket(struct ev_loop *Loop, handler NewOnBytes)
    : OnBytes(std::move(NewOnBytes)), Watch(Loop, [this](int) { receive(); }) {}

datagram_socket::~datagram_socket() {
  Watch.stop();
  if (Socket >= 0)
    close(Socket);
}

bool datagram_socket::bind(const std::string &Address) {
  sockaddr_in SocketAddress{};
  if (!parseIpAddress(Address, SocketAddress))
    return false;
  Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto *Raw = reinterpret_cast<sockaddr *>(&SocketAddress);
  if (Socket < 0 || ::bind(Socket, Raw, sizeof(SocketAddress)) != 0)
    return false;
  socklen_t Size = sizeof(SocketAddress);
  getsockname(Socket, Raw, &Size);
  Bound = formatIpAddress(SocketAddress);
  Watch.start(Socket, EV_READ);
  return true;
}

bool datagram_socket::send(const std::string &To, std::string_view Bytes) {
  sockaddr_in SocketAddress{};
  if (Socket < 0 || !parseIpAddress(To, SocketAddress))
    return false;
  auto *Raw = reinterpret_cast<sockaddr *>(&SocketAddress);
  ssize_t Sent = sendto(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL, Raw,
                        sizeof(SocketAddress));
  SentBytes += Sent > 0 ? uint64_t(Sent) : 0;
  return Sent == ssize_t(Bytes.size());
}

void datagram_socket::receive() {
  static std::array<char, MaxDatagramBytes> Buffer;
  for (int I = 0; I < MaxDatagramsPerTurn; ++I) {
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    ssize_t Received = recvfrom(Socket, Buffer.data(), Buffer.size(), 0,
                                reinterpret_cast<sockaddr *>(&From), &Size);
    if (Received < 0)
      return;
    ReceivedBytes += uint64_t(Received);
    OnBytes(formatIpAddress(From), {Buffer.data(), size_t(Received)});
  }
}

} // namespace olivevalve
