//===- quarantine.h - Requests that go to no upstream any more --*- C++ -*-===//
//
// Upstream after upstream ended under them. Part of the replicated state, so
// that it outlives every process: no clocks here.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_QUARANTINE_H
#define OLIVEVALVE_LEDGER_QUARANTINE_H

#include "wire/request_name.h"
#include <deque>

namespace olivevalve {

class quarantine_book {
public:
  /// The oldest leaves when there would be more.
  static constexpr size_t MostRequests = 256;

  /// False if it changes nothing.
  bool apply(const wire::quarantine_change &Change, double Wall);
  bool contains(const short_digest &Request) const;
  /// Oldest first.
  const std::deque<wire::quarantined_request> &all() const { return Requests; }
  /// Grows with each change; never the same for two states.
  uint64_t revision() const { return Revision; }

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  bool add(wire::quarantined_request Request);
  bool release(const short_digest &Request);

  std::deque<wire::quarantined_request> Requests;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_QUARANTINE_H
