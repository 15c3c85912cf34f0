//===- selection.h - The upstream for one attempt ---------------*- C++ -*-===//
//
// Puts together what a gateway knows of the upstreams of a service, and of the
// work of a request, for the decision in policy/.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_SELECTION_H
#define OLIVEVALVE_GATEWAY_SELECTION_H

#include "gateway/gateway_state.h"
#include "platform/headers.h"
#include "policy/upstream_choice.h"
#include <set>

namespace olivevalve {

/// The request that an upstream is wanted for.
struct selection_request {
  const std::string &Service;
  const route_spec &Route;
  const platform::caller_facts &Facts;
  const std::set<std::string> &Tried; ///< Incarnations that are left out.
  size_t ModelPlace = 0; ///< Of the model to ask, in the route's sizes.
  double Now = 0;
};

/// The work of a prompt for the model at \p ModelPlace.
struct prompt_work {
  prompt_view Prompt;
  std::vector<prompt_piece> Pieces; ///< For this model, in their order.
  double WholeSeconds = 0;          ///< With the tokens that are made.
};

/// The same at every gateway for all requests of a session.
uint64_t versionDraw(const std::string &Service,
                     const platform::caller_facts &Facts);

/// The name of the model at \p ModelPlace, or that which the caller named.
std::string_view modelAt(const route_spec &Route,
                         const platform::caller_facts &Facts,
                         size_t ModelPlace);

/// Its cost for 1,000 tokens made; 0: not told.
double costOf(const routing_table &Routing, const route_spec &Route,
              const std::string &Service, size_t ModelPlace);

/// Its cost beside that of the route's smallest.
double modelCost(const routing_table &Routing, const route_spec &Route,
                 const std::string &Service, size_t ModelPlace);

prompt_work promptWork(const gateway_state &State, const routing_table &Routing,
                       const selection_request &Request);

/// Of an upstream's time, to read what it does not keep of the prompt.
double readSeconds(const gateway_state &State, const routing_table &Routing,
                   const selection_request &Request, const prompt_work &Work,
                   const upstream &Upstream);

/// Tokens that the answer is expected to have.
uint32_t likelyTokens(const platform::model_request &Model);

/// The upstream for an attempt, with what the service's upstreams have to do.
struct selection {
  std::shared_ptr<upstream> Upstream; ///< Null: none may have it.
  double PromptSeconds = 0;  ///< Of its time, for prompts that wait there.
  double WaitSeconds = 0;    ///< For a slot, at one of the less full upstreams.
  double BacklogSeconds = 0; ///< Of prompts, at an upstream on average.
  /// Null for that all who may have it are cold: one may have it after so many
  /// seconds. 0: none will soon.
  double ColdSeconds = 0;
};

/// What a request would meet if it were sent now.
struct outlook {
  double BacklogSeconds = 0;    ///< Of prompts, at an upstream on average.
  double UpstreamSeconds = 0;   ///< Of an upstream's time, with what it makes.
  double FirstTokenSeconds = 0; ///< Until the first token; 1e9: no upstream.
  double WaitSeconds = 0;       ///< For a slot, as in selection.
};

outlook outlookFor(gateway_state &State, const routing_table &Routing,
                   const selection_request &Request);

/// Requests a second that this gateway may send to a cold upstream; nothing:
/// no limit is known.
std::optional<double> coldShare(const gateway_state &State,
                                const routing_table &Routing,
                                const upstream &Upstream, double Now);

/// The upstream for the request's next attempt.
selection select(gateway_state &State, const routing_table &Routing,
                 const selection_request &Request);

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SELECTION_H
