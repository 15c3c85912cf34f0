//===- request_identity.h - Which requests are the same ---------*- C++ -*-===//

#ifndef OLIVEVALVE_QUARANTINE_REQUEST_IDENTITY_H
#define OLIVEVALVE_QUARANTINE_REQUEST_IDENTITY_H

#include "base/digest.h"
#include <string_view>

namespace olivevalve {

/// What comes again with each try of a request.
struct request_parts {
  std::string_view Account; ///< Of the client; without it, one could act on the
                            ///< requests of another.
  std::string_view Method;
  std::string_view Host; ///< In any case; empty: there is one only.
  std::string_view Target;
  std::string_view Body;
};

/// The same for each try of one request, at every process.
short_digest identityOf(const request_parts &Parts);

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_REQUEST_IDENTITY_H
