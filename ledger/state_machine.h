//===- state_machine.h - Control's replicated state -------------*- C++ -*-===//
//
// Applies committed commands in log order: configuration and routing changes,
// claims, bills, ratings, roll-outs, quarantine, evacuations and duties. Every
// control VM has to reach the same state, so nothing here may read a clock, a
// socket or a random number.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_STATE_MACHINE_H
#define OLIVEVALVE_LEDGER_STATE_MACHINE_H

#include "catalog/catalog.h"
#include "ledger/bills.h"
#include "ledger/claims.h"
#include "ledger/duties.h"
#include "ledger/evacuations.h"
#include "ledger/pins.h"
#include "ledger/quarantine.h"
#include "ledger/ratings.h"
#include "ledger/rollouts.h"
#include "ledger/routing_store.h"
#include <deque>
#include <map>

namespace olivevalve {

/// Result of one command.
struct apply_result {
  absl::Status Status;
  /// Log index of a configuration change; 0: the change was rejected or the
  /// command is of another kind.
  uint64_t ConfigIndex = 0;
  /// A configuration change with this change id was applied before. Status and
  /// ConfigIndex are those of the first time.
  bool Repeated = false;
  wire::claim_result Claim; ///< Set for the commands claim and finish.
};

/// The state that all control VMs replicate.
class state_machine {
public:
  /// Applies \p Data, a serialised wire::command, committed at \p Index. Empty
  /// or unreadable data changes nothing but appliedIndex(); the latter is a
  /// BadRequest.
  apply_result apply(uint64_t Index, const std::string &Data);

  uint64_t appliedIndex() const { return AppliedIndex; }
  const catalog &config() const { return Catalog; }
  const bill_ledger &bills() const { return Bills; }
  const rating_store &ratings() const { return Ratings; }
  const claim_table &claims() const { return Claims; }
  const pin_table &pins() const { return Pins; }
  const routing_store &routing() const { return Routing; }
  const rollout_store &rollouts() const { return Rollouts; }
  const quarantine_store &quarantine() const { return Quarantine; }
  const evacuation_store &evacuations() const { return Evacuations; }
  const duty_store &duties() const { return Duties; }

  /// The whole state as a serialised wire::state_image, for a snapshot.
  std::string image() const;
  /// Replaces the state by that of \p Image. False, with nothing changed, if
  /// the image cannot be parsed or its configuration is not valid.
  bool restore(const std::string &Image);

private:
  apply_result applyChange(uint64_t Index, const wire::change_set &Changes);
  void applyRatings(const wire::rating_batch &Batch);
  void rememberChange(const std::string &ChangeId, uint64_t Index,
                      const absl::Status &Status);

  /// Result of a configuration change, returned again when it is resent.
  struct change_record {
    uint64_t Index = 0;  ///< 0 if the change was rejected.
    uint32_t Kind = 0;   ///< error_kind as a number; 0: no error.
    std::string Message; ///< Of the error.
  };

  uint64_t AppliedIndex = 0;
  /// Time of the newest command in seconds since the epoch. Each leader stamps
  /// commands with its own clock; this value never decreases.
  double WallSeconds = 0;
  catalog Catalog;
  claim_table Claims;
  pin_table Pins;
  bill_ledger Bills;
  rating_store Ratings;
  routing_store Routing;
  rollout_store Rollouts;
  quarantine_store Quarantine;
  evacuation_store Evacuations;
  duty_store Duties;
  std::map<std::string, change_record> Changes; ///< By change id.
  std::deque<std::string> ChangeOrder;          ///< Change ids, oldest first.
  /// Sequence number of the last batch of ratings, by reporter; batches that
  /// are resent are recognised by it.
  std::map<std::string, uint64_t> ReporterSequence;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_STATE_MACHINE_H
