//===- connection_share.h - Share of an upstream's connections --*- C++ -*-===//
//
// An upstream resets connections beyond its own limit, which all gateways
// share. Each has an equal part at any time and, beyond it, what the others do
// not use: callers may all come to a few gateways.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_CONNECTION_SHARE_H
#define OLIVEVALVE_POLICY_CONNECTION_SHARE_H

#include <cstddef>
#include <cstdint>

namespace olivevalve {

/// What a gateway knows of the connections to one upstream.
struct connection_use {
  uint32_t Limit = 0;    ///< Of the upstream, for all gateways together.
  uint32_t Gateways = 1; ///< That share the limit.
  /// Gateways from which reports are expected, and those that have reported in
  /// the last seconds, without this one.
  size_t ExpectedReports = 0;
  size_t Reports = 0;
  uint32_t Others = 0; ///< Connections of the gateways that report.
};

/// Returns how many connections this gateway may have to the upstream.
uint32_t connectionShare(const connection_use &Use);

/// True if the upstream has few connections left. Gateways then close idle ones
/// early. \p Own: connections of this gateway.
bool isShortOfConnections(const connection_use &Use, uint32_t Own);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_CONNECTION_SHARE_H
