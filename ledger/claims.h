//===- claims.h - Claims of requests that run at most once ------*- C++ -*-===//
//
// A request that must not run twice is claimed under its Idempotency-Key before
// it is sent to an upstream. Of several entries that claim the same key, the
// first one wins. Part of control's replicated state: deterministic, the time
// comes from the log.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_CLAIMS_H
#define OLIVEVALVE_LEDGER_CLAIMS_H

#include "wire/wire.pb.h"
#include <deque>
#include <map>
#include <string>

namespace olivevalve {

/// Identifies a claimed request.
struct claim_key {
  std::string Account; ///< Client account.
  std::string Key;     ///< Idempotency-Key of the request.
  auto operator<=>(const claim_key &) const = default;
};

/// All claims and the stored outcomes of finished requests. Times are in
/// seconds since the epoch.
class claim_table {
public:
  /// Stores the value of \p Claim, which names an attempt, and wins if the key
  /// has no value, if its claim was freed, or if its request is not finished
  /// and its value is the one that the claim names in `replaces`. A claim with
  /// the stored value wins too, since it is a resend.
  wire::claim_result claim(const wire::claim &Claim, double Now);
  /// Stores the outcome of a claimed request, or frees or abandons its claim.
  /// The result is empty if the claim is not held by the attempt that
  /// \p Finish names.
  wire::claim_result finish(const wire::finish &Finish, double Now);
  /// Removes claims that were not used for a day.
  void expire(double Now);

  size_t size() const { return Records.size(); }
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  struct record {
    std::string Value;        ///< Serialised wire::claim_value.
    uint64_t RequestHash = 0; ///< Tells another request with the same key.
    double Touched = 0;       ///< Last use; 0: the record is new.
    bool Finished = false;    ///< The outcome below is final.
    bool Freed = false;       ///< The attempt never started.
    /// The entry that holds the claim cannot find out the outcome; others may.
    bool Abandoned = false;
    uint32_t Kind = 0;   ///< error_kind as a number; 0: no error.
    uint32_t Status = 0; ///< HTTP status of the answer.
    std::string ContentType;
    std::string Body;
  };
  /// One use of a record.
  struct touch {
    double Time;
    claim_key Key;
  };

  static wire::claim_result resultFor(const record &Record, bool Won);
  void touchRecord(const claim_key &Key, record &Record, double Now);

  std::map<claim_key, record> Records;
  /// Oldest first. A record expires by its last touch; earlier ones are
  /// skipped.
  std::deque<touch> Touches;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_CLAIMS_H
