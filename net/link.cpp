//===- link.cpp - Messaging between olivevalve processes ------------------===//

#include "net/link.h"
#include "base/log.h"
#include "google/protobuf/stubs/logging.h"
#include <array>
#include <cerrno>
#include <zmq.h>

namespace olivevalve {

namespace {

// Bounds the messages queued per peer in each direction. Normally at most some
// hundred messages are queued; more means that the peer is stuck, and then
// sends must fail.
constexpr int MaxQueuedMessages = 2000;
// Heartbeats detect a path that drops packets silently. The timeout is shorter
// than a lease.
constexpr int HeartbeatMs = 1000;
constexpr int HeartbeatTimeoutMs = 3000;
// Reconnect interval, and the limit up to which ZeroMQ increases it.
constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 500;
// Abandons a connection attempt. If a SYN is lost, the kernel retransmits it
// after 1, 3, 7 and 15 s; once the path works again, a new attempt succeeds
// sooner than the next retransmission.
constexpr int ConnectTimeoutMs = 600;
// Closes a connection whose bytes stay unacknowledged for this long, since the
// path is probably dead. The kernel's retransmission interval keeps growing, so
// without this the connection would stay stuck after the path works again.
constexpr int UnackedTimeoutMs = 1500;
// Must exceed the largest request body plus the other fields of its message.
constexpr int64_t MaxMessageBytes = 80 << 20;
// Messages read from one socket before other events are handled.
constexpr int ReadsPerTurn = 200;

} // namespace

std::string_view trafficKindName(size_t Kind) {
  // Indexed by the field numbers of wire::envelope.
  constexpr std::array<std::string_view, 29> Names = {
      "",           "attempt",      "credit",        "cancel",
      "settle",     "accepted",     "refused",       "head",
      "frame",      "end",          "cancel_result", "news",
      "hello",      "renew",        "grant",         "redirect",
      "claim",      "claim_result", "finish",        "bills",
      "ratings",    "ack",          "raft",          "watch",
      "notice",     "routing_ask",  "routing_piece", "retry_ask",
      "retry_grant"};
  return Kind < Names.size() ? Names[Kind] : "";
}

link_context::link_context(link_keys Keys)
    : Context(zmq_ctx_new()), Keys(std::move(Keys)) {
  // Write protobuf's messages, such as those on malformed input, to our log.
  google::protobuf::SetLogHandler(
      [](google::protobuf::LogLevel, const char *, int,
         const std::string &Text) { logLine(log_level::Warning, Text); });
}

link_context::~link_context() { zmq_ctx_term(Context); }

namespace detail {

link_socket::link_socket(link_context &Context, struct ev_loop *Loop, int Type,
                         std::function<void()> ReadOne)
    : Context(Context), Socket(zmq_socket(Context.get(), Type)),
      ReadOne(std::move(ReadOne)), Watch(Loop, [this](int) { drain(); }),
      Later(Loop, [this] { drain(); }) {
  setOption(ZMQ_LINGER, 200);
  setOption(ZMQ_SNDHWM, MaxQueuedMessages);
  setOption(ZMQ_RCVHWM, MaxQueuedMessages);
  setOption(ZMQ_HEARTBEAT_IVL, HeartbeatMs);
  setOption(ZMQ_HEARTBEAT_TIMEOUT, HeartbeatTimeoutMs);
  setOption(ZMQ_RECONNECT_IVL, ReconnectMs);
  setOption(ZMQ_RECONNECT_IVL_MAX, ReconnectMaxMs);
  setOption(ZMQ_CONNECT_TIMEOUT, ConnectTimeoutMs);
  setOption(ZMQ_TCP_MAXRT, UnackedTimeoutMs);
  zmq_setsockopt(Socket, ZMQ_MAXMSGSIZE, &MaxMessageBytes,
                 sizeof(MaxMessageBytes));
}

link_socket::~link_socket() {
  Watch.stop();
  zmq_close(Socket);
}

bool link_socket::monitor(void *Other, int Events) {
  std::string Endpoint =
      "inproc://monitor-" + std::to_string(reinterpret_cast<uintptr_t>(Other));
  if (zmq_socket_monitor(Other, Endpoint.c_str(), Events) != 0 ||
      zmq_connect(Socket, Endpoint.c_str()) != 0)
    return false;
  watch();
  return true;
}

void link_socket::watch() {
  int Descriptor = -1;
  size_t Size = sizeof(Descriptor);
  zmq_getsockopt(Socket, ZMQ_FD, &Descriptor, &Size);
  Watch.start(Descriptor, EV_READ);
  touched();
}

// The descriptor only signals changes, so after every edge and every send the
// socket must be read until it is empty. After ReadsPerTurn messages the rest
// is left to the next loop iteration.
void link_socket::drain() {
  for (int Reads = 0; Reads < ReadsPerTurn; ++Reads) {
    int Events = 0;
    size_t Size = sizeof(Events);
    zmq_getsockopt(Socket, ZMQ_EVENTS, &Events, &Size);
    if (!(Events & ZMQ_POLLIN))
      return;
    ReadOne();
  }
  Later.startOnce(0);
}

bool link_socket::receive(std::string &Part, bool &More) {
  zmq_msg_t Message;
  zmq_msg_init(&Message);
  int Size = zmq_msg_recv(&Message, Socket, ZMQ_DONTWAIT);
  if (Size < 0) {
    zmq_msg_close(&Message);
    return false;
  }
  Part.assign(static_cast<char *>(zmq_msg_data(&Message)), size_t(Size));
  More = zmq_msg_more(&Message) != 0;
  zmq_msg_close(&Message);
  return true;
}

bool link_socket::send(std::string_view Part, bool More) {
  touched();
  int Flags = ZMQ_DONTWAIT | (More ? ZMQ_SNDMORE : 0);
  return zmq_send(Socket, Part.data(), Part.size(), Flags) >= 0;
}

void link_socket::setOption(int Option, int Value) {
  zmq_setsockopt(Socket, Option, &Value, sizeof(Value));
}

void link_socket::setOption(int Option, std::string_view Value) {
  zmq_setsockopt(Socket, Option, Value.data(), Value.size());
}

} // namespace detail

namespace {

void setServerKeys(detail::link_socket &Socket) {
  const link_keys &Keys = Socket.context().keys();
  if (!Keys.enabled())
    return;
  Socket.setOption(ZMQ_CURVE_SERVER, 1);
  Socket.setOption(ZMQ_CURVE_SECRETKEY, Keys.SecretKey);
}

void setClientKeys(detail::link_socket &Socket) {
  const link_keys &Keys = Socket.context().keys();
  if (!Keys.enabled())
    return;
  Socket.setOption(ZMQ_CURVE_SERVERKEY, Keys.PublicKey);
  Socket.setOption(ZMQ_CURVE_PUBLICKEY, Keys.PublicKey);
  Socket.setOption(ZMQ_CURVE_SECRETKEY, Keys.SecretKey);
}

void discardRemainingParts(detail::link_socket &Socket, std::string &Buffer,
                           bool More) {
  while (More && Socket.receive(Buffer, More)) {
  }
}

bool parse(link_traffic &Traffic, const std::string &Buffer,
           wire::envelope &Message) {
  bool Valid = Message.ParseFromString(Buffer) &&
               Message.body_case() != wire::envelope::BODY_NOT_SET;
  if (!Valid) {
    ++Traffic.Malformed;
    return false;
  }
  message_traffic &Kind = Traffic.ByKind[size_t(Message.body_case())];
  ++Kind.ReceivedMessages;
  Kind.ReceivedBytes += Buffer.size();
  return true;
}

bool pack(link_traffic &Traffic, const wire::envelope &Message,
          std::string &Buffer) {
  if (!Message.SerializeToString(&Buffer))
    return false;
  message_traffic &Kind = Traffic.ByKind[size_t(Message.body_case())];
  ++Kind.SentMessages;
  Kind.SentBytes += Buffer.size();
  return true;
}

} // namespace

server_link::server_link(link_context &Context, struct ev_loop *Loop,
                         handler Handler)
    : Handler(std::move(Handler)),
      Socket(Context, Loop, ZMQ_ROUTER, [this] { readOne(); }) {
  Socket.setOption(ZMQ_ROUTER_MANDATORY, 1);
  // A peer that reconnects takes over its name from its old connection.
  // Otherwise it would be rejected until the old connection is detected as
  // dead.
  Socket.setOption(ZMQ_ROUTER_HANDOVER, 1);
  setServerKeys(Socket);
}

bool server_link::bind(const std::string &Address) {
  std::string Endpoint = "tcp://" + Address;
  if (Endpoint.ends_with(":0"))
    Endpoint.replace(Endpoint.size() - 1, 1, "*");
  if (zmq_bind(Socket.get(), Endpoint.c_str()) != 0)
    return false;
  Socket.watch();
  return true;
}

std::string server_link::address() const {
  std::array<char, 256> Endpoint{};
  size_t Size = Endpoint.size();
  zmq_getsockopt(Socket.get(), ZMQ_LAST_ENDPOINT, Endpoint.data(), &Size);
  return std::string(Endpoint.data()).substr(6);
}

bool server_link::send(const std::string &Peer, const wire::envelope &Message) {
  if (!pack(Socket.context().traffic(), Message, Buffer))
    return false;
  return Socket.send(Peer, true) && Socket.send(Buffer, false);
}

void server_link::readOne() {
  std::string Peer;
  bool More = false;
  if (!Socket.receive(Peer, More) || !More)
    return;
  std::string Body;
  if (!Socket.receive(Body, More))
    return;
  discardRemainingParts(Socket, Buffer, More);
  wire::envelope Message;
  if (parse(Socket.context().traffic(), Body, Message))
    Handler(Peer, Message);
}

client_link::client_link(link_context &Context, struct ev_loop *Loop,
                         const std::string &Name, handler Handler)
    : Handler(std::move(Handler)),
      Socket(Context, Loop, ZMQ_DEALER, [this] { readOne(); }), Loop(Loop) {
  // Makes a send without a connection fail at once instead of queueing, so that
  // the sender knows that the request has not run.
  Socket.setOption(ZMQ_IMMEDIATE, 1);
  Socket.setOption(ZMQ_ROUTING_ID, Name);
  setClientKeys(Socket);
}

void client_link::connect(const std::string &Address) {
  if (OnDisconnect) {
    Monitor = std::make_unique<detail::link_socket>(
        Socket.context(), Loop, ZMQ_PAIR, [this] { readMonitor(); });
    Monitor->monitor(Socket.get(), ZMQ_EVENT_DISCONNECTED);
  }
  zmq_connect(Socket.get(), ("tcp://" + Address).c_str());
  Socket.watch();
}

void client_link::readMonitor() {
  std::string Event;
  bool More = false;
  if (!Monitor->receive(Event, More))
    return;
  discardRemainingParts(*Monitor, Buffer, More);
  OnDisconnect();
}

bool client_link::send(const wire::envelope &Message) {
  return pack(Socket.context().traffic(), Message, Buffer) &&
         Socket.send(Buffer, false);
}

void client_link::readOne() {
  std::string Body;
  bool More = false;
  if (!Socket.receive(Body, More))
    return;
  discardRemainingParts(Socket, Buffer, More);
  wire::envelope Message;
  if (parse(Socket.context().traffic(), Body, Message))
    Handler(Message);
}

} // namespace olivevalve
