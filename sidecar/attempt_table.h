//===- attempt_table.h - Attempts known to a sidecar ------------*- C++ -*-===//
//
// Records every attempt that has arrived or was cancelled before its arrival. A
// late or duplicate attempt thus never runs again, and a query whether an
// attempt has started gets a correct reply. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_ATTEMPT_TABLE_H
#define OLIVEVALVE_SIDECAR_ATTEMPT_TABLE_H

#include "wire/attempt_key.h"
#include <cstdint>
#include <deque>
#include <map>

namespace olivevalve {

/// How far an attempt has come.
enum class attempt_progress : uint8_t {
  Unknown, ///< Not in the table.
  Queued,
  Running,
  Finished,   ///< Ran, completely or not.
  NotStarted, ///< Refused, shed or cancelled; will never run.
};

/// Progress of recent attempts.
class attempt_table {
public:
  attempt_progress progress(const attempt_key &Key) const;
  void set(const attempt_key &Key, attempt_progress Progress, double Now);
  /// Marks an attempt that is queued or unknown as one that will never run.
  /// Returns the progress after the call.
  attempt_progress cancelIfNotStarted(const attempt_key &Key, double Now);
  /// Removes attempts that ended long before \p Now, in seconds.
  void expire(double Now);
  size_t size() const { return Records.size(); }

private:
  /// An attempt that will not change any more.
  struct ended_attempt {
    double Time;
    attempt_key Key;
  };
  std::map<attempt_key, attempt_progress> Records;
  std::deque<ended_attempt> EndedAttempts; ///< Oldest first.
};

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_ATTEMPT_TABLE_H
