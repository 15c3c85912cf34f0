//===- send_permit.h - May an upstream be sent a request now ----*- C++ -*-===//
//
// The one place that decides whether this gateway may send an upstream a
// request now, for every path that leads to one.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_SEND_PERMIT_H
#define OLIVEVALVE_GATEWAY_SEND_PERMIT_H

#include "gateway/gateway_state.h"
#include <string_view>

namespace olivevalve {

/// Why an upstream may not be sent a request now.
enum class hold_reason : uint8_t {
  None,
  Unavailable, ///< Gone, leaving or evacuated: not at a known time.
  Backoff,     ///< It asked for no requests until then.
  WarmUp,      ///< It is cold, and this gateway's share is used up.
  Limit        ///< It states a limit, and this gateway's share is used up.
};

/// The reason as it appears in logs and metrics.
std::string_view nameOf(hold_reason Reason);

/// Whether an upstream may be sent a request.
struct send_permit {
  hold_reason Reason = hold_reason::None;
  /// Seconds until it may be sent one; 0 if it may now, or if that is unknown.
  double Seconds = 0;
  /// Between the requests that this gateway may send there, seconds; 0: they
  /// are not spaced out.
  double GapSeconds = 0;

  bool granted() const { return Reason == hold_reason::None; }
};

/// Whether this gateway may send \p Upstream a request now. Of several reasons
/// against it, the one that lasts longest.
send_permit permitFor(const gateway_state &State, const routing_table &Routing,
                      const upstream &Upstream, double Now);

/// When upstreams that take no request now take one again.
struct reopening {
  /// Until the first of them does; 0: none is known to.
  double Seconds = 0;
  /// Requests per second that this gateway may then send them; 0: any number.
  double RequestsPerSecond = 0;

  void add(const send_permit &Permit);
};

/// For all upstreams of a service; empty if one of them takes requests now.
reopening reopeningOf(const gateway_state &State, const std::string &Service,
                      double Now);

/// Records what this gateway got to know of the limit that \p Upstream states.
/// \p Source: from where; \p AttemptId: of the response that showed it, if it
/// was an own one.
void recordLimitChange(const gateway_state &State, upstream &Upstream,
                       limit_change Change, std::string_view Source,
                       std::string_view AttemptId, double Now);

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SEND_PERMIT_H
