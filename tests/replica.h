//===- replica.h - Direct upstreams, their list and their faults -*- C++
//-*-===//
//
// Stands in for the platform's side: upstreams that speak HTTP with the
// platform's headers, and the list that names them. Each counts what it ran, so
// that tests hold what callers were told against what happened.
//
// The query of a request steers its answer: do=fail (500), refuse (not run),
// mute, reset, cut (in the middle), garble, extra (a second answer behind it),
// unframed (ends with the connection), crash (the upstream ends), late=MS.
// Under /stream/ events=N, and break=K ends the stream in the middle of event
// K+1, unless it goes on from one; with do=crash the upstream ends there. Where
// the model "large" is asked, large=X stands in the place of do=X.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_REPLICA_H
#define OLIVEVALVE_TESTS_REPLICA_H

#include "base/fields.h"
#include "net/http_reader.h"
#include "net/http_server.h"
#include "net/tcp_stream.h"
#include <array>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace olivevalve {

struct replica_options {
  std::string Id;
  std::string Service = "plain";
  std::string Version = "v1";
  std::string DataHall = "charguia";
};

class replica {
public:
  replica(struct ev_loop *Loop, replica_options Options);
  ~replica();
  replica(const replica &) = delete;
  replica &operator=(const replica &) = delete;

  const std::string &address() const { return Listener.address(); }
  const replica_options &options() const { return Options; }
  /// Requests that reached it, also those that it did not run.
  int arrivals() const { return int(ArrivedAt.size()); }
  /// The most of them within any second from \p Since on.
  int mostInASecond(double Since) const;
  /// Runs of a request by its attempt id, and of all.
  int runs(const std::string &AttemptId) const;
  int runs() const;
  /// The head of the last request that ran.
  const http_head &lastHead() const { return LastHead; }
  const std::string &lastBody() const { return LastBody; }
  size_t connections() const { return Connections.size(); }
  /// Requests at work whose caller left.
  int cancelled() const { return Cancelled; }
  /// Ends all connections and takes no more.
  void crash();
  bool crashed() const { return Crashed; }

  /// The share that doubts itself: answers below it say a low confidence.
  double Confidence = 0.9;
  bool Fails = false;       ///< Every request, with 500.
  bool Refuses = false;     ///< Every request, as not run.
  std::string RetryAfter;   ///< Told with each refusal; empty: not told.
  bool SaysLeaving = false; ///< With every answer.
  /// What it says of itself: requests that run, that wait, and slots.
  std::string Load = "1,0,8";

private:
  struct connection {
    connection(struct ev_loop *Loop, int Socket, replica &Owner);
    tcp_stream Stream;
    http_reader Reader;
    timer Later;
    std::string Body;
    std::string Answer; ///< Given when the time is over.
    int NextEvent = 0;
    int LastEvent = 0;
    int BreakAfter = -1;
    bool Working = false;
    bool CloseAfter = false;
    bool Dead = false;
    bool Crashes = false; ///< Where its stream breaks.
  };

  void receive(connection &Connection, std::string_view Bytes);
  void serve(connection &Connection);
  void stream(connection &Connection, const std::string &Path,
              const std::string &Id);
  void step(connection &Connection);
  void kill(connection &Connection);
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
  std::vector<double> ArrivedAt; ///< Steady seconds.
  int Cancelled = 0;
  bool Crashed = false;
};

/// The platform's list of upstreams.
class upstream_list_stand_in {
public:
  explicit upstream_list_stand_in(struct ev_loop *Loop,
                                  const std::string &At = "127.0.0.1:0");
  const std::string &address() const { return Address; }
  /// \p At: where callers are sent, as a proxy on the way.
  void put(const replica &Replica, const std::string &At,
           const std::string &State = "ready");
  void remove(const std::string &Id) { Entries.erase(Id); }
  void setCold(const std::string &Id, double Seconds);
  /// Anything in the place of an entry, as another writer may leave it.
  void putRaw(const std::string &Key, const json &Entry) {
    Entries[Key] = Entry;
  }
  json entryOf(const std::string &Id) const { return Entries.at(Id); }
  std::string Garbage; ///< Put before the entries of each page as it is.
  int Refusals = 0;    ///< So many of the next questions get 429.
  int Questions = 0;

private:
  std::map<std::string, json> Entries;
  std::string Address;
  http_server Server;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_REPLICA_H
