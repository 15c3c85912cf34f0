//===- engine.h - Interface of engines and plain services -------*- C++ -*-===//
//
// The only place that knows the interface of model engines: the target of
// requests, how priority and usage are encoded, and how the load is read. See
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

/// Data of the event that ends each complete stream of an engine.
inline constexpr std::string_view FinalEventData = "[DONE]";

/// Finds the usage object in a plain or streamed response. It buffers only the
/// last few kilobytes.
class usage_scanner {
public:
  void feed(std::string_view Bytes);
  /// Empty if the response contains none.
  std::optional<wire::usage> usage() const;

private:
  std::string Tail;
};

/// Load as the engine reports it.
struct engine_load {
  double CacheInUse = 0; ///< Share of the KV cache in use, 0 to 1.
  double At = 0;         ///< When it was read, by steadySeconds().
};

/// Empty if \p Body is not a valid load report.
std::optional<engine_load> parseEngineLoad(std::string_view Body, double Now);

/// The HTTP request that runs an attempt at the engine under \p BaseUrl.
fetch_options engineRequest(const wire::attempt &Attempt,
                            const std::string &BaseUrl);

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_ENGINE_H
