//===- proxy.cpp - Fault-injecting TCP proxy ------------------------------===//

#include "tests/proxy.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace olivevalve {

namespace {

constexpr size_t BlockBytes = 64 << 10;
// A direction with this many pending bytes is not read from.
constexpr size_t MaxPendingBytes = 4 << 20;
constexpr size_t DripBytes = 16;
constexpr double DripSeconds = 0.02;
constexpr double SlowSeconds = 0.15;

sockaddr_in parse(const std::string &Address) {
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  size_t Colon = Address.rfind(':');
  Where.sin_port = htons(uint16_t(std::atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Where.sin_addr);
  return Where;
}

void resetAndClose(int Socket) {
  linger Now{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  close(Socket);
}

} // namespace

proxy::connection::connection(struct ev_loop *Loop, proxy &Owner)
    : ClientWatch(Loop,
                  [this, &Owner](int Events) {
                    if (Events & EV_READ)
                      Owner.onReadable(*this, true);
                    Owner.forward(*this);
                  }),
      ServerWatch(Loop,
                  [this, &Owner](int Events) {
                    if (Events & EV_READ)
                      Owner.onReadable(*this, false);
                    Owner.forward(*this);
                  }),
      Later(Loop, [this, &Owner] {
        Owner.moveAll(*this);
        Owner.forward(*this);
      }) {}

proxy::proxy(struct ev_loop *Loop, std::string Target)
    : Loop(Loop), Target(std::move(Target)),
      ListenWatch(Loop, [this](int) { accept(); }), Prepare(Loop, [this] {
        Connections.remove_if([](const auto &C) { return C->Dead; });
      }) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Where = parse("127.0.0.1:0");
  auto *Raw = reinterpret_cast<sockaddr *>(&Where);
  if (bind(Listener, Raw, sizeof(Where)) != 0 || listen(Listener, 256) != 0)
    std::abort();
  socklen_t Size = sizeof(Where);
  getsockname(Listener, Raw, &Size);
  Address = "127.0.0.1:" + std::to_string(ntohs(Where.sin_port));
  ListenWatch.start(Listener, EV_READ);
}

proxy::~proxy() {
  for (auto &Connection : Connections)
    reset(*Connection);
  ListenWatch.stop();
  close(Listener);
}

size_t proxy::connections() const {
  return size_t(std::count_if(Connections.begin(), Connections.end(),
                              [](const auto &Each) { return !Each->Dead; }));
}

void proxy::set(proxy_fault NewFault) {
  Fault = NewFault;
  for (auto &Connection : Connections) {
    if (Fault == proxy_fault::Cut)
      reset(*Connection);
    if (Fault == proxy_fault::HalfClose && !Connection->Dead)
      shutdown(Connection->Server, SHUT_WR);
    if (!Connection->Dead)
      forward(*Connection);
  }
}

void proxy::accept() {
  int Client =
      accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Client < 0)
    return;
  if (Fault == proxy_fault::Cut)
    return resetAndClose(Client);
  int Server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Where = parse(Target);
  // On loopback a connect completes at once, so it may block.
  if (connect(Server, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) !=
      0) {
    close(Server);
    return resetAndClose(Client);
  }
  int On = 1;
  setsockopt(Server, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(Client, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  auto Connection = std::make_unique<connection>(Loop, *this);
  Connection->Client = Client;
  Connection->Server = Server;
  rewatch(*Connection);
  Connections.push_back(std::move(Connection));
}

bool proxy::swallows(bool FromClient) const {
  return Fault == proxy_fault::DropAll ||
         (Fault == proxy_fault::DropToServer && FromClient) ||
         (Fault == proxy_fault::DropToClient && !FromClient);
}

void proxy::onReadable(connection &Connection, bool FromClient) {
  if (Connection.Dead)
    return;
  std::array<char, BlockBytes> Block;
  int In = FromClient ? Connection.Client : Connection.Server;
  direction &Direction = FromClient ? Connection.ToServer : Connection.ToClient;
  ssize_t Count = recv(In, Block.data(), Block.size(), MSG_DONTWAIT);
  if (Count < 0)
    return errno == ECONNRESET ? reset(Connection) : void();
  if (Count == 0)
    return Fault == proxy_fault::None ? endBoth(Connection) : reset(Connection);
  // A connection that has lost bytes must not forward any later ones, even
  // after the fault: the receiver would see parts of frames.
  if (swallows(FromClient))
    Direction.Closed = true;
  if (!Direction.Closed)
    Direction.Pending.append(Block.data(), size_t(Count));
}

void proxy::push(direction &Direction, int Out) {
  if (Direction.Pending.empty())
    return;
  size_t Limit =
      Fault == proxy_fault::Drip ? DripBytes : Direction.Pending.size();
  ssize_t Count = send(Out, Direction.Pending.data(),
                       std::min(Limit, Direction.Pending.size()),
                       MSG_DONTWAIT | MSG_NOSIGNAL);
  if (Count > 0)
    Direction.Pending.erase(0, size_t(Count));
}

// Sends pending data; under Slow and Drip only when the timer fires.
void proxy::forward(connection &Connection) {
  if (Connection.Dead)
    return;
  bool Throttled = Fault == proxy_fault::Slow || Fault == proxy_fault::Drip;
  bool HasPending = !Connection.ToServer.Pending.empty() ||
                    !Connection.ToClient.Pending.empty();
  if (!Throttled)
    moveAll(Connection);
  else if (HasPending && !Connection.Later.active())
    Connection.Later.startOnce(Fault == proxy_fault::Slow ? SlowSeconds
                                                          : DripSeconds);
  rewatch(Connection);
}

void proxy::moveAll(connection &Connection) {
  if (Connection.Dead)
    return;
  push(Connection.ToServer, Connection.Server);
  push(Connection.ToClient, Connection.Client);
}

void proxy::rewatch(connection &Connection) {
  if (Connection.Dead)
    return;
  bool Throttled = Fault == proxy_fault::Slow || Fault == proxy_fault::Drip;
  bool ClientStalls = Fault == proxy_fault::ClientStalls;
  auto EventsFor = [&](const direction &In, const direction &Out) {
    bool Reads = In.Pending.size() < MaxPendingBytes &&
                 !(ClientStalls && &In == &Connection.ToClient);
    int Events = Reads ? EV_READ : 0;
    return Events | (!Out.Pending.empty() && !Throttled ? EV_WRITE : 0);
  };
  Connection.ClientWatch.start(
      Connection.Client, EventsFor(Connection.ToServer, Connection.ToClient));
  Connection.ServerWatch.start(
      Connection.Server, EventsFor(Connection.ToClient, Connection.ToServer));
}

void proxy::forget(connection &Connection) {
  Connection.Dead = true;
  Connection.ClientWatch.stop();
  Connection.ServerWatch.stop();
  Connection.Later.stop();
}

// Closes both sides in order after the pending data has been sent; resets the
// connection if not all of it can be sent at once or some has been lost.
void proxy::endBoth(connection &Connection) {
  moveAll(Connection);
  bool AllMoved = Connection.ToServer.Pending.empty() &&
                  Connection.ToClient.Pending.empty() &&
                  !Connection.ToServer.Closed && !Connection.ToClient.Closed;
  if (!AllMoved)
    return reset(Connection);
  forget(Connection);
  ::close(Connection.Client);
  ::close(Connection.Server);
}

void proxy::reset(connection &Connection) {
  if (Connection.Dead)
    return;
  forget(Connection);
  resetAndClose(Connection.Client);
  resetAndClose(Connection.Server);
}

} // namespace olivevalve
