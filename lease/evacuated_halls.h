//===- evacuated_halls.h - Where nothing new goes ---------------*- C++ -*-===//
//
// The evacuated data halls as control told them last. Pure.
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
  /// True if something has changed. News older than what is held are dropped.
  bool hear(const wire::evacuation_news &News);
  bool contains(std::string_view DataHall) const {
    return Halls.contains(DataHall);
  }
  const std::set<std::string, std::less<>> &all() const { return Halls; }
  uint64_t revision() const { return Revision; }

private:
  std::set<std::string, std::less<>> Halls;
  uint64_t Revision = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_EVACUATED_HALLS_H
