//===- plot.h - The bench as a picture --------------------------*- C++ -*-===//
//
// Cost against quality, and bad answers against time, as one SVG.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_BENCH_PLOT_H
#define OLIVEVALVE_TESTS_BENCH_PLOT_H

#include "tests/bench/bench.h"

namespace olivevalve {

std::string plotSvg(const std::vector<choice_row> &Choice,
                    const std::vector<rollout_row> &Rollout);

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_BENCH_PLOT_H
