//===- pool_run.h - Simulated pool of replicas ------------------*- C++ -*-===//
//
// Simulates arrivals and service times at replicas, each with a number of slots
// and the sidecar's queue, to benchmark the choice of a replica. Entries see
// the load only as it was last reported to them.
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

/// Parameters of a run.
struct bench_pool {
  std::string Name;
  size_t Replicas = 20;
  int Slots = 8; ///< Requests that a replica runs concurrently.
  /// Arrival rate as a share of the capacity without prefix hits.
  double Load = 0.7;
  double SlowShare = 0; ///< Share of replicas with half the speed.
  /// Share of requests with priority 0; the others have priority 2.
  double UrgentShare = 0;
  /// Seconds in the queue after which a request is shed.
  double MaxWaitSeconds = 1e9;
  int Requests = 60000;
  /// How often a request that was queued may be moved to another replica.
  int Moves = 0;
};

/// A replica's actual state, and its state as entries last received it.
struct bench_replica {
  /// What one entry has: the last reported load, from a periodic report or with
  /// an answer to one of its requests, and its own requests.
  struct view {
    double Running = 0;
    double Queued = 0;
    double At = 0;          ///< Time of the report in seconds.
    double Own = 0;         ///< Requests in flight from this entry.
    double OwnAtReport = 0; ///< The same at the time of the report.
  };
  /// MaxQueueLength of sidecar/sidecar_task.cpp.
  static constexpr size_t QueueLength = 256;

  int Running = 0;
  work_queue Waiting{QueueLength};
  std::deque<int> Warm; ///< Cached prefixes, the least recently used first.
  double Speed = 1;     ///< Relative; 0.5 takes twice the time.
  std::array<view, BenchEntries> Views{};
  double SampledAt = 0;    ///< When the sidecar last sampled its load.
  double ReportedAt = 0;   ///< When it last reported to all entries.
  sidecar_load LastReport; ///< What it then reported.

  /// Updates the view of one entry to the current state.
  void reportTo(size_t Entry, double Now);
};

/// What a policy may use to pick a replica. The baseline with exact load reads
/// the actual state of the replicas, all others only the views of the entry.
struct pick_input {
  const std::vector<bench_replica> &Replicas;
  size_t Entry;
  int Prefix;
  double Now;
  int Slots;
  std::mt19937_64 &Random;
};
using picker = std::function<size_t(const pick_input &)>;

/// The states of the replicas as the decision code of the entry has them.
std::vector<replica_state> replicaStates(const pick_input &Input);

/// Queueing times of one class of requests in seconds, and how many were shed.
struct class_waits {
  std::vector<double> Waits;
  int Shed = 0;
  /// The quantile \p Share, 0 to 1, of the queueing times, in milliseconds; 0
  /// if there are none. Reorders Waits.
  double quantileMs(double Share);
};

/// One run of a policy at one pool.
class pool_run {
public:
  pool_run(const bench_pool &Pool, uint64_t Seed);
  /// Runs all requests; adds each choice to \p Signature unless it is null.
  void run(const picker &Pick, decision_signature *Signature);

  class_waits Urgent;
  class_waits Others;
  int WarmHits = 0;
  double LoadSamples = 0; ///< Samples of a replica's load by its sidecar.
  double Reports = 0;     ///< Samples that were reported to the entries.
  int Moved = 0;          ///< Moves of queued requests to another replica.

private:
  struct request {
    size_t Replica = 0;
    size_t Entry = 0;
    uint32_t Priority = 1;
    double Arrived = 0;
    double Time = 0; ///< Service time in seconds.
  };
  /// The end of a running request.
  struct ending {
    double At;
    uint64_t Ticket;
    bool operator>(const ending &Other) const { return At > Other.At; }
  };

  size_t choose(const picker &Pick, const pick_input &Input);
  void arrive(size_t Choice, size_t Entry, int Prefix, double Now);
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
  std::map<uint64_t, request> Open; ///< Queued or running, by ticket.
  std::priority_queue<ending, std::vector<ending>, std::greater<>> Ends;
  uint64_t NextTicket = 1;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BENCH_POOL_RUN_H
