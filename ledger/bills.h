//===- bills.h - Each request billed once -----------------------*- C++ -*-===//
//
// Totals per client account, model and version. A bill's identity is the
// entry's incarnation and that entry's request counter, so what was counted
// is a handful of ranges per entry and not a table of millions.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_BILLS_H
#define OLIVEVALVE_LEDGER_BILLS_H

#include "wire/wire.pb.h"
#include <compare>
#include <map>
#include <string>

namespace olivevalve {

/// A set of numbers kept as ranges.
class number_ranges {
public:
  /// False if \p Number was there.
  bool insert(uint64_t Number);
  void insertRange(uint64_t First, uint64_t Last) { Ranges[First] = Last; }
  const std::map<uint64_t, uint64_t> &ranges() const { return Ranges; }

private:
  std::map<uint64_t, uint64_t> Ranges; ///< First to last, inclusive.
};

struct bill_line {
  std::string Account;
  std::string Model;
  std::string Version;
  auto operator<=>(const bill_line &) const = default;
};

struct bill_sum {
  uint64_t Requests = 0;
  uint64_t InputTokens = 0;
  uint64_t CachedTokens = 0;
  uint64_t OutputTokens = 0;
  uint64_t CostMicros = 0; ///< Millionths of a price unit.
};

class bill_ledger {
public:
  /// Counts the bill unless it was counted before.
  bool add(const wire::bill &Bill);
  const std::map<bill_line, bill_sum> &totals() const { return Totals; }
  uint64_t duplicates() const { return Duplicates; }
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  std::map<uint64_t, number_ranges> Counted; ///< By entry incarnation.
  std::map<bill_line, bill_sum> Totals;
  uint64_t Duplicates = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_BILLS_H
