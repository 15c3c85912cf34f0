//===- rollout_driver.cpp - Advances roll-outs of services ----------------===//

#include "control/rollout_driver.h"
#include "absl/strings/str_cat.h"
#include <algorithm>

namespace olivevalve {

namespace {

// An older order was given to a previous leader. The counts at the order are
// then not available, so all answers of the new version so far count for the
// roll-out.
constexpr double MaxFreshOrderSeconds = 1;

wire::rollout_stage stageAfter(rollout_verdict Verdict,
                               wire::rollout_stage Present) {
  switch (Verdict) {
  case rollout_verdict::Stay:
    return Present;
  case rollout_verdict::Hold:
    return wire::HOLD;
  case rollout_verdict::Shift:
    return wire::SHIFT;
  case rollout_verdict::Complete:
    return wire::COMPLETED;
  default:
    return wire::REVERTED;
  }
}

// What operators read of the last step, also after a change of the leader.
std::string reasonOf(const rollout_judgement &Judgement) {
  const version_tally &New = Judgement.Facts.New;
  const version_tally &Old = Judgement.Facts.Old;
  return absl::StrCat(std::string(Judgement.Decision.Reason), ": ", New.Bad,
                      " of ", New.Judged, " responses bad, ", Old.Bad, " of ",
                      Old.Judged, " at the version before; ", New.Failures,
                      " of ", New.Answers, " failed, ", Old.Failures, " of ",
                      Old.Answers);
}

rollout_phase phaseOf(wire::rollout_stage Stage) {
  switch (Stage) {
  case wire::CANARY:
    return rollout_phase::Canary;
  case wire::HOLD:
    return rollout_phase::Hold;
  default:
    return rollout_phase::Shift;
  }
}

// Those since the start of the roll-out.
std::vector<version_tally>
since(const std::map<uint64_t, version_tally> &Start,
      const std::map<uint64_t, version_tally> &Present) {
  std::vector<version_tally> Tallies;
  for (const auto &[Upstream, Tally] : Present) {
    auto It = Start.find(Upstream);
    version_tally Since = It == Start.end() ? Tally : Tally - It->second;
    if (Since.Judged > 0)
      Tallies.push_back(Since);
  }
  return Tallies;
}

} // namespace

rollout_driver::baseline &
rollout_driver::baselineOf(const wire::rollout &Rollout,
                           const gateway_table &Gateways, double Now,
                           double Wall) {
  baseline &Baseline = Baselines[Rollout.service()];
  if (Baseline.BegunWall == Rollout.begun_wall())
    return Baseline;
  const std::string &Service = Rollout.service();
  const std::string &Target = Rollout.target_version();
  // Clamped, so that a wall clock that was set meanwhile cannot prolong the
  // roll-out.
  double Elapsed =
      std::clamp(Wall - Rollout.begun_wall(), 0.0, Rollout.duration_seconds());
  Baseline = {.BegunWall = Rollout.begun_wall(),
              .BegunAt = Now - Elapsed,
              .OldAtStart = Gateways.answersOfOthers(Service, Target),
              .NewAtStart = Elapsed < MaxFreshOrderSeconds
                                ? Gateways.answersOf(Service, Target)
                                : version_tally()};
  if (Elapsed < MaxFreshOrderSeconds)
    Baseline.NewByUpstreamAtStart = Gateways.answersByUpstream(Service, Target);
  return Baseline;
}

std::vector<rollout_judgement>
rollout_driver::judge(const rollout_store &Rollouts,
                      const gateway_table &Gateways, double Now, double Wall) {
  std::vector<rollout_judgement> Judgements;
  for (const auto &[Service, Rollout] : Rollouts.all()) {
    if (!isInProgress(Rollout.stage()))
      continue;
    const std::string &Target = Rollout.target_version();
    baseline &Baseline = baselineOf(Rollout, Gateways, Now, Wall);
    rollout_judgement Judgement{
        .Facts = {.Phase = phaseOf(Rollout.stage()),
                  .ElapsedSeconds = Now - Baseline.BegunAt,
                  .DurationSeconds = Rollout.duration_seconds(),
                  .Exposure = Exposure,
                  .New =
                      Gateways.answersOf(Service, Target) - Baseline.NewAtStart,
                  .Old = Gateways.answersOfOthers(Service, Target) -
                         Baseline.OldAtStart,
                  .NewByUpstream =
                      since(Baseline.NewByUpstreamAtStart,
                            Gateways.answersByUpstream(Service, Target))}};
    Judgement.Decision = judgeRollout(Judgement.Facts);
    wire::rollout_step &Step = Judgement.Step;
    Step.set_service(Service);
    Step.set_target_version(Target);
    Step.set_from(Rollout.stage());
    Step.set_to(stageAfter(Judgement.Decision.Verdict, Rollout.stage()));
    Step.set_reason(reasonOf(Judgement));
    Judgements.push_back(std::move(Judgement));
  }
  return Judgements;
}

} // namespace olivevalve
