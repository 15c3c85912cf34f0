//===- usage_collector.h - Sums of what gateways counted --------*- C++ -*-===//
//
// The leader's sums of the requests that gateways have counted, by window of
// the wall clock and client account. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DUTY_USAGE_COLLECTOR_H
#define OLIVEVALVE_DUTY_USAGE_COLLECTOR_H

#include "wire/wire.pb.h"
#include <map>
#include <string>
#include <unordered_map>

namespace olivevalve {

class usage_collector {
public:
  /// Drops everything: gateways report anew to each leader.
  void reset() { *this = {}; }
  /// Records the totals of one start of a gateway. \p Node is the name that its
  /// later starts have too. Those of windows before \p NextWindow are ignored.
  /// Returns whether all that the gateway has counted is recorded: not if it
  /// left out what the leader of another term than \p Term has recorded.
  bool record(uint64_t Incarnation, const std::string &Node,
              const wire::usage_update &Update, uint64_t Term,
              uint64_t NextWindow, double Now);
  /// Drops the windows before \p NextWindow, and gateways that have not
  /// reported for a while. What these have counted stays.
  void forget(uint64_t NextWindow, double Now);
  /// True if the counts of \p Window by all gateways that report are recorded;
  /// false if none reports.
  bool complete(uint64_t Window) const;
  /// Sum of the window over all gateways, by account.
  wire::usage_window total(uint64_t Window) const;
  /// Number of gateways that report.
  size_t reporters() const { return Reporters.size(); }

private:
  struct reporter {
    std::string Node;
    uint64_t CompleteBefore = 0;
    double LastAt = 0; ///< Steady-clock seconds.
  };
  using totals = std::map<std::string, uint64_t>; ///< By account.

  std::unordered_map<uint64_t, reporter> Reporters; ///< By incarnation.
  /// By window and incarnation.
  std::map<uint64_t, std::unordered_map<uint64_t, totals>> Windows;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DUTY_USAGE_COLLECTOR_H
