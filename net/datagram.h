//===- datagram.h - A UDP socket on the event loop --------------*- C++ -*-===//
//
// For state reports that the next report supersedes: datagrams are neither
// queued nor retransmitted nor ordered.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_DATAGRAM_H
#define OLIVEVALVE_NET_DATAGRAM_H

#include "base/loop.h"
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace olivevalve {

/// A non-blocking IPv4 UDP socket that sends and receives on one address.
class datagram_socket {
public:
  /// Called for each datagram. \p From is the sender as "IP:port". \p Bytes is
  /// only valid during the call.
  using handler =
      std::function<void(const std::string &From, std::string_view Bytes)>;

  datagram_socket(struct ev_loop *Loop, handler OnBytes);
  ~datagram_socket();
  datagram_socket(const datagram_socket &) = delete;
  datagram_socket &operator=(const datagram_socket &) = delete;

  /// Binds to "IP:port"; with port 0 the kernel chooses the port. Returns false
  /// if \p Address is invalid or cannot be bound.
  bool bind(const std::string &Address);
  /// The bound address with the actual port; empty if the socket is not bound.
  const std::string &address() const { return Bound; }
  /// Sends one datagram to \p To, an "IP:port". Returns false if the socket is
  /// not bound, \p To is invalid, or the kernel does not accept the datagram.
  bool send(const std::string &To, std::string_view Bytes);
  uint64_t sentBytes() const { return SentBytes; }
  uint64_t receivedBytes() const { return ReceivedBytes; }

private:
  void receive();

  handler OnBytes;
  std::string Bound;
  int Socket = -1;
  uint64_t SentBytes = 0;
  uint64_t ReceivedBytes = 0;
  descriptor_watch Watch;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_DATAGRAM_H
