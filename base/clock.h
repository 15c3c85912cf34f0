//===- clock.h - Clocks, random numbers and hex numbers ---------*- C++ -*-===//
//
// Leases are timed with the boot clock (CLOCK_BOOTTIME): it keeps running while
// a VM is suspended and, unlike the wall clock, never jumps.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_CLOCK_H
#define OLIVEVALVE_BASE_CLOCK_H

#include <cstdint>
#include <string>

namespace olivevalve {

/// Seconds of the boot clock, which never jumps and counts suspended time.
double steadySeconds();

/// Seconds since the Unix epoch. Can jump, so it is only for logs and for the
/// expiry of long-lived records.
double wallSeconds();

/// A random non-zero number from the kernel. A process draws one at its start,
/// which distinguishes it from earlier starts of the same node.
uint64_t randomIncarnation();

/// Formats \p Number as 16 lower-case hexadecimal digits.
std::string hexOf(uint64_t Number);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_CLOCK_H
