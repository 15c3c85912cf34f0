//===- datagram.h - A UDP socket on the event loop --------------*- C++ -*-===//
//
// For news that the next news replace: nothing is kept, repeated or ordered.
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

class datagram_socket {
public:
  /// \p From: "IP:port" of the sender. The bytes are valid during the call.
  using handler =
      std::function<void(const std::string &From, std::string_view Bytes)>;

  datagram_socket(struct ev_loop *Loop, handler OnBytes);
  ~datagram_socket();
  datagram_socket(const datagram_socket &) = delete;
  datagram_socket &operator=(const datagram_socket &) = delete;

  /// Binds to "IP:port"; port 0 lets the kernel choose.
  bool bind(const std::string &Address);
  /// The address bound, with the port that was chosen; empty: none.
  const std::string &address() const { return Bound; }
  /// False if the address is none, or the system has no room for it.
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
