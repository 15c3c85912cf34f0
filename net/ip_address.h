//===- ip_address.h - Addresses of sockets ----------------------*- C++ -*-===//

#ifndef OLIVEVALVE_NET_IP_ADDRESS_H
#define OLIVEVALVE_NET_IP_ADDRESS_H

#include <netinet/in.h>
#include <string>

namespace olivevalve {

/// Reads "IP:port"; false if it is something else.
bool parseIpAddress(const std::string &Address, sockaddr_in &Out);

/// "IP:port".
std::string formatIpAddress(const sockaddr_in &Address);

/// A listening, non-blocking socket, or -1. \p Bound gets the address with the
/// port that the kernel chose for port 0.
int listenOn(const std::string &Address, int Backlog, std::string &Bound);

} // namespace olivevalve

#endif // OLIVEVALVE_NET_IP_ADDRESS_H
