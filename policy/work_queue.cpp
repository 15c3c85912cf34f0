//===- work_queue.cpp - Order of requests at an upstream ------------------===//

#include "policy/work_queue.h"
#include <algorithm>

namespace olivevalve {

size_t work_queue::size() const {
  size_t Sum = 0;
  for (const auto &Queue : Queues)
    Sum += Queue.size();
  return Sum;
}

// Sheds the newest request of the lowest priority: it has waited least, so its
// caller is notified early that it did not run.
std::optional<uint64_t> work_queue::push(const queued_work &Work) {
  uint32_t Priority = std::min(Work.Priority, PriorityLevels - 1);
  if (size() < MaxLength) {
    Queues[Priority].push_back(Work);
    return std::nullopt;
  }
  for (uint32_t Lower = PriorityLevels - 1; Lower > Priority; --Lower) {
    if (Queues[Lower].empty())
      continue;
    uint64_t Shed = Queues[Lower].back().Ticket;
    Queues[Lower].pop_back();
    Queues[Priority].push_back(Work);
    return Shed;
  }
  return Work.Ticket;
}

std::optional<queued_work> work_queue::pop(double Now) {
  for (auto &Queue : Queues)
    for (auto It = Queue.begin(); It != Queue.end(); ++It)
      if (It->Deadline > Now) {
        queued_work Work = *It;
        Queue.erase(It);
        return Work;
      }
  return std::nullopt;
}

std::vector<uint64_t> work_queue::takeExpired(double Now) {
  std::vector<uint64_t> Expired;
  for (auto &Queue : Queues)
    std::erase_if(Queue, [&](const queued_work &Work) {
      if (Work.Deadline <= Now)
        Expired.push_back(Work.Ticket);
      return Work.Deadline <= Now;
    });
  return Expired;
}

bool work_queue::remove(uint64_t Ticket) {
  size_t Removed = 0;
  for (auto &Queue : Queues)
    Removed += std::erase_if(
        Queue, [&](const queued_work &W) { return W.Ticket == Ticket; });
  return Removed > 0;
}

} // namespace olivevalve
