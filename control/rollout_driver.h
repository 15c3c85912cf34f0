//===- rollout_driver.h - Takes roll-outs of services onward ----*- C++ -*-===//
//
// The leader's part in a roll-out: compares what gateways counted with the
// counts at the order, asks the guard, and proposes the next step. What it
// keeps is only the counts at the start; a new leader does without them.
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

class rollout_driver {
public:
  /// Steps that are due. \p Now is steady, \p Wall the clock that the orders
  /// were stamped with.
  std::vector<wire::rollout_step> steps(const rollout_book &Book,
                                        const gateway_table &Gateways,
                                        double Now, double Wall);

private:
  struct run {
    double BegunWall = 0; ///< Names the order.
    double BegunAt = 0;   ///< Steady; never steps with the wall clock.
    version_tally OldBefore;
    version_tally NewBefore;
  };
  run &runOf(const wire::rollout &Rollout, const gateway_table &Gateways,
             double Now, double Wall);

  std::map<std::string, run> Runs; ///< By service.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_ROLLOUT_DRIVER_H
