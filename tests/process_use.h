//===- process_use.h - Memory and descriptors of a process ------*- C++ -*-===//

#ifndef OLIVEVALVE_TESTS_PROCESS_USE_H
#define OLIVEVALVE_TESTS_PROCESS_USE_H

#include <cstddef>
#include <sys/types.h>

namespace olivevalve {

/// The most resident memory that the process ever had, in units of 10^6 bytes;
/// 0 if this build is instrumented, which takes a multiple.
double peakMb(pid_t Process);
/// The same of its present resident memory.
double residentMb(pid_t Process);
/// Number of open descriptors of the process.
size_t openDescriptors(pid_t Process);

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_PROCESS_USE_H
