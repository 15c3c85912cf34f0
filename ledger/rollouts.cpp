//===- rollouts.cpp - Roll-outs of service versions -----------------------===//

#include "ledger/rollouts.h"
#include "base/error.h"

namespace olivevalve {

namespace {

// Time for which an order with the same target version is taken as a resend,
// also after the roll-out has ended. Operators' tools retry for a few seconds
// when the response is lost; an equal order later starts a new roll-out.
constexpr double ResendWindowSeconds = 10;

} // namespace

absl::Status rollout_store::begin(const wire::rollout &Order,
                                  double WallSeconds) {
  auto It = Rollouts.find(Order.service());
  if (It != Rollouts.end()) {
    const wire::rollout &Existing = It->second;
    bool Resend = isInProgress(Existing.stage()) ||
                  WallSeconds < Existing.begun_wall() + ResendWindowSeconds;
    if (Existing.target_version() == Order.target_version() && Resend)
      return absl::OkStatus();
    if (isInProgress(Existing.stage()))
      return makeError(error_kind::Conflict,
                       "a roll-out to " + Existing.target_version() +
                           " is in progress; wait until it has ended");
  }
  wire::rollout Begun = Order;
  Begun.set_stage(wire::CANARY);
  Begun.set_begun_wall(WallSeconds);
  Rollouts[Order.service()] = std::move(Begun);
  ++Revision;
  return absl::OkStatus();
}

void rollout_store::step(const wire::rollout_step &Step) {
  auto It = Rollouts.find(Step.service());
  if (It == Rollouts.end() ||
      It->second.target_version() != Step.target_version() ||
      It->second.stage() != Step.from())
    return;
  It->second.set_stage(Step.to());
  It->second.set_reason(Step.reason());
  if (It->second.former_version().empty())
    It->second.set_former_version(Step.former_version());
  ++Revision;
}

const wire::rollout *rollout_store::find(std::string_view Service) const {
  auto It = Rollouts.find(Service);
  return It == Rollouts.end() ? nullptr : &It->second;
}

std::string formerVersion(const wire::rollout *Previous,
                          const std::map<std::string, size_t> &Listed,
                          std::string_view Target) {
  bool WasCompleted = Previous && Previous->stage() == wire::COMPLETED;
  std::string_view Known = !Previous      ? std::string_view()
                           : WasCompleted ? Previous->target_version()
                                          : Previous->former_version();
  std::string_view Reverted = Previous && !WasCompleted
                                  ? Previous->target_version()
                                  : std::string_view();
  bool IsKnown = !Known.empty() && Known != Target;
  if (IsKnown && Listed.contains(std::string(Known)))
    return std::string(Known);
  std::string_view Most = IsKnown ? Known : std::string_view();
  size_t Upstreams = 0;
  for (const auto &[Version, Count] : Listed) {
    if (Version == Target || Version == Reverted || Count <= Upstreams)
      continue;
    Most = Version;
    Upstreams = Count;
  }
  return std::string(Most);
}

void rollout_store::save(wire::state_image &Image) const {
  Image.set_rollouts_revision(Revision);
  for (const auto &[Service, Rollout] : Rollouts)
    *Image.add_rollouts() = Rollout;
}

void rollout_store::load(const wire::state_image &Image) {
  Revision = Image.rollouts_revision();
  for (const wire::rollout &Rollout : Image.rollouts())
    Rollouts[Rollout.service()] = Rollout;
}

} // namespace olivevalve
