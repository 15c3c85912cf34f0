//===- agreed_clock.h - Wall clock that VMs agree on ------------*- C++ -*-===//
//
// The wall clock of a VM may jump. The median of the clocks of all VMs is wrong
// only if those of half of them are. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DUTY_AGREED_CLOCK_H
#define OLIVEVALVE_DUTY_AGREED_CLOCK_H

#include <cstdint>
#include <unordered_map>

namespace olivevalve {

/// Offsets of the wall clocks of other processes to the steady clock of this
/// one. All times are in seconds.
class agreed_clock {
public:
  /// Records that the clock of \p Source, a process's incarnation, shows \p
  /// WallSeconds.
  void record(uint64_t Source, double WallSeconds, double Now);
  /// Unix time by the median of all clocks heard lately and \p OwnWallSeconds.
  double wallSeconds(double OwnWallSeconds, double Now);

private:
  struct reading {
    double Offset = 0;
    double At = 0;
  };

  std::unordered_map<uint64_t, reading> Readings;
  double Offset = 0; ///< The median as of ComputedAt.
  double ComputedAt = -1e9;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DUTY_AGREED_CLOCK_H
