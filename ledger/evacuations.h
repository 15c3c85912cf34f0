//===- evacuations.h - Data halls that get no new requests ------*- C++ -*-===//
//
// Which data halls operators have evacuated. Part of the replicated state: no
// clocks here.
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

class evacuation_book {
public:
  static constexpr size_t MostHalls = 256;

  /// Evacuates or restores one data hall. To do so again changes nothing and is
  /// no error; Conflict: there are too many.
  absl::Status apply(const wire::evacuation_change &Change, double Wall);
  bool contains(std::string_view DataHall) const {
    return Halls.contains(DataHall);
  }
  const std::map<std::string, wire::evacuation, std::less<>> &all() const {
    return Halls;
  }
  /// Grows with each change; never the same for two states.
  uint64_t revision() const { return Revision; }
  /// Fills in nothing where the receiver holds this revision.
  void fillNews(uint64_t Held, wire::evacuation_news &News) const;

  void save(wire::state_image &Image) const;
  void load(const wire::state_image &Image);

private:
  std::map<std::string, wire::evacuation, std::less<>> Halls;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_EVACUATIONS_H
