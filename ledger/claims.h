//===- claims.h - First writer wins -----------------------------*- C++ -*-===//
//
// The claim of a request that may not be repeated has one winner over all
// entries. Part of control's replicated state: deterministic, time comes from
// the log.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_CLAIMS_H
#define OLIVEVALVE_LEDGER_CLAIMS_H

#include "wire/wire.pb.h"
#include <deque>
#include <map>
#include <string>

namespace olivevalve {

struct claim_key {
  std::string Account;
  std::string Key;
  auto operator<=>(const claim_key &) const = default;
};

class claim_table {
public:
  /// Stores the value if there is none, if the one present was freed, or if it
  /// is the one that the claim says it replaces. The same value again wins
  /// again: it is the same claim, resent.
  wire::claim_result claim(const wire::claim &Claim, double Now);
  /// Stores the outcome of, frees or abandons a claim that is held by Finish's
  /// attempt.
  wire::claim_result finish(const wire::finish &Finish, double Now);
  /// Drops what is past its time.
  void expire(double Now);

  size_t size() const { return Records.size(); }
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  struct record {
    std::string Value;
    uint64_t RequestHash = 0;
    double Touched = 0;
    bool Finished = false;
    bool Freed = false;
    bool Abandoned = false;
    uint32_t Kind = 0;
    uint32_t Status = 0;
    std::string ContentType;
    std::string Body;
  };
  struct touch {
    double Time;
    claim_key Key;
  };

  static wire::claim_result answer(const record &Record, bool Won);
  void mark(const claim_key &Key, record &Record, double Now);

  std::map<claim_key, record> Records;
  std::deque<touch> Touches; ///< In order of time; a record's last counts.
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_CLAIMS_H
