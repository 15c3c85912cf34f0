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

/// A token bucket that holds one gateway's share of the retries. All times are
/// steady-clock seconds.
class retry_share {
public:
  explicit retry_share(retry_window_bounds Bounds = {}, uint32_t Gateways = 0);

  /// \p Gateways: the number of gateways that share the slack; 0 if it is not
  /// known yet, and then this gateway uses none of the slack.
  void setBounds(retry_window_bounds Bounds, uint32_t Gateways);
  /// Records a request, which adds a fraction of a token.
  void recordRequest(double Now);
  /// Takes a token for one retry; false if there is none.
  bool take(double Now);
  /// True if a token is available.
  bool hasToken(double Now);
  /// Returns a token that was taken for a retry that is not sent.
  void returnToken(double Now);

  double tokens() const { return Tokens; }
  /// The number of requests in the window, as of the last call with a time.
  uint32_t requests() const { return Requests; }

private:
  /// The number of time slices into which a window is divided for counting.
  static constexpr size_t Slices = 20;

  void advanceTo(double Now);
  double maxTokens() const;

  retry_window_bounds Bounds;
  double SlackShare = 0; ///< This gateway's part of the slack.
  double Tokens = 0;
  double AdvancedAt = -1; ///< -1: never.
  /// Requests per slice, as a ring buffer indexed by slice number.
  std::array<uint32_t, Slices> Ring{};
  /// Number of the latest slice, counted from time zero of the clock.
  int64_t Current = 0;
  uint32_t Requests = 0; ///< The sum of all slices.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_RETRY_SHARE_H
