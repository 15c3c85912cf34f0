//===- send_permit.cpp - May an upstream be sent a request now ------------===//

#include "gateway/send_permit.h"
#include "base/log.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

// Delay until a gateway that may send nothing to an upstream checks it again.
constexpr double NoShareRetrySeconds = 0.5;

constexpr std::array<std::string_view, 5> HoldReasonNames = {
    "none", "unavailable", "backoff", "warm-up", "limit"};

// By limit_change.
constexpr std::array<std::string_view, 4> LimitChangeMessages = {
    "", "upstream states a request limit",
    "upstream states another request limit",
    "upstream states no request limit any more"};

// Gateways that receive reports only from their own data hall share the bounds
// of the upstreams of that data hall only.
gateway_group groupFor(const gateway_state &State, const upstream &Upstream) {
  if (State.Gateways == 1)
    return {.Gateways = 1};
  bool Shares = State.Peers->receivesFromAll(State.Gateways) ||
                Upstream.Listed.DataHall == State.DataHall;
  return Shares && State.Gateways > 0 ? State.Peers->groupFor(Upstream.Key)
                                      : gateway_group();
}

double coldGap(const gateway_state &State, const routing_table &Routing,
               const upstream &Upstream, double Now) {
  const routed_service *Service = Routing.service(Upstream.Listed.Service);
  if (!Upstream.cold(Now) || !Service || Service->ColdRequestsPerSecond <= 0)
    return 0;
  if (Now < State.StartedAt + RestartDelaySeconds)
    return NeverSeconds;
  return shareGap(Service->ColdRequestsPerSecond, State.ColdBounds,
                  groupFor(State, Upstream));
}

double limitGap(const gateway_state &State, const upstream &Upstream) {
  auto Limit = Upstream.Limit.requestsPerSecond();
  if (!Limit)
    return 0;
  return std::min(
      shareGap(*Limit, State.LimitBounds, groupFor(State, Upstream)),
      probeGap(*Limit, State.LimitBounds, State.Gateways));
}

} // namespace

std::string_view nameOf(hold_reason Reason) {
  return HoldReasonNames[size_t(Reason)];
}

send_permit permitFor(const gateway_state &State, const routing_table &Routing,
                      const upstream &Upstream, double Now) {
  if (!Upstream.acceptsAfterBackoff())
    return {.Reason = hold_reason::Unavailable};
  double Cold = coldGap(State, Routing, Upstream, Now);
  double Limited = limitGap(State, Upstream);
  double Gap = std::max(Cold, Limited);
  double Backoff = Upstream.backoffUntil() - Now;
  double Wait = Gap == 0              ? 0
                : Gap == NeverSeconds ? NoShareRetrySeconds
                                      : Upstream.Pacer.nextAt(Gap) - Now;
  if (Wait <= 0 && Backoff <= 0)
    return {.GapSeconds = Gap};
  hold_reason Reason = Backoff >= Wait   ? hold_reason::Backoff
                       : Limited >= Cold ? hold_reason::Limit
                                         : hold_reason::WarmUp;
  return {
      .Reason = Reason, .Seconds = std::max(Wait, Backoff), .GapSeconds = Gap};
}

void reopening::add(const send_permit &Permit) {
  if (Permit.Seconds <= 0)
    return;
  Seconds = Seconds > 0 ? std::min(Seconds, Permit.Seconds) : Permit.Seconds;
  if (Permit.GapSeconds > 0)
    RequestsPerSecond += 1 / Permit.GapSeconds;
}

reopening reopeningOf(const gateway_state &State, const std::string &Service,
                      double Now) {
  reopening Found;
  for (const auto &Each : State.Upstreams.ofService(Service)) {
    send_permit Permit = permitFor(State, *State.Routing, *Each, Now);
    if (Permit.granted())
      return {};
    Found.add(Permit);
  }
  return Found;
}

void recordLimitChange(const gateway_state &State, upstream &Upstream,
                       limit_change Change, std::string_view Source,
                       std::string_view AttemptId, double Now) {
  if (Change == limit_change::None)
    return;
  double Gap = limitGap(State, Upstream);
  if (Change == limit_change::Began)
    Upstream.Pacer.begin(Now, Gap, State.Peers->groupFor(Upstream.Key).Phase);
  if (Upstream.Limit.report(Now))
    State.Peers->reportChange(Upstream);
  logLine(log_level::Info, LimitChangeMessages[size_t(Change)],
          {{"upstream", Upstream.Listed.Id},
           {"service", Upstream.Listed.Service},
           {"limit_per_s", Upstream.Limit.requestsPerSecond().value_or(-1)},
           {"own_gap_s", Gap < NeverSeconds ? Gap : -1},
           {"gateways", int64_t(State.Gateways)},
           {"known_from", Source},
           {"id", AttemptId}});
}

} // namespace olivevalve
