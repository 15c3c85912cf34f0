//===- admission.cpp - Admission control for overloaded services ----------===//

#include "policy/admission.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Weight of the latest response in the mean slot time. About the last 50
// responses count, which a gateway under high load sends in two seconds.
constexpr double SlotTimeWeight = 0.02;
// Expected waits for a slot, as fractions of the target latency: below the
// first no request of the lowest priority is refused, above the second all are.
// Both are well below 1, because load reports are late.
constexpr double MinRefusedWait = 0.1;
constexpr double MaxAcceptedWait = 0.4;
// Each higher priority may wait longer by this fraction of the target latency.
// It is small compared with the range above, so that no priority starves.
constexpr double WaitPerPriority = 0.05;
constexpr uint32_t LowestPriority = 2;
// The quantile of the upstreams' waits that stands for the service.
constexpr double WaitQuantile = 0.25;
// The largest fraction of a caller's remaining time that is sent as
// Retry-After: callers ignore longer ones.
constexpr double MaxRetryAfterShare = 1.0 / 3;
// The Retry-After is spread over the range from this fraction of the largest
// value to the largest value.
constexpr double MinRetryAfterShare = 0.5;
// Callers that return at the same end of a backoff are spread over this
// fraction of the time until then, and over this time.
constexpr double ReturnSpread = 0.25;
constexpr double ReturnSpreadSeconds = 0.3;

} // namespace

void service_stats::recordRequest(double TargetSeconds) {
  if (ShortestTarget == 0 || TargetSeconds < ShortestTarget)
    ShortestTarget = TargetSeconds;
}

void service_stats::recordResponse(double Seconds) {
  SlotSeconds += (SlotSeconds == 0 ? 1 : SlotTimeWeight) *
                 (std::max(0.0, Seconds) - SlotSeconds);
}

// Uses a low quantile of the upstreams' waits. The minimum would be too
// optimistic: the upstream that looks least loaded is often the one with the
// least accurate load, and all gateways send there. The mean would be too
// pessimistic, because long queues at some upstreams say nothing about the
// others.
double expectedSlotWait(const std::vector<upstream_view> &Upstreams,
                        double SlotSeconds) {
  std::vector<double> Waits;
  Waits.reserve(Upstreams.size());
  for (const upstream_view &Each : Upstreams) {
    double Slots = std::max(1.0, Each.Slots);
    double QueuedAhead = std::max(0.0, Each.Load + 1 - Slots);
    if (!Each.Suspect)
      Waits.push_back(QueuedAhead / Slots * SlotSeconds * Each.Pace);
  }
  if (Waits.empty())
    return 0;
  auto Quantile =
      Waits.begin() + ptrdiff_t(double(Waits.size()) * WaitQuantile);
  std::nth_element(Waits.begin(), Quantile, Waits.end());
  return *Quantile;
}

// A probability instead of a fixed limit: many gateways have the same slightly
// old estimate of the wait, and with a limit all of them would alternate
// between refusing and accepting all requests.
double refusalProbability(double WaitSeconds, double TargetSeconds,
                          uint32_t Priority) {
  if (TargetSeconds <= 0)
    return 0;
  double Allowance =
      WaitPerPriority * (LowestPriority - std::min(Priority, LowestPriority));
  double RelativeWait = WaitSeconds / TargetSeconds - Allowance;
  return std::clamp((RelativeWait - MinRefusedWait) /
                        (MaxAcceptedWait - MinRefusedWait),
                    0.0, 1.0);
}

// The value is large, because a traffic spike lasts longer than the requests
// queued in it and most callers retry only once. It is randomized, so that
// callers do not retry at the same moment.
double return_schedule::secondsUntilTurn(const return_request &Request,
                                         double Now, std::mt19937_64 &Random) {
  double Soonest = Request.SoonestSeconds;
  if (Request.TurnsPerSecond <= 0)
    return std::uniform_real_distribution<double>(
        Soonest, Soonest * (1 + ReturnSpread) + ReturnSpreadSeconds)(Random);
  double Gap = 1 / Request.TurnsPerSecond;
  double TurnAt = std::max(Now + Soonest, LastTurnAt + Gap);
  double Latest = std::max(Soonest, Request.LeftSeconds * MaxRetryAfterShare);
  if (TurnAt > Now + Latest)
    return std::uniform_real_distribution<double>(Soonest, Latest)(Random);
  LastTurnAt = TurnAt;
  double Spread = std::min(Gap, ReturnSpreadSeconds);
  return TurnAt - Now +
         std::uniform_real_distribution<double>(0, Spread)(Random);
}

double retryAfterSeconds(double LeftSeconds, std::mt19937_64 &Random) {
  double Max = std::max(0.0, LeftSeconds) * MaxRetryAfterShare;
  double Min = Max * MinRetryAfterShare;
  return std::uniform_real_distribution<double>(Min, Max)(Random);
}

} // namespace olivevalve
