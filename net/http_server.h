//===- http_server.h - HTTP towards callers and operators -------*- C++ -*-===//
//
// libmicrohttpd on the event loop. A request is handed over whole, the answer
// may be given at once or streamed later; a slow reader holds back the writer
// through OnDrained and is cut off when it stalls.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_HTTP_SERVER_H
#define OLIVEVALVE_NET_HTTP_SERVER_H

#include "base/loop.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace olivevalve {

struct http_header {
  std::string Name;
  std::string Value;
};

struct http_limits {
  size_t MaxBodyBytes = 8 << 20;
  unsigned MaxConnections = 4000;
  unsigned IdleSeconds = 75;        ///< Without progress of a connection.
  size_t MaxHeaderBytes = 16 << 10; ///< Memory each connection holds.
};

/// One request and its answer. Kept by whoever answers; the connection is
/// suspended while there is nothing to send.
class http_exchange {
public:
  const std::string &method() const { return Method; }
  const std::string &path() const { return Path; }
  const std::string &body() const { return Body; }
  std::string header(const char *Name) const;
  /// A value of the query part, or "".
  std::string query(const char *Name) const;

  /// Gives the whole answer.
  void reply(int Status, std::string_view ContentType, std::string Body,
             const std::vector<http_header> &Headers = {});
  /// Starts an answer of unknown length.
  void startStream(int Status, std::string_view ContentType,
                   const std::vector<http_header> &Headers = {});
  void write(std::string Bytes);
  void finish();
  /// Ends a stream so that the caller's library sees it as broken.
  void abort();
  /// Refuses any body larger than this; set by the server.
  bool oversized() const { return Oversized; }
  bool answered() const { return Answered; }
  bool gone() const { return Gone; }

  std::function<void()> OnGone;     ///< The caller has left before the end.
  std::function<void()> OnComplete; ///< The whole answer was written out.
  std::function<void(size_t)> OnDrained; ///< Chunks taken by the caller.

private:
  friend class http_server;
  void resume();
  static ssize_t readChunk(void *Self, uint64_t Position, char *Buffer,
                           size_t Max);

  MHD_Connection *Connection = nullptr;
  class http_server *Server = nullptr;
  std::shared_ptr<http_exchange> Self; ///< Held while the connection lives.
  std::string Method;
  std::string Path;
  std::string Body;
  std::deque<std::string> Chunks;
  size_t ChunkOffset = 0;
  bool Oversized = false;
  bool Dispatched = false;
  bool Suspended = false;
  bool Answered = false;
  bool Finished = false;
  bool Aborted = false;
  bool Gone = false;
};

class http_server {
public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  http_server(struct ev_loop *Loop, http_limits Limits, handler Handler);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Binds to "host:port" (IP numbers); port 0 lets the kernel choose.
  bool bind(const std::string &Address);
  std::string address() const { return BoundAddress; }
  /// No new connections; those that live go on.
  void stopListening();
  size_t openExchanges() const { return Live.size(); }

private:
  friend class http_exchange;
  static int onAccess(void *Self, MHD_Connection *Connection, const char *Url,
                      const char *Method, const char *Version,
                      const char *Upload, size_t *UploadSize, void **Context);
  static void onCompleted(void *Self, MHD_Connection *Connection,
                          void **Context, int Code);
  int access(MHD_Connection *Connection, const char *Url, const char *Method,
             const char *Upload, size_t *UploadSize, void **Context);
  void run();
  void wake() { Watch.feed(); }

  http_limits Limits;
  handler Handler;
  MHD_Daemon *Daemon = nullptr;
  descriptor_watch Watch;
  timer Timeout;
  std::string BoundAddress;
  std::set<http_exchange *> Live;
  unsigned RunsDue = 0; ///< Turns that the library needs and does not ask for.
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HTTP_SERVER_H
