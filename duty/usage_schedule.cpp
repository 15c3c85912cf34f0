//===- usage_schedule.cpp - When usage is summed up and reported ----------===//

#include "duty/usage_schedule.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Part of the delay for which a report waits for gateways that are paused, cut
// off or have died. The rest is for a platform that is slow or refuses calls.
constexpr double WaitPart = 0.5;

} // namespace

uint64_t usage_schedule::windowAt(double Wall) const {
  return uint64_t(std::max(0.0, std::floor(Wall / WindowSeconds)));
}

double usage_schedule::endOf(uint64_t Window) const {
  return double(Window + 1) * WindowSeconds;
}

std::optional<uint64_t> usage_schedule::windowToFix(uint64_t NextWindow,
                                                    bool Complete,
                                                    size_t MaxOpen,
                                                    double Wall) const {
  uint64_t Current = windowAt(Wall);
  uint64_t Window =
      std::max(NextWindow, Current - std::min<uint64_t>(Current, MaxOpen));
  if (Window >= Current)
    return std::nullopt;
  bool WaitedEnough = Wall >= endOf(Window) + WaitPart * DelaySeconds;
  return Complete || WaitedEnough ? std::optional(Window) : std::nullopt;
}

const wire::usage_window *usage_schedule::reportToSend(
    const std::map<uint64_t, wire::usage_window> &Reports, double Wall) const {
  for (const auto &[Window, Report] : Reports)
    if (Wall < endOf(Window) + DelaySeconds)
      return &Report;
  return Reports.empty() ? nullptr : &Reports.begin()->second;
}

} // namespace olivevalve
