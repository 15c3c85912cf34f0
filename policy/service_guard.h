//===- service_guard.h - When a new software version may go on --*- C++ -*-===//
//
// Judges a roll-out of a service's software from the status and time of its
// answers. Pure: counts and times are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SERVICE_GUARD_H
#define OLIVEVALVE_POLICY_SERVICE_GUARD_H

#include <cstdint>
#include <string_view>

namespace olivevalve {

/// Answers of a version: how many, how many failed, and the sum of the times to
/// their first byte.
struct version_tally {
  uint64_t Answers = 0;
  uint64_t Failures = 0;
  double Seconds = 0;

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

enum class rollout_stand : uint8_t { Canary, Shift };

struct rollout_facts {
  rollout_stand Stand = rollout_stand::Canary;
  double ElapsedSeconds = 0;  ///< Since the order.
  double DurationSeconds = 0; ///< To be completed or reverted within.
  version_tally New;          ///< Since the order.
  version_tally Old;
};

enum class rollout_verdict : uint8_t { Stay, Shift, Complete, Revert };

struct rollout_judgement {
  rollout_verdict Verdict = rollout_verdict::Stay;
  std::string_view Reason;
};

/// Share of new sessions that the new version gets while it is tried.
constexpr double CanaryShare = 0.06;

/// Seconds from the order after which everything new goes to the new version,
/// and after which the roll-out is completed.
double shiftAt(double DurationSeconds);
double completeAt(double DurationSeconds);

rollout_judgement judgeRollout(const rollout_facts &Facts);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SERVICE_GUARD_H
