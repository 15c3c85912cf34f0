//===- quarantine_manager.h - Requests to quarantine ------------*- C++ -*-===//
//
// Combines the crash reports of all processes and proposes which requests are
// added to the replicated quarantine and which are released from it. A new
// leader gets all reports again. Pure: times are passed in, in steady seconds.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_QUARANTINE_MANAGER_H
#define OLIVEVALVE_CONTROL_QUARANTINE_MANAGER_H

#include "ledger/quarantine.h"
#include "policy/crash_evidence.h"
#include <map>
#include <vector>

namespace olivevalve {

class quarantine_manager {
public:
  /// Requests are released after this time, as the fault in the upstreams may
  /// have been fixed.
  static constexpr double MaxQuarantineSeconds = 3600;

  /// Records crashes, and requests that were answered completely.
  void addReports(const wire::crash_news &Crashes, double Now);
  /// Changes of \p Quarantined that are due, except those proposed recently.
  std::vector<wire::quarantine_change>
  changes(const quarantine_store &Quarantined, double Now);
  /// Seconds until a request is released, counted from when this VM first saw
  /// it in quarantine.
  double secondsLeft(const short_digest &Request, double Now) const;

private:
  void synchronize(const quarantine_store &Quarantined, double Now);
  bool mayPropose(const short_digest &Request, double Now);

  crash_evidence Evidence{{.MaxRequests = 1 << 14}};
  /// When this VM first saw each request that is in quarantine.
  std::map<short_digest, double> FirstSeenAt;
  std::map<short_digest, double> ProposedAt;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_QUARANTINE_MANAGER_H
