//===- service_guard.h - Roll-out decisions for services --------*- C++ -*-===//
//
// Decides about the roll-out of a new software version of a service from the
// status and latency of its responses. Pure: counts and times are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SERVICE_GUARD_H
#define OLIVEVALVE_POLICY_SERVICE_GUARD_H

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace olivevalve {

/// Counts of a version's requests and responses.
struct version_tally {
  uint64_t Sent = 0; ///< Requests, each as often as it was sent.
  uint64_t Answers = 0;
  uint64_t Failures = 0;
  double Seconds = 0; ///< Sum of the times to first byte.
  /// Responses that failed or whose pace was compared with the usual one, also
  /// those in progress.
  uint64_t Judged = 0;
  uint64_t Bad = 0; ///< Of these, failed or took much longer than usual.

  version_tally &operator+=(const version_tally &Other) {
    Sent += Other.Sent;
    Answers += Other.Answers;
    Failures += Other.Failures;
    Seconds += Other.Seconds;
    Judged += Other.Judged;
    Bad += Other.Bad;
    return *this;
  }
  version_tally operator-(const version_tally &Other) const {
    // Responses in progress are counted anew each time, so that these two may
    // decrease.
    return {.Sent = Sent - Other.Sent,
            .Answers = Answers - Other.Answers,
            .Failures = Failures - Other.Failures,
            .Seconds = Seconds - Other.Seconds,
            .Judged = Judged - std::min(Judged, Other.Judged),
            .Bad = Bad - std::min(Bad, Other.Bad)};
  }
};

/// Canary: the new version gets a small share of the new sessions. Hold: it
/// gets no more of them until the shift. Shift: it gets everything new.
enum class rollout_phase : uint8_t { Canary, Hold, Shift };

/// Bounds the requests to a new version from the order of its roll-out to the
/// deadline: a share of the service's requests, and some more.
struct exposure_bound {
  double Share = 0.15;
  double Slack = 10;
};

/// The input of judgeRollout().
struct rollout_input {
  rollout_phase Phase = rollout_phase::Canary;
  double ElapsedSeconds = 0; ///< Since the roll-out was ordered.
  /// Time from the order within which the roll-out must be completed or
  /// reverted.
  double DurationSeconds = 0;
  exposure_bound Exposure;
  version_tally New; ///< Of the new version since the order.
  version_tally Old; ///< Of the other versions since the order.
  /// Responses of the new version by upstream, as far as they are counted so.
  std::vector<version_tally> NewByUpstream;
};

enum class rollout_verdict : uint8_t { Stay, Hold, Shift, Complete, Revert };

struct rollout_decision {
  rollout_verdict Verdict = rollout_verdict::Stay;
  std::string_view Reason; ///< For operators; empty for Stay.
  /// Against the new version, see score_test; the same without its worst
  /// upstream.
  double Evidence = 1;
  double EvidenceOfOthers = 1;
};

/// Upstreams of the new version that the canary's requests go to. One of them
/// may be at fault by itself, so there are two.
constexpr size_t CanaryUpstreams = 2;

/// Share of new sessions that the new version gets in the canary phase, so that
/// each of the canary's upstreams has the load of one of the \p Old upstreams:
/// a version is only compared fairly at the same load.
double canaryShare(size_t Old);

/// Requests that the new version may get before the shift. The rest of the
/// bound is for the shift, in which the version may yet turn bad.
double canaryBudget(const rollout_input &Input);

/// Seconds from the order to the shift of all new traffic.
double shiftAfterSeconds(double DurationSeconds);
/// Seconds from the order to the completion of the roll-out.
double completeAfterSeconds(double DurationSeconds);

rollout_decision judgeRollout(const rollout_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SERVICE_GUARD_H
