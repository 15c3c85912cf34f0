//===- slowdown.h - How long work takes at an upstream ----------*- C++ -*-===//
//
// Upstreams may share their machines with others, and tell with each response
// how long work takes there at that moment. The figure changes many times a
// second, but part of it lasts: the estimate is the mean of the last seconds.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_SLOWDOWN_H
#define OLIVEVALVE_POLICY_SLOWDOWN_H

namespace olivevalve {

/// Times are steady-clock seconds.
class slowdown_estimate {
public:
  /// Records that work took \p Slowdown times as long as usual.
  void record(double Slowdown, double Now);
  /// How long work is expected to take, relative to its usual time; 1 if
  /// nothing was recorded.
  double value() const;
  /// True if a value was ever recorded.
  bool known() const { return Weight > 0; }
  /// The value that was recorded last; 1 if nothing was.
  double latest() const { return Latest; }

private:
  double Sum = 0; ///< Of the recorded values, discounted by age.
  double Weight = 0;
  double RecordedAt = 0;
  double Latest = 1;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_SLOWDOWN_H
