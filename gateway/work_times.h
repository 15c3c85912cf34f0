//===- work_times.h - Times of work from which paces are learned *- C++ -*-===//
//
// Passes the times of requests at an upstream on to upstream_paces, with what
// the upstream told of that moment, and logs paces that were learned.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_WORK_TIMES_H
#define OLIVEVALVE_GATEWAY_WORK_TIMES_H

#include "gateway/gateway_state.h"

namespace olivevalve {

/// Learns from a time seen at \p Upstream; fills in the upstream, its service
/// and the slowdown.
void recordWorkTime(gateway_state &State, const upstream &Upstream,
                    work_time Seen);

/// How long work took at \p Upstream when it last responded, relative to its
/// usual time at an upstream of usual speed; 1 where paces are not learned.
double latestTimeFactor(const gateway_state &State, const upstream &Upstream);

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_WORK_TIMES_H
