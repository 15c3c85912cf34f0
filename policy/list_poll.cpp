//===- list_poll.cpp - When gateways poll the platform's list -------------===//

#include "policy/list_poll.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Calls per second of all gateways together. Control makes some five for lists
// of hundreds of upstreams, and the smallest platform takes 40.
constexpr double CallsPerSecond = 30;
// The platform's pages hold 50 to 200 entries.
constexpr double EntriesPerPage = 100;
// A gateway without control must not serve for ever by the list that it holds.
constexpr double MaxSpreadSeconds = 60;

} // namespace

double listPollSpread(uint32_t Gateways, size_t Upstreams) {
  double Pages = 1 + double(Upstreams) / EntriesPerPage;
  return std::min(double(Gateways) * Pages / CallsPerSecond, MaxSpreadSeconds);
}

} // namespace olivevalve
