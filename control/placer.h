//===- placer.h - Assigns versions to managed upstreams ---------*- C++ -*-===//
//
// Builds the input of policy/placement from the configuration and the nodes'
// renewals, and turns the result into a change of the configuration. Its only
// state is the smoothed demand, which a new leader measures again.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_PLACER_H
#define OLIVEVALVE_CONTROL_PLACER_H

#include "control/node_table.h"
#include "policy/placement.h"
#include <map>
#include <optional>

namespace olivevalve {

class placer {
public:
  explicit placer(size_t MaxConcurrentLoads)
      : MaxConcurrentLoads(MaxConcurrentLoads) {}

  /// The next change to commit, if any. The change names the index that it is
  /// based on, so that it fails if the placement has been changed meanwhile.
  std::optional<wire::change_set> next(const catalog &Config,
                                       const node_table &Nodes, double Now);

private:
  void updateDemand(const node_table &Nodes, double Now);
  placement_input makeInput(const catalog &Config, const node_table &Nodes,
                            double Now) const;

  size_t MaxConcurrentLoads;
  /// Requests running and queued by version, smoothed.
  std::map<version_name, double> Demand;
  double DemandUpdatedAt = 0; ///< 0: no demand was measured yet.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_PLACER_H
