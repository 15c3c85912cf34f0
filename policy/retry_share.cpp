//===- retry_share.cpp - One gateway's share of the retry bound -----------===//

#include "policy/retry_share.h"
#include <algorithm>
#include <utility>

namespace olivevalve {

namespace {

// The part of the ratio that is obtained with each request; the remaining part
// may be saved from the window before. A higher value allows more retries
// during lasting failures, a lower one more retries after a sudden failure.
constexpr double RequestPart = 0.87;
// The parts of the slack that are obtained with time and that may be saved. The
// remaining part covers the case that gateways divide the slack by too low a
// number of gateways, because the leader does not receive reports from all.
constexpr double TimePart = 0.3;
constexpr double SavedPart = 0.3;
// Lower bound on the bucket size: however many gateways share the slack, each
// can save the token for one retry.
constexpr double MinBucketSize = 1;

} // namespace

retry_share::retry_share(retry_window_bounds NewBounds, uint32_t Gateways) {
  setBounds(NewBounds, Gateways);
}

void retry_share::setBounds(retry_window_bounds NewBounds, uint32_t Gateways) {
  Bounds = NewBounds;
  SlackShare = Gateways == 0 ? 0 : Bounds.Slack / double(Gateways);
  Tokens = std::min(Tokens, maxTokens());
}

double retry_share::maxTokens() const {
  double FromRatio = Bounds.Ratio * (1 - RequestPart) * double(Requests);
  // The tokens of one request fit even if no requests came before it.
  double FromOneRequest = Bounds.Ratio * RequestPart;
  return std::max(
      {MinBucketSize, FromOneRequest, SlackShare * SavedPart + FromRatio});
}

void retry_share::advanceTo(double Now) {
  if (AdvancedAt < 0)
    AdvancedAt = Now;
  double Elapsed = std::max(0.0, Now - std::exchange(AdvancedAt, Now));
  auto Slice = int64_t(Now / (Bounds.WindowSeconds / double(Slices)));
  int64_t Steps = std::min(Slice - Current, int64_t(Slices));
  Current = std::max(Current, Slice);
  for (int64_t Step = 0; Step < Steps; ++Step)
    Requests -= std::exchange(Ring[size_t(Current - Step) % Slices], 0);
  double FromTime = SlackShare * TimePart * Elapsed / Bounds.WindowSeconds;
  Tokens = std::min(Tokens + FromTime, maxTokens());
}

void retry_share::recordRequest(double Now) {
  advanceTo(Now);
  ++Ring[size_t(Current) % Slices];
  ++Requests;
  Tokens = std::min(Tokens + Bounds.Ratio * RequestPart, maxTokens());
}

bool retry_share::hasToken(double Now) {
  advanceTo(Now);
  return Tokens >= 1;
}

bool retry_share::take(double Now) {
  if (!hasToken(Now))
    return false;
  Tokens -= 1;
  return true;
}

void retry_share::returnToken(double Now) {
  advanceTo(Now);
  Tokens = std::min(Tokens + 1, maxTokens());
}

} // namespace olivevalve
