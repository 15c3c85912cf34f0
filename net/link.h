//===- link.h - Messages between our own processes --------------*- C++ -*-===//
//
// ZeroMQ sockets on the event loop that carry protobuf envelopes. A
// server_link accepts many peers and answers them by name; a client_link
// talks to one address. Queues are bounded; a message that finds no room or no
// connection is refused at once and never sent later.
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

/// The key pair that all processes of one system hold, for ZeroMQ's CURVE;
/// empty: plain connections.
struct link_keys {
  std::string PublicKey; ///< Z85, 40 characters.
  std::string SecretKey; ///< Z85, 40 characters.
  bool enabled() const { return !SecretKey.empty(); }
};

/// Messages and payload bytes of one kind.
struct kind_traffic {
  uint64_t SentMessages = 0;
  uint64_t SentBytes = 0;
  uint64_t ReceivedMessages = 0;
  uint64_t ReceivedBytes = 0;
};

/// What passed over all links of a process, by the envelope's field number.
struct link_traffic {
  static constexpr size_t Kinds = 32;
  std::array<kind_traffic, Kinds> ByKind;
  uint64_t Malformed = 0;
};

/// The name of a kind for metrics, or "" if there is none.
std::string_view trafficKindName(size_t Kind);

/// Owns the ZeroMQ context; outlives its links. One per process.
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

/// What both links share: the socket, its edge-triggered descriptor and the
/// reading of it until nothing is left.
class link_socket {
public:
  link_socket(link_context &Context, struct ev_loop *Loop, int Type,
              std::function<void()> ReadOne);
  ~link_socket();
  /// Reads the events of another socket.
  bool monitor(void *Other, int Events);
  link_socket(const link_socket &) = delete;
  link_socket &operator=(const link_socket &) = delete;

  void *get() const { return Socket; }
  void watch();
  /// Must be called after each send: a send may swallow the edge.
  void touched() { Watch.feed(); }
  /// Receives one part; false when there is none.
  bool receive(std::string &Part, bool &More);
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
  timer Later; ///< Goes on reading after others had their turn.
};

} // namespace detail

/// Accepts peers; each is known by the name it chose.
class server_link {
public:
  using handler = std::function<void(const std::string &Peer,
                                     const wire::envelope &Message)>;
  server_link(link_context &Context, struct ev_loop *Loop, handler Handler);

  /// Binds to "host:port"; port 0 lets the kernel choose.
  bool bind(const std::string &Address);
  /// The address bound, with the port that was chosen.
  std::string address() const;
  /// False if the peer is gone or its queue is full.
  bool send(const std::string &Peer, const wire::envelope &Message);

private:
  void readOne();

  handler Handler;
  detail::link_socket Socket;
  std::string Buffer;
};

/// Talks to one server_link.
class client_link {
public:
  using handler = std::function<void(const wire::envelope &Message)>;
  client_link(link_context &Context, struct ev_loop *Loop,
              const std::string &Name, handler Handler);

  void connect(const std::string &Address);
  /// False if there is no connection or its queue is full.
  bool send(const wire::envelope &Message);

  /// The connection broke: what was under way may be lost.
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
