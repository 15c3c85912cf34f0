//===- upstream_connection.h - One connection to an upstream ----*- C++ -*-===//
//
// Carries one request at a time and reports how it ended: whether the request
// was sent at all, and whether the response is complete. If only the close of
// the connection ends a response, the upstream must still be listening.
// Responses with the attempt id of another request are skipped.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H

#include "gateway/upstream_table.h"
#include "net/http_reader.h"
#include "net/response_body.h"
#include "net/tcp_stream.h"
#include "quarantine/listener_probe.h"

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
  Incomplete, ///< As Answering; see completeness::Incomplete.
  Exited,     ///< As Answering; the upstream's process exited.
  Garbled     ///< The bytes received are not a valid response.
};

std::string_view textOf(broken_at Where);

/// Sends a request and receives its response. The callbacks may send another
/// request or drop the connection.
class upstream_user {
public:
  virtual ~upstream_user() = default;
  virtual void onAnswerHead(const http_head &Head,
                            const platform::answer_facts &Facts,
                            body_content Content) = 0;
  /// \p Received bytes have arrived. \p Bytes can be passed on now: of an event
  /// stream complete events only.
  virtual void onAnswerBytes(std::string_view Bytes, size_t Received) = 0;
  /// The response is complete, as far as can be told.
  virtual void onAnswerEnd() = 0;
  virtual void onBroken(broken_at Where) = 0;
};

/// Owner of the connections.
class upstream_connections {
public:
  virtual ~upstream_connections() = default;
  /// \p Connection is idle and may be used again.
  virtual void released(upstream_connection &Connection) = 0;
  /// A response whose head was received has ended. \p How: in a few words.
  virtual void responseEnded(const upstream_connection &Connection,
                             std::string_view How) = 0;
  /// \p Connection is closed. It must not be destroyed during the call.
  virtual void ended(upstream_connection &Connection) = 0;
};

/// A request and what is known of its response in advance.
struct upstream_exchange {
  std::string Head;
  std::shared_ptr<const std::string> Body;
  std::string AttemptId; ///< Names the response.
  /// The response has no body, as for HEAD.
  bool HeadOnly = false;
  /// A successful response without a content type may be an event stream.
  bool MayStream = false;
};

/// A connection to one incarnation of an upstream.
class upstream_connection {
public:
  upstream_connection(struct ev_loop *Loop, upstream_connections &Owner,
                      std::shared_ptr<upstream> Upstream);
  ~upstream_connection();
  upstream_connection(const upstream_connection &) = delete;
  upstream_connection &operator=(const upstream_connection &) = delete;

  void send(upstream_user &User, upstream_exchange Exchange);
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
  body_framing framing() const { return Reader.head().Framing; }
  /// Bytes of the current response that could not be passed on: those of an
  /// event that has not ended.
  size_t heldBackBytes() const { return Body.heldBack().size(); }
  void setReading(bool On) { Stream.setReading(On); }

private:
  void onConnected();
  void receive(std::string_view Bytes);
  void onHead();
  body_content contentOf(const http_head &Head) const;
  void onEnd(bool Reset);
  void finish(transfer_end End, bool Surplus);
  void complete(completeness Completeness, bool Surplus);
  void fail(broken_at Where);
  void shutDown();

  struct ev_loop *Loop;
  upstream_connections &Owner;
  std::shared_ptr<upstream> Upstream;
  tcp_stream Stream;
  http_reader Reader;
  response_body Body;
  timer ConnectTimer;
  std::optional<listener_probe> Probe;
  upstream_user *User = nullptr;
  upstream_exchange Exchange;
  double AssignedAt = 0; ///< When the current request was passed to send().
  platform::answer_facts Facts;
  bool Skipping = false; ///< The current response belongs to another request.
  /// Bytes of such responses since send().
  size_t SkippedBytes = 0;
  unsigned InterimResponses = 0; ///< Since send().
  bool Reused = false;
  bool Ended = false;
  double IdleSince = 0;
  double IdleUntil = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H
