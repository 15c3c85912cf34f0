//===- work_queue.cpp - Order of work at an upstream ----------------------===//

#include "policy/work_queue.h"
#include <algorithm>

namespace olivevalve {

size_t work_queue::size() const {
  size_t Sum = 0;
  for (const auto &Line : Lines)
    Sum += Line.size();
  return Sum;
}

// Sheds the newest of the least urgent: it has waited least, and its caller
// learns soonest that it did not run.
std::optional<uint64_t> work_queue::push(const queued_work &Work) {
  uint32_t Priority = std::min(Work.Priority, Priorities - 1);
  if (size() < MaxLength) {
    Lines[Priority].push_back(Work);
    return std::nullopt;
  }
  for (uint32_t Last = Priorities - 1; Last > Priority; --Last) {
    if (Lines[Last].empty())
      continue;
    uint64_t Shed = Lines[Last].back().Ticket;
    Lines[Last].pop_back();
    Lines[Priority].push_back(Work);
    return Shed;
  }
  return Work.Ticket;
}

std::optional<queued_work> work_queue::pop(double Now) {
  for (auto &Line : Lines)
    for (auto It = Line.begin(); It != Line.end(); ++It)
      if (It->Deadline > Now) {
        queued_work Work = *It;
        Line.erase(It);
        return Work;
      }
  return std::nullopt;
}

std::vector<uint64_t> work_queue::takeExpired(double Now) {
  std::vector<uint64_t> Expired;
  for (auto &Line : Lines)
    std::erase_if(Line, [&](const queued_work &Work) {
      if (Work.Deadline <= Now)
        Expired.push_back(Work.Ticket);
      return Work.Deadline <= Now;
    });
  return Expired;
}

bool work_queue::remove(uint64_t Ticket) {
  size_t Removed = 0;
  for (auto &Line : Lines)
    Removed += std::erase_if(
        Line, [&](const queued_work &W) { return W.Ticket == Ticket; });
  return Removed > 0;
}

} // namespace olivevalve
