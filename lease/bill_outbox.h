//===- bill_outbox.h - Delivers bills to control ----------------*- C++ -*-===//
//
// Collects bills and sends them to control in batches. A bill is kept and
// resent until control confirms that it is committed. The entry and the sidecar
// of a request both send its bill: the ledger counts a bill once however often
// it arrives.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_BILL_OUTBOX_H
#define OLIVEVALVE_LEASE_BILL_OUTBOX_H

#include "lease/control_client.h"
#include <deque>

namespace olivevalve {

class bill_outbox {
public:
  /// Bills are first sent after \p DelaySeconds. A sidecar delays them longer
  /// than an entry, so that the entry's copy usually arrives first.
  bill_outbox(control_client &Control, struct ev_loop *Loop,
              double DelaySeconds);

  void add(const wire::bill &Bill);
  /// Number of bills not confirmed yet.
  size_t pending() const { return Queued.size() + InFlight.size(); }
  /// Sends what is queued without further delay, before a planned stop. A batch
  /// already in flight is waited for first.
  void flush();

private:
  struct queued_bill {
    wire::bill Bill;
    double SendAt = 0;
  };

  void sendBatch(double Now);

  control_client &Control;
  double DelaySeconds;
  std::deque<queued_bill> Queued;   ///< Not sent yet, or to be resent.
  std::deque<queued_bill> InFlight; ///< The batch sent last, until answered.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_BILL_OUTBOX_H
