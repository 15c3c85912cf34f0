//===- usage_meter.h - Requests that a gateway counts -----------*- C++ -*-===//
//
// Counts the requests that upstreams began to run, by client account and window
// of the wall clock, until control has committed the report of the window. The
// leader gets running totals, so a message that is lost or repeated changes
// nothing. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DUTY_USAGE_METER_H
#define OLIVEVALVE_DUTY_USAGE_METER_H

#include "wire/wire.pb.h"
#include <map>
#include <string>

namespace olivevalve {

/// All times are in seconds; those without "wall" are of the steady clock.
class usage_meter {
public:
  /// Counts nothing if \p WindowSeconds is 0. \p WallSeconds: Unix time by the
  /// own clock, used until setWall().
  usage_meter(double WindowSeconds, double WallSeconds, double Now)
      : WindowSeconds(WindowSeconds), WallOffset(WallSeconds - Now) {}

  bool enabled() const { return WindowSeconds > 0; }
  /// Sets the Unix time that all VMs agree on.
  void setWall(double WallSeconds, double Now) {
    WallOffset = WallSeconds - Now;
  }
  /// Counts a request of \p Account that an upstream began at \p BeganAt.
  void record(const std::string &Account, double BeganAt, double Now);
  /// No more requests follow, as this process is about to end.
  void close() { Closed = true; }
  /// Adds what the leader has not acknowledged. \p OwnWallSeconds: Unix time by
  /// the own clock.
  void fill(wire::usage_update &Update, double OwnWallSeconds,
            double Now) const;
  /// Handles a notice of the leader about the message that was sent at \p
  /// WatchSentAt. Returns the number of requests in windows whose reports
  /// were committed without them.
  uint64_t acknowledge(const wire::usage_status &Status, double WatchSentAt);

private:
  struct running_total {
    uint64_t Requests = 0;
    double ChangedAt = 0;
  };

  uint64_t windowAt(double Time) const;

  double WindowSeconds;
  double WallOffset; ///< Of the Unix time to the steady clock.
  std::map<uint64_t, std::map<std::string, running_total>> Windows;
  /// Term of the leader that has recorded what changed before AcknowledgedAt;
  /// 0: it has recorded nothing.
  uint64_t AcknowledgedTerm = 0;
  double AcknowledgedAt = 0;
  bool Closed = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DUTY_USAGE_METER_H
