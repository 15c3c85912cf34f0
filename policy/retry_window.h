//===- retry_window.h - Retries bounded within a sliding window -*- C++ -*-===//
//
// Gateways share one bound on the requests sent again in any window of some
// seconds, without a message for each request. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_RETRY_WINDOW_H
#define OLIVEVALVE_POLICY_RETRY_WINDOW_H

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

/// One gateway's part. It counts its own requests and retries: what each allows
/// by the ratio adds up by itself, and the slack is parted.
class retry_window {
public:
  explicit retry_window(retry_window_bounds Bounds = {}, uint32_t Gateways = 1);

  void setBounds(retry_window_bounds Bounds, uint32_t Gateways);
  void requestSeen(double Now);
  /// Counts one retry if there is room for it.
  bool take(double Now);
  /// True if take() would find room.
  bool left(double Now) { return room(Now) >= 1; }
  /// Counted in the window, up to the last call that told a time.
  uint32_t requests() const { return Sum.Requests; }
  uint32_t retries() const { return Sum.Retries; }

private:
  static constexpr size_t Slices = 20; ///< Of a window.

  struct slice {
    uint32_t Requests = 0;
    uint32_t Retries = 0;
  };

  double room(double Now);
  void moveTo(double Now);

  retry_window_bounds Bounds;
  double SlackPart = 0;
  /// A ring; the one in hand is not over yet, so one more than a window has.
  std::array<slice, Slices + 1> Ring{};
  int64_t Current = 0; ///< Number of the slice in hand since the clock's zero.
  slice Sum;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_RETRY_WINDOW_H
