//===- crash_reports.h - Crash reports held by one process ------*- C++ -*-===//
//
// Requests under which upstreams crashed, as seen by this process and as
// reported by others, and what control has quarantined. Reports are sent to
// control, and those on whole requests to other processes of the same kind too.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H
#define OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H

#include "base/metrics.h"
#include "policy/block_shares.h"
#include "policy/crash_evidence.h"
#include "quarantine/request_causes.h"
#include "wire/request_name.h"
#include <deque>
#include <functional>
#include <map>

namespace olivevalve {

/// Whether a request may be sent to an upstream.
enum class send_permission : uint8_t {
  Granted,
  /// As the one request that may be sent in spite of the quarantine of one of
  /// its causes.
  Trial,
  Refused
};

/// The crash reports and quarantined causes that one process holds.
class crash_reports {
public:
  /// \p Incarnation: of this process, by which control grants trials.
  explicit crash_reports(metrics &Metrics, uint64_t Incarnation = 0)
      : Metrics(Metrics), Incarnation(Incarnation) {}

  /// Records that a request with these causes has been received.
  void received(const request_causes &Causes);
  /// Share of the prompts to a service that contain the block, 0 to 1.
  double shareOf(uint64_t Service, const short_digest &Block) const;
  /// Records a crash that this process saw.
  void report(const crash_report &Report);
  /// Records that the request got a complete response.
  void answered(const short_digest &Request);
  /// Records that a response which began at \p BegunAt (steady-clock seconds)
  /// to a request with these blocks has survived its beginning.
  void survived(const std::vector<short_digest> &Blocks, double BegunAt);
  /// True if an upstream crashed while processing the request.
  bool suspects(const short_digest &Request) const;
  /// True: no request with this cause may be sent to any upstream.
  bool refuses(const short_digest &Cause) const;
  /// Whether a request with these causes may be sent. If a single cause keeps
  /// it back, control is asked for a trial.
  send_permission permissionFor(const request_causes &Causes);
  /// Records that the request is sent with send_permission::Trial.
  void beginTrial(const request_causes &Causes);

  /// Fills a message to control. \p SentAt: when it is sent, by this process's
  /// clock; identifies the message.
  void fill(wire::crash_news &News, double SentAt);
  /// The leader has received the message sent at \p SentAt.
  void acknowledged(double SentAt, uint64_t Leader);
  /// Applies the set of quarantined causes from control.
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
  struct clearance {
    crash_cause_kind Kind = crash_cause_kind::Request;
    double At = 0; ///< When this process learned of it last.
  };
  struct quarantined_cause {
    crash_cause_kind Kind = crash_cause_kind::Request;
    double LastCrashAt = 0; ///< Not before the last crash.
    uint32_t Trials = 0;    ///< Granted so far, to any process.
    /// Until when this process may send one request on trial.
    double MayTryUntil = 0;
  };

  void record(const crash_report &Report);
  void markBegun(const crash_report &Report);
  void noteClearance(const short_digest &Cause, crash_cause_kind Kind,
                     double Now);
  void fillClearance(const short_digest &Cause, crash_cause_kind Kind,
                     double Now, wire::crash_news &News) const;
  bool isCleared(const short_digest &Cause, const quarantined_cause &Entry,
                 double Now) const;
  std::vector<short_digest> refusedCauses(const request_causes &Causes) const;
  void release(const short_digest &Cause, crash_cause_kind Kind);
  void forgetOld(double Now);

  metrics &Metrics;
  uint64_t Incarnation;
  crash_evidence Evidence;
  block_shares Shares;
  std::deque<own_report> Reports; ///< Oldest first.
  /// Causes cleared lately against which there was evidence; reported to other
  /// processes for some seconds.
  std::map<short_digest, clearance> Cleared;
  std::map<short_digest, quarantined_cause> Quarantined;
  /// Causes that alone kept back a request, and when the last time.
  std::map<short_digest, double> Wanted;
  uint64_t Revision = 0; ///< Of the quarantine.
  uint64_t Leader = 0;   ///< That has the acknowledged reports.
};

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_CRASH_REPORTS_H
