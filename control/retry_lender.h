//===- retry_lender.h - Lends retry tokens to gateways ----------*- C++ -*-===//
//
// The pools of retry tokens that the leader keeps, one for each service. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_RETRY_LENDER_H
#define OLIVEVALVE_CONTROL_RETRY_LENDER_H

#include "policy/retry_pool.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>

namespace olivevalve {

class retry_lender {
public:
  explicit retry_lender(retry_window_bounds Bounds) : Bounds(Bounds) {}

  /// Handles what a gateway tells the leader of \p Term, which leads since
  /// \p LeaderSince. Times are steady-clock seconds.
  wire::retry_grant handle(const wire::retry_ask &Ask, uint64_t Term,
                           double LeaderSince, double Now);

private:
  retry_window_bounds Bounds;
  uint64_t Term = 0;
  std::map<std::string, retry_pool> Pools; ///< By service.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_RETRY_LENDER_H
