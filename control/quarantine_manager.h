//===- quarantine_manager.h - Requests to quarantine ------------*- C++ -*-===//
//
// Combines the crash reports of all processes and proposes which requests and
// blocks of prompts are added to the replicated quarantine, and which are
// released from it. From time to time one process may send one request in spite
// of the quarantine of its cause, to find out whether it still crashes
// upstreams. A new leader gets all reports again. Pure: times are passed in, in
// steady seconds.
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
  /// A cause is released if no request with it came for this time, as the fault
  /// in the upstreams may have been fixed.
  static constexpr double MaxQuarantineSeconds = 3600;

  /// \p Sender: incarnation of the reporting process, to which a trial may be
  /// granted.
  void addReports(const wire::crash_news &Crashes, double Now,
                  uint64_t Sender = 0);
  /// Changes of \p Quarantined that are due, except those proposed recently.
  std::vector<wire::quarantine_change>
  changes(const quarantine_store &Quarantined, double Now);
  /// Seconds until a cause is released if no request with it comes, counted
  /// from when this VM first saw it in quarantine.
  double secondsLeft(const short_digest &Cause, double Now) const;

private:
  /// What this VM knows of a cause in quarantine.
  struct observation {
    crash_cause_kind Kind = crash_cause_kind::Request;
    double LastCrashAt = 0;
    uint32_t Trials = 0;  ///< Granted so far.
    double ChangedAt = 0; ///< First seen in quarantine, or with these trials.
    /// The last process that kept back a request because of this cause alone,
    /// and when; 0: none did.
    uint64_t WantedBy = 0;
    double WantedAt = 0;
  };

  void synchronize(const quarantine_store &Quarantined, double Now);
  bool mayPropose(const short_digest &Cause, double Now);
  bool isReleasable(const short_digest &Cause, const observation &Seen,
                    const std::vector<short_digest> &Blocks, double Now) const;

  crash_evidence Evidence{{.MaxCauses = 1 << 14}};
  std::map<short_digest, observation> Observed;
  std::map<short_digest, double> ProposedAt;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_QUARANTINE_MANAGER_H
