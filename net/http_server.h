//===- http_server.h - HTTP towards callers and operators -------*- C++ -*-===//
//
// A request is handed over whole, the answer may be given at once or streamed
// later; a slow reader holds back the writer through OnDrained and is cut off
// when it stalls.
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

struct http_limits {
  size_t MaxBodyBytes = 8 << 20;
  unsigned MaxConnections = 4000;
  unsigned IdleSeconds = 75; ///< Without progress of a connection.
  size_t MaxHeaderBytes = 16 << 10;
};

/// One request and its answer. Kept by whoever answers.
class http_exchange : public caller_user,
                      public std::enable_shared_from_this<http_exchange> {
public:
  http_exchange(class http_server &Server, caller_connection &Connection,
                http_head Head, std::string Body);

  const std::string &method() const { return Head.Method; }
  /// Without the query, escapes resolved.
  const std::string &path() const { return Path; }
  const std::string &body() const { return Body; }
  std::string header(const char *Name) const;
  /// A value of the query part, or "".
  std::string query(const char *Name) const;

  /// Gives the whole answer.
  void reply(int Status, std::string_view ContentType, std::string_view Body,
             const std::vector<head_line> &Headers = {});
  /// Starts an answer of unknown length.
  void startStream(int Status, std::string_view ContentType,
                   const std::vector<head_line> &Headers = {});
  void write(std::string_view Bytes);
  void finish();
  /// Ends a stream so that the caller's library sees it as broken.
  void abort();
  bool answered() const { return Answered; }
  bool gone() const { return !Connection; }

  std::function<void()> OnGone;     ///< The caller has left before the end.
  std::function<void()> OnComplete; ///< The whole answer was written out.
  std::function<void(size_t)> OnDrained; ///< Chunks taken by the caller.

  void onCallerGone() override;
  void onCallerDrained() override;

private:
  friend class http_server;
  void settle();
  void end();

  class http_server *Server;
  caller_connection *Connection; ///< Null once it is over.
  http_head Head;
  std::string Path;
  std::string Body;
  size_t Chunks = 0; ///< Written and not yet told as taken.
  bool Answered = false;
  bool Finished = false;
};

class http_server : public caller_host {
public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  http_server(struct ev_loop *Loop, http_limits Limits, handler Handler);
  ~http_server() override;
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Binds to "host:port" (IP numbers); port 0 lets the kernel choose.
  bool bind(const std::string &Address) { return Listener.bind(Address); }
  const std::string &address() const { return Listener.address(); }
  /// No new connections; those that live go on.
  void stopListening() { Listener.close(); }
  size_t openExchanges() const { return Live.size(); }

private:
  friend class http_exchange;
  const caller_limits &limits() const override { return Limits; }
  bool closesAfterAnswer() const override { return false; }
  void onRequest(caller_connection &Connection, http_head Head,
                 std::string Body) override;
  void onMalformed(int, std::string_view) override {}
  void ended(caller_connection &Connection) override;
  /// Tells what was written and taken, before the next wait: never inside the
  /// writer's own call.
  void settleSoon(http_exchange &Exchange);
  void beforeWait();

  struct ev_loop *Loop;
  caller_limits Limits;
  handler Handler;
  tcp_listener Listener;
  caller_pool Callers;
  std::set<http_exchange *> Live;
  std::vector<std::weak_ptr<http_exchange>> Due;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HTTP_SERVER_H
