//===- attempt_key.h - Identity of one attempt ------------------*- C++ -*-===//

#ifndef OLIVEVALVE_WIRE_ATTEMPT_KEY_H
#define OLIVEVALVE_WIRE_ATTEMPT_KEY_H

#include "wire/wire.pb.h"
#include <compare>
#include <cstdint>

namespace olivevalve {

/// One try of one request: the entry's start, its request counter, the try.
struct attempt_key {
  uint64_t Entry = 0;
  uint64_t Request = 0;
  uint32_t Number = 0;
  auto operator<=>(const attempt_key &) const = default;
};

inline attempt_key keyOf(const wire::attempt_id &Id) {
  return {Id.entry(), Id.request(), Id.number()};
}

} // namespace olivevalve

#endif // OLIVEVALVE_WIRE_ATTEMPT_KEY_H
