//===- http_client.h - HTTP client on the event loop ------------*- C++ -*-===//
//
// Runs HTTP requests to engines and services through libcurl's multi
// interface on the event loop.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_HTTP_CLIENT_H
#define OLIVEVALVE_NET_HTTP_CLIENT_H

#include "base/loop.h"
#include "net/response_body.h"
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
  int Status = 0;    ///< HTTP status; 0 if no response head was received.
  std::string Error; ///< Empty if the response was received completely.
  /// The connection could not be established, so the request cannot have run.
  /// Not set if connecting timed out.
  bool NeverSent = false;
  bool TimedOut = false;
  /// Without an error: what ended the response.
  transfer_end End = transfer_end::Framed;
};

/// One request and the callbacks for its response. Unset callbacks are not
/// called; without OnBytes any response with a body fails.
struct fetch_options {
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  std::vector<std::string> Headers; ///< "Name: value".
  double TimeoutSeconds = 0;        ///< For the whole transfer; 0: no limit.
  double ConnectSeconds = 2;        ///< Timeout for establishing a connection.
  /// A transfer with a larger body fails; 0: no limit.
  size_t MaxBodyBytes = 0;
  /// Uses a new connection for this request only, so that the request is sent
  /// at most once. When a reused keep-alive connection breaks before any
  /// response, libcurl sends the request again on another one.
  bool SentOnce = false;
  /// Called once the connection is established, before the request is written;
  /// false fails the transfer. A process that was paused while it connected can
  /// so keep back a request that has become invalid.
  std::function<bool()> MaySend;
  /// Called with each line of the response head.
  std::function<void(std::string_view Line)> OnHeader;
  /// Called once with status and content type, before the first body bytes or,
  /// if a successful response has no body, before OnDone.
  std::function<void(int Status, std::string_view ContentType)> OnHead;
  /// Called with each part of the body. Returning false pauses the transfer
  /// until resume(), after which the same bytes are delivered again.
  std::function<bool(std::string_view Bytes)> OnBytes;
  /// Called once when the transfer has succeeded or failed.
  std::function<void(const fetch_result &)> OnDone;
};

/// Runs concurrent transfers, each identified by its fetch_id.
class http_client {
public:
  explicit http_client(struct ev_loop *Loop);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  using fetch_id = uint64_t;
  fetch_id start(fetch_options Options);
  /// Aborts a transfer without calling OnDone and closes its connection. Does
  /// nothing if the transfer has already ended.
  void cancel(fetch_id Id);
  /// Continues a transfer that OnBytes has paused.
  void resume(fetch_id Id);

private:
  struct fetch;
  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Self,
                      void *Watch);
  static int onTimer(CURLM *Multi, long Milliseconds, void *Self);
  static int onConnected(void *Fetch, char *, char *, int, int);
  static size_t onHeader(char *Data, size_t Size, size_t Count, void *Fetch);
  static size_t onBytes(char *Data, size_t Size, size_t Count, void *Fetch);
  void socketAction(curl_socket_t Socket, int Mask);
  void finishTransfers();
  void cleanUp();

  struct ev_loop *Loop;
  CURLM *Multi;
  timer Timer;
  std::map<curl_socket_t, std::unique_ptr<descriptor_watch>> Watches;
  std::map<fetch_id, std::unique_ptr<fetch>> Fetches;
  // Watches to destroy and fetches to cancel before the loop waits again:
  // neither may be destroyed inside one of its own callbacks.
  std::vector<std::unique_ptr<descriptor_watch>> StoppedWatches;
  std::vector<fetch_id> ToCancel;
  before_wait Prepare;
  fetch_id NextId = 1;
  bool InLibrary = false; ///< A call into libcurl is on the stack.
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_HTTP_CLIENT_H
