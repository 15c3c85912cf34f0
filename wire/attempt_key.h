//===- attempt_key.h - Identity of one attempt ------------------*- C++ -*-===//

#ifndef OLIVEVALVE_WIRE_ATTEMPT_KEY_H
#define OLIVEVALVE_WIRE_ATTEMPT_KEY_H

#include "wire/wire.pb.h"
#include <compare>
#include <cstdint>

namespace olivevalve {

/// Identifies one attempt at one request; wire::attempt_id as a map key.
struct attempt_key {
  uint64_t Entry = 0;   ///< Incarnation of the entry.
  uint64_t Request = 0; ///< The entry's number for the request.
  uint32_t Number = 0;  ///< Number of the attempt within the request.
  auto operator<=>(const attempt_key &) const = default;
};

inline attempt_key keyOf(const wire::attempt_id &Id) {
  return {Id.entry(), Id.request(), Id.number()};
}

} // namespace olivevalve

#endif // OLIVEVALVE_WIRE_ATTEMPT_KEY_H
