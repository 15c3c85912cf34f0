//===- usage_schedule.h - When usage is summed up and reported --*- C++ -*-===//
//
// Decides when the counts of a window are summed up, which fixes its report,
// and which of the fixed reports is sent next. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DUTY_USAGE_SCHEDULE_H
#define OLIVEVALVE_DUTY_USAGE_SCHEDULE_H

#include "wire/wire.pb.h"
#include <cstdint>
#include <map>
#include <optional>

namespace olivevalve {

/// All times are Unix times by the agreed clock, in seconds.
struct usage_schedule {
  double WindowSeconds = 0; ///< 0: no usage is reported.
  /// After the end of a window its report is due.
  double DelaySeconds = 10;

  /// The window at \p Wall.
  uint64_t windowAt(double Wall) const;
  double endOf(uint64_t Window) const;
  /// The window whose report has to be fixed now; none: not yet. \p NextWindow:
  /// the first one that is not fixed. \p Complete: whether all gateways have
  /// counted all requests of that window. At most \p MaxOpen windows are made
  /// up for after a time without a leader.
  std::optional<uint64_t> windowToFix(uint64_t NextWindow, bool Complete,
                                      size_t MaxOpen, double Wall) const;
  /// The report to send next: the oldest that is not overdue, or the oldest of
  /// all. Null: there is none.
  const wire::usage_window *
  reportToSend(const std::map<uint64_t, wire::usage_window> &Reports,
               double Wall) const;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DUTY_USAGE_SCHEDULE_H
