//===- engine.h - The contract with engines and services --------*- C++ -*-===//
//
// All that is known of a model engine's interface stands here: where requests
// go, how priority and usage are written, how load is read. See
// docs/INTERFACES.md.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_ENGINE_H
#define OLIVEVALVE_SIDECAR_ENGINE_H

#include "net/http_client.h"
#include "wire/wire.pb.h"
#include <optional>
#include <string>
#include <string_view>

namespace olivevalve {

/// Finds the usage object in an answer, plain or streamed, from its last
/// bytes; holds a few kilobytes at most.
class usage_scanner {
public:
  void feed(std::string_view Bytes);
  /// None if the answer carried none.
  std::optional<wire::usage> usage() const;

private:
  std::string Tail;
};

/// Load as the engine reports it.
struct engine_load {
  double CacheInUse = 0; ///< KV cache, 0 to 1.
  double At = 0;         ///< When it was read.
};

std::optional<engine_load> parseEngineLoad(std::string_view Body, double Now);

/// The HTTP request for an attempt.
fetch_options engineRequest(const wire::attempt &Attempt,
                            const std::string &BaseUrl);

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_ENGINE_H
