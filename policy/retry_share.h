//===- retry_share.h - One gateway's share of the retry bound ---*- C++ -*-===//
//
// Gateways share one bound on the requests sent again in any window of some
// seconds, without a message for each request. Pure.
//
// The bound must hold although gateways start anew and have forgotten what they
// sent, are told a number of gateways that is out of date, and take over each
// other's callers. So nothing is counted that could be forgotten: a gateway
// holds tokens, one for each retry, that come with its requests. A start loses
// them. In any window, what all send again is what they had saved when it began
// and what came since:
//
//   saved        <=  part of the slack + part of the ratio of the requests in
//                    the window before
//   came since   <=  the other part of the slack + the other part of the ratio
//                    of the requests in the window
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_RETRY_SHARE_H
#define OLIVEVALVE_POLICY_RETRY_SHARE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace olivevalve {

/// What all gateways together may send again.
struct retry_window_bounds {
  double Ratio = 0.2;        ///< Of the requests in the window.
  double Slack = 20;         ///< Beside the ratio.
  double WindowSeconds = 10; ///< Wherever it falls.
};

class retry_share {
public:
  explicit retry_share(retry_window_bounds Bounds = {}, uint32_t Gateways = 0);

  /// \p Gateways: that share the slack; 0: nobody has told, and this one gets
  /// none of it.
  void setBounds(retry_window_bounds Bounds, uint32_t Gateways);
  void requestSeen(double Now);
  /// Takes a token for one retry if there is one.
  bool take(double Now);
  /// True if take() would find one.
  bool left(double Now);
  /// A retry that was taken is not sent.
  void giveBack(double Now);

  double tokens() const { return Tokens; }
  /// In the window, up to the last call that told a time.
  uint32_t requests() const { return Requests; }

private:
  static constexpr size_t Slices = 20; ///< Of a window.

  void moveTo(double Now);
  double mostSaved() const;

  retry_window_bounds Bounds;
  double SlackPart = 0; ///< Of this gateway.
  double Tokens = 0;
  double MovedAt = -1; ///< Steady seconds; -1: never.
  /// Requests by slice, a ring that ends with the one in hand.
  std::array<uint32_t, Slices> Ring{};
  int64_t Current = 0; ///< Number of the slice in hand since the clock's zero.
  uint32_t Requests = 0; ///< Of all slices.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_RETRY_SHARE_H
