//===- evacuated_halls.h - Data halls that get no new requests --*- C++ -*-===//
//
// The evacuated data halls according to control's last update. Pure, apart from
// log lines.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_EVACUATED_HALLS_H
#define OLIVEVALVE_LEASE_EVACUATED_HALLS_H

#include "wire/wire.pb.h"
#include <set>
#include <string>
#include <string_view>

namespace olivevalve {

class evacuated_halls {
public:
  /// Applies an update; one that is not newer is ignored. Returns true if it
  /// was newer.
  bool applyUpdate(const wire::evacuation_news &Update);
  bool contains(std::string_view DataHall) const {
    return Halls.contains(DataHall);
  }
  /// Names of all evacuated data halls.
  const std::set<std::string, std::less<>> &all() const { return Halls; }
  /// Of the last update; 0: none yet.
  uint64_t revision() const { return Revision; }

private:
  std::set<std::string, std::less<>> Halls;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_EVACUATED_HALLS_H
