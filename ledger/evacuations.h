//===- evacuations.h - Data halls that get no new requests ------*- C++ -*-===//
//
// The data halls that operators have evacuated. Part of the replicated state,
// so nothing here reads a clock.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_EVACUATIONS_H
#define OLIVEVALVE_LEDGER_EVACUATIONS_H

#include "absl/status/status.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>
#include <string_view>

namespace olivevalve {

class evacuation_store {
public:
  /// Bounds the number of evacuated data halls.
  static constexpr size_t MaxHalls = 256;

  /// Evacuates or restores one data hall at \p WallSeconds, in seconds since
  /// the epoch. Does nothing if the data hall is in that state already.
  /// Conflict: the limit on evacuated data halls is reached.
  absl::Status apply(const wire::evacuation_change &Change, double WallSeconds);
  bool contains(std::string_view DataHall) const {
    return Halls.contains(DataHall);
  }
  const std::map<std::string, wire::evacuation, std::less<>> &all() const {
    return Halls;
  }
  /// Incremented by each change, so that it identifies a state.
  uint64_t revision() const { return Revision; }
  /// Writes the list of evacuated data halls into a message, unless \p
  /// HeldRevision, the revision that the receiver holds, is current.
  void fillUpdate(uint64_t HeldRevision, wire::evacuation_news &Update) const;

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  std::map<std::string, wire::evacuation, std::less<>> Halls;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_EVACUATIONS_H
