//===- block_shares.cpp - How frequent blocks of prompts are --------------===//

#include "policy/block_shares.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// A request counts for about this time: long enough to see rare blocks, short
// enough to follow the load.
constexpr double MemorySeconds = 20;
// Requests that are assumed before any is seen, and those of them that contain
// the block.
constexpr double PriorRequests = 10;
constexpr double PriorWithBlock = 1;

} // namespace

double block_shares::decaying_count::at(double Now) const {
  return Value * std::exp(-std::max(0.0, Now - At) / MemorySeconds);
}

void block_shares::decaying_count::add(double Now) {
  Value = at(Now) + 1;
  At = Now;
}

void block_shares::record(uint64_t Service,
                          const std::vector<short_digest> &Blocks, double Now) {
  if (Blocks.empty())
    return;
  Totals[Service].add(Now);
  for (const short_digest &Block : Blocks) {
    entry &Entry = Counts[indexOf(Block)];
    if (Entry.Block != Block)
      Entry = {.Block = Block};
    Entry.Count.add(Now);
  }
}

double block_shares::share(uint64_t Service, const short_digest &Block,
                           double Now) const {
  auto Total = Totals.find(Service);
  const entry &Entry = Counts[indexOf(Block)];
  double With = Entry.Block == Block ? Entry.Count.at(Now) : 0;
  double All = Total == Totals.end() ? 0 : Total->second.at(Now);
  return std::min(1.0, (With + PriorWithBlock) / (All + PriorRequests));
}

} // namespace olivevalve
