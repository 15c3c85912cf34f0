//===- routing_parts.h - A routing configuration in parts -------*- C++ -*-===//
//
// Takes a routing configuration apart into named parts (routes, services,
// client accounts, the limits), so that a change can travel as the parts that
// it touches. A digest over all parts tells whether two holders have the same.
// Pure.
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

/// Encoded parts by name; names are the same in every version, and one part is
/// always encoded to the same bytes.
using encoded_parts = std::map<std::string, std::string>;

encoded_parts encodeParts(const routing_config &Config);

/// None if \p Bytes are no part that this program knows.
std::optional<routing_part> decodePart(std::string_view Bytes);

/// Of one part; that of a whole routing is the sum over its parts, so that it
/// follows a change without a look at the rest.
uint64_t partDigest(std::string_view Name, std::string_view Bytes);

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_PARTS_H
