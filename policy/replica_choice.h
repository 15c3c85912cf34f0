//===- replica_choice.h - Which upstream runs a request ---------*- C++ -*-===//
//
// Chooses the upstream of a request that an entry sends through a sidecar. The
// entry has the number of its own requests in flight exactly. The requests of
// other entries are known only from the sidecar's last report, which is given
// less weight the older it is. A circuit breaker excludes upstreams that fail.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_REPLICA_CHOICE_H
#define OLIVEVALVE_POLICY_REPLICA_CHOICE_H

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace olivevalve {

/// Opens after several consecutive failures, for a pause that doubles with each
/// further failure. A success closes it. The caller uses it as a preference
/// only: when the breakers of all upstreams are open, it tries all of them.
class circuit_breaker {
public:
  bool allows(double Now) const { return Now >= OpenUntil; }
  void succeeded();
  void failed(double Now);

private:
  uint32_t Failures = 0; ///< Consecutive.
  double OpenUntil = 0;  ///< Steady-clock seconds.
};

/// What an entry has of an upstream at the moment of the choice.
struct replica_state {
  double OwnInFlight = 0;     ///< Requests of this entry, now.
  double ReportedRunning = 0; ///< Of all entries, in the sidecar's last report.
  double ReportedQueued = 0;  ///< Of all entries, in the sidecar's last report.
  double OwnAtReport = 0;   ///< Requests of this entry when the report arrived.
  double Age = 0;           ///< Seconds since the report.
  double Slots = 1;         ///< Requests that the upstream runs concurrently.
  double CacheInUse = 0;    ///< KV cache usage, 0 to 1.
  bool SameHall = true;     ///< In the same data hall as the entry.
  uint64_t PrefixScore = 0; ///< Rendezvous hash of prompt prefix and upstream.
};

/// Expected load per slot, where queued requests and another data hall count
/// for more; lower is better.
double expectedLoad(const replica_state &State);

/// How often a request that was queued may be moved to another upstream.
constexpr int MaxMoves = 2;

/// The load of an upstream, as its sidecar reports it to entries.
struct sidecar_load {
  uint32_t Running = 0;
  uint32_t Queued = 0;
};

/// True if \p Now differs enough from the load that was last \p Reported to
/// change the choices of entries, so that a new report is due.
bool isReportDue(sidecar_load Reported, sidecar_load Now, uint32_t Slots);

/// True if a request sent now is expected to start without queueing.
bool hasFreeSlot(const replica_state &State);

/// The index in \p Replicas of the upstream to use; none if it is empty.
std::optional<size_t> chooseReplica(const std::vector<replica_state> &Replicas,
                                    std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_REPLICA_CHOICE_H
