//===- crash_watch.h - Which upstreams ended under which requests -*- C++ -*-//
//
// A connection that breaks does not tell whether its upstream has ended:
// answers are cut and reset by upstreams that live on. A request that was
// broken off is held against nobody until the end is sure: nothing listens
// there any more, another incarnation has the address, the list or another
// gateway says so. Then all that the upstream had is reported to the other
// gateways and control.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_CRASH_WATCH_H
#define OLIVEVALVE_GATEWAY_CRASH_WATCH_H

#include "base/metrics.h"
#include "gateway/end_probe.h"
#include "gateway/upstream_table.h"
#include "policy/crash_evidence.h"
#include "wire/wire.pb.h"
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>

namespace olivevalve {

class crash_watch {
public:
  crash_watch(struct ev_loop *Loop, metrics &Metrics);

  /// An upstream left a request without an answer.
  void brokeOff(const std::shared_ptr<upstream> &Upstream,
                const short_digest &Request);
  /// Nothing is left of it that could answer. \p How is for the log.
  void ended(upstream &Upstream, std::string_view How);
  /// It has answered a request that was sent at \p SentAt: what it broke off
  /// before it broke off alive.
  void answers(upstream &Upstream, double SentAt);
  /// A whole answer came to the request.
  void answered(const short_digest &Request);
  /// Something speaks against it.
  bool suspects(const short_digest &Request) const;
  /// True: it must go to no upstream.
  bool refuses(const short_digest &Request) const;

  void fill(wire::watch &Ask);
  void fill(wire::work_news &News);
  void hear(const wire::notice &Notice);
  void hear(const wire::work_news &News);

  /// There is something to tell the other gateways.
  std::function<void()> OnReport;
  /// An upstream was found to have ended by this gateway's own question.
  std::function<void(upstream &)> OnEnded;

private:
  struct broken_request {
    short_digest Request{};
    double At = 0;
  };
  struct broken_upstream {
    std::shared_ptr<upstream> Upstream;
    std::deque<broken_request> Requests; ///< Oldest first.
    double ProbedAt = 0;
  };
  struct own_report {
    crash_report Report;
    double SeenAt = 0;
    double ToldAt = 0;  ///< The last question that held it was sent then.
    double KnownAt = 0; ///< To the leader; 0: it may not know.
  };
  void probe(broken_upstream &Broken);
  void report(const crash_report &Report);
  void take(const crash_report &Report);
  void acquit(const short_digest &Request, double Now);
  void acknowledge(const wire::notice &Notice);
  void forgetOld(double Now);

  struct ev_loop *Loop;
  metrics &Metrics;
  std::unordered_map<uint64_t, broken_upstream> Broken; ///< By place.
  std::list<end_probe> Probes;
  before_wait Prepare;
  crash_evidence Evidence;
  std::deque<own_report> Reports;           ///< Oldest first.
  std::map<short_digest, double> Acquitted; ///< When; others are told for some
                                            ///< seconds.
  std::set<short_digest> Quarantined;
  uint64_t QuarantineRevision = 0;
  uint64_t Leader = 0; ///< Of control, as it told last.
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_CRASH_WATCH_H
