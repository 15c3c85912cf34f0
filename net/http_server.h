//===- http_server.h - HTTP server on the event loop ------------*- C++ -*-===//
//
// Serves callers and operators. The handler receives complete requests and
// responds at once, later, or as a stream. OnDrained gives a streaming handler
// backpressure from a slow reader; a reader that stalls is disconnected.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_HTTP_SERVER_H
#define OLIVEVALVE_NET_HTTP_SERVER_H

#include "net/caller_connection.h"
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// Limits that an http_server enforces.
struct http_limits {
  size_t MaxBodyBytes = 8 << 20;
  unsigned MaxConnections = 4000;
  /// How long a connection may stay idle or make no progress.
  unsigned IdleSeconds = 75;
  size_t MaxHeaderBytes = 16 << 10;
  /// See caller_pool_limits.
  size_t MaxHeldBytes = defaultCallerBytes();
};

/// One request and its response. Shared by the handler and, until the exchange
/// is over, the connection.
class http_exchange : public response_producer,
                      public std::enable_shared_from_this<http_exchange> {
public:
  http_exchange(class http_server &Server, caller_connection &Connection,
                http_head Head, std::string Body);

  const std::string &method() const { return Head.Method; }
  /// The path without the query, percent-decoded.
  const std::string &path() const { return Path; }
  const std::string &body() const { return Body; }
  /// The value of the first header called \p Name, or "".
  std::string header(const char *Name) const;
  /// The first value of query parameter \p Name, percent-decoded, or "".
  std::string query(const char *Name) const;

  /// Sends the complete response. Ignored if a response was already started or
  /// the connection has ended.
  void reply(int Status, std::string_view ContentType, std::string_view Body,
             const std::vector<header_field> &Headers = {});
  /// Starts a response of unknown length: write() adds to its body and finish()
  /// ends it. Ignored in the same cases as reply().
  void startStream(int Status, std::string_view ContentType,
                   const std::vector<header_field> &Headers = {});
  void write(std::string_view Bytes);
  void finish();
  /// Closes the connection without completing the response, so that the
  /// caller's HTTP library reports a truncated response. Calls OnGone.
  void abort();
  /// True once a response was started.
  bool answered() const { return Answered; }
  /// True once the exchange is over and nothing can be sent any more.
  bool gone() const { return !Connection; }

  /// Called when the connection ends before the response is complete.
  std::function<void()> OnGone;
  /// Called when the kernel has accepted the complete response.
  std::function<void()> OnComplete;
  /// Called when the kernel has accepted everything written, with the number of
  /// write() calls since the last time.
  std::function<void(size_t)> OnDrained;

  void onCallerGone() override;
  void onCallerDrained() override;
  size_t heldBytes() const override { return sizeof(*this); }

private:
  friend class http_server;
  void settle();
  void end();

  class http_server *Server;
  caller_connection *Connection; ///< Null once the exchange is over.
  http_head Head;
  std::string Path;
  std::string Body;
  size_t Chunks = 0; ///< write() calls not reported through OnDrained yet.
  bool Answered = false;
  bool Finished = false;
};

/// Accepts connections and passes their requests to a handler.
class http_server : public caller_host {
public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  http_server(struct ev_loop *Loop, http_limits Limits, handler Handler);
  ~http_server() override;
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Binds to "IP:port"; with port 0 the kernel chooses the port. Returns false
  /// if \p Address is invalid or cannot be bound.
  bool bind(const std::string &Address) { return Listener.bind(Address); }
  /// The bound address with the actual port.
  const std::string &address() const { return Listener.address(); }
  /// Accepts no new connections; open ones continue.
  void stopListening() { Listener.close(); }
  /// Number of requests whose response is not complete.
  size_t openExchanges() const { return Live.size(); }
  const caller_pool &callers() const { return Callers; }

private:
  friend class http_exchange;
  const caller_limits &limits() const override { return Limits; }
  bool closesAfterAnswer() const override { return false; }
  void onRequest(caller_connection &Connection, http_head Head,
                 std::string Body) override;
  void onMalformed(int, std::string_view) override {}
  void ended(caller_connection &Connection) override;
  /// Schedules http_exchange::settle() before the loop waits again, so that
  /// callbacks never run inside the handler's own call of write() or finish().
  void settleSoon(http_exchange &Exchange);
  void beforeWait();

  struct ev_loop *Loop;
  caller_limits Limits;
  handler Handler;
  tcp_listener Listener;
  caller_pool Callers;
  std::set<http_exchange *> Live;
  std::vector<std::weak_ptr<http_exchange>> Due; ///< Exchanges to settle.
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HTTP_SERVER_H
