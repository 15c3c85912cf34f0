//===- rollouts.h - Roll-outs of service versions ---------------*- C++ -*-===//
//
// For each service, the version it is rolled out to and the stage of the
// roll-out. Part of the replicated state, so nothing here reads a clock.
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

/// True until a roll-out has completed or was reverted.
constexpr bool isInProgress(wire::rollout_stage Stage) {
  return Stage == wire::CANARY || Stage == wire::HOLD || Stage == wire::SHIFT;
}

/// The version that serves before a roll-out to \p Target. \p Previous: the
/// last roll-out of the service; null: none. \p Listed: the number of listed
/// upstreams by version; empty: not known. The result of the last roll-out is
/// taken if it is still listed, else the other version with the most upstreams;
/// empty: not known.
std::string formerVersion(const wire::rollout *Previous,
                          const std::map<std::string, size_t> &Listed,
                          std::string_view Target);

/// The newest roll-out of each service.
class rollout_store {
public:
  /// Starts a roll-out at \p WallSeconds, in seconds since the epoch. A resent
  /// order changes nothing. Conflict: a roll-out of the service to another
  /// version is in progress.
  absl::Status begin(const wire::rollout &Order, double WallSeconds);
  /// Moves a roll-out to the next stage. A step for another version, or from
  /// another stage than the present one, changes nothing.
  void step(const wire::rollout_step &Step);
  /// Null: the service never had a roll-out.
  const wire::rollout *find(std::string_view Service) const;
  const std::map<std::string, wire::rollout, std::less<>> &all() const {
    return Rollouts;
  }
  /// Incremented by each change, so that it identifies a state.
  uint64_t revision() const { return Revision; }

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  std::map<std::string, wire::rollout, std::less<>> Rollouts;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_ROLLOUTS_H
