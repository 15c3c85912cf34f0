//===- crash_reports.h - What one process knows of such requests -*- C++ -*-==//
//
// Requests that upstreams ended under: what this process saw, what others told
// it, and what control has quarantined. Tells control, and others if they ask.
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

class crash_reports {
public:
  explicit crash_reports(metrics &Metrics) : Metrics(Metrics) {}

  /// Seen by this process.
  void report(const crash_report &Report);
  /// A whole answer came to the request.
  void answered(const short_digest &Request);
  /// Something speaks against it.
  bool suspects(const short_digest &Request) const;
  /// True: it must go to no upstream.
  bool refuses(const short_digest &Request) const;

  /// For control. \p SentAt names the message, by this process's clock.
  void fill(wire::crash_news &News, double SentAt);
  /// The leader has the message that was sent then.
  void acknowledged(double SentAt, uint64_t Leader);
  void hear(const wire::quarantine_news &News);
  /// For other processes of the same kind: what is new.
  void fillNew(wire::crash_news &News) const;
  void hear(const wire::crash_news &News);

  /// There is something new to tell.
  std::function<void()> OnReport;

private:
  struct own_report {
    crash_report Report;
    double SeenAt = 0;
    double ToldAt = 0;  ///< The last message that held it was sent then.
    double KnownAt = 0; ///< To the leader; 0: it may not know.
  };

  void take(const crash_report &Report);
  void acquit(const short_digest &Request, double Now);
  void forgetOld(double Now);

  metrics &Metrics;
  crash_evidence Evidence;
  std::deque<own_report> Reports;           ///< Oldest first.
  std::map<short_digest, double> Acquitted; ///< When; others are told for some
                                            ///< seconds.
  std::set<short_digest> Quarantined;
  uint64_t Revision = 0; ///< Of the quarantine.
  uint64_t Leader = 0;   ///< That knows of the reports.
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H
