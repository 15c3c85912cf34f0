//===- rollouts.cpp - Roll-outs of services' software versions ------------===//

#include "ledger/rollouts.h"
#include "base/error.h"

namespace olivevalve {

namespace {

// Operators repeat an order whose answer was lost for a few seconds; the same
// words much later are a new order.
constexpr double ResendSeconds = 10;

} // namespace

absl::Status rollout_book::begin(const wire::rollout &Order, double Wall) {
  auto It = Rollouts.find(Order.service());
  if (It != Rollouts.end()) {
    const wire::rollout &Present = It->second;
    bool Resend = isUnderWay(Present.stage()) ||
                  Wall < Present.begun_wall() + ResendSeconds;
    if (Present.target_version() == Order.target_version() && Resend)
      return absl::OkStatus();
    if (isUnderWay(Present.stage()))
      return makeError(error_kind::Conflict,
                       "a roll-out to " + Present.target_version() +
                           " is under way; wait for its end");
  }
  wire::rollout Begun = Order;
  Begun.set_stage(wire::CANARY);
  Begun.set_begun_wall(Wall);
  Rollouts[Order.service()] = std::move(Begun);
  ++Revision;
  return absl::OkStatus();
}

void rollout_book::step(const wire::rollout_step &Step) {
  auto It = Rollouts.find(Step.service());
  if (It == Rollouts.end() ||
      It->second.target_version() != Step.target_version() ||
      It->second.stage() != Step.from())
    return;
  It->second.set_stage(Step.to());
  It->second.set_reason(Step.reason());
  ++Revision;
}

const wire::rollout *rollout_book::find(std::string_view Service) const {
  auto It = Rollouts.find(Service);
  return It == Rollouts.end() ? nullptr : &It->second;
}

void rollout_book::save(wire::state_image &Image) const {
  Image.set_rollouts_revision(Revision);
  for (const auto &[Service, Rollout] : Rollouts)
    *Image.add_rollouts() = Rollout;
}

void rollout_book::load(const wire::state_image &Image) {
  Revision = Image.rollouts_revision();
  for (const wire::rollout &Rollout : Image.rollouts())
    Rollouts[Rollout.service()] = Rollout;
}

} // namespace olivevalve
