//===- pins.h - The version each session keeps ------------------*- C++ -*-===//
//
// First writer wins, over all entries. Part of control's replicated state:
// deterministic, time comes from the log. There are as many pins as sessions
// of the last hour, so each is kept in some 60 bytes: a digest of its key, the
// number of its version, the second of its last use.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_PINS_H
#define OLIVEVALVE_LEDGER_PINS_H

#include "absl/container/flat_hash_map.h"
#include "base/digest.h"
#include "wire/wire.pb.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace olivevalve {

class pin_table {
public:
  /// Stores the version if the session has none, or if the one it has is that
  /// which the claim says it replaces. The same version again wins again.
  wire::claim_result claim(const wire::claim &Claim, double Now);
  /// Drops sessions that were quiet for too long.
  void expire(double Now);

  size_t size() const { return Pins.size(); }
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  struct pin {
    uint32_t Version = 0; ///< Place in Versions.
    uint32_t Touched = 0; ///< Seconds since the epoch.
  };
  struct place {
    short_digest Key;
    uint32_t Touched = 0; ///< When it was put in line.
  };

  uint32_t numberOf(const std::string &Version);
  void put(const short_digest &Key, const std::string &Version,
           uint32_t Touched);

  absl::flat_hash_map<short_digest, pin> Pins;
  std::deque<place> Line; ///< One place a pin, oldest first.
  std::vector<std::string> Versions;
  std::map<std::string, uint32_t> Numbers; ///< Of Versions.
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_PINS_H
