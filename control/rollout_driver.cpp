//===- rollout_driver.cpp - Advances roll-outs of services ----------------===//

#include "control/rollout_driver.h"
#include <algorithm>

namespace olivevalve {

namespace {

// An older order was given to a previous leader. The counts at the order are
// then not available, so all answers of the new version so far count for the
// roll-out.
constexpr double MaxFreshOrderSeconds = 1;

wire::rollout_stage stageAfter(rollout_verdict Verdict) {
  switch (Verdict) {
  case rollout_verdict::Shift:
    return wire::SHIFT;
  case rollout_verdict::Complete:
    return wire::COMPLETED;
  default:
    return wire::REVERTED;
  }
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
  return Baseline;
}

std::vector<wire::rollout_step>
rollout_driver::steps(const rollout_store &Rollouts,
                      const gateway_table &Gateways, double Now, double Wall) {
  std::vector<wire::rollout_step> Steps;
  for (const auto &[Service, Rollout] : Rollouts.all()) {
    if (!isInProgress(Rollout.stage()))
      continue;
    const std::string &Target = Rollout.target_version();
    baseline &Baseline = baselineOf(Rollout, Gateways, Now, Wall);
    bool Canary = Rollout.stage() == wire::CANARY;
    rollout_decision Judgement = judgeRollout(
        {.Phase = Canary ? rollout_phase::Canary : rollout_phase::Shift,
         .ElapsedSeconds = Now - Baseline.BegunAt,
         .DurationSeconds = Rollout.duration_seconds(),
         .New = Gateways.answersOf(Service, Target) - Baseline.NewAtStart,
         .Old =
             Gateways.answersOfOthers(Service, Target) - Baseline.OldAtStart});
    if (Judgement.Verdict == rollout_verdict::Stay)
      continue;
    wire::rollout_step Step;
    Step.set_service(Service);
    Step.set_target_version(Target);
    Step.set_from(Rollout.stage());
    Step.set_to(stageAfter(Judgement.Verdict));
    Step.set_reason(std::string(Judgement.Reason));
    Steps.push_back(std::move(Step));
  }
  return Steps;
}

} // namespace olivevalve
