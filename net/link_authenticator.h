//===- link_authenticator.h - Authentication of link peers ------*- C++ -*-===//
//
// Authenticates peers of server links for ZeroMQ, by its authentication
// protocol (ZAP, RFC 27). All processes of one deployment share one CURVE key
// pair; a peer that has no key or a different one is rejected.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_LINK_AUTHENTICATOR_H
#define OLIVEVALVE_NET_LINK_AUTHENTICATOR_H

#include "net/link.h"

namespace olivevalve {

/// The ZAP handler of a link_context.
class link_authenticator {
public:
  /// Must be constructed before the first server_link binds. Does nothing if
  /// the context has no keys.
  link_authenticator(link_context &Context, struct ev_loop *Loop);
  /// Number of authentication requests rejected so far.
  uint64_t refused() const { return Refused; }

private:
  void handleRequest();

  std::string AllowedKey; ///< The public key, 32 bytes in binary form.
  std::unique_ptr<detail::link_socket> Socket;
  uint64_t Refused = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_LINK_AUTHENTICATOR_H
