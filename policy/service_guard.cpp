//===- service_guard.cpp - When a new software version may go on ----------===//

#include "policy/service_guard.h"
#include <algorithm>

namespace olivevalve {

namespace {

// All traffic goes to the new version only for the last part of the time: a
// version that turns bad late must not have had much more than a tenth of the
// requests until the deadline. Requests that run at the old version when the
// shift begins have until the end of it.
constexpr double ShiftShare = 0.08;
constexpr double MaxShiftSeconds = 2.0;
// Left between completion and the deadline for the change to be agreed on and
// read: a new leader needs about 2 s.
constexpr double SpareShare = 0.1;
constexpr double MaxSpareSeconds = 2.0;

// Fewer failures say nothing: services fail some requests on their own.
constexpr uint64_t LeastFailures = 5;
constexpr double FailureFactor = 2.5;
constexpr double FailureMargin = 0.08;
// Fewer answers say nothing of times, which vary with the size of a request.
constexpr uint64_t LeastTimed = 12;
constexpr double SlowFactor = 2.5;
constexpr double SlowMarginSeconds = 0.05;

double share(uint64_t Part, uint64_t Whole) {
  return Whole ? double(Part) / double(Whole) : 0;
}

bool failsMore(const version_tally &New, const version_tally &Old) {
  double Usual = share(Old.Failures, Old.Answers);
  return New.Failures >= LeastFailures &&
         share(New.Failures, New.Answers) >
             Usual * FailureFactor + FailureMargin;
}

bool isSlower(const version_tally &New, const version_tally &Old) {
  if (New.Answers < LeastTimed || Old.Answers < LeastTimed)
    return false;
  return New.Seconds / double(New.Answers) >
         SlowFactor * Old.Seconds / double(Old.Answers) + SlowMarginSeconds;
}

double spare(double Duration) {
  return std::min(MaxSpareSeconds, Duration * SpareShare);
}

} // namespace

double completeAt(double DurationSeconds) {
  return DurationSeconds - spare(DurationSeconds);
}

double shiftAt(double DurationSeconds) {
  return completeAt(DurationSeconds) -
         std::min(MaxShiftSeconds, DurationSeconds * ShiftShare);
}

rollout_judgement judgeRollout(const rollout_facts &Facts) {
  if (failsMore(Facts.New, Facts.Old))
    return {rollout_verdict::Revert, "fails more than the version before"};
  if (isSlower(Facts.New, Facts.Old))
    return {rollout_verdict::Revert, "is slower than the version before"};
  bool IsCanary = Facts.Stand == rollout_stand::Canary;
  bool Tried = Facts.New.Answers > 0;
  if (Facts.ElapsedSeconds >= completeAt(Facts.DurationSeconds) && !IsCanary)
    return Tried ? rollout_judgement{rollout_verdict::Complete, "is sound"}
                 : rollout_judgement{rollout_verdict::Revert,
                                     "has given no answer"};
  if (Facts.ElapsedSeconds >= shiftAt(Facts.DurationSeconds) && IsCanary)
    return Tried ? rollout_judgement{rollout_verdict::Shift, "is sound so far"}
                 : rollout_judgement{rollout_verdict::Revert,
                                     "has given no answer"};
  return {};
}

} // namespace olivevalve
