//===- gateway_state.h - What all requests of a gateway share ---*- C++ -*-===//

#ifndef OLIVEVALVE_GATEWAY_GATEWAY_STATE_H
#define OLIVEVALVE_GATEWAY_GATEWAY_STATE_H

#include "base/metrics.h"
#include "catalog/routing.h"
#include "gateway/peer_work.h"
#include "gateway/session_pins.h"
#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"
#include "policy/admission.h"
#include "policy/model_choice.h"
#include "policy/prompt_memory.h"
#include "policy/prompt_pace.h"
#include "policy/retry_share.h"
#include "policy/warming.h"
#include "quarantine/crash_watch.h"
#include <map>
#include <memory>
#include <random>
#include <string>

namespace olivevalve {

inline watched_upstream watched(const upstream &Upstream) {
  return {.Place = Upstream.Place,
          .Name = Upstream.Listed.Id,
          .Address = Upstream.Listed.Address};
}

struct gateway_state {
  struct ev_loop *Loop = nullptr;
  metrics *Metrics = nullptr;
  std::string DataHall;
  double StartedAt = 0; ///< This process, by the steady clock.
  std::shared_ptr<const routing_table> Routing; ///< Null: not known yet.
                                                ///< Changes in place.
  upstream_table Upstreams;
  crash_reports *Reports = nullptr;
  crash_watch *Crashes = nullptr;
  peer_work *Peers = nullptr; ///< What the other gateways have under way.
  software_versions Versions;
  session_pins Pins;
  /// That share the upstreams, this one included; 0: nobody has told.
  uint32_t Gateways = 0;
  retry_window_bounds RetryBounds;            ///< Of all gateways.
  cold_bounds ColdBounds;                     ///< Of all gateways.
  std::map<std::string, retry_share> Retries; ///< By service.
  std::map<std::string, earnings> Earnings;   ///< By service.
  std::map<std::string, work_sizes> Works;    ///< By service.
  std::map<std::string, service_pace> Paces;  ///< By service.
  prompt_pace Pace;
  prompt_memory Memory; ///< Of all upstreams.
  std::mt19937_64 Random{1};
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_GATEWAY_STATE_H
