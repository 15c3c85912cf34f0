//===- crash_watch.h - Which upstreams ended under which requests -*- C++ -*-//
//
// A connection that breaks does not tell whether its upstream has ended:
// answers are cut and reset by upstreams that live on. A request that was
// broken off is held against nobody until the end is sure: nothing listens
// there any more, another incarnation has the address, the list or another
// process says so. Then all that the upstream had is reported.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_QUARANTINE_CRASH_WATCH_H
#define OLIVEVALVE_QUARANTINE_CRASH_WATCH_H

#include "quarantine/crash_reports.h"
#include "quarantine/end_probe.h"
#include <list>
#include <string>
#include <unordered_map>

namespace olivevalve {

/// One incarnation.
struct watched_upstream {
  uint64_t Place = 0; ///< Names it alike everywhere.
  std::string Name;   ///< For logs.
  std::string Address;
};

class crash_watch {
public:
  crash_watch(struct ev_loop *Loop, metrics &Metrics, crash_reports &Reports);

  /// An upstream left a request without an answer.
  void brokeOff(const watched_upstream &Upstream, const short_digest &Request);
  /// Nothing is left of it that could answer. \p How is for the log.
  void ended(const watched_upstream &Upstream, std::string_view How);
  /// It has answered a request that was sent at \p SentAt: what it broke off
  /// before it broke off alive.
  void answers(uint64_t Place, double SentAt);

  /// An upstream was found to have ended by this process's own question.
  std::function<void(const watched_upstream &)> OnEnded;

private:
  struct broken_request {
    short_digest Request{};
    double At = 0;
  };
  struct broken_upstream {
    std::deque<broken_request> Requests; ///< Oldest first.
    double ProbedAt = 0;
  };

  void probe(const watched_upstream &Upstream);
  void forgetOld(double Now);

  struct ev_loop *Loop;
  metrics &Metrics;
  crash_reports &Reports;
  std::unordered_map<uint64_t, broken_upstream> Broken; ///< By place.
  std::unordered_map<uint64_t, double> EndedAt;         ///< By place.
  std::list<end_probe> Probes;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_CRASH_WATCH_H
