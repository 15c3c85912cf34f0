//===- placer.h - Assigns versions to managed upstreams ---------*- C++ -*-===//
//
// Makes the question for policy/placement from configuration and renewals, and
// a change of configuration from its answer. Holds nothing but smoothed demand,
// which the next leader learns anew.
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
  explicit placer(size_t LoadsAtOnce) : LoadsAtOnce(LoadsAtOnce) {}

  /// The change to commit now, if any; nothing else may change the placement
  /// meanwhile, which the change itself checks.
  std::optional<wire::change_set> next(const catalog &Config,
                                       const node_table &Nodes, double Now);

private:
  void learnDemand(const node_table &Nodes, double Now);
  placement_question question(const catalog &Config, const node_table &Nodes,
                              double Now) const;

  size_t LoadsAtOnce;
  std::map<version_name, double> Demand; ///< Requests in flight, smoothed.
  double LearnedAt = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_PLACER_H
