//===- caller_connection.h - One connection of a caller ---------*- C++ -*-===//
//
// Reads requests one after the other, hands each over whole, and writes its
// answer. Enforces what callers may send and how long they may take.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_NET_CALLER_CONNECTION_H
#define OLIVEVALVE_NET_CALLER_CONNECTION_H

#include "base/caller_limits.h"
#include "net/http_reader.h"
#include "net/tcp_stream.h"
#include <memory>
#include <unordered_map>

namespace olivevalve {

class caller_connection;

/// Whoever answers a request.
class caller_user {
public:
  virtual ~caller_user() = default;
  /// The caller has closed its connection; nothing can be answered any more.
  virtual void onCallerGone() = 0;
  /// What was written has been taken.
  virtual void onCallerDrained() = 0;
};

/// Where requests go.
class caller_host {
public:
  virtual ~caller_host() = default;
  virtual const caller_limits &limits() const = 0;
  /// True if callers should open a new connection for their next request.
  virtual bool closesAfterAnswer() const = 0;
  virtual void onRequest(caller_connection &Connection, http_head Head,
                         std::string Body) = 0;
  /// A request was refused before it was whole.
  virtual void onMalformed(int Status, std::string_view Why) = 0;
  virtual void ended(caller_connection &Connection) = 0;
};

class caller_connection {
public:
  caller_connection(struct ev_loop *Loop, caller_host &Host, int Socket);

  /// The request in hand is answered by \p NewUser.
  void answeredBy(std::shared_ptr<caller_user> NewUser) {
    User = std::move(NewUser);
  }
  /// The whole answer. \p Lines must not hold headers of one connection.
  void reply(int Status, std::string_view Reason,
             const std::vector<head_line> &Lines, std::string_view Body) {
    writeWhole(Status, Reason, Lines, Body);
    finish();
  }
  /// The same, but the next request waits until finish().
  void writeWhole(int Status, std::string_view Reason,
                  const std::vector<head_line> &Lines, std::string_view Body);
  /// An answer in parts, of a length not known before; finish() ends it.
  void begin(int Status, std::string_view Reason,
             const std::vector<head_line> &Lines);
  void write(std::string_view Bytes);
  void finish();
  /// Ends an answer so that the caller's library sees it as broken.
  void breakOff();

  bool busy() const { return Busy; }
  size_t unsent() const { return Stream.unsent(); }
  /// When it is to be closed if nothing more happens; steady seconds.
  double giveUpAt() const { return GiveUpAt; }
  /// True if what was written has not moved since the last call.
  bool stalled(double Now, double Seconds);
  double restingSince() const { return RestingSince; }
  /// Its time is over.
  void onTimeOver();
  void close();

private:
  void receive(std::string_view Bytes);
  void parse(std::string_view Bytes);
  void onHead();
  void refuse(int Status, std::string_view Why);
  void dispatch();
  void onEnd();
  void done();
  void rest();
  void end();
  std::string headOf(int Status, std::string_view Reason,
                     const std::vector<head_line> &Lines) const;

  caller_host &Host;
  tcp_stream Stream;
  http_reader Reader;
  std::shared_ptr<caller_user> User;
  std::string Body;
  std::string Ahead;      ///< Bytes of the next request, read during this one.
  bool Busy = false;      ///< A request is being answered.
  bool Lingering = false; ///< Refused: what still comes is thrown away.
  bool Ended = false;
  bool KeepAlive = false; ///< After the answer in hand.
  bool Chunked = false;
  bool EndsByClose = false;
  bool HeadOnly = false;
  double GiveUpAt = 0;
  double RestingSince = 0;
  uint64_t SeenBytes = 0; ///< Sent when it was last looked at.
  double MovedAt = 0;
};

/// All connections of one listener, with a bound on their number.
class caller_pool {
public:
  caller_pool(struct ev_loop *Loop, caller_host &Host, size_t Most);

  /// Takes over a connected \p Socket. With no room left, the connection that
  /// has rested longest gives way; when all are busy the new one is closed.
  void take(int Socket);
  /// Must be called by the host for each connection that has ended.
  void ended(caller_connection &Connection);
  /// Closes those without a request.
  void closeResting();
  size_t size() const { return Open.size(); }

private:
  bool closeLongestResting();
  void sweep();

  struct ev_loop *Loop;
  caller_host &Host;
  size_t Most;
  std::unordered_map<caller_connection *, std::unique_ptr<caller_connection>>
      Open;
  // Freed before the next wait: none may go inside its own callback.
  std::vector<std::unique_ptr<caller_connection>> Over;
  timer Sweep;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_NET_CALLER_CONNECTION_H
