//===- routing_parts.h - Parts of a routing configuration -------*- C++ -*-===//
//
// Splits a routing configuration into named parts (routes, services, client
// accounts and the limits), so that a new version can be sent as the parts that
// it changes. A digest over all parts shows whether control and a gateway hold
// the same configuration. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_ROUTING_PARTS_H
#define OLIVEVALVE_CATALOG_ROUTING_PARTS_H

#include "catalog/routing.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace olivevalve {

using routing_part =
    std::variant<route_spec, routed_service, caller_account, caller_limits>;

/// Encoded parts by name. A part has the same name in every version, and equal
/// parts are encoded to equal bytes, so that versions can be compared.
using encoded_parts = std::map<std::string, std::string>;

encoded_parts encodeParts(const routing_config &Config);

/// Returns none if \p Bytes are corrupt or hold a part of an unknown type.
std::optional<routing_part> decodePart(std::string_view Bytes);

/// Digest of one part. The digest of a routing configuration is the sum of
/// those of its parts, so that it can be updated from the changed parts alone.
uint64_t partDigest(std::string_view Name, std::string_view Bytes);

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_PARTS_H
