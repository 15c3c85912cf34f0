//===- crash_reports.h - Crash reports held by one process ------*- C++ -*-===//
//
// Requests under which upstreams crashed, as seen by this process and as
// reported by others, and the requests that control has quarantined. Reports
// are sent to control, and to other processes of the same kind.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H
#define OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H

#include "base/metrics.h"
#include "policy/crash_evidence.h"
#include "wire/request_name.h"
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace olivevalve {

/// The crash reports and quarantined requests that one process holds.
class crash_reports {
public:
  explicit crash_reports(metrics &Metrics) : Metrics(Metrics) {}

  /// Records a crash that this process saw.
  void report(const crash_report &Report);
  /// Records that the request got a complete response.
  void answered(const short_digest &Request);
  /// True if an upstream crashed while processing the request.
  bool suspects(const short_digest &Request) const;
  /// True: the request must not be sent to any upstream.
  bool refuses(const short_digest &Request) const;

  /// Fills a message to control. \p SentAt: when it is sent, by this process's
  /// clock; identifies the message.
  void fill(wire::crash_news &News, double SentAt);
  /// The leader has received the message sent at \p SentAt.
  void acknowledged(double SentAt, uint64_t Leader);
  /// Applies the set of quarantined requests from control.
  void apply(const wire::quarantine_news &News);
  /// Fills a message to other processes of the same kind with recent reports.
  void fillRecent(wire::crash_news &News) const;
  /// Applies a message from another process.
  void hear(const wire::crash_news &News);

  /// Called when there is a new report to send.
  std::function<void()> OnReport;

private:
  struct own_report {
    crash_report Report;
    double SeenAt = 0;
    /// When the last message that contained it was sent.
    double LastSentAt = 0;
    /// When the leader acknowledged it; 0: the leader may not have it.
    double AcknowledgedAt = 0;
  };

  void record(const crash_report &Report);
  void clearSuspicion(const short_digest &Request, double Now);
  void forgetOld(double Now);

  metrics &Metrics;
  crash_evidence Evidence;
  std::deque<own_report> Reports; ///< Oldest first.
  /// Requests that got a complete response and when; reported to other
  /// processes for some seconds.
  std::map<short_digest, double> Cleared;
  std::set<short_digest> Quarantined;
  uint64_t Revision = 0; ///< Of the quarantine.
  uint64_t Leader = 0;   ///< That has the acknowledged reports.
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H
