//===- response_times.cpp - Times by which versions are compared ----------===//

#include "gateway/response_times.h"
#include <algorithm>
#include <cmath>

namespace olivevalve {

namespace {

// Minimum weight of a new response in the usual pace, so that it follows the
// load.
constexpr double MinStep = 0.05;
// Minimum number of responses before a class has a usual pace.
constexpr uint32_t MinResponses = 8;
// Bounds the memory for routes and models that no longer exist.
constexpr size_t MaxClasses = 10'000;
// Lower bound, as events may arrive at the same time.
constexpr double MinSecondsPerUnit = 1e-6;

} // namespace

void response_timing::begin(bool HasEvents, double Now) {
  *this = {};
  Events = HasEvents;
  BeganAt = HasEvents ? 0 : Now;
}

void response_timing::receive(uint64_t NewBytes, double Now) {
  if (!Events || NewBytes == 0)
    return;
  if (BeganAt == 0) {
    BeganAt = Now;
    FirstBytes = NewBytes;
    return;
  }
  Bytes += NewBytes;
  LastAt = Now;
}

void response_timing::receiveWhole(double Now) {
  if (!Events)
    LastAt = Now;
}

std::optional<double> response_timing::secondsPerUnit() const {
  if (BeganAt == 0 || LastAt == 0)
    return std::nullopt;
  return (LastAt - BeganAt) / (Events ? double(Bytes) : 1);
}

std::optional<double> response_timing::leastSecondsPerUnit(double Now) const {
  if (BeganAt == 0)
    return std::nullopt;
  return (Now - BeganAt) / (Events ? double(Bytes + FirstBytes) : 1);
}

void usual_paces::record(uint64_t Class, double SecondsPerUnit) {
  if (ByClass.size() >= MaxClasses && !ByClass.contains(Class))
    ByClass.clear();
  auto [It, New] = ByClass.try_emplace(Class, 1, MinStep);
  It->second.record(std::log(std::max(SecondsPerUnit, MinSecondsPerUnit)));
}

std::optional<double> usual_paces::ratio(uint64_t Class,
                                         double SecondsPerUnit) const {
  auto It = ByClass.find(Class);
  if (It == ByClass.end() || It->second.observations() < MinResponses)
    return std::nullopt;
  return SecondsPerUnit / std::exp(It->second.logMean());
}

} // namespace olivevalve
