//===- service_guard.cpp - Roll-out decisions for services ----------------===//

#include "policy/service_guard.h"
#include "policy/guard.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// The new version gets all new traffic only in this last share of the time,
// bounded in seconds: a version that starts to fail late must not have received
// more than the bound allows by the deadline. Requests that are in progress at
// the old version when the shift begins have until its end to finish.
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

// Upper bound for services with few upstreams.
constexpr double MaxCanaryShare = 0.4;
// Time until a hold takes effect at all gateways, which report and are notified
// twice a second.
constexpr double HoldSeconds = 1;
// Minimum time over which the request rate is computed.
constexpr double MinRateSeconds = 1;

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

// Allowed excess over the share of bad responses of the previous version.
constexpr double Tolerance = 0.05;
// Prior for the previous version's share, used until it has responses.
constexpr double PriorBad = 1;
constexpr double PriorJudged = 10;
constexpr double MaxUsualShare = 0.7;
// Evidence, see score_test, at which a version is reverted at once. Bounds the
// share of good versions that are reverted to 1 in 200.
constexpr double RevertEvidence = 200;
// The same without the worst upstream, which may be faulty itself.
constexpr double RevertEvidenceOfOthers = 3;
// Evidence at which a version is reverted when the shift or the completion is
// due.
constexpr double ShiftEvidence = 10;

double evidenceAgainst(const version_tally &New, const version_tally &Old) {
  double Usual =
      (double(Old.Bad) + PriorBad) / (double(Old.Judged) + PriorJudged);
  double Reference = 1 - std::min(MaxUsualShare, Usual + Tolerance);
  score_test Test;
  for (uint64_t I = 0; I < New.Judged; ++I)
    Test.add(I < New.Bad ? 0 : 1, Reference);
  return Test.evidence();
}

/// Responses of the new version, except those of its worst upstream.
version_tally withoutWorstUpstream(const rollout_input &Input) {
  version_tally Worst;
  for (const version_tally &Each : Input.NewByUpstream)
    if (evidenceAgainst(Each, Input.Old) > evidenceAgainst(Worst, Input.Old))
      Worst = Each;
  return Input.New - Worst;
}

double marginSeconds(double Duration) {
  return std::min(MaxMarginSeconds, Duration * MarginShare);
}

} // namespace

double canaryShare(size_t Old) {
  return std::min(MaxCanaryShare,
                  double(CanaryUpstreams) / double(CanaryUpstreams + Old));
}

double completeAfterSeconds(double DurationSeconds) {
  return DurationSeconds - marginSeconds(DurationSeconds);
}

double shiftAfterSeconds(double DurationSeconds) {
  return completeAfterSeconds(DurationSeconds) -
         std::min(MaxShiftSeconds, DurationSeconds * ShiftShare);
}

double canaryBudget(const rollout_input &Input) {
  double Duration = Input.DurationSeconds;
  double Requests = double(Input.New.Sent + Input.Old.Sent) /
                    std::max(MinRateSeconds, Input.ElapsedSeconds) * Duration;
  double Shift =
      (completeAfterSeconds(Duration) - shiftAfterSeconds(Duration)) / Duration;
  double UntilHeld = MaxCanaryShare * HoldSeconds / Duration;
  return Input.Exposure.Slack +
         Requests * (Input.Exposure.Share - Shift - UntilHeld);
}

rollout_decision judgeRollout(const rollout_input &Input) {
  rollout_decision Decision;
  Decision.Evidence = evidenceAgainst(Input.New, Input.Old);
  Decision.EvidenceOfOthers =
      evidenceAgainst(withoutWorstUpstream(Input), Input.Old);
  auto Decide = [&](rollout_verdict Verdict, std::string_view Reason) {
    Decision.Verdict = Verdict;
    Decision.Reason = Reason;
    return Decision;
  };
  using enum rollout_verdict;
  if (hasHigherErrorRate(Input.New, Input.Old))
    return Decide(Revert, "fails more than the version before");
  if (isSlower(Input.New, Input.Old))
    return Decide(Revert, "is slower than the version before");
  if (Decision.Evidence >= RevertEvidence &&
      Decision.EvidenceOfOthers >= RevertEvidenceOfOthers)
    return Decide(Revert, "has more bad responses than the version before");
  bool IsShifted = Input.Phase == rollout_phase::Shift;
  double Due = IsShifted ? completeAfterSeconds(Input.DurationSeconds)
                         : shiftAfterSeconds(Input.DurationSeconds);
  if (Input.ElapsedSeconds < Due)
    return Input.Phase == rollout_phase::Canary &&
                   double(Input.New.Sent) >= canaryBudget(Input)
               ? Decide(Hold, "has had its share of the requests for now")
               : Decision;
  if (Input.New.Answers == 0)
    return Decide(Revert, "has given no answer");
  if (Decision.Evidence >= ShiftEvidence)
    return Decide(Revert,
                  "may have more bad responses than the version before");
  return IsShifted ? Decide(Complete, "is sound")
                   : Decide(Shift, "is sound so far");
}

} // namespace olivevalve
