//===- pool_run.h - Arrivals and ends at one pool ---------------*- C++ -*-===//
//
// Scripted arrivals at replicas with slots and the sidecar's queue, for the
// decisions that choose among them. Entries see what they would have been told.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BENCH_POOL_RUN_H
#define OLIVEVALVE_BENCH_POOL_RUN_H

#include "bench/bench.h"
#include "policy/replica_choice.h"
#include "policy/work_queue.h"
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace olivevalve {

constexpr size_t BenchEntries = 8;

struct bench_pool {
  std::string Name;
  size_t Replicas = 20;
  int Slots = 8;
  double Load = 0.7;        ///< Of capacity without warm prefixes.
  double SlowShare = 0;     ///< Of replicas that take twice the time.
  double UrgentShare = 0;   ///< Requests of priority 0; the others have 2.
  double LongestWait = 1e9; ///< Seconds; then a request is shed.
  int Requests = 60000;
  int Moves = 0; ///< Most of one request that was told to wait.
};

/// A replica as it is, and as it last said it was.
struct bench_replica {
  /// What each entry last heard: as news, and with its own answers.
  struct view {
    double Running = 0;
    double Queued = 0;
    double At = 0;
    double Own = 0;
    double OwnAtReport = 0;
  };
  static constexpr size_t QueueLength = 256; ///< As sidecar_task.cpp.

  int Running = 0;
  work_queue Waiting{QueueLength};
  std::deque<int> Warm; ///< Prefixes.
  double Speed = 1;
  std::array<view, BenchEntries> Views{};
  double LookedAt = 0;
  double ToldAt = 0;
  sidecar_load Told;

  void tell(size_t Entry, double Now);
};

/// What a policy sees and picks from.
struct pick_input {
  const std::vector<bench_replica> &Replicas;
  size_t Entry;
  int Prefix;
  double Now;
  int Slots;
  std::mt19937_64 &Random;
};
using picker = std::function<size_t(const pick_input &)>;

/// The news that the decision code of an entry would have.
std::vector<replica_state> newsOf(const pick_input &Input);

/// Waits of one class of requests, in seconds, and how many were shed.
struct class_waits {
  std::vector<double> Waits;
  int Shed = 0;
  /// Milliseconds below which \p Share of the waits are.
  double quantileMs(double Share);
};

class pool_run {
public:
  pool_run(const bench_pool &Pool, uint64_t Seed);
  void run(const picker &Pick, decision_signature *Signature);

  class_waits Urgent;
  class_waits Others;
  int WarmHits = 0;
  double Looks = 0; ///< At the load of a replica.
  double Told = 0;  ///< Of these, told to entries.
  int Moved = 0;    ///< Requests sent on to another replica.

private:
  struct request {
    size_t Replica = 0;
    size_t Entry = 0;
    uint32_t Priority = 1;
    double Arrived = 0;
    double Time = 0; ///< Of service.
  };
  struct ending {
    double At;
    uint64_t Ticket;
    bool operator>(const ending &Other) const { return At > Other.At; }
  };

  size_t place(const picker &Pick, const pick_input &Input);
  void arrive(size_t Place, size_t Entry, int Prefix, double Now);
  void begin(uint64_t Ticket, double Now);
  void shed(uint64_t Ticket);
  void startNext(bench_replica &Replica, double Now);
  void endUntil(double Now);
  void report(double Now);
  class_waits &classOf(uint32_t Priority) {
    return Priority == 0 ? Urgent : Others;
  }

  const bench_pool &Pool;
  std::mt19937_64 Random;
  std::vector<bench_replica> Replicas;
  std::map<uint64_t, request> Open; ///< Waiting or running.
  std::priority_queue<ending, std::vector<ending>, std::greater<>> Ends;
  uint64_t NextTicket = 1;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BENCH_POOL_RUN_H
