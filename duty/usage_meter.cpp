//===- usage_meter.cpp - Requests that a gateway counts -------------------===//

#include "duty/usage_meter.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace olivevalve {

namespace {

// Windows kept without a leader, 10 minutes at 5 s each.
constexpr size_t MaxWindows = 120;
// A request that is counted when its response begins belongs to the moment at
// which it was sent, at most this long before. Rarer cases are told late.
constexpr double SettleSeconds = 0.3;

} // namespace

uint64_t usage_meter::windowAt(double Time) const {
  return uint64_t(
      std::max(0.0, std::floor((Time + WallOffset) / WindowSeconds)));
}

void usage_meter::record(const std::string &Account, double BeganAt,
                         double Now) {
  if (!enabled())
    return;
  running_total &Total = Windows[windowAt(BeganAt)][Account];
  ++Total.Requests;
  Total.ChangedAt = Now;
  if (Windows.size() > MaxWindows)
    Windows.erase(Windows.begin());
}

void usage_meter::fill(wire::usage_update &Update, double OwnWallSeconds,
                       double Now) const {
  Update.set_wall_seconds(OwnWallSeconds);
  Update.set_base_term(AcknowledgedAt > 0 ? AcknowledgedTerm : 0);
  Update.set_complete_before(Closed ? std::numeric_limits<uint64_t>::max()
                                    : windowAt(Now - SettleSeconds));
  for (const auto &[Window, Accounts] : Windows) {
    wire::usage_window *Out = nullptr;
    for (const auto &[Account, Total] : Accounts) {
      if (Total.ChangedAt < AcknowledgedAt)
        continue;
      if (!Out)
        Out = Update.add_windows();
      Out->set_window(Window);
      wire::account_count *Count = Out->add_counts();
      Count->set_account(Account);
      Count->set_requests(Total.Requests);
    }
  }
}

uint64_t usage_meter::acknowledge(const wire::usage_status &Status,
                                  double WatchSentAt) {
  if (Status.term() < AcknowledgedTerm)
    return 0; // An earlier leader, whose notice was delayed.
  if (Status.term() > AcknowledgedTerm) {
    AcknowledgedTerm = Status.term();
    AcknowledgedAt = 0;
  }
  if (Status.recorded())
    AcknowledgedAt = std::max(AcknowledgedAt, WatchSentAt);
  uint64_t Late = 0;
  while (!Windows.empty() && Windows.begin()->first < Status.next_window()) {
    for (const auto &[Account, Total] : Windows.begin()->second)
      if (Total.ChangedAt >= AcknowledgedAt)
        Late += Total.Requests;
    Windows.erase(Windows.begin());
  }
  return Late;
}

} // namespace olivevalve
