//===- retry_share.h - One gateway's share of the retry bound ---*- C++ -*-===//
//
// All gateways share one bound on the number of retries in any time window of a
// given length, without exchanging a message for each request. Pure.
//
// The bound must hold although gateways restart and lose what they counted, use
// a number of gateways that is out of date, and take over each other's callers.
// So the bound does not depend on counts that a restart loses: a gateway needs
// a token for each retry, obtains tokens with its requests and with time, and
// has none after a restart. The number of retries in a window is at most the
// number of tokens that all gateways had saved when it began plus the number
// that they obtained during the window:
//
//   saved     <=  part of the slack + part of the ratio of the requests in the
//                 previous window
//   obtained  <=  another part of the slack + the other part of the ratio of
//   the
//                 requests in this window
//
// The part of the slack that may be saved is in the leader's pool and in tokens
// that it lends to gateways, see retry_pool.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_RETRY_SHARE_H
#define OLIVEVALVE_POLICY_RETRY_SHARE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace olivevalve {

/// The bound on the retries of all gateways together: in any window at most
/// Ratio times the number of requests, plus Slack.
struct retry_window_bounds {
  double Ratio = 0.2;
  double Slack = 20;
  double WindowSeconds = 10;
};

/// The part of the slack that may be saved, at gateways and in the pool.
inline constexpr double SavedSlackPart = 0.45;

/// What a gateway tells the pool.
struct retry_report {
  uint64_t Term = 0;     ///< Of the leader that lent the tokens; 0: none did.
  uint64_t Received = 0; ///< Tokens lent by that leader.
  uint64_t Held = 0;     ///< Tokens lent and neither used nor returned.
  double Returned = 0;   ///< Tokens returned since the gateway's start.
  uint64_t Wanted = 0;   ///< Tokens that requests wait for.
  uint64_t Ahead = 0;    ///< Further tokens that may be needed soon.
  /// Own tokens beyond the part of the ratio that may be saved: each gateway
  /// may save one token however few requests it gets.
  double Excess = 0;
};

/// A token bucket that holds one gateway's share of the retries. All times are
/// steady-clock seconds.
class retry_share {
public:
  explicit retry_share(retry_window_bounds Bounds = {}, uint32_t Gateways = 0);

  /// \p Gateways: the number of gateways that share the slack; 0 if it is not
  /// known yet, and then this gateway uses none of the slack.
  void setBounds(retry_window_bounds Bounds, uint32_t Gateways);
  /// Records a request, which adds a fraction of a token. It may need a retry
  /// until recordSettled().
  void recordRequest(double Now);
  /// The caller of a request has its response or the beginning of it. Tokens
  /// of the request that cannot be saved go to the pool.
  void recordSettled();
  /// A request waits for a token until recordWaitEnd().
  void recordWait() { ++Waiting; }
  void recordWaitEnd() { Waiting -= Waiting > 0 ? 1 : 0; }
  /// True if there may be too few tokens for the requests that are not settled.
  bool needsLoan() const { return aheadTokens() > 0; }
  /// What the pool has to know. Returns lent tokens that are not needed.
  retry_report report(double Now);
  /// Handles a message of the leader of \p Term: it has lent \p Total tokens
  /// to this gateway so far. Returns the number of tokens that are new.
  uint64_t applyLoan(uint64_t Term, uint64_t Total, double Now);
  /// Takes a token for one retry; false if there is none.
  bool take(double Now);
  /// True if a token is available.
  bool hasToken(double Now);
  /// Returns a token that was taken for a retry that is not sent.
  void returnToken(double Now);

  double tokens() const { return Tokens + double(Held); }
  /// The number of requests in the window, as of the last call with a time.
  uint32_t requests() const { return Requests; }

private:
  /// The number of time slices into which a window is divided for counting.
  static constexpr size_t Slices = 20;

  void advanceTo(double Now);
  void add(double NewTokens);
  double maxTokens() const;
  double savedFromRatio() const;
  bool slackHoldsBuckets() const;
  double savedTokens() const;
  double tokensToHold() const;
  uint64_t aheadTokens() const;

  retry_window_bounds Bounds;
  double SlackShare = 0; ///< This gateway's part of the slack.
  double Tokens = 0;
  double AdvancedAt = -1; ///< -1: never.
  /// Requests per slice, as a ring buffer indexed by slice number.
  std::array<uint32_t, Slices> Ring{};
  /// Number of the latest slice, counted from time zero of the clock.
  int64_t Current = 0;
  uint32_t Requests = 0; ///< The sum of all slices.
  uint32_t Unsettled = 0;
  uint32_t Waiting = 0;
  // Tokens lent by the leader of Term.
  uint64_t Term = 0;
  uint64_t Received = 0;
  uint64_t Held = 0;
  double LentAt = 0;   ///< When the leader last sent a message.
  double Returned = 0; ///< Including own tokens that did not fit.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_RETRY_SHARE_H
