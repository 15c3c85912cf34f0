//===- gateway_state.h - State shared by all requests -----------*- C++ -*-===//

#ifndef OLIVEVALVE_GATEWAY_GATEWAY_STATE_H
#define OLIVEVALVE_GATEWAY_GATEWAY_STATE_H

#include "base/metrics.h"
#include "catalog/routing.h"
#include "duty/usage_meter.h"
#include "gateway/peer_work.h"
#include "gateway/response_times.h"
#include "gateway/session_pins.h"
#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"
#include "memory/prefix_keepers.h"
#include "pace/upstream_paces.h"
#include "policy/admission.h"
#include "policy/model_choice.h"
#include "policy/prefill_estimator.h"
#include "policy/prefix_cache_model.h"
#include "policy/retry_share.h"
#include "policy/shared_rate.h"
#include "quarantine/crash_watch.h"
#include "shares/account_shares.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace olivevalve {

/// The identity of \p Upstream in the form that crash_watch takes.
inline watched_upstream watchedUpstream(const upstream &Upstream) {
  return {.Key = Upstream.Key,
          .Name = Upstream.Listed.Id,
          .Address = Upstream.Listed.Address};
}

/// Bounds gateway_state::HeldResponseBytes. Two responses of the largest size.
/// Responses of some 100 MB in all fill a VM of 110 MB.
constexpr size_t MaxHeldResponseBytes = 32 << 20;

/// State that a gateway_task owns and all of its requests read and update.
struct gateway_state {
  struct ev_loop *Loop = nullptr;
  metrics *Metrics = nullptr;
  std::string DataHall;
  double StartedAt = 0; ///< Start of this process, seconds of the steady clock.
  /// Routing configuration, updated in place; null until one is received.
  std::shared_ptr<const routing_table> Routing;
  upstream_table Upstreams;
  crash_reports *Reports = nullptr;
  crash_watch *Crashes = nullptr;
  peer_work *Peers = nullptr; ///< Work reported by the other gateways.
  software_versions Versions;
  /// Paces of the stable versions' responses.
  usual_paces UsualPaces;
  session_pins Pins;
  usage_meter Usage{0, 0, 0}; ///< Replaced if the settings ask for usage.
  /// Number of gateways that share the upstreams, this one included; 0 until
  /// control has reported it.
  uint32_t Gateways = 0;
  retry_window_bounds RetryBounds; ///< For all gateways together.
  shared_bound ColdBounds;         ///< Of cold upstreams.
  shared_bound LimitBounds;        ///< Of upstreams that state a limit.
  /// This gateway's shares of the retry bound, by service.
  std::map<std::string, retry_share> Retries;
  /// Bytes of responses that are held in memory, as the caller gets them only
  /// when they are complete.
  size_t HeldResponseBytes = 0;
  /// Gives up the largest of these responses while all of them together are
  /// larger than MaxHeldResponseBytes.
  std::function<void()> LimitHeldResponses;
  /// Asks the leader for retry tokens, soon after the call.
  std::function<void()> AskForRetries;
  /// Times at which refused callers return, by service.
  std::map<std::string, return_schedule> Returns;
  /// Utility per second of upstream time, by service.
  std::map<std::string, utility_rate> UtilityRates;
  /// Upstream time of requests to the largest model, by service.
  std::map<std::string, processing_time_stats> ProcessingTimes;
  /// Slot times and response time targets, by service.
  std::map<std::string, service_stats> ServicePaces;
  account_shares Shares; ///< Replaced if the settings ask for shares.
  /// Prefill times, learned from the first tokens of responses.
  prefill_estimator PrefillEstimator;
  upstream_paces Paces;
  /// Prompt blocks that each upstream is expected to have cached.
  prefix_cache_model PrefixCaches;
  /// Shared prefixes are assigned to keepers by their rates.
  bool AssignsKeepers = false;
  prefix_rates PrefixRates;
  /// Names of upstreams' headers that this version does not read.
  std::set<std::string> UnreadHeaders;
  /// Numbers of figures in loads of upstreams that are not known.
  std::set<size_t> UnknownLoads;
  std::mt19937_64 Random{1};
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_GATEWAY_STATE_H
