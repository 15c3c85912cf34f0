//===- tcp_stream.cpp - One TCP connection on the event loop --------------===//

#include "net/tcp_stream.h"
#include "net/ip_address.h"
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace olivevalve {

namespace {

// Size of one read: what the kernel usually buffers for a connection.
constexpr size_t ReadBytes = 64 << 10;
// The kernel closes a connection to an upstream whose bytes stay unacknowledged
// for this long, since the path is probably dead. Well above the longest round
// trip time, and below the time a caller would wait.
constexpr unsigned UnackedTimeoutMs = 5000;
constexpr int Backlog = 1024;
// Unsent bytes are buffered in pieces, so that sent ones are freed early.
constexpr size_t SegmentBytes = 64 << 10;
// Up to this size a copy costs less than a further system call.
constexpr size_t MaxCopiedBytes = 16 << 10;
// Connections accepted in one loop iteration, so that a burst does not delay
// the open connections.
constexpr int AcceptsPerTurn = 64;
// Until a listener that could not accept a connection tries again.
constexpr double ExhaustedSeconds = 0.05;

bool isExhausted(int Error) {
  return Error == EMFILE || Error == ENFILE || Error == ENOBUFS ||
         Error == ENOMEM;
}

void disableNagle(int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

int connectTo(const std::string &Address) {
  sockaddr_in SocketAddress{};
  if (!parseIpAddress(Address, SocketAddress))
    return -1;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  disableNagle(Socket);
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnackedTimeoutMs,
             sizeof(UnackedTimeoutMs));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&SocketAddress),
              sizeof(SocketAddress)) == 0 ||
      errno == EINPROGRESS)
    return Socket;
  close(Socket);
  return -1;
}

} // namespace

tcp_stream::tcp_stream(struct ev_loop *Loop, int Socket)
    : Socket(Socket), Connected(true),
      Watch(Loop, [this](int Events) { onReady(Events); }),
      Failure(Loop, [this] { fail(); }) {
  disableNagle(Socket);
  watch();
}

tcp_stream::tcp_stream(struct ev_loop *Loop, const std::string &Address)
    : Socket(connectTo(Address)), Connected(false),
      Watch(Loop, [this](int Events) { onReady(Events); }),
      Failure(Loop, [this] { fail(); }) {
  if (Socket < 0)
    Failure.startOnce(0);
  watch();
}

void tcp_stream::watch() {
  if (Socket < 0)
    return;
  int Wanted = (Reading && Connected ? EV_READ : 0) |
               (!Connected || unsent() > 0 ? EV_WRITE : 0);
  if (Wanted == Watched)
    return;
  Watched = Wanted;
  if (Wanted)
    Watch.start(Socket, Wanted);
  else
    Watch.stop();
}

bool tcp_stream::closedByPeer() const {
  char Byte = 0;
  ssize_t Count = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
}

void tcp_stream::setReading(bool On) {
  Reading = On;
  watch();
}

void tcp_stream::setResetOnClose(bool On) {
  linger Options{.l_onoff = On, .l_linger = 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Options, sizeof(Options));
}

void tcp_stream::onReady(int Events) {
  if (!Connected) {
    int Error = 0;
    socklen_t Size = sizeof(Error);
    getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0) {
      Refused = Error == ECONNREFUSED;
      return fail();
    }
    Connected = true;
    if (OnConnected)
      OnConnected();
    if (open())
      flush();
    return watch();
  }
  if (Events & EV_WRITE)
    flush();
  if ((Events & EV_READ) && open())
    readSome();
}

void tcp_stream::readSome() {
  static thread_local std::array<char, ReadBytes> Buffer;
  ssize_t Count = ::read(Socket, Buffer.data(), Buffer.size());
  if (Count > 0)
    return OnBytes({Buffer.data(), size_t(Count)});
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  bool Reset = Count < 0;
  Watch.stop();
  Watched = 0;
  Reading = false;
  if (OnEnd)
    OnEnd(Reset);
}

// Bytes that the kernel accepts. An error is reported from the loop, as write()
// may be on the stack and its caller must not get OnEnd inside that call.
size_t tcp_stream::sendSome(std::string_view Bytes) {
  size_t Accepted = 0;
  while (Accepted < Bytes.size()) {
    ssize_t Count = ::send(Socket, Bytes.data() + Accepted,
                           Bytes.size() - Accepted, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    if (Count < 0) {
      Failed = true;
      discardUnsent();
      Watch.stop();
      Watched = 0;
      Failure.startOnce(0);
      break;
    }
    Accepted += size_t(Count);
    SentBytes += uint64_t(Count);
  }
  return Accepted;
}

void tcp_stream::discardUnsent() {
  Unsent.clear();
  UnsentBytes = HeldBytes = 0;
}

void tcp_stream::write(std::string_view Bytes) {
  if (!mayWrite() || Bytes.empty())
    return;
  bool AtOnce = Connected && Unsent.empty();
  if (AtOnce)
    Bytes.remove_prefix(sendSome(Bytes));
  if (Failed)
    return;
  buffer(Bytes);
  if (AtOnce && Unsent.empty())
    return onAllSent();
  watch();
}

// Short writes share a segment.
void tcp_stream::buffer(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  UnsentBytes += Bytes.size();
  bool Fits = !Unsent.empty() && !Unsent.back().Shared &&
              Unsent.back().Own.size() + Bytes.size() <= SegmentBytes;
  if (!Fits)
    Unsent.emplace_back();
  else
    HeldBytes -= Unsent.back().heldBytes();
  Unsent.back().Own.append(Bytes);
  HeldBytes += Unsent.back().heldBytes();
}

void tcp_stream::write(std::string Head,
                       std::shared_ptr<const std::string> Body) {
  if (Body->size() <= MaxCopiedBytes)
    return write(Head.append(*Body));
  if (!mayWrite())
    return;
  bool AtOnce = Connected && Unsent.empty();
  buffer(Head);
  UnsentBytes += Body->size();
  Unsent.push_back({.Shared = std::move(Body)});
  HeldBytes += Unsent.back().heldBytes();
  if (AtOnce)
    flush();
  else
    watch();
}

void tcp_stream::flush() {
  if (!Connected)
    return;
  while (!Unsent.empty()) {
    segment &First = Unsent.front();
    size_t Accepted = sendSome(First.bytes().substr(First.Sent));
    if (Failed)
      return;
    First.Sent += Accepted;
    UnsentBytes -= Accepted;
    if (First.Sent < First.bytes().size())
      return watch();
    HeldBytes -= First.heldBytes();
    Unsent.pop_front();
  }
  onAllSent();
}

void tcp_stream::onAllSent() {
  watch();
  if (Closing)
    return close();
  if (OnDrained)
    OnDrained();
}

void tcp_stream::closeWhenSent() {
  Closing = true;
  if (unsent() == 0)
    close();
}

void tcp_stream::fail() {
  Watch.stop();
  Watched = 0;
  if (OnEnd)
    OnEnd(true);
}

void tcp_stream::close() {
  Watch.stop();
  Failure.stop();
  Watched = 0;
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
  discardUnsent();
}

tcp_listener::tcp_listener(struct ev_loop *Loop,
                           std::function<void(int Socket)> OnAccept)
    : OnAccept(std::move(OnAccept)), Watch(Loop, [this](int) { acceptSome(); }),
      Resume(Loop, [this] { Watch.start(Socket, EV_READ); }) {}

bool tcp_listener::bind(const std::string &Address) {
  Socket = listenOn(Address, Backlog, Bound);
  if (Socket < 0)
    return false;
  // Accepted sockets inherit it. The kernel doubles the value.
  int BufferBytes = KernelBufferBytes / 2;
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &BufferBytes, sizeof(BufferBytes));
  Watch.start(Socket, EV_READ);
  return true;
}

void tcp_listener::acceptSome() {
  for (int I = 0; I < AcceptsPerTurn; ++I) {
    int Accepted =
        accept4(Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Accepted < 0 && isExhausted(errno)) {
      // The socket stays ready, and the loop would call this in each turn.
      Watch.stop();
      Resume.startOnce(ExhaustedSeconds);
      if (OnExhausted)
        OnExhausted();
    }
    if (Accepted < 0)
      return;
    OnAccept(Accepted);
  }
}

void tcp_listener::close() {
  Watch.stop();
  Resume.stop();
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

} // namespace olivevalve
