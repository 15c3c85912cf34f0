//===- work_times.cpp - Times of work from which paces are learned --------===//

#include "gateway/work_times.h"
#include "base/clock.h"
#include "base/log.h"

namespace olivevalve {

void recordWorkTime(gateway_state &State, const upstream &Upstream,
                    work_time Seen) {
  if (!State.Paces.learns(Upstream.Listed.Service))
    return;
  double Now = steadySeconds();
  Seen.Upstream = Upstream.Key;
  Seen.Service = Upstream.Listed.Service;
  // A stream of events lasts longer than what the upstream tells of a moment.
  Seen.Slowdown = Seen.Work == paced_work::Events ? Upstream.Slowdown.value()
                                                  : Upstream.Slowdown.latest();
  State.Paces.record(Seen, Now);
  State.Metrics->count("pace_observations", nameOf(Seen.Work));
  if (auto Pace = State.Paces.paceToLog(Upstream.Key, Now))
    logLine(log_level::Info, "pace of an upstream learned",
            {{"upstream", Upstream.Listed.Id},
             {"pace", *Pace},
             {"uncertainty", State.Paces.uncertaintyOf(Upstream.Key, Now)}});
}

double latestTimeFactor(const gateway_state &State, const upstream &Upstream) {
  return State.Paces.learns(Upstream.Listed.Service)
             ? Upstream.Slowdown.latest() *
                   State.Paces.paceOf(Upstream.Key, steadySeconds())
             : 1;
}

} // namespace olivevalve
