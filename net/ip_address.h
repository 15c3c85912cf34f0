//===- ip_address.h - IPv4 socket addresses ---------------------*- C++ -*-===//

#ifndef OLIVEVALVE_NET_IP_ADDRESS_H
#define OLIVEVALVE_NET_IP_ADDRESS_H

#include <netinet/in.h>
#include <string>

namespace olivevalve {

/// Parses "IP:port" with an IPv4 address. Returns false if there is no colon or
/// the part before it is not an IPv4 address; the port is not checked.
bool parseIpAddress(const std::string &Address, sockaddr_in &Out);

/// Formats \p Address as "IP:port".
std::string formatIpAddress(const sockaddr_in &Address);

/// Opens a non-blocking TCP socket that listens on \p Address, or returns -1.
/// With port 0 the kernel chooses the port. \p Bound receives the address with
/// the actual port.
int listenOn(const std::string &Address, int Backlog, std::string &Bound);

} // namespace olivevalve

#endif // OLIVEVALVE_NET_IP_ADDRESS_H
