//===- outbox.h - Bills kept until control has them -------------*- C++ -*-===//
//
// Collects bills and sends them in batches; a bill stays until control says
// that it is committed. Entries and sidecars both keep one: the ledger counts
// a bill once however often it comes.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_OUTBOX_H
#define OLIVEVALVE_LEASE_OUTBOX_H

#include "lease/control_client.h"
#include <deque>

namespace olivevalve {

class bill_outbox {
public:
  /// Bills wait \p HoldSeconds before they are first sent; a sidecar holds
  /// them longer, so that the entry's copy usually comes first.
  bill_outbox(control_client &Control, struct ev_loop *Loop,
              double HoldSeconds);

  void add(const wire::bill &Bill);
  size_t pending() const { return Waiting.size() + InFlight.size(); }
  /// Sends what waits without holding back; for a planned stop.
  void flush();

private:
  struct held_bill {
    wire::bill Bill;
    double SendAt = 0;
  };

  void sendBatch(double Now);

  control_client &Control;
  double HoldSeconds;
  std::deque<held_bill> Waiting;
  std::deque<held_bill> InFlight;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_OUTBOX_H
