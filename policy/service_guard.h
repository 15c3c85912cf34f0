//===- service_guard.h - Roll-out decisions for services --------*- C++ -*-===//
//
// Decides about the roll-out of a new software version of a service from the
// status and latency of its responses. Pure: counts and times are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SERVICE_GUARD_H
#define OLIVEVALVE_POLICY_SERVICE_GUARD_H

#include <cstdint>
#include <string_view>

namespace olivevalve {

/// Counts of a version's responses.
struct version_tally {
  uint64_t Answers = 0;
  uint64_t Failures = 0;
  double Seconds = 0; ///< Sum of the times to first byte.

  version_tally &operator+=(const version_tally &Other) {
    Answers += Other.Answers;
    Failures += Other.Failures;
    Seconds += Other.Seconds;
    return *this;
  }
  version_tally operator-(const version_tally &Other) const {
    return {Answers - Other.Answers, Failures - Other.Failures,
            Seconds - Other.Seconds};
  }
};

/// Canary: the new version gets a small share of the new sessions. Shift: it
/// gets everything new.
enum class rollout_phase : uint8_t { Canary, Shift };

/// The input of judgeRollout().
struct rollout_input {
  rollout_phase Phase = rollout_phase::Canary;
  double ElapsedSeconds = 0; ///< Since the roll-out was ordered.
  /// Time from the order within which the roll-out must be completed or
  /// reverted.
  double DurationSeconds = 0;
  version_tally New; ///< Responses of the new version since the order.
  version_tally Old; ///< Responses of the other versions since the order.
};

enum class rollout_verdict : uint8_t { Stay, Shift, Complete, Revert };

struct rollout_decision {
  rollout_verdict Verdict = rollout_verdict::Stay;
  std::string_view Reason; ///< For operators; empty for Stay.
};

/// Share of new sessions that the new version gets in the canary phase.
constexpr double CanaryShare = 0.06;

/// Seconds from the order to the shift of all new traffic.
double shiftAfterSeconds(double DurationSeconds);
/// Seconds from the order to the completion of the roll-out.
double completeAfterSeconds(double DurationSeconds);

rollout_decision judgeRollout(const rollout_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SERVICE_GUARD_H
