//===- usual_time.h - How long work of one kind usually takes ---*- C++ -*-===//
//
// The times of one kind of work at an upstream of usual pace, in logarithms,
// and how far single times scatter around their mean. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_PACE_USUAL_TIME_H
#define OLIVEVALVE_PACE_USUAL_TIME_H

#include <cstdint>

namespace olivevalve {

/// Mean and variance of the logarithms of observed times, where longer times
/// may count less.
class usual_time {
public:
  /// \p LongerWeight: of a time above the mean, relative to one below it.
  /// \p MinStep: the least share of the mean that a new observation makes up.
  explicit usual_time(double LongerWeight = 1, double MinStep = 0.01)
      : LongerWeight(LongerWeight), MinStep(MinStep) {}

  void record(double LogTime);
  /// False before the first observation.
  bool known() const { return Observations > 0; }
  uint32_t observations() const { return Observations; }
  double logMean() const { return Mean; }
  /// The inverse of the variance of one observation: what it tells about the
  /// pace of an upstream.
  double precision() const;
  /// The difference of \p LogTime from the mean, without what is not plausible.
  double residual(double LogTime) const;

private:
  double LongerWeight;
  double MinStep;
  double Mean = 0;
  double Variance = 0;
  uint32_t Observations = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_PACE_USUAL_TIME_H
