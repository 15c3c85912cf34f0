//===- clock.h - Clocks, random numbers and identities ----------*- C++ -*-===//
//
// Leases count on the boot clock: it runs on while a VM is frozen and never
// steps with the wall clock.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_CLOCK_H
#define OLIVEVALVE_BASE_CLOCK_H

#include <cstdint>
#include <string>

namespace olivevalve {

/// Seconds on a clock that never steps and counts frozen time.
double steadySeconds();

/// Seconds since the epoch; for logs and expiry of long-lived records only.
double wallSeconds();

/// A random non-zero number from the system; names one start of a process.
uint64_t randomIncarnation();

/// Sixteen hexadecimal digits.
std::string hexOf(uint64_t Number);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_CLOCK_H
