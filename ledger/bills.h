//===- bills.h - Billing totals, each request billed once -------*- C++ -*-===//
//
// Totals by client account, model and version. A bill is identified by the
// incarnation of the entry that sent it and that entry's request counter, so
// the bills already counted are stored as a few ranges of numbers for each
// entry instead of millions of ids.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_BILLS_H
#define OLIVEVALVE_LEDGER_BILLS_H

#include "wire/wire.pb.h"
#include <compare>
#include <map>
#include <string>

namespace olivevalve {

/// A set of numbers, stored as ranges.
class range_set {
public:
  /// False if the set has \p Number already.
  bool insert(uint64_t Number);
  /// Adds a range that neither overlaps nor adjoins one in the set.
  void insertRange(uint64_t First, uint64_t Last) { Ranges[First] = Last; }
  const std::map<uint64_t, uint64_t> &ranges() const { return Ranges; }

private:
  std::map<uint64_t, uint64_t> Ranges; ///< First to last, inclusive.
};

/// What a total is for.
struct bill_key {
  std::string Account;
  std::string Model;
  std::string Version;
  auto operator<=>(const bill_key &) const = default;
};

/// Totals of one account, model and version.
struct bill_totals {
  uint64_t Requests = 0;
  uint64_t InputTokens = 0;
  uint64_t CachedTokens = 0; ///< Part of InputTokens found in the prefix cache.
  uint64_t OutputTokens = 0;
  uint64_t CostMicros = 0; ///< Millionths of a price unit.
};

class bill_ledger {
public:
  /// Adds the bill to the totals; false if it was added before.
  bool add(const wire::bill &Bill);
  const std::map<bill_key, bill_totals> &totals() const { return Totals; }
  /// Bills rejected by add() since the process started.
  uint64_t duplicates() const { return Duplicates; }
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  std::map<uint64_t, range_set> CountedRequests; ///< By entry incarnation.
  std::map<bill_key, bill_totals> Totals;
  uint64_t Duplicates = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_BILLS_H
