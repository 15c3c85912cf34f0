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
// Tokens to have beside those that requests under way may need, so that the
// first retry of a quiet service need not wait.
constexpr double SpareTokens = 1;
// Of many requests under way only some need a retry.
constexpr double NeededPart = 0.25;
// Lower bound on the bucket size, where the slack allows it at all gateways: a
// gateway with few requests can save the token for one retry.
constexpr double MinBucketSize = 1;
constexpr double BucketPart = 0.5;

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

bool retry_share::slackHoldsBuckets() const {
  return BucketPart * SavedSlackPart * SlackShare >= MinBucketSize;
}

double retry_share::savedTokens() const {
  return std::max(slackHoldsBuckets() ? MinBucketSize : 0, savedFromRatio());
}

// The tokens of requests under way fit even if no requests came before them. A
// bucket that cannot hold a whole token holds none: parts are of use in the
// pool only.
double retry_share::maxTokens() const {
  double Size =
      std::max(savedTokens(), Bounds.Ratio * RequestPart * double(Unsettled));
  return Size < 1 ? 0 : Size;
}

void retry_share::recordSettled() {
  Unsettled -= Unsettled > 0 ? 1 : 0;
  add(0);
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

// Where the slack is short, a gateway without requests holds no spare token.
double retry_share::tokensToHold() const {
  double UnderWay = double(Unsettled);
  double Spare = Requests > 0 || slackHoldsBuckets() ? SpareTokens : 0;
  return Spare + double(Waiting) +
         std::min(UnderWay, 1 + NeededPart * UnderWay);
}

uint64_t retry_share::aheadTokens() const {
  return uint64_t(std::ceil(std::max(0.0, tokensToHold() - tokens())));
}

retry_report retry_share::report(double Now) {
  advanceTo(Now);
  auto Surplus = uint64_t(std::max(0.0, tokens() - tokensToHold()));
  uint64_t Back = std::min(Held, Surplus);
  Held -= Back;
  Returned += double(Back);
  auto Whole = uint64_t(tokens());
  uint64_t Wanted = Waiting > Whole ? Waiting - Whole : 0;
  return {.Term = Term,
          .Received = Received,
          .Held = Held,
          .Returned = Returned,
          .Wanted = Wanted,
          .Ahead = aheadTokens() - std::min(aheadTokens(), Wanted),
          .Excess = std::max(0.0, std::min(Tokens, savedTokens()) -
                                      savedFromRatio())};
}

uint64_t retry_share::applyLoan(uint64_t NewTerm, uint64_t Total, double Now) {
  advanceTo(Now);
  if (NewTerm < Term)
    return 0; // An earlier leader, whose message was delayed.
  if (NewTerm > Term) {
    Term = NewTerm;
    Received = 0;
  }
  LentAt = Now;
  uint64_t Added = Total - std::min(Total, Received);
  Held += Added;
  Received += Added;
  return Added;
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
