//===- ip_address.cpp - IPv4 socket addresses -----------------------------===//

#include "net/ip_address.h"
#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace olivevalve {

bool parseIpAddress(const std::string &Address, sockaddr_in &Out) {
  size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  Out = {};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(uint16_t(std::atoi(Address.c_str() + Colon + 1)));
  return inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Out.sin_addr) ==
         1;
}

std::string formatIpAddress(const sockaddr_in &Address) {
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address.sin_addr, Text.data(), Text.size());
  return std::string(Text.data()) + ":" +
         std::to_string(ntohs(Address.sin_port));
}

int listenOn(const std::string &Address, int Backlog, std::string &Bound) {
  sockaddr_in SocketAddress{};
  if (!parseIpAddress(Address, SocketAddress))
    return -1;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  auto *Raw = reinterpret_cast<sockaddr *>(&SocketAddress);
  if (bind(Socket, Raw, sizeof(SocketAddress)) != 0 ||
      listen(Socket, Backlog) != 0) {
    close(Socket);
    return -1;
  }
  socklen_t Size = sizeof(SocketAddress);
  getsockname(Socket, Raw, &Size);
  Bound = formatIpAddress(SocketAddress);
  return Socket;
}

} // namespace olivevalve
