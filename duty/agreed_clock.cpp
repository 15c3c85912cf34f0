//===- agreed_clock.cpp - Wall clock that VMs agree on --------------------===//

#include "duty/agreed_clock.h"
#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace olivevalve {

namespace {

// A process that was not heard for this long may be gone.
constexpr double ReadingLifetimeSeconds = 3;
// With 1,000 clocks the median takes some 10 us, too long for each message.
constexpr double MedianLifetimeSeconds = 0.25;

} // namespace

void agreed_clock::record(uint64_t Source, double WallSeconds, double Now) {
  if (std::isfinite(WallSeconds))
    Readings[Source] = {.Offset = WallSeconds - Now, .At = Now};
}

double agreed_clock::wallSeconds(double OwnWallSeconds, double Now) {
  if (Now < ComputedAt + MedianLifetimeSeconds)
    return Now + Offset;
  ComputedAt = Now;
  std::erase_if(Readings, [Now](const auto &Each) {
    return Each.second.At + ReadingLifetimeSeconds < Now;
  });
  std::vector<double> Offsets = {OwnWallSeconds - Now};
  for (const auto &[Source, Reading] : Readings)
    Offsets.push_back(Reading.Offset);
  auto Median = Offsets.begin() + std::ptrdiff_t(Offsets.size() / 2);
  std::nth_element(Offsets.begin(), Median, Offsets.end());
  Offset = *Median;
  return Now + Offset;
}

} // namespace olivevalve
