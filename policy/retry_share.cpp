//===- retry_share.cpp - One gateway's share of the retry bound -----------===//

#include "policy/retry_share.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace olivevalve {

namespace {

// The part of the ratio that is obtained with each request; the remaining part
// may be saved from the window before. A higher value allows more retries
// during lasting failures, a lower one more retries after a sudden failure.
constexpr double RequestPart = 0.87;
// The part of the slack that is obtained with time. The pool has its own part;
// the remaining part covers the case that gateways divide the slack by too low
// a number of gateways, because the leader does not receive reports from all.
constexpr double TimePart = 0.15;
// Without a message of the leader for this long, lent tokens are dropped: the
// pool counts them as lent only twice as long.
constexpr double LoanSeconds = 5;
// Tokens to have beside those that requests under way may need.
constexpr double SpareTokens = 1;
// Of many requests under way only some need a retry.
constexpr double NeededPart = 0.25;
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

double retry_share::savedFromRatio() const {
  return Bounds.Ratio * (1 - RequestPart) * double(Requests);
}

double retry_share::maxTokens() const {
  // The tokens of one request fit even if no requests came before it.
  double FromOneRequest = Bounds.Ratio * RequestPart;
  return std::max({MinBucketSize, FromOneRequest, savedFromRatio()});
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
  add(FromTime);
  if (Now > LentAt + LoanSeconds)
    Held = 0;
}

// What the bucket cannot hold goes to the pool.
void retry_share::add(double NewTokens) {
  double Sum = Tokens + NewTokens;
  Tokens = std::min(Sum, maxTokens());
  Returned += Sum - Tokens;
}

void retry_share::recordRequest(double Now) {
  advanceTo(Now);
  ++Ring[size_t(Current) % Slices];
  ++Requests;
  ++Unsettled;
  add(Bounds.Ratio * RequestPart);
}

double retry_share::tokensNeeded() const {
  double UnderWay = double(Unsettled);
  return SpareTokens + std::min(UnderWay, 1 + NeededPart * UnderWay);
}

uint64_t retry_share::wantedTokens() const {
  return uint64_t(std::ceil(std::max(0.0, tokensNeeded() - tokens())));
}

retry_report retry_share::report(double Now) {
  advanceTo(Now);
  auto Surplus = uint64_t(std::max(0.0, tokens() - tokensNeeded()));
  uint64_t Back = std::min(Held, Surplus);
  Held -= Back;
  Returned += double(Back);
  return {.Term = Term,
          .Received = Received,
          .Held = Held,
          .Returned = Returned,
          .Wanted = wantedTokens(),
          .Excess = std::max(0.0, Tokens - savedFromRatio())};
}

void retry_share::applyLoan(uint64_t NewTerm, uint64_t Total, double Now) {
  advanceTo(Now);
  if (NewTerm < Term)
    return; // An earlier leader, whose message was delayed.
  if (NewTerm > Term) {
    Term = NewTerm;
    Received = 0;
  }
  LentAt = Now;
  Held += Total - std::min(Total, Received);
  Received = std::max(Received, Total);
}

bool retry_share::hasToken(double Now) {
  advanceTo(Now);
  return Tokens >= 1 || Held > 0;
}

bool retry_share::take(double Now) {
  if (!hasToken(Now))
    return false;
  if (Held > 0)
    --Held;
  else
    Tokens -= 1;
  return true;
}

void retry_share::returnToken(double Now) {
  advanceTo(Now);
  add(1);
}

} // namespace olivevalve
