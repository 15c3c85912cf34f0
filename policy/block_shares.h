//===- block_shares.h - How frequent blocks of prompts are ------*- C++ -*-===//
//
// Estimates which share of a service's prompts contain a block, from the
// requests that one process receives. Requests count less the older they are.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_BLOCK_SHARES_H
#define OLIVEVALVE_POLICY_BLOCK_SHARES_H

#include "base/digest.h"
#include <map>
#include <vector>

namespace olivevalve {

class block_shares {
public:
  /// \p Capacity: of a hash table in which a block may overwrite another one.
  explicit block_shares(size_t Capacity = 1 << 13) : Counts(Capacity) {}

  /// Records a request to the service with the checksum \p Service. \p Now:
  /// seconds of the steady clock.
  void record(uint64_t Service, const std::vector<short_digest> &Blocks,
              double Now);
  /// From 0 to 1. With few requests it is not near 0.
  double share(uint64_t Service, const short_digest &Block, double Now) const;

private:
  struct decaying_count {
    double Value = 0;
    double At = 0; ///< When the value was last updated.
    double at(double Now) const;
    void add(double Now);
  };
  struct entry {
    short_digest Block{};
    decaying_count Count;
  };
  size_t indexOf(const short_digest &Block) const {
    return size_t(Block[0] % Counts.size());
  }

  std::vector<entry> Counts;
  std::map<uint64_t, decaying_count> Totals; ///< By service.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_BLOCK_SHARES_H
