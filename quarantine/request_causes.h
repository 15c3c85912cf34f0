//===- request_causes.h - What crashes may be blamed on ---------*- C++ -*-===//

#ifndef OLIVEVALVE_QUARANTINE_REQUEST_CAUSES_H
#define OLIVEVALVE_QUARANTINE_REQUEST_CAUSES_H

#include "base/digest.h"
#include <string_view>
#include <vector>

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

/// What a crash under one request may be blamed on. The names are the same at
/// every process.
struct request_causes {
  short_digest Request{}; ///< The same for each retry of the request.
  /// Blocks of its prompt that other prompts may share.
  std::vector<short_digest> Blocks;
  uint64_t Service = 0; ///< Checksum of what serves it, for shares of blocks.
};

/// Blocks of one request that are considered, from the start of the prompt.
constexpr size_t MaxBlocksOfRequest = 16;

/// Digest that is the same for each retry of a request, at every process.
short_digest identityOf(const request_parts &Parts);

/// Digest of a block of the prompts to a service. \p Block: the same for equal
/// blocks, wherever in a prompt and whoever sends it.
short_digest blockIdentity(std::string_view Service, std::string_view Block);

} // namespace olivevalve

#endif // OLIVEVALVE_QUARANTINE_REQUEST_CAUSES_H
