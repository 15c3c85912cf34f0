//===- caller_limits.h - Limits for caller connections ----------*- C++ -*-===//

#ifndef OLIVEVALVE_BASE_CALLER_LIMITS_H
#define OLIVEVALVE_BASE_CALLER_LIMITS_H

#include <cstddef>

namespace olivevalve {

/// Size limits and timeouts for connections of callers.
struct caller_limits {
  size_t HeaderBytes = 16 << 10; ///< Maximum size of a request head.
  size_t BodyBytes = 4 << 20;    ///< Maximum size of a request body.
  /// Timeout for receiving a request head, from its first byte to its last.
  double HeaderSeconds = 3;
  /// Timeout for a connection between requests, for the next bytes of a request
  /// body, and for a caller that accepts no bytes of a response.
  double IdleSeconds = 15;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_CALLER_LIMITS_H
