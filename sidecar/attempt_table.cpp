//===- attempt_table.cpp - Attempts known to a sidecar --------------------===//

#include "sidecar/attempt_table.h"

namespace olivevalve {

namespace {

// Longer than a frame can linger in a connection that is being given up, and
// than an entry keeps asking.
constexpr double RememberSeconds = 900;

} // namespace

attempt_progress attempt_table::progress(const attempt_key &Key) const {
  auto It = Records.find(Key);
  return It == Records.end() ? attempt_progress::Unknown : It->second;
}

void attempt_table::set(const attempt_key &Key, attempt_progress Progress,
                        double Now) {
  Records[Key] = Progress;
  bool Over = Progress == attempt_progress::Finished ||
              Progress == attempt_progress::NotStarted;
  if (Over)
    Ended.push_back({Now, Key});
}

attempt_progress attempt_table::cancelIfNotStarted(const attempt_key &Key,
                                                   double Now) {
  attempt_progress Present = progress(Key);
  bool Waiting = Present == attempt_progress::Unknown ||
                 Present == attempt_progress::Queued;
  if (!Waiting)
    return Present;
  set(Key, attempt_progress::NotStarted, Now);
  return attempt_progress::NotStarted;
}

void attempt_table::expire(double Now) {
  while (!Ended.empty() && Ended.front().Time + RememberSeconds < Now) {
    Records.erase(Ended.front().Key);
    Ended.pop_front();
  }
}

} // namespace olivevalve
