//===- upstream_connection.h - One connection to an upstream ----*- C++ -*-===//
//
// Carries one request at a time and reports how it ended: whether the request
// was sent at all, and whether the response is complete. Responses with the
// attempt id of another request are skipped.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H

#include "gateway/upstream_table.h"
#include "net/http_reader.h"
#include "net/tcp_stream.h"

namespace olivevalve {

/// Where an exchange on a connection failed.
enum class broken_at : uint8_t {
  Connecting, ///< Nothing was sent: the request has not run.
  Refused,    ///< As Connecting; no process listens at the address.
  Declined,   ///< As Connecting; the upstream takes no new requests any more.
  Reused,     ///< No response on a keep-alive connection that had been idle.
  Waiting,    ///< Sent, no response head received: it may have run.
  Answering,  ///< The response was cut off.
  Reset,      ///< As Answering; the connection was reset.
  Garbled     ///< The bytes received are not a valid response.
};

/// Sends a request and receives its response. The callbacks may send another
/// request or drop the connection.
class upstream_user {
public:
  virtual ~upstream_user() = default;
  virtual void onAnswerHead(const http_head &Head,
                            const platform::answer_facts &Facts) = 0;
  virtual void onAnswerBytes(std::string_view Bytes) = 0;
  virtual void onAnswerEnd() = 0;
  virtual void onBroken(broken_at Where) = 0;
};

/// Owner of the connections.
class upstream_connections {
public:
  virtual ~upstream_connections() = default;
  /// \p Connection is idle and may be used again.
  virtual void released(upstream_connection &Connection) = 0;
  /// \p Connection is closed. It must not be destroyed during the call.
  virtual void ended(upstream_connection &Connection) = 0;
};

/// A connection to one incarnation of an upstream.
class upstream_connection {
public:
  upstream_connection(struct ev_loop *Loop, upstream_connections &Owner,
                      std::shared_ptr<upstream> Upstream);
  ~upstream_connection();
  upstream_connection(const upstream_connection &) = delete;
  upstream_connection &operator=(const upstream_connection &) = delete;

  /// Sends a request. \p Bytes: all of it. \p AttemptId: names its response. \p
  /// HeadOnly: the response has no body.
  void send(upstream_user &User, std::string_view Bytes,
            const std::string &AttemptId, bool HeadOnly);
  /// Sends the callbacks for the rest of the current response to \p NewUser.
  void transferTo(upstream_user &NewUser) { User = &NewUser; }
  /// Closes the connection; the user gets no more callbacks.
  void drop();
  const std::shared_ptr<upstream> &server() const { return Upstream; }
  bool idle() const { return !User; }
  bool closedByUpstream() const { return Stream.closedByPeer(); }
  /// The current request is the first one on this connection, so the upstream
  /// was alive when it was sent.
  bool fresh() const { return !Reused; }
  /// When an idle connection is to be closed, before the upstream closes it; 0:
  /// it has never been idle.
  double idleUntil() const { return IdleUntil; }
  double idleSince() const { return IdleSince; }
  void setReading(bool On) { Stream.setReading(On); }

private:
  void onConnected();
  void receive(std::string_view Bytes);
  void onHead();
  void onEnd(bool Reset);
  void finish(bool Surplus);
  void fail(broken_at Where);
  void shutDown();

  upstream_connections &Owner;
  std::shared_ptr<upstream> Upstream;
  tcp_stream Stream;
  http_reader Reader;
  timer ConnectTimer;
  upstream_user *User = nullptr;
  std::string AttemptId;
  double AssignedAt = 0; ///< When the current request was passed to send().
  platform::answer_facts Facts;
  bool Skipping = false; ///< The current response belongs to another request.
  bool Reused = false;
  bool HeadOnly = false;
  bool Ended = false;
  double IdleSince = 0;
  double IdleUntil = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H
