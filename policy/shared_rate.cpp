//===- shared_rate.cpp - Bounds that all gateways share -------------------===//

#include "policy/shared_rate.h"
#include <cmath>

namespace olivevalve {

namespace {

// Lists of gateways that may be in use at the same time.
constexpr double ListsInUse = 2;
// Requests are spaced out further by this factor: when a request is delayed by
// the setup of a new connection, the next one arrives closer behind it.
constexpr double GapMargin = 1.1;

double requestsAllowed(double RequestsPerSecond, const shared_bound &Bound) {
  return RequestsPerSecond * Bound.WindowSeconds * Bound.Ratio + Bound.Slack;
}

/// Requests per window that gateways with the same list send together.
double requestsPlanned(double RequestsPerSecond, const shared_bound &Bound) {
  double Allowed = requestsAllowed(RequestsPerSecond, Bound);
  double Planned = std::min(RequestsPerSecond * Bound.WindowSeconds,
                            (1 - Bound.ProbePart) / ListsInUse * Allowed);
  return std::isfinite(Planned) && Allowed >= 1 ? Planned : 0;
}

/// \p Share: requests per window.
double gapFor(double Share, const shared_bound &Bound) {
  return Share > 0 ? GapMargin * Bound.WindowSeconds / Share : NeverSeconds;
}

} // namespace

double shareGap(double RequestsPerSecond, const shared_bound &Bound,
                const gateway_group &Group) {
  if (Group.Gateways == 0)
    return NeverSeconds;
  double Planned = requestsPlanned(RequestsPerSecond, Bound);
  if (Planned < 1)
    return gapFor(Group.Rank == 0 ? Planned : 0, Bound);
  auto Gateways = double(Group.Gateways);
  double PerGateway = std::floor(std::floor(Planned) / Gateways);
  bool GetsOneMore =
      double(Group.Rank) < std::floor(Planned) - PerGateway * Gateways;
  return gapFor(PerGateway + GetsOneMore, Bound);
}

double probeGap(double RequestsPerSecond, const shared_bound &Bound,
                size_t Gateways) {
  if (Gateways == 0)
    return NeverSeconds;
  double Probes = Bound.ProbePart * requestsAllowed(RequestsPerSecond, Bound);
  return gapFor(Probes / double(Gateways), Bound);
}

} // namespace olivevalve
