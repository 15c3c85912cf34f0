//===- attempt_table.h - Attempts known to a sidecar ------------*- C++ -*-===//
//
// Remembers every attempt that came here or was cancelled before it came, so
// that one that is late or doubled never runs again, and a question whether it
// started gets a true answer. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_ATTEMPT_TABLE_H
#define OLIVEVALVE_SIDECAR_ATTEMPT_TABLE_H

#include "wire/attempt_key.h"
#include <cstdint>
#include <deque>
#include <map>

namespace olivevalve {

enum class attempt_progress : uint8_t {
  Unknown, ///< Never heard of.
  Queued,
  Running,
  Finished,   ///< Ran, whole or not.
  NotStarted, ///< Refused, shed or cancelled; never will run.
};

class attempt_table {
public:
  attempt_progress progress(const attempt_key &Key) const;
  void set(const attempt_key &Key, attempt_progress Progress, double Now);
  /// Marks an attempt that is queued or unknown as one that never will run.
  /// Answers what is true after the call.
  attempt_progress cancelIfNotStarted(const attempt_key &Key, double Now);
  void expire(double Now);
  size_t size() const { return Records.size(); }

private:
  struct ended {
    double Time;
    attempt_key Key;
  };
  std::map<attempt_key, attempt_progress> Records;
  std::deque<ended> Ended;
};

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_ATTEMPT_TABLE_H
