//===- caller_connection.h - HTTP/1.1 server connections --------*- C++ -*-===//
//
// The server side of a caller's HTTP connection. It reads one request at a
// time, passes it to the host once head and body are complete, and writes the
// response. The next request begins once the kernel has accepted that response,
// and at the earliest in the next turn of the event loop. It enforces the size
// limits and timeouts of caller_limits, and caller_pool bounds what all
// connections together make the process hold.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_CALLER_CONNECTION_H
#define OLIVEVALVE_NET_CALLER_CONNECTION_H

#include "base/caller_limits.h"
#include "base/error.h"
#include "net/caller_memory.h"
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
  /// Bytes of memory that the request takes besides its head and its body.
  virtual size_t heldBytes() const = 0;
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

/// The order in which connections are given up when callers hold too much
/// memory: first those that make no progress, last those with a request at
/// work.
enum class shed_order : uint8_t {
  StalledRequest,  ///< An incomplete request that does not go on.
  LargeRequest,    ///< An incomplete request that holds much.
  StalledResponse, ///< Its caller does not read.
  Request,         ///< Any other incomplete request.
  Response,        ///< Unsent, but its caller reads.
  AtWorkWithMore,  ///< A request at work, and bytes sent ahead.
  Never            ///< It holds nothing, or only a request at work.
};

/// One connection of a caller. Handles one request at a time.
class caller_connection {
public:
  /// Takes over the connected \p Socket.
  caller_connection(struct ev_loop *Loop, caller_host &Host, caller_pool &Pool,
                    int Socket);

  /// Makes \p NewProducer the producer of the response to the current request.
  void setProducer(std::shared_ptr<response_producer> NewProducer);
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
  /// Bytes of memory that the connection and its request take.
  size_t heldBytes() const { return HeldBytes; }
  /// \p Now is in seconds of steadySeconds().
  shed_order shedOrder(double Now) const;
  /// Gives up what the connection holds: refuses an incomplete request, which
  /// has not run, and closes the connection in all other cases.
  void shed();
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
  void refuse(int Status, error_kind Kind, std::string_view Message);
  void sendRefusal(int Status, error_kind Kind, std::string_view Message);
  void appendBody(std::string_view Bytes);
  void setReading(bool On);
  void recordHeldBytes();
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
  size_t HeldBytes = 0;   ///< Recorded in caller_pool::memory().
  /// Of these, head and body of the request that is being answered, and what
  /// its producer takes.
  size_t RequestBytes = 0;
  bool Reading = true;
  bool Busy = false; ///< A request is being answered.
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
  bool IsHttp10 = false; ///< The request is of HTTP/1.0 or older.
  double TimeoutAt = 0;
  double IdleSince = 0;
  double LastReceivedAt = 0;
  uint64_t LastSentBytes = 0; ///< Bytes sent as of the last call of stalled().
  double LastProgressAt = 0;  ///< When stalled() last noticed progress.
};

/// Bounds of a caller_pool.
struct caller_pool_limits {
  /// At most five eighths of the descriptors that the process may have: the
  /// others are for upstreams.
  size_t MaxConnections = 0;
  /// Bytes that callers together may make the process hold, besides the
  /// connections themselves.
  size_t MaxHeldBytes = defaultCallerBytes();
};

/// Connections given up because callers held too much memory.
struct shed_counts {
  uint64_t Refused = 0; ///< An incomplete request was refused.
  uint64_t Closed = 0;  ///< The connection was closed.
};

/// All connections of one listener, limited in number and in memory.
class caller_pool {
public:
  caller_pool(struct ev_loop *Loop, caller_host &Host,
              caller_pool_limits Limits);

  /// Takes over the connected \p Socket. At the limit, the connection that has
  /// been idle longest is closed first; if all are busy, one whose caller does
  /// not read, and if there is none, \p Socket.
  void take(int Socket);
  /// Must be called by the host for each connection that has ended.
  void ended(caller_connection &Connection);
  /// Calls \p Connection's continueAhead() in the next turn of the event loop.
  void continueSoon(caller_connection &Connection);
  /// Closes a connection, as take() does at the limit. False: none can be.
  bool makeRoom();
  /// Closes all connections that are not answering a request.
  void closeIdle();
  size_t size() const { return Open.size(); }
  caller_memory &memory() { return Memory; }
  const caller_memory &memory() const { return Memory; }
  const shed_counts &shedCounts() const { return Shed; }
  /// Gives up connections while callers hold too much.
  void shedExcess();

private:
  bool closeLongestIdle();
  bool closeStalled();
  void continueWaiting();
  caller_connection *firstToShed();
  void logShed();
  void sweep();

  struct ev_loop *Loop;
  caller_host &Host;
  size_t MaxConnections;
  caller_memory Memory;
  shed_counts Shed;
  shed_counts LoggedShed; ///< As of the last log line.
  double LoggedShedAt = 0;
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
