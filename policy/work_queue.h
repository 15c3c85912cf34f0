//===- work_queue.h - Order of work at an upstream --------------*- C++ -*-===//
//
// The sidecar's queue: by priority, then by arrival, with a bound on length
// and on waiting. When it is full the least urgent is shed first. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_WORK_QUEUE_H
#define OLIVEVALVE_POLICY_WORK_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace olivevalve {

/// Priorities 0 (first) to 3 (last).
constexpr uint32_t Priorities = 4;

struct queued_work {
  uint64_t Ticket = 0;
  uint32_t Priority = 1;
  double Arrived = 0;  ///< Seconds.
  double Deadline = 0; ///< When waiting on makes no more sense.
};

class work_queue {
public:
  explicit work_queue(size_t MaxLength) : MaxLength(MaxLength) {}

  /// Adds work. Returns the ticket that had to be shed for it: its own when
  /// nothing less urgent waits, none when there was room.
  std::optional<uint64_t> push(const queued_work &Work);
  /// The next in order whose deadline has not passed.
  std::optional<queued_work> pop(double Now);
  /// Takes out everything whose deadline has passed.
  std::vector<uint64_t> takeExpired(double Now);
  /// False if it is not queued.
  bool remove(uint64_t Ticket);
  size_t size() const;

private:
  size_t MaxLength;
  std::array<std::deque<queued_work>, Priorities> Lines;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_WORK_QUEUE_H
