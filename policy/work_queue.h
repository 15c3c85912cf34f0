//===- work_queue.h - Order of requests at an upstream ----------*- C++ -*-===//
//
// The sidecar's request queue: ordered by priority, then by arrival, with a
// bound on its length and a deadline for each request. When it is full, the
// least urgent request is shed first. Pure.
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

/// The number of priorities: 0 is served first, 3 last.
constexpr uint32_t PriorityLevels = 4;

/// A queued request. Times are in steady-clock seconds.
struct queued_work {
  uint64_t Ticket = 0; ///< Identifies the request in the queue.
  uint32_t Priority = 1;
  double Arrived = 0;
  double Deadline = 0; ///< From then on the request is no longer started.
};

class work_queue {
public:
  explicit work_queue(size_t MaxLength) : MaxLength(MaxLength) {}

  /// Adds a request. Returns the ticket of the request that was shed: none if
  /// there was room, that of \p Work if no queued request is less urgent.
  std::optional<uint64_t> push(const queued_work &Work);
  /// Removes and returns the first request whose deadline has not passed.
  std::optional<queued_work> pop(double Now);
  /// Removes all requests whose deadline has passed and returns their tickets.
  std::vector<uint64_t> takeExpired(double Now);
  /// Returns false if no request with this ticket is queued.
  bool remove(uint64_t Ticket);
  size_t size() const;

private:
  size_t MaxLength;
  /// By priority, each in the order of arrival.
  std::array<std::deque<queued_work>, PriorityLevels> Queues;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_WORK_QUEUE_H
