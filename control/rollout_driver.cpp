//===- rollout_driver.cpp - Takes roll-outs of services onward ------------===//

#include "control/rollout_driver.h"
#include <algorithm>

namespace olivevalve {

namespace {

// An order older than this was given to another leader: what the new version
// has answered so far counts for it.
constexpr double FreshSeconds = 1;

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

rollout_driver::run &rollout_driver::runOf(const wire::rollout &Rollout,
                                           const gateway_table &Gateways,
                                           double Now, double Wall) {
  run &Run = Runs[Rollout.service()];
  if (Run.BegunWall == Rollout.begun_wall())
    return Run;
  const std::string &Service = Rollout.service();
  const std::string &Target = Rollout.target_version();
  // A clock that was set meanwhile must not stretch the roll-out.
  double Elapsed =
      std::clamp(Wall - Rollout.begun_wall(), 0.0, Rollout.duration_seconds());
  Run = {.BegunWall = Rollout.begun_wall(),
         .BegunAt = Now - Elapsed,
         .OldBefore = Gateways.answersOfOthers(Service, Target),
         .NewBefore = Elapsed < FreshSeconds
                          ? Gateways.answersOf(Service, Target)
                          : version_tally()};
  return Run;
}

std::vector<wire::rollout_step>
rollout_driver::steps(const rollout_book &Book, const gateway_table &Gateways,
                      double Now, double Wall) {
  std::vector<wire::rollout_step> Steps;
  for (const auto &[Service, Rollout] : Book.all()) {
    if (!isUnderWay(Rollout.stage()))
      continue;
    const std::string &Target = Rollout.target_version();
    run &Run = runOf(Rollout, Gateways, Now, Wall);
    bool Canary = Rollout.stage() == wire::CANARY;
    rollout_judgement Judgement = judgeRollout(
        {.Stand = Canary ? rollout_stand::Canary : rollout_stand::Shift,
         .ElapsedSeconds = Now - Run.BegunAt,
         .DurationSeconds = Rollout.duration_seconds(),
         .New = Gateways.answersOf(Service, Target) - Run.NewBefore,
         .Old = Gateways.answersOfOthers(Service, Target) - Run.OldBefore});
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
