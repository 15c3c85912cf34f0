//===- caller_limits.h - What callers may send ------------------*- C++ -*-===//

#ifndef OLIVEVALVE_BASE_CALLER_LIMITS_H
#define OLIVEVALVE_BASE_CALLER_LIMITS_H

#include <cstddef>

namespace olivevalve {

/// What callers may send and how long they may take.
struct caller_limits {
  size_t HeaderBytes = 16 << 10;
  size_t BodyBytes = 4 << 20;
  double HeaderSeconds = 3; ///< From the first byte of a head to its last.
  double IdleSeconds = 15;  ///< Between requests, or without progress.
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_CALLER_LIMITS_H
