//===- replica.h - Simulated upstreams and their list -----------*- C++ -*-===//
//
// Simulates the platform: upstreams that gateways reach directly over HTTP with
// the platform's headers, and the list of these upstreams. An upstream counts
// the requests that it ran, so that tests can compare the responses that
// clients received with what was run.
//
// The query of a request selects the response:
//   do=fail      status 500
//   do=refuse    status 503, the request is not run
//   do=mute      no response
//   do=reset     the connection is closed without a response
//   do=cut       the connection is closed before the end of the response
//   do=garble    bytes that are not HTTP
//   do=extra     a second, unsolicited response follows the first
//   do=unframed  no Content-Length; the end of the connection ends the body
//   do=crash     the upstream crashes
//   do=raw       the bytes named by bytes=NAME, see replica::Raw
//   pad=N        N further bytes at the end of the body
//   late=MS      the response is delayed by MS milliseconds
// A path with /stream/ gives a stream of events=N events. With break=K the
// stream breaks off in the middle of event K+1, unless the request resumes a
// stream (Last-Event-Id). With break=K and do=crash the upstream crashes there,
// also in a resumed stream. Streams also read:
//   frame=F      framing: chunks (default), length or close, which is none
//   cut=N        the first run of a request breaks off after N body bytes
//   cut_runs=N   so do the first N runs
//   proper=1     with cut=N the framing is complete nevertheless
//   type=T       Content-Type, default text/event-stream; none: no such header
//   body=TEXT    the response has this body instead of events
// Any of these, and do=unframed, also reads, with cut=N:
//   exit=1       the process of the upstream exits instead: it stops listening
//                and closes all connections in order
// If the request asks for the model "large", large=X
// is read in place of do=X.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_REPLICA_H
#define OLIVEVALVE_TESTS_REPLICA_H

#include "base/fields.h"
#include "net/http_reader.h"
#include "net/http_server.h"
#include "net/tcp_stream.h"
#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace olivevalve {

/// What the list says about an upstream.
struct replica_options {
  std::string Id;
  std::string Service = "plain";
  std::string Version = "v1";
  std::string DataHall = "charguia";
};

/// Returns the text of the events 1 to \p Last of a stream.
std::string eventsUpTo(int Last);

/// Bytes in place of a response. Repeat is sent again and again until the
/// connection ends; empty: the connection is closed after Begin.
struct raw_bytes {
  std::string Begin;
  std::string Repeat;
};

/// A simulated upstream.
class replica {
public:
  replica(struct ev_loop *Loop, replica_options Options);
  ~replica();
  replica(const replica &) = delete;
  replica &operator=(const replica &) = delete;

  const std::string &address() const { return Listener.address(); }
  const replica_options &options() const { return Options; }
  /// Number of requests received, including those that were not run.
  int arrivals() const { return int(ArrivedAt.size()); }
  /// Returns the largest number of requests received within one second, over
  /// all seconds after \p Since (steady clock).
  int maxArrivalsPerSecond(double Since) const { return maxArrivals(Since, 1); }
  /// The same within \p Seconds.
  int maxArrivals(double Since, double Seconds) const;
  /// Returns how often the request with this attempt id was run.
  int runs(const std::string &AttemptId) const;
  /// Returns how many requests were run in total.
  int runs() const;
  /// Attempt ids of the requests that were run, with the number of runs.
  const std::map<std::string, int> &runsById() const { return Runs; }
  /// Head and body of the last request that was run.
  const http_head &lastHead() const { return LastHead; }
  const std::string &lastBody() const { return LastBody; }
  size_t connections() const { return Connections.size(); }
  /// Number of requests whose connection the client closed before the response
  /// was complete.
  int cancelled() const { return Cancelled; }
  /// Resets connections with a request in progress, closes the others, and
  /// stops listening.
  void crash();
  /// Like crash(), but closes all connections in order.
  void exit();
  bool crashed() const { return Crashed; }
  /// Returns how often all upstreams together have run a request; unset: this
  /// upstream alone.
  std::function<int(const std::string &AttemptId)> RunsAnywhere;

  /// The upstream crashes when it begins to answer a prompt with this block,
  /// unless it is the last one; empty: there is no such block.
  std::string CrashingBlock;
  /// The crash comes before the head of that answer.
  bool CrashesBeforeHead = false;
  /// Confidence reported with each response, from 0 to 1.
  double Confidence = 0.9;
  bool Fails = false; ///< Responds to each request with status 500.
  /// The events of every second run come eight times as slowly.
  bool IsSlow = false;
  bool Refuses = false; ///< Refuses each request as not run.
  int RefusalStatus = 503;
  std::string RetryAfter; ///< Retry-After of refusals; empty: no such header.
  /// Announces with each response that the upstream is shutting down.
  bool AnnouncesShutdown = false;
  /// Requests per second that each response names as the upstream's limit, for
  /// all gateways together; empty: none is named.
  std::string RequestLimit;
  std::map<std::string, raw_bytes> Raw; ///< By name.
  /// Load reported with each response: running requests, waiting requests,
  /// slots.
  std::string Load = "1,0,8";

private:
  struct connection {
    connection(struct ev_loop *Loop, int Socket, replica &Owner);
    tcp_stream Stream;
    http_reader Reader;
    timer Later;
    std::string Body;
    std::string Answer; ///< Sent when Later fires.
    int NextEvent = 0;
    int LastEvent = -1; ///< -1: no stream in progress.
    int BreakAfter = -1;
    double GapSeconds = 0; ///< Between two events.
    body_framing Framing = body_framing::Chunks;
    std::string PlainBody; ///< Sent in place of events.
    std::string Repeat;    ///< Sent without end.
    int CutAfter = -1;     ///< Body bytes.
    bool Proper = false;
    bool Exits = false; ///< The process exits in place of breaking off.
    bool Working = false;
    bool CloseAfter = false;
    bool ExitAfter = false;
    bool Dead = false;
    bool Crashes = false; ///< The upstream crashes after event BreakAfter.
  };

  void receive(connection &Connection, std::string_view Bytes);
  void serve(connection &Connection);
  void stream(connection &Connection, const std::string &Path,
              const std::string &Id);
  void step(connection &Connection);
  void writePart(connection &Connection, std::string Part);
  void endStream(connection &Connection);
  void kill(connection &Connection);
  void stopListening();
  std::string answerHead(int Status, const std::string &Id,
                         const std::string &Extra) const;

  struct ev_loop *Loop;
  replica_options Options;
  tcp_listener Listener;
  std::list<connection> Connections;
  before_wait Prepare;
  std::map<std::string, int> Runs;
  http_head LastHead;
  std::string LastBody;
  std::vector<double> ArrivedAt; ///< Seconds of the steady clock.
  int Cancelled = 0;
  bool Crashed = false;
};

/// Simulates the HTTP service with the platform's list of upstreams.
class upstream_list_stand_in {
public:
  explicit upstream_list_stand_in(struct ev_loop *Loop,
                                  const std::string &At = "127.0.0.1:0");
  const std::string &address() const { return Address; }
  /// Lists an upstream, or replaces its entry. \p At is the address that the
  /// list gives, such as that of a proxy in front of the upstream.
  void put(const replica &Replica, const std::string &At,
           const std::string &State = "ready");
  void remove(const std::string &Id) { Entries.erase(Id); }
  void setCold(const std::string &Id, double Seconds);
  /// Adds an arbitrary value in place of an entry, to test invalid lists.
  void putRawEntry(const std::string &Key, const json &Entry) {
    Entries[Key] = Entry;
  }
  json entryOf(const std::string &Id) const { return Entries.at(Id); }
  /// Text inserted before the entries of each page, without any escaping.
  std::string Garbage;
  int Refusals = 0;     ///< Number of following requests that get status 429.
  int RequestCount = 0; ///< Number of requests received.

private:
  std::map<std::string, json> Entries;
  std::string Address;
  http_server Server;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_REPLICA_H
