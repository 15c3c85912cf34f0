//===- rollouts.h - Roll-outs of services' software versions ----*- C++ -*-===//
//
// Which service is being moved to which version and how far it has come. Part
// of the replicated state: no clocks here.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_ROLLOUTS_H
#define OLIVEVALVE_LEDGER_ROLLOUTS_H

#include "absl/status/status.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>
#include <string_view>

namespace olivevalve {

/// True while a roll-out still decides which version gets new requests.
constexpr bool isUnderWay(wire::rollout_stage Stage) {
  return Stage == wire::CANARY || Stage == wire::SHIFT;
}

class rollout_book {
public:
  /// Takes in an order. A resend changes nothing; an
  /// order for another version while one is under way is a Conflict.
  absl::Status begin(const wire::rollout &Order, double Wall);
  /// Moves a roll-out on, if it still stands where the step starts from.
  void step(const wire::rollout_step &Step);
  const wire::rollout *find(std::string_view Service) const;
  const std::map<std::string, wire::rollout, std::less<>> &all() const {
    return Rollouts;
  }
  /// Grows with each change; never the same for two states.
  uint64_t revision() const { return Revision; }

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  std::map<std::string, wire::rollout, std::less<>> Rollouts;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_ROLLOUTS_H
