//===- warming.h - How many requests a cold upstream gets -------*- C++ -*-===//
//
// An upstream that has just started bears few requests a second from all
// gateways together, and falls over when far more come. An empty one looks best
// to each gateway at the same moment, so each keeps to a share of its own.
// Pure.
//
// The shares must add up to no more than the bound although gateways hear late
// who there is: all that hold one view plan half of the bound together, so two
// views at once keep it. A gateway spaces its requests, and one that has just
// started waits, as it has forgotten what it sent.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_WARMING_H
#define OLIVEVALVE_POLICY_WARMING_H

#include <cstddef>

namespace olivevalve {

/// What all gateways together may send to a cold upstream within any second.
struct cold_bounds {
  double Ratio = 1; ///< Of the requests a second that it bears.
  double Slack = 0; ///< Beside the ratio.
};

/// The gateways that may send to one cold upstream, as one of them sees them.
struct warming_circle {
  size_t Gateways = 0; ///< With this one; 0: not known.
  size_t Rank = 0;     ///< Of this one; another for each upstream.
};

/// Requests a second that this gateway may send to an upstream that bears
/// \p RequestsPerSecond while it is cold; 0: none.
double warmingShare(double RequestsPerSecond, cold_bounds Bounds,
                    warming_circle Circle);

/// Keeps one gateway's requests to one cold upstream apart.
class warming_pace {
public:
  bool allows(double Now) const { return Now >= NextAt; }
  /// When it allows the next one, by the steady clock.
  double nextAt() const { return NextAt; }
  /// \p Share: requests a second, over 0.
  void sent(double Now, double Share);
  void waitUntil(double Then) { NextAt = Then; }

private:
  double NextAt = 0;
};

/// What a gateway sent before it started may count for so many seconds.
constexpr double ForgottenSeconds = 1.1;

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_WARMING_H
