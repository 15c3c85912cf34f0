//===- rollout_driver.h - Advances roll-outs of services --------*- C++ -*-===//
//
// The leader's part in a roll-out: compares the answers that gateways have
// counted since the order, asks the service guard for a verdict and returns the
// next step. It keeps only the counts at the start of each roll-out; a new
// leader does without them.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_ROLLOUT_DRIVER_H
#define OLIVEVALVE_CONTROL_ROLLOUT_DRIVER_H

#include "control/gateway_table.h"
#include "ledger/rollouts.h"
#include <map>
#include <string>
#include <vector>

namespace olivevalve {

/// A roll-out in progress: what is known of it, and what follows.
struct rollout_judgement {
  rollout_input Facts;
  rollout_decision Decision;
  wire::rollout_step Step; ///< To the present stage if none is due.

  bool isDue() const { return Decision.Verdict != rollout_verdict::Stay; }
};

class rollout_driver {
public:
  explicit rollout_driver(exposure_bound Exposure = {}) : Exposure(Exposure) {}

  /// Judges the roll-outs in progress. \p Now is the steady clock; \p Wall is
  /// the wall clock, by which orders are timestamped.
  std::vector<rollout_judgement> judge(const rollout_store &Rollouts,
                                       const gateway_table &Gateways,
                                       double Now, double Wall);

private:
  /// State at the order of a roll-out.
  struct baseline {
    double BegunWall = 0;     ///< Wall clock at the order, which identifies it.
    double BegunAt = 0;       ///< The same moment by the steady clock.
    version_tally OldAtStart; ///< Answers of all other versions until then.
    version_tally NewAtStart; ///< Answers of the new version until then.
    /// The same by upstream: a version may be rolled out again.
    std::map<uint64_t, version_tally> NewByUpstreamAtStart;
  };
  baseline &baselineOf(const wire::rollout &Rollout,
                       const gateway_table &Gateways, double Now, double Wall);

  exposure_bound Exposure;
  std::map<std::string, baseline> Baselines; ///< By service.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_ROLLOUT_DRIVER_H
