//===- pins.h - Versions that sessions are pinned to ------------*- C++ -*-===//
//
// A session stays at the model version that answered its first request. Of
// several entries that pin the same session, the first one wins. Part of
// control's replicated state: deterministic, the time comes from the log. There
// are as many pins as sessions in the last hour, so each takes only some 60
// bytes: a digest of its key, the index of its version and the second of its
// last use.
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

/// All pinned sessions. Times are in seconds since the epoch.
class pin_table {
public:
  /// Pins the session to the version in \p Claim and wins if it has no pin, or
  /// if its version is the one that the claim names in `replaces`. A claim of
  /// the pinned version wins too. The result holds the version pinned now.
  wire::claim_result claim(const wire::claim &Claim, double Now);
  /// Removes the pins of sessions without a request for an hour.
  void expire(double Now);

  size_t size() const { return Pins.size(); }
  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  struct pin {
    uint32_t Version = 0; ///< Index into Versions.
    uint32_t Touched = 0; ///< Last use.
  };
  struct queue_entry {
    short_digest Key;
    uint32_t Touched = 0; ///< Last use of the pin when it was queued.
  };

  uint32_t versionIndex(const std::string &Version);
  void insert(const short_digest &Key, const std::string &Version,
              uint32_t Touched);

  absl::flat_hash_map<short_digest, pin> Pins;
  std::deque<queue_entry>
      ExpiryQueue; ///< One element for each pin, oldest first.
  /// Every version a session was ever pinned to.
  std::vector<std::string> Versions;
  std::map<std::string, uint32_t>
      VersionIndexes; ///< Index into Versions, by name.
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_PINS_H
