//===- connection_share.cpp - Share of an upstream's connections ----------===//

#include "policy/connection_share.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A gateway has at least this many, however many gateways there are.
constexpr uint32_t MinConnections = 4;
// Part of the limit that is not lent: several gateways may open connections
// within the time of a report.
constexpr uint32_t ReservedPart = 8;
// Part of the limit that may be used before idle connections are closed early.
constexpr double ShortFrom = 0.7;

uint32_t equalPart(const connection_use &Use) {
  return std::max(MinConnections, Use.Limit / std::max(1U, Use.Gateways));
}

/// The part of the limit that belongs to the gateways that report to each
/// other: with many gateways, those of one data hall.
double limitOfReporting(const connection_use &Use) {
  double Known = double(Use.ExpectedReports + 1);
  return double(Use.Limit) *
         std::min(1.0, Known / double(std::max(1U, Use.Gateways)));
}

} // namespace

uint32_t connectionShare(const connection_use &Use) {
  uint32_t Equal = equalPart(Use);
  if (Use.ExpectedReports == 0)
    return Equal;
  size_t Silent =
      Use.ExpectedReports - std::min(Use.Reports, Use.ExpectedReports);
  double Lent = limitOfReporting(Use) * (1 - 1.0 / ReservedPart) -
                double(Use.Others) - double(Silent) * Equal;
  return std::max(Equal, Lent > 0 ? uint32_t(Lent) : 0);
}

bool isShortOfConnections(const connection_use &Use, uint32_t Own) {
  return Use.ExpectedReports > 0 &&
         double(Own) + double(Use.Others) > ShortFrom * limitOfReporting(Use);
}

} // namespace olivevalve
