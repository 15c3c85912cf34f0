//===- link.h - Messaging between olivevalve processes ----------*- C++ -*-===//
//
// ZeroMQ sockets on the event loop that carry protobuf envelopes. A
// server_link accepts many peers and addresses them by name; a client_link
// connects to one server_link. Queues are bounded: a send fails at once if the
// queue is full or there is no connection, and the message is never sent later.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_LINK_H
#define OLIVEVALVE_NET_LINK_H

#include "base/loop.h"
#include "wire/wire.pb.h"
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace olivevalve {

/// The ZeroMQ CURVE key pair shared by all processes of one deployment. Without
/// a secret key, connections are unencrypted and unauthenticated.
struct link_keys {
  std::string PublicKey; ///< Z85, 40 characters.
  std::string SecretKey; ///< Z85, 40 characters.
  bool enabled() const { return !SecretKey.empty(); }
};

/// Message and payload byte counts of one message kind.
struct message_traffic {
  uint64_t SentMessages = 0;
  uint64_t SentBytes = 0;
  uint64_t ReceivedMessages = 0;
  uint64_t ReceivedBytes = 0;
};

/// Traffic of all links of a process.
struct link_traffic {
  /// Must exceed the largest field number of wire::envelope.
  static constexpr size_t Kinds = 32;
  /// Indexed by the field number of the message in wire::envelope.
  std::array<message_traffic, Kinds> ByKind;
  uint64_t Malformed = 0; ///< Received messages that could not be parsed.
};

/// The metric label of the message kind with field number \p Kind, or "" if
/// there is none.
std::string_view trafficKindName(size_t Kind);

/// Owns the ZeroMQ context of a process. Must outlive all its links.
class link_context {
public:
  explicit link_context(link_keys Keys = {});
  ~link_context();
  link_context(const link_context &) = delete;
  link_context &operator=(const link_context &) = delete;

  void *get() const { return Context; }
  const link_keys &keys() const { return Keys; }
  link_traffic &traffic() { return Traffic; }
  const link_traffic &traffic() const { return Traffic; }

private:
  void *Context;
  link_keys Keys;
  link_traffic Traffic;
};

namespace detail {

/// A ZeroMQ socket on the event loop, common to both kinds of links. Its
/// descriptor is edge-triggered, so each event reads the socket until empty.
class link_socket {
public:
  /// \p Type is a ZeroMQ socket type. \p ReadOne must receive one message.
  link_socket(link_context &Context, struct ev_loop *Loop, int Type,
              std::function<void()> ReadOne);
  ~link_socket();
  /// Subscribes to the monitor events \p Events of the ZeroMQ socket \p Other.
  /// Returns false on failure.
  bool monitor(void *Other, int Events);
  link_socket(const link_socket &) = delete;
  link_socket &operator=(const link_socket &) = delete;

  void *get() const { return Socket; }
  /// Starts watching the descriptor. The socket must be bound or connected.
  void watch();
  /// Schedules a read. Must be called for each send, since a send can consume
  /// the descriptor's edge for incoming messages.
  void touched() { Watch.feed(); }
  /// Receives one message part; \p More tells whether further parts follow.
  /// Returns false if none is available.
  bool receive(std::string &Part, bool &More);
  /// Sends one message part without blocking; \p More announces further parts.
  /// Returns false if ZeroMQ does not accept it.
  bool send(std::string_view Part, bool More);
  void setOption(int Option, int Value);
  void setOption(int Option, std::string_view Value);
  link_context &context() { return Context; }

private:
  void drain();

  link_context &Context;
  void *Socket;
  std::function<void()> ReadOne;
  descriptor_watch Watch;
  timer Later; ///< Continues reading after other events were handled.
};

} // namespace detail

/// Accepts any number of peers, each identified by the name it chose.
class server_link {
public:
  using handler = std::function<void(const std::string &Peer,
                                     const wire::envelope &Message)>;
  server_link(link_context &Context, struct ev_loop *Loop, handler Handler);

  /// Binds to "host:port"; with port 0 the kernel chooses the port. Returns
  /// false on failure.
  bool bind(const std::string &Address);
  /// The bound address with the actual port.
  std::string address() const;
  /// Returns false if the peer is not connected or its queue is full.
  bool send(const std::string &Peer, const wire::envelope &Message);

private:
  void readOne();

  handler Handler;
  detail::link_socket Socket;
  std::string Buffer;
};

/// Connects to one server_link and reconnects automatically.
class client_link {
public:
  using handler = std::function<void(const wire::envelope &Message)>;
  /// The server addresses this client by \p Name.
  client_link(link_context &Context, struct ev_loop *Loop,
              const std::string &Name, handler Handler);

  /// Starts to connect to "host:port". OnDisconnect must be set before.
  void connect(const std::string &Address);
  /// Returns false if there is no connection or its queue is full.
  bool send(const wire::envelope &Message);

  /// Called when the connection breaks; messages in transit may be lost.
  std::function<void()> OnDisconnect;

private:
  void readOne();
  void readMonitor();

  handler Handler;
  detail::link_socket Socket;
  std::unique_ptr<detail::link_socket> Monitor;
  struct ev_loop *Loop;
  std::string Buffer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_LINK_H
