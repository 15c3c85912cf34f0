//===- upstream_connection.h - One connection to an upstream ----*- C++ -*-===//
//
// Carries one request at a time. Tells exactly how it ended: whether the
// request was sent at all, and whether the answer is whole. Answers of another
// request are passed over, by their attempt id.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H

#include "gateway/upstream_table.h"
#include "net/http_reader.h"
#include "net/tcp_stream.h"

namespace olivevalve {

/// How an exchange on a connection broke.
enum class broken_at : uint8_t {
  Connecting, ///< Nothing was sent: the request has not run.
  Refused,    ///< The same, and no process listens at the address.
  Declined,   ///< The same: the upstream takes nothing new any more.
  Reused,     ///< Nothing came back on a connection that had rested.
  Waiting,    ///< Sent, no head of an answer yet: it may have run.
  Answering,  ///< In the middle of the answer.
  Garbled     ///< What came is not an answer.
};

/// Whoever sends a request. The callbacks may send again or drop.
class upstream_user {
public:
  virtual ~upstream_user() = default;
  virtual void onAnswerHead(const http_head &Head,
                            const platform::answer_facts &Facts) = 0;
  virtual void onAnswerBytes(std::string_view Bytes) = 0;
  virtual void onAnswerEnd() = 0;
  virtual void onBroken(broken_at Where) = 0;
};

/// Where connections go that are free or over.
class upstream_connections {
public:
  virtual ~upstream_connections() = default;
  virtual void released(upstream_connection &Connection) = 0;
  virtual void ended(upstream_connection &Connection) = 0;
};

class upstream_connection {
public:
  upstream_connection(struct ev_loop *Loop, upstream_connections &Owner,
                      std::shared_ptr<upstream> Upstream);
  ~upstream_connection();
  upstream_connection(const upstream_connection &) = delete;
  upstream_connection &operator=(const upstream_connection &) = delete;

  void send(upstream_user &User, std::string_view Bytes,
            const std::string &AttemptId, bool HeadOnly);
  /// Who hears the rest of the answer in hand.
  void handTo(upstream_user &NewUser) { User = &NewUser; }
  /// The user wants nothing more: the connection is closed.
  void drop();
  const std::shared_ptr<upstream> &server() const { return Upstream; }
  bool idle() const { return !User; }
  bool closedByUpstream() const { return Stream.closedByPeer(); }
  /// Served no request before the one in hand: its upstream lived when that was
  /// sent.
  bool fresh() const { return !Reused; }
  double idleUntil() const { return IdleUntil; }
  double idleSince() const { return IdleSince; }
  void setReading(bool On) { Stream.setReading(On); }

private:
  void onConnected();
  void receive(std::string_view Bytes);
  void onHead();
  void onEnd(bool Reset);
  void finish(bool Surplus);
  void broken(broken_at Where);
  void end();

  upstream_connections &Owner;
  std::shared_ptr<upstream> Upstream;
  tcp_stream Stream;
  http_reader Reader;
  timer ConnectTimer;
  upstream_user *User = nullptr;
  std::string AttemptId;
  platform::answer_facts Facts;
  bool Skipping = false; ///< The answer in hand is not for this request.
  bool Reused = false;
  bool HeadOnly = false;
  bool Ended = false;
  double IdleSince = 0;
  double IdleUntil = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_CONNECTION_H
