//===- selection.h - Selects the upstream for an attempt --------*- C++ -*-===//
//
// Collects the state of a service's upstreams and the work of a request, and
// passes both to the selection functions in policy/.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_SELECTION_H
#define OLIVEVALVE_GATEWAY_SELECTION_H

#include "gateway/send_permit.h"
#include "memory/prefix_keepers.h"
#include "platform/headers.h"
#include "policy/upstream_choice.h"
#include <set>

namespace olivevalve {

/// A request that needs an upstream for its next attempt.
struct selection_request {
  const std::string &Service;
  const route_spec &Route;
  const platform::caller_facts &Facts;
  /// Incarnation ids of upstreams that were tried and are not selected again.
  const std::set<std::string> &Tried;
  /// Index of the model in route_spec::Sizes; past the end: the model that the
  /// caller named.
  size_t ModelIndex = 0;
  /// Seconds of the steady clock.
  double Now = 0;
  /// As in prompt_view.
  double TargetSecondsLeft = 0;
};

/// Work of a prompt for the model at selection_request::ModelIndex.
struct prompt_work {
  prompt_view Prompt;
  /// Prompt blocks in prompt order, keyed for this model; empty if the caller
  /// described none that can be used.
  std::vector<prompt_block> Blocks;
  double TotalSeconds = 0; ///< Upstream time for prefill and output, seconds.
};

/// Hash of the session id, or of the attempt id without a session. It is the
/// same at all gateways, so they all assign a session to the same software
/// version.
uint64_t sessionHash(const std::string &Service,
                     const platform::caller_facts &Facts);

/// Share of the new sessions of \p Service that a canary gets, by the upstreams
/// that the service has beside the version that is being rolled out.
double canaryShareOf(const gateway_state &State, const std::string &Service);

/// Name of the model at \p ModelIndex, or of the model that the caller named if
/// the index is past the end; empty if the request is for no model.
std::string_view modelAt(const route_spec &Route,
                         const platform::caller_facts &Facts,
                         size_t ModelIndex);

/// Cost per 1,000 generated tokens of the model at \p ModelIndex; 0: not
/// configured.
double costPerThousandTokens(const routing_table &Routing,
                             const route_spec &Route,
                             const std::string &Service, size_t ModelIndex);

/// Cost of that model relative to the route's smallest model; 1 if either cost
/// is not configured.
double relativeCost(const routing_table &Routing, const route_spec &Route,
                    const std::string &Service, size_t ModelIndex);

/// Key of the longest prefix of the blocks that other prompts may share; 0:
/// there is none. The last block is the suffix, which no other prompt shares.
inline uint64_t sharedPrefixKey(std::span<const prompt_block> Blocks) {
  return Blocks.size() > 1 ? Blocks[Blocks.size() - 2].Key : 0;
}

/// Estimates the work of the request's prompt; all zero if it is for no model.
prompt_work promptWork(const gateway_state &State, const routing_table &Routing,
                       const selection_request &Request);

/// Seconds of \p Upstream's time to prefill the prompt blocks that it is not
/// expected to have cached.
double prefillSeconds(const gateway_state &State, const routing_table &Routing,
                      const selection_request &Request, const prompt_work &Work,
                      const upstream &Upstream);

/// Expected number of output tokens: the caller's estimate, or else half of its
/// limit.
uint32_t expectedOutputTokens(const platform::model_request &Model);

/// The upstream selected for an attempt, and the load of the service's
/// upstreams.
struct selection {
  /// Null: no upstream may take the request now.
  std::shared_ptr<upstream> Upstream;
  double PrefillSeconds = 0; ///< Upstream seconds of prefill work queued there.
  /// Expected seconds until a slot is free at one of the less loaded upstreams.
  double WaitSeconds = 0;
  double BacklogSeconds = 0; ///< Mean prefill work per upstream, seconds.
  /// How the shared prefix is found there; none: the prompt has none.
  std::optional<prefix_reuse> Reuse;
  /// How long work takes at the upstream now, relative to its usual time at an
  /// upstream of usual speed; 1 where paces are not learned.
  double TimeFactor = 1;
  /// If no upstream was selected because this gateway may send no more to those
  /// that could take the request: when it may again.
  reopening Held;
};

/// Expected waiting and upstream time of a request if it were sent now.
struct request_estimate {
  double BacklogSeconds = 0; ///< Mean prefill work per upstream, seconds.
  /// Upstream time for prefill and output, seconds.
  double UpstreamSeconds = 0;
  /// Until the first token; 1e9: no upstream may take the request.
  double FirstTokenSeconds = 0;
  double WaitSeconds = 0; ///< As in selection.
};

/// Estimates waiting and upstream time of \p Request without sending it.
request_estimate estimateRequest(gateway_state &State,
                                 const routing_table &Routing,
                                 const selection_request &Request);

/// The upstreams of the request's service that may take requests, and their
/// load.
service_room roomFor(const gateway_state &State,
                     const selection_request &Request);

/// Selects the upstream for the next attempt of \p Request. Upstreams with the
/// software version that the request is assigned to are preferred.
selection select(gateway_state &State, const routing_table &Routing,
                 const selection_request &Request);

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SELECTION_H
