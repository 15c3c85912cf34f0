//===- tcp_stream.h - One TCP connection on the event loop ------*- C++ -*-===//
//
// Delivers bytes as they arrive. Writes what the kernel accepts at once and
// buffers the remainder. The owner must not destroy a stream inside one of its
// callbacks.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_TCP_STREAM_H
#define OLIVEVALVE_NET_TCP_STREAM_H

#include "base/loop.h"
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace olivevalve {

/// A non-blocking TCP connection.
class tcp_stream {
public:
  /// Takes over the connected \p Socket.
  tcp_stream(struct ev_loop *Loop, int Socket);
  /// Starts to connect to "IP:port". Bytes written before the connection is
  /// established are buffered. A failure is reported through OnEnd.
  tcp_stream(struct ev_loop *Loop, const std::string &Address);
  ~tcp_stream() { close(); }
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  std::function<void()> OnConnected;
  /// Called with received bytes. Must be set; the bytes are only valid during
  /// the call.
  std::function<void(std::string_view)> OnBytes;
  /// Called when the connection ends. \p Reset is false if the peer closed it
  /// properly, true after a reset or any other error.
  std::function<void(bool Reset)> OnEnd;
  /// Called when the kernel has accepted all bytes written.
  std::function<void()> OnDrained;

  /// Sends or buffers \p Bytes. Ignored once the stream is closing or closed.
  void write(std::string_view Bytes);
  /// Like write() of \p Head and then \p Body, which is not copied unless it is
  /// short.
  void write(std::string Head, std::shared_ptr<const std::string> Body);
  /// Closes the stream once the kernel has accepted all bytes written.
  void closeWhenSent();
  /// Closes the stream at once and discards unsent bytes.
  void close();
  /// Whether the connection ends with a reset however it is closed, also by the
  /// end of the process. Bytes that the peer has not received are then lost.
  void setResetOnClose(bool On);
  bool open() const { return Socket >= 0; }
  bool connected() const { return Connected; }
  /// True if the peer has closed or reset the connection and all received bytes
  /// have been read, even if OnEnd has not been called yet.
  bool closedByPeer() const;
  /// True if the peer's host refused the connection, that is no process listens
  /// at the address.
  bool refused() const { return Refused; }
  /// Bytes written that the kernel has not accepted yet.
  size_t unsent() const { return UnsentBytes; }
  /// Bytes of memory that the buffered bytes take.
  size_t heldBytes() const { return HeldBytes; }
  /// Total bytes accepted by the kernel.
  uint64_t sentBytes() const { return SentBytes; }
  /// Pauses or resumes reading.
  void setReading(bool On);

private:
  /// Bytes that wait to be sent, owned or shared.
  struct segment {
    std::string Own;
    std::shared_ptr<const std::string> Shared;
    size_t Sent = 0;
    std::string_view bytes() const { return Shared ? *Shared : Own; }
    size_t heldBytes() const {
      return sizeof(*this) + (Shared ? Shared->size() : Own.capacity());
    }
  };

  void onReady(int Events);
  void readSome();
  bool mayWrite() const { return open() && !Closing && !Failed; }
  size_t sendSome(std::string_view Bytes);
  void buffer(std::string_view Bytes);
  void discardUnsent();
  void flush();
  void onAllSent();
  void fail();
  void watch();

  int Socket;
  bool Connected;
  bool Refused = false;
  bool Reading = true;
  bool Closing = false;
  int Watched = 0;     ///< EV_READ / EV_WRITE bits that Watch waits for.
  bool Failed = false; ///< A write failed; OnEnd follows.
  std::list<segment> Unsent;
  size_t UnsentBytes = 0;
  size_t HeldBytes = 0;
  uint64_t SentBytes = 0;
  descriptor_watch Watch;
  /// Reports an error found inside a call of the owner through OnEnd later.
  timer Failure;
};

/// A listening TCP socket.
class tcp_listener {
public:
  /// The most memory that bytes which were not read yet take in the kernel, for
  /// each accepted connection.
  static constexpr size_t KernelBufferBytes = 128 << 10;

  /// Called when there are no descriptors or buffers left for a connection.
  /// After a while the listener goes on.
  std::function<void()> OnExhausted;

  /// \p OnAccept takes over each accepted, non-blocking socket.
  tcp_listener(struct ev_loop *Loop, std::function<void(int Socket)> OnAccept);
  ~tcp_listener() { close(); }
  /// Binds to "IP:port"; with port 0 the kernel chooses the port. Returns false
  /// if \p Address is invalid or cannot be bound.
  bool bind(const std::string &Address);
  /// The bound address with the actual port.
  const std::string &address() const { return Bound; }
  void close();

private:
  void acceptSome();

  int Socket = -1;
  std::string Bound;
  std::function<void(int)> OnAccept;
  descriptor_watch Watch;
  timer Resume; ///< After OnExhausted.
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_TCP_STREAM_H
