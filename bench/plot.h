//===- plot.h - The bench as a picture --------------------------*- C++ -*-===//
//
// Cost against quality, and bad answers against time, as one SVG.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BENCH_PLOT_H
#define OLIVEVALVE_BENCH_PLOT_H

#include "bench/bench.h"

namespace olivevalve {

std::string plotSvg(const std::vector<choice_row> &Choice,
                    const std::vector<rollout_row> &Rollout);

} // namespace olivevalve

#endif // OLIVEVALVE_BENCH_PLOT_H
