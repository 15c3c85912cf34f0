//===- request_identity.h - Identity across retries -------------*- C++ -*-===//

#ifndef OLIVEVALVE_QUARANTINE_REQUEST_IDENTITY_H
#define OLIVEVALVE_QUARANTINE_REQUEST_IDENTITY_H

#include "base/digest.h"
#include <string_view>

namespace olivevalve {

/// The parts of a request that are the same in each retry.
struct request_parts {
  /// Name of the client account. Without it, one account could get the requests
  /// of another quarantined.
  std::string_view Account;
  std::string_view Method;
  std::string_view Host; ///< Compared without case; empty: there is one only.
  std::string_view Target;
  std::string_view Body;
};

/// Digest that is the same for each retry of a request, at every process.
short_digest identityOf(const request_parts &Parts);

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_REQUEST_IDENTITY_H
