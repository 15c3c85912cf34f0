//===- service_guard.cpp - Roll-out decisions for services ----------------===//

#include "policy/service_guard.h"
#include <algorithm>

namespace olivevalve {

namespace {

// The new version gets all new traffic only in this last share of the time,
// bounded in seconds: a version that starts to fail late must not have received
// much more than a tenth of the requests by the deadline. Requests that are in
// progress at the old version when the shift begins have until its end to
// finish.
constexpr double ShiftShare = 0.08;
constexpr double MaxShiftSeconds = 2.0;
// Time between completion and the deadline, in which the change is committed
// and distributed: a new leader needs about 2 s.
constexpr double MarginShare = 0.1;
constexpr double MaxMarginSeconds = 2.0;

// With fewer failures the error rates are not compared, because services also
// fail some requests without a fault of the version.
constexpr uint64_t MinFailures = 5;
constexpr double FailureFactor = 2.5;
constexpr double FailureMargin = 0.08;
// With fewer responses the latencies are not compared, because they vary with
// the size of the requests.
constexpr uint64_t MinTimedAnswers = 12;
constexpr double SlowFactor = 2.5;
constexpr double SlowMarginSeconds = 0.05;

double share(uint64_t Part, uint64_t Whole) {
  return Whole ? double(Part) / double(Whole) : 0;
}

bool hasHigherErrorRate(const version_tally &New, const version_tally &Old) {
  double OldRate = share(Old.Failures, Old.Answers);
  return New.Failures >= MinFailures &&
         share(New.Failures, New.Answers) >
             OldRate * FailureFactor + FailureMargin;
}

bool isSlower(const version_tally &New, const version_tally &Old) {
  if (New.Answers < MinTimedAnswers || Old.Answers < MinTimedAnswers)
    return false;
  return New.Seconds / double(New.Answers) >
         SlowFactor * Old.Seconds / double(Old.Answers) + SlowMarginSeconds;
}

double marginSeconds(double Duration) {
  return std::min(MaxMarginSeconds, Duration * MarginShare);
}

} // namespace

double completeAfterSeconds(double DurationSeconds) {
  return DurationSeconds - marginSeconds(DurationSeconds);
}

double shiftAfterSeconds(double DurationSeconds) {
  return completeAfterSeconds(DurationSeconds) -
         std::min(MaxShiftSeconds, DurationSeconds * ShiftShare);
}

rollout_decision judgeRollout(const rollout_input &Input) {
  if (hasHigherErrorRate(Input.New, Input.Old))
    return {rollout_verdict::Revert, "fails more than the version before"};
  if (isSlower(Input.New, Input.Old))
    return {rollout_verdict::Revert, "is slower than the version before"};
  bool IsCanary = Input.Phase == rollout_phase::Canary;
  bool HasAnswers = Input.New.Answers > 0;
  if (Input.ElapsedSeconds >= completeAfterSeconds(Input.DurationSeconds) &&
      !IsCanary)
    return HasAnswers ? rollout_decision{rollout_verdict::Complete, "is sound"}
                      : rollout_decision{rollout_verdict::Revert,
                                         "has given no answer"};
  if (Input.ElapsedSeconds >= shiftAfterSeconds(Input.DurationSeconds) &&
      IsCanary)
    return HasAnswers
               ? rollout_decision{rollout_verdict::Shift, "is sound so far"}
               : rollout_decision{rollout_verdict::Revert,
                                  "has given no answer"};
  return {};
}

} // namespace olivevalve
