//===- http_client.h - HTTP towards engines and services --------*- C++ -*-===//
//
// libcurl's multi interface on the event loop.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_HTTP_CLIENT_H
#define OLIVEVALVE_NET_HTTP_CLIENT_H

#include "base/loop.h"
#include <curl/curl.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

/// How a transfer ended.
struct fetch_result {
  int Status = 0;
  std::string Error;      ///< Empty: the answer came whole.
  bool NeverSent = false; ///< No connection: the request cannot have run.
  bool TimedOut = false;
};

struct fetch_options {
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  std::vector<std::string> Headers; ///< "Name: value".
  double TimeoutSeconds = 0;        ///< 0: none.
  double ConnectSeconds = 2;
  /// By a connection of its own. By one that rested it may be sent twice: where
  /// that breaks without an answer, libcurl sends it again.
  bool SentOnce = false;
  /// Each line of the answer's head.
  std::function<void(std::string_view Line)> OnHeader;
  /// Status and content type, before the first byte.
  std::function<void(int Status, std::string_view ContentType)> OnHead;
  /// A part of the body; false pauses until resume() and the part comes again.
  std::function<bool(std::string_view Bytes)> OnBytes;
  std::function<void(const fetch_result &)> OnDone;
};

/// Many transfers at once; each is named by its fetch_id.
class http_client {
public:
  explicit http_client(struct ev_loop *Loop);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  using fetch_id = uint64_t;
  fetch_id start(fetch_options Options);
  /// Ends a fetch without a callback; the connection is closed.
  void cancel(fetch_id Id);
  void resume(fetch_id Id);

private:
  struct fetch;
  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Self,
                      void *Watch);
  static int onTimer(CURLM *Multi, long Milliseconds, void *Self);
  static size_t onHeader(char *Data, size_t Size, size_t Count, void *Fetch);
  static size_t onBytes(char *Data, size_t Size, size_t Count, void *Fetch);
  void action(curl_socket_t Socket, int Mask);
  void collect();
  void clean();

  struct ev_loop *Loop;
  CURLM *Multi;
  timer Timer;
  std::map<curl_socket_t, std::unique_ptr<descriptor_watch>> Watches;
  std::map<fetch_id, std::unique_ptr<fetch>> Fetches;
  // Freed before the next wait: neither may go inside its own callback.
  std::vector<std::unique_ptr<descriptor_watch>> Retired;
  std::vector<fetch_id> Doomed;
  before_wait Prepare;
  fetch_id NextId = 1;
  bool InLibrary = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HTTP_CLIENT_H
