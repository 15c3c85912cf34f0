//===- state_machine.h - Control's replicated state -------------*- C++ -*-===//
//
// Applies committed commands in order: configuration changes, claims, bills,
// ratings. Every control VM comes to the same state, so nothing here may look
// at a clock, a socket or a random number.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_STATE_MACHINE_H
#define OLIVEVALVE_LEDGER_STATE_MACHINE_H

#include "catalog/catalog.h"
#include "ledger/bills.h"
#include "ledger/claims.h"
#include "ledger/evacuations.h"
#include "ledger/pins.h"
#include "ledger/quarantine.h"
#include "ledger/ratings.h"
#include "ledger/rollouts.h"
#include "ledger/routing_book.h"
#include <deque>
#include <map>

namespace olivevalve {

/// What came of one command.
struct apply_result {
  absl::Status Status;
  uint64_t ConfigIndex = 0; ///< Changes: where the configuration changed.
  bool Repeated = false;    ///< Changes: the id was seen before.
  wire::claim_result Claim; ///< Claims and finishes.
};

class state_machine {
public:
  /// Applies \p Data, a serialised wire::command, committed at \p Index. Empty
  /// data is no operation.
  apply_result apply(uint64_t Index, const std::string &Data);

  uint64_t appliedIndex() const { return Applied; }
  const catalog &config() const { return Catalog; }
  const bill_ledger &bills() const { return Bills; }
  const rating_book &ratings() const { return Ratings; }
  const claim_table &claims() const { return Claims; }
  const pin_table &pins() const { return Pins; }
  /// The routing configuration with the highest version; 0: none yet.
  const routing_book &routing() const { return Routing; }
  const rollout_book &rollouts() const { return Rollouts; }
  const quarantine_book &quarantine() const { return Quarantine; }
  const evacuation_book &evacuations() const { return Evacuations; }

  std::string image() const;
  bool restore(const std::string &Image);

private:
  apply_result applyChange(uint64_t Index, const wire::change_set &Changes);
  void applyRatings(const wire::rating_batch &Batch);
  void remember(const std::string &ChangeId, uint64_t Index,
                const absl::Status &Status);

  struct change_record {
    uint64_t Index = 0;
    uint32_t Kind = 0;
    std::string Message;
  };

  uint64_t Applied = 0;
  double Wall = 0; ///< Never goes back.
  catalog Catalog;
  claim_table Claims;
  pin_table Pins;
  bill_ledger Bills;
  rating_book Ratings;
  routing_book Routing;
  rollout_book Rollouts;
  quarantine_book Quarantine;
  evacuation_book Evacuations;
  std::map<std::string, change_record> Changes;
  std::deque<std::string> ChangeOrder;
  std::map<std::string, uint64_t> ReporterSequence;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_STATE_MACHINE_H
