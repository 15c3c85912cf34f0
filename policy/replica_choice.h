//===- replica_choice.h - Which upstream runs it ----------------*- C++ -*-===//
//
// Picks the upstream from stale news: own requests in flight are known, those
// of other entries only from the sidecar's last word, which counts less the
// older it is. A circuit breaker keeps failing upstreams out. Pure.
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

/// Opens after failures in a row, for a pause that doubles while they go on;
/// an answer closes it. It only says where not to go while there is somewhere
/// else: when all are open, all are tried.
class circuit_breaker {
public:
  bool allows(double Now) const { return Now >= OpenUntil; }
  void succeeded();
  void failed(double Now);

private:
  uint32_t Failures = 0;
  double OpenUntil = 0;
};

/// What an entry knows of one upstream at the moment of choice.
struct replica_news {
  double OwnInFlight = 0;     ///< From this entry, now.
  double ReportedRunning = 0; ///< By the sidecar, all entries together.
  double ReportedQueued = 0;
  double OwnAtReport = 0; ///< Own share of what was reported.
  double Age = 0;         ///< Seconds since the report.
  double Slots = 1;
  double CacheInUse = 0; ///< KV cache, 0 to 1.
  bool SameHall = true;
  uint64_t PrefixScore = 0; ///< Rendezvous hash of prompt prefix and upstream.
};

/// Expected waiting work per slot; lower is better.
double expectedLoad(const replica_news &News);

/// How often a request that was told to wait may be sent on to another
/// upstream.
constexpr int MostMoves = 2;

/// Load of an upstream as it was told to entries.
struct told_load {
  uint32_t Running = 0;
  uint32_t Queued = 0;
};

/// True if \p Now differs from what was \p Told so much that it changes the
/// choices of entries.
bool isNews(told_load Told, told_load Now, uint32_t Slots);

/// True if work sent now would, by all that is known, not have to wait.
bool seemsFree(const replica_news &News);

/// The place in \p Replicas to use; none if it is empty.
std::optional<size_t> chooseReplica(const std::vector<replica_news> &Replicas,
                                    std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_REPLICA_CHOICE_H
