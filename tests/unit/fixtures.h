//===- fixtures.h - Small catalogs and commands -----------------*- C++ -*-===//

#ifndef OLIVEVALVE_TESTS_UNIT_FIXTURES_H
#define OLIVEVALVE_TESTS_UNIT_FIXTURES_H

#include "catalog/catalog.h"
#include <functional>

namespace olivevalve {

/// Returns a change set that creates or replaces one object.
wire::change_set put(const std::string &Kind, const std::string &Name,
                     const std::string &Document);

/// Returns a catalog at index 5 with model m (versions 1 and 2), service led,
/// account acc that may use m@1 and led, and the upstreams u (both versions)
/// and s (led).
catalog smallCatalog();

/// Returns a serialized command of the replicated log, filled by \p Fill.
std::string commandText(const std::function<void(wire::command &)> &Fill);

/// Returns a claim of account a in the space "request".
wire::claim claimOf(const std::string &Key, const std::string &Value);

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_UNIT_FIXTURES_H
