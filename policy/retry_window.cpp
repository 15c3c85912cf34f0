//===- retry_window.cpp - Retries bounded within a sliding window ---------===//

#include "policy/retry_window.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A little less than the shared ratio: retries are counted over one slice more
// than the window, requests too.
constexpr double PartOfRatio = 0.94;
// Of the slack. The rest is for gateways that have started anew: they have
// forgotten what they sent and count twice.
constexpr double PartOfSlack = 0.6;
// Each gateway may retry once however many share the slack.
constexpr double LeastSlack = 1.5;

} // namespace

retry_window::retry_window(retry_window_bounds NewBounds, uint32_t Gateways) {
  setBounds(NewBounds, Gateways);
}

void retry_window::setBounds(retry_window_bounds NewBounds, uint32_t Gateways) {
  Bounds = NewBounds;
  SlackPart = std::max(LeastSlack, Bounds.Slack * PartOfSlack /
                                       double(std::max(1U, Gateways)));
}

void retry_window::moveTo(double Now) {
  auto Number = int64_t(Now / (Bounds.WindowSeconds / double(Slices)));
  if (Number <= Current)
    return;
  if (Number - Current > int64_t(Ring.size())) {
    Ring = {};
    Sum = {};
    Current = Number;
  }
  while (Current < Number) {
    slice &Oldest = Ring[size_t(++Current) % Ring.size()];
    Sum.Requests -= Oldest.Requests;
    Sum.Retries -= Oldest.Retries;
    Oldest = {};
  }
}

void retry_window::requestSeen(double Now) {
  moveTo(Now);
  ++Ring[size_t(Current) % Ring.size()].Requests;
  ++Sum.Requests;
}

double retry_window::room(double Now) {
  moveTo(Now);
  return Bounds.Ratio * PartOfRatio * double(Sum.Requests) + SlackPart -
         double(Sum.Retries);
}

bool retry_window::take(double Now) {
  if (room(Now) < 1)
    return false;
  ++Ring[size_t(Current) % Ring.size()].Retries;
  ++Sum.Retries;
  return true;
}

} // namespace olivevalve
