//===- warming.cpp - How many requests a cold upstream gets ---------------===//

#include "policy/warming.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Of the bound, what the gateways of one view plan: as many more may hold
// another view.
constexpr double PlannedPart = 0.5;
// Requests that are sent late on a new connection come closer together.
constexpr double GapMargin = 1.1;

size_t plannedRequests(double RequestsPerSecond, cold_bounds Bounds) {
  double Most = RequestsPerSecond * Bounds.Ratio + Bounds.Slack;
  double Planned = std::min(RequestsPerSecond, PlannedPart * Most);
  if (!std::isfinite(Planned) || Most < 1)
    return 0;
  return size_t(std::max(1.0, std::floor(Planned)));
}

} // namespace

double warmingShare(double RequestsPerSecond, cold_bounds Bounds,
                    warming_circle Circle) {
  if (Circle.Gateways == 0)
    return 0;
  size_t Planned = plannedRequests(RequestsPerSecond, Bounds);
  size_t OfEach = Planned / Circle.Gateways;
  bool GetsOneMore = Circle.Rank < Planned % Circle.Gateways;
  return double(OfEach + GetsOneMore);
}

void warming_pace::sent(double Now, double Share) {
  NextAt = Now + GapMargin / Share;
}

} // namespace olivevalve
