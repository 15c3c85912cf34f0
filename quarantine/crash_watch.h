//===- crash_watch.h - Relates crashes to requests --------------*- C++ -*-===//
//
// A broken connection does not show that its upstream has crashed: upstreams
// that live on also cut off and reset responses. An interrupted request is not
// blamed for a crash until the crash is certain, that is, until no process
// listens at the address, another incarnation has it, or the list or another
// process reports the crash. Then all requests that the upstream interrupted
// are reported.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_QUARANTINE_CRASH_WATCH_H
#define OLIVEVALVE_QUARANTINE_CRASH_WATCH_H

#include "quarantine/crash_reports.h"
#include "quarantine/listener_probe.h"
#include <string>
#include <unordered_map>

namespace olivevalve {

/// One incarnation of an upstream.
struct watched_upstream {
  uint64_t Key = 0; ///< Key of the incarnation, the same at all processes.
  std::string Name; ///< For logs.
  std::string Address;
};

/// A request that an upstream left without a complete response.
struct interrupted_request {
  /// Without the blocks of its prompt if its response has survived its
  /// beginning.
  request_causes Causes;
  bool Begun = false; ///< Its response had begun.
  double SentAt = 0;  ///< Seconds of the steady clock.
  double At = 0;      ///< When it was interrupted, set by crash_watch.
};

/// Relates interrupted requests to crashes of their upstreams.
class crash_watch {
public:
  crash_watch(struct ev_loop *Loop, metrics &Metrics, crash_reports &Reports);

  void recordInterruptedRequest(const watched_upstream &Upstream,
                                interrupted_request Request);
  /// Records that the upstream's process has terminated. \p How: the evidence,
  /// for logs and metrics.
  void recordCrash(const watched_upstream &Upstream, std::string_view How);
  /// Records a response to a request that was sent at \p SentAt: the upstream
  /// did not crash under requests that it interrupted before then.
  void recordResponse(uint64_t Key, double SentAt);

  /// Called when a probe by this process found that an upstream has crashed.
  std::function<void(const watched_upstream &)> OnCrash;

private:
  struct suspected_upstream {
    std::deque<interrupted_request> Requests; ///< Oldest first.
    double ProbedAt = 0;
  };

  void probe(const watched_upstream &Upstream);
  void report(const watched_upstream &Upstream,
              const interrupted_request &Request, const crash_company &Company);
  void forgetOld(double Now);

  metrics &Metrics;
  crash_reports &Reports;
  /// By upstream key.
  std::unordered_map<uint64_t, suspected_upstream> Suspected;
  std::unordered_map<uint64_t, double> CrashedAt; ///< By upstream key.
  listener_probes Probes;
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_CRASH_WATCH_H
