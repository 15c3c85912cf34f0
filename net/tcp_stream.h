//===- tcp_stream.h - One TCP connection on the event loop ------*- C++ -*-===//
//
// Reads as bytes come, writes at once what the kernel takes and keeps the
// rest. The owner must not destroy a stream inside its callbacks.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_TCP_STREAM_H
#define OLIVEVALVE_NET_TCP_STREAM_H

#include "base/loop.h"
#include <functional>
#include <string>
#include <string_view>

namespace olivevalve {

class tcp_stream {
public:
  /// Takes over the connected \p Socket.
  tcp_stream(struct ev_loop *Loop, int Socket);
  /// Begins to connect to "IP:port"; what is written meanwhile goes out after.
  tcp_stream(struct ev_loop *Loop, const std::string &Address);
  ~tcp_stream() { close(); }
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  std::function<void()> OnConnected;
  std::function<void(std::string_view)> OnBytes;
  /// The other side has ended; \p Reset: by a reset or an error.
  std::function<void(bool Reset)> OnEnd;
  std::function<void()> OnDrained; ///< Everything written has left.

  void write(std::string_view Bytes);
  /// Closes after what was written has left.
  void closeWhenSent();
  void close();
  bool open() const { return Socket >= 0; }
  bool connected() const { return Connected; }
  /// The other side has closed it, whether or not OnEnd was told yet.
  bool closedByPeer() const;
  /// Nothing listens at the address: no process has it.
  bool refused() const { return Refused; }
  size_t unsent() const { return Unsent.size() - Sent; }
  /// Bytes handed to the kernel.
  uint64_t sentBytes() const { return SentBytes; }
  void setReading(bool On);

private:
  void onReady(int Events);
  void readSome();
  void flush();
  void fail();
  void watch();

  int Socket;
  bool Connected;
  bool Refused = false;
  bool Reading = true;
  bool Closing = false;
  int Watched = 0;
  std::string Unsent;
  size_t Sent = 0;
  uint64_t SentBytes = 0;
  descriptor_watch Watch;
  timer Failure; ///< Tells of an error that came up inside a call.
};

/// A listening socket.
class tcp_listener {
public:
  tcp_listener(struct ev_loop *Loop, std::function<void(int Socket)> OnAccept);
  ~tcp_listener() { close(); }
  /// Binds to "IP:port"; port 0 lets the kernel choose.
  bool bind(const std::string &Address);
  const std::string &address() const { return Bound; }
  void close();

private:
  void acceptSome();

  int Socket = -1;
  std::string Bound;
  std::function<void(int)> OnAccept;
  descriptor_watch Watch;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_TCP_STREAM_H
