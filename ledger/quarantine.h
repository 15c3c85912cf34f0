//===- quarantine.h - Requests that crash upstreams -------------*- C++ -*-===//
//
// Requests, and blocks of prompts, that are no longer sent to any upstream,
// because several upstreams crashed while processing them. Part of the
// replicated state, so that the list survives restarts; nothing here reads a
// clock.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_QUARANTINE_H
#define OLIVEVALVE_LEDGER_QUARANTINE_H

#include "wire/request_name.h"
#include <deque>

namespace olivevalve {

class quarantine_store {
public:
  /// Bounds the list; adding one more releases the oldest request or, without
  /// one, the oldest block. A block may take many requests with it.
  static constexpr size_t MaxRequests = 256;

  /// Adds or releases a cause of crashes, or grants a trial, at \p WallSeconds,
  /// in seconds since the epoch. False if it is in quarantine already, not in
  /// quarantine, or the trial is not the next one, respectively.
  bool apply(const wire::quarantine_change &Change, double WallSeconds);
  bool contains(const short_digest &Request) const;
  /// Oldest first.
  const std::deque<wire::quarantined_request> &all() const { return Requests; }
  /// Incremented by each change, so that it identifies a state.
  uint64_t revision() const { return Revision; }

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  bool add(wire::quarantined_request Request);
  bool release(const short_digest &Request);
  bool grantTrial(const wire::quarantine_trial &Trial);
  void makeRoom();

  std::deque<wire::quarantined_request> Requests;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_QUARANTINE_H
