//===- quarantine_keeper.h - Decides which requests to quarantine -*- C++ -*-//
//
// Puts together what processes tell of requests that upstreams ended under, and
// proposes what the replicated book should take in and let go. A VM that comes
// to lead hears it all again. Pure: times are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_QUARANTINE_KEEPER_H
#define OLIVEVALVE_CONTROL_QUARANTINE_KEEPER_H

#include "ledger/quarantine.h"
#include "policy/crash_evidence.h"
#include <map>
#include <vector>

namespace olivevalve {

class quarantine_keeper {
public:
  /// Requests are let go after so long: upstreams may have been mended.
  static constexpr double MostSeconds = 3600;

  void heard(const wire::crash_news &News, double Now);
  /// Changes of \p Book that are due and were not proposed just now.
  std::vector<wire::quarantine_change> changes(const quarantine_book &Book,
                                               double Now);
  /// Until a request is let go, by the time that this VM has known of it.
  double secondsLeft(const short_digest &Request, double Now) const;

private:
  void follow(const quarantine_book &Book, double Now);
  bool mayPropose(const short_digest &Request, double Now);

  crash_evidence Evidence{{.MostRequests = 1 << 14}};
  std::map<short_digest, double> KnownSince; ///< Of those in the book.
  std::map<short_digest, double> ProposedAt;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_QUARANTINE_KEEPER_H
