//===- caller_connection.h - HTTP/1.1 server connections --------*- C++ -*-===//
//
// The server side of a caller's HTTP connection. It reads one request at a
// time, passes it to the host once head and body are complete, and writes the
// response. The next request begins once the kernel has accepted that response,
// and at the earliest in the next turn of the event loop. It enforces the size
// limits and timeouts of caller_limits.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_CALLER_CONNECTION_H
#define OLIVEVALVE_NET_CALLER_CONNECTION_H

#include "base/caller_limits.h"
#include "net/http_reader.h"
#include "net/tcp_stream.h"
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace olivevalve {

class caller_connection;
class caller_pool;

/// Produces the response to one request and is notified about the connection.
class response_producer {
public:
  virtual ~response_producer() = default;
  /// The connection has ended, so no response can be sent any more.
  virtual void onCallerGone() = 0;
  /// The kernel has accepted all bytes written so far.
  virtual void onCallerDrained() = 0;
};

/// Owner of a set of connections. Receives their requests.
class caller_host {
public:
  virtual ~caller_host() = default;
  virtual const caller_limits &limits() const = 0;
  /// True if responses must carry "Connection: close", so that callers open a
  /// new connection for their next request.
  virtual bool closesAfterAnswer() const = 0;
  /// A complete request has arrived on \p Connection.
  virtual void onRequest(caller_connection &Connection, http_head Head,
                         std::string Body) = 0;
  /// The connection itself answered an incomplete or invalid request with the
  /// error \p Status; onRequest() is not called for it.
  virtual void onMalformed(int Status, std::string_view Message) = 0;
  /// \p Connection has closed its socket and can be destroyed once its current
  /// callback has returned.
  virtual void ended(caller_connection &Connection) = 0;
};

/// One connection of a caller. Handles one request at a time.
class caller_connection {
public:
  /// Takes over the connected \p Socket.
  caller_connection(struct ev_loop *Loop, caller_host &Host, caller_pool &Pool,
                    int Socket);

  /// Makes \p NewProducer the producer of the response to the current request.
  void setProducer(std::shared_ptr<response_producer> NewProducer) {
    Producer = std::move(NewProducer);
  }
  /// Sends a complete response and ends the request. \p Lines must not contain
  /// hop-by-hop headers.
  void reply(int Status, std::string_view Reason,
             const std::vector<header_field> &Lines, std::string Body) {
    writeWhole(Status, Reason, Lines, std::move(Body));
    finish();
  }
  /// Like reply(), but the connection reads no further request until finish()
  /// is called.
  void writeWhole(int Status, std::string_view Reason,
                  const std::vector<header_field> &Lines, std::string Body);
  /// Starts a streamed response of unknown length: write() adds to the body and
  /// finish() ends it.
  void begin(int Status, std::string_view Reason,
             const std::vector<header_field> &Lines);
  void write(std::string_view Bytes);
  void finish();
  /// Closes the connection without completing the response, so that the
  /// caller's HTTP library reports a truncated response: the last chunk is
  /// missing, or for callers of HTTP/1.0 the connection is reset.
  void abortResponse();

  /// True while a request is being answered, until the kernel has accepted the
  /// whole response.
  bool busy() const { return Busy || Stream.unsent() > 0; }
  /// Bytes written that the kernel has not accepted yet.
  size_t unsent() const { return Stream.unsent(); }
  /// When onTimeout() is due, in seconds of steadySeconds(); 0 means that
  /// there is no timeout.
  double timeoutAt() const { return TimeoutAt; }
  /// True if there are unsent bytes and the kernel has accepted none for more
  /// than \p Seconds. \p Now is in seconds of steadySeconds(). Progress is only
  /// noticed by calls, so this must be called regularly.
  bool stalled(double Now, double Seconds);
  /// When the connection last became idle, in seconds of steadySeconds().
  double idleSince() const { return IdleSince; }
  /// Handles an expired timeout: answers a partly received request with 408,
  /// and closes the connection in all other cases.
  void onTimeout();
  /// Begins the next request with bytes that were received ahead.
  void continueAhead();
  /// Closes the connection and notifies the producer of a pending response.
  void close();

private:
  void receive(std::string_view Bytes);
  size_t parse(std::string_view Bytes);
  void proceed();
  void onDrained();
  void onHead();
  void refuse(int Status, std::string_view Message);
  void onParsed();
  void dispatch();
  void linger();
  void onEnd();
  void endRequest();
  void becomeIdle();
  void endConnection();
  std::string headOf(int Status, std::string_view Reason,
                     const std::vector<header_field> &Lines) const;

  caller_host &Host;
  caller_pool &Pool;
  tcp_stream Stream;
  http_reader Reader;
  std::shared_ptr<response_producer> Producer;
  std::string Body;
  /// Bytes of the next requests, received while this one is being answered.
  std::string Ahead;
  size_t AheadParsed = 0; ///< Bytes at the start of Ahead that were parsed.
  bool Busy = false;      ///< A request is being answered.
  /// The last response has been written; further input is discarded until the
  /// connection is closed.
  bool Lingering = false;
  bool Ended = false;
  /// The connection stays open after the current response.
  bool KeepAlive = false;
  bool Chunked = false;
  /// The end of the connection marks the end of the response body.
  bool EndsByClose = false;
  bool HeadOnly = false; ///< The request is a HEAD request.
  double TimeoutAt = 0;
  double IdleSince = 0;
  uint64_t LastSentBytes = 0; ///< Bytes sent as of the last call of stalled().
  double LastProgressAt = 0;  ///< When stalled() last noticed progress.
};

/// All connections of one listener, limited in number.
class caller_pool {
public:
  caller_pool(struct ev_loop *Loop, caller_host &Host, size_t MaxConnections);

  /// Takes over the connected \p Socket. At the limit, the connection that has
  /// been idle longest is closed first; if all are busy, \p Socket is closed.
  void take(int Socket);
  /// Must be called by the host for each connection that has ended.
  void ended(caller_connection &Connection);
  /// Calls \p Connection's continueAhead() in the next turn of the event loop.
  void continueSoon(caller_connection &Connection);
  /// Closes all connections that are not answering a request.
  void closeIdle();
  size_t size() const { return Open.size(); }

private:
  bool closeLongestIdle();
  void continueWaiting();
  void sweep();

  struct ev_loop *Loop;
  caller_host &Host;
  size_t MaxConnections;
  std::unordered_map<caller_connection *, std::unique_ptr<caller_connection>>
      Open;
  // Ended connections. They are destroyed before the loop waits again, because
  // a connection must not be destroyed inside one of its own callbacks.
  std::vector<std::unique_ptr<caller_connection>> EndedConnections;
  /// Connections with requests that were received ahead.
  std::unordered_set<caller_connection *> Waiting;
  timer Turn;
  timer Sweep;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_CALLER_CONNECTION_H
