//===- request_name.h - Conversion of request digests -----------*- C++ -*-===//

#ifndef OLIVEVALVE_WIRE_REQUEST_NAME_H
#define OLIVEVALVE_WIRE_REQUEST_NAME_H

#include "base/digest.h"
#include "wire/wire.pb.h"

namespace olivevalve {

/// The request digest in \p Name.
inline short_digest digestOf(const wire::request_name &Name) {
  return {Name.high(), Name.low()};
}

/// Stores the request digest \p Request in \p Name.
inline void fillName(const short_digest &Request, wire::request_name &Name) {
  Name.set_high(Request[0]);
  Name.set_low(Request[1]);
}

} // namespace olivevalve

#endif // OLIVEVALVE_WIRE_REQUEST_NAME_H
