//===- plot.h - Benchmark results as SVG ------------------------*- C++ -*-===//
//
// Draws quality over cost and bad answers over requests as one SVG document.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BENCH_PLOT_H
#define OLIVEVALVE_BENCH_PLOT_H

#include "bench/bench.h"

namespace olivevalve {

/// Returns an SVG document with two panels for each kind of row.
std::string plotSvg(const std::vector<choice_row> &Choice,
                    const std::vector<rollout_row> &Rollout);

} // namespace olivevalve

#endif // OLIVEVALVE_BENCH_PLOT_H
