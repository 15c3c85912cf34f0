//===- gatekeeper.h - Who may connect to our links --------------*- C++ -*-===//
//
// Answers ZeroMQ's question (ZAP, RFC 27) whether a peer's key may connect.
// All processes of one system hold one key pair; a peer that cannot prove it
// holds the same one is refused, and so is one without any key.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_GATEKEEPER_H
#define OLIVEVALVE_NET_GATEKEEPER_H

#include "net/link.h"

namespace olivevalve {

class gatekeeper {
public:
  /// Must exist before the first link binds. Does nothing without keys.
  gatekeeper(link_context &Context, struct ev_loop *Loop);
  uint64_t refused() const { return Refused; }

private:
  void answerOne();

  std::string AllowedKey; ///< 32 bytes, binary.
  std::unique_ptr<detail::link_socket> Socket;
  uint64_t Refused = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_GATEKEEPER_H
