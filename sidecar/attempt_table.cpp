//===- attempt_table.cpp - Attempts known to a sidecar --------------------===//

#include "sidecar/attempt_table.h"

namespace olivevalve {

namespace {

// How long ended attempts are kept: longer than a frame can be delayed in a
// connection that is being closed, and than an entry sends queries about them.
constexpr double RetentionSeconds = 900;

} // namespace

attempt_progress attempt_table::progress(const attempt_key &Key) const {
  auto It = Records.find(Key);
  return It == Records.end() ? attempt_progress::Unknown : It->second;
}

void attempt_table::set(const attempt_key &Key, attempt_progress Progress,
                        double Now) {
  Records[Key] = Progress;
  bool Final = Progress == attempt_progress::Finished ||
               Progress == attempt_progress::NotStarted;
  if (Final)
    EndedAttempts.push_back({Now, Key});
}

attempt_progress attempt_table::cancelIfNotStarted(const attempt_key &Key,
                                                   double Now) {
  attempt_progress Current = progress(Key);
  bool CanCancel = Current == attempt_progress::Unknown ||
                   Current == attempt_progress::Queued;
  if (!CanCancel)
    return Current;
  set(Key, attempt_progress::NotStarted, Now);
  return attempt_progress::NotStarted;
}

void attempt_table::expire(double Now) {
  while (!EndedAttempts.empty() &&
         EndedAttempts.front().Time + RetentionSeconds < Now) {
    Records.erase(EndedAttempts.front().Key);
    EndedAttempts.pop_front();
  }
}

} // namespace olivevalve
