//===- retry_share.cpp - One gateway's share of the retry bound -----------===//

#include "policy/retry_share.h"
#include <algorithm>
#include <utility>

namespace olivevalve {

namespace {

// Of the ratio, what comes with each request; the rest may be saved. More of it
// serves lasting trouble, less a sudden one.
constexpr double EarnedPart = 0.87;
// Of the slack, what comes with time, and what may be saved. The rest is for
// gateways that were told too few: the leader does not hear of all.
constexpr double TimedPart = 0.3;
constexpr double SavedPart = 0.3;
// A gateway may retry once however many share the slack.
constexpr double LeastSaved = 1;

} // namespace

retry_share::retry_share(retry_window_bounds NewBounds, uint32_t Gateways) {
  setBounds(NewBounds, Gateways);
}

void retry_share::setBounds(retry_window_bounds NewBounds, uint32_t Gateways) {
  Bounds = NewBounds;
  SlackPart = Gateways == 0 ? 0 : Bounds.Slack / double(Gateways);
  Tokens = std::min(Tokens, mostSaved());
}

double retry_share::mostSaved() const {
  double OfRatio = Bounds.Ratio * (1 - EarnedPart) * double(Requests);
  // What one request earns it may use, however few came before it.
  double OfOne = Bounds.Ratio * EarnedPart;
  return std::max({LeastSaved, OfOne, SlackPart * SavedPart + OfRatio});
}

void retry_share::moveTo(double Now) {
  if (MovedAt < 0)
    MovedAt = Now;
  double Passed = std::max(0.0, Now - std::exchange(MovedAt, Now));
  auto Number = int64_t(Now / (Bounds.WindowSeconds / double(Slices)));
  int64_t Steps = std::min(Number - Current, int64_t(Slices));
  Current = std::max(Current, Number);
  for (int64_t Step = 0; Step < Steps; ++Step)
    Requests -= std::exchange(Ring[size_t(Current - Step) % Slices], 0);
  double Came = SlackPart * TimedPart * Passed / Bounds.WindowSeconds;
  Tokens = std::min(Tokens + Came, mostSaved());
}

void retry_share::requestSeen(double Now) {
  moveTo(Now);
  ++Ring[size_t(Current) % Slices];
  ++Requests;
  Tokens = std::min(Tokens + Bounds.Ratio * EarnedPart, mostSaved());
}

bool retry_share::left(double Now) {
  moveTo(Now);
  return Tokens >= 1;
}

bool retry_share::take(double Now) {
  if (!left(Now))
    return false;
  Tokens -= 1;
  return true;
}

void retry_share::giveBack(double Now) {
  moveTo(Now);
  Tokens = std::min(Tokens + 1, mostSaved());
}

} // namespace olivevalve
