//===- fixtures.h - Small catalogs and commands -----------------*- C++ -*-===//

#ifndef OLIVEVALVE_TESTS_UNIT_FIXTURES_H
#define OLIVEVALVE_TESTS_UNIT_FIXTURES_H

#include "catalog/catalog.h"
#include <functional>

namespace olivevalve {

/// A change set that puts one object.
wire::change_set put(const std::string &Kind, const std::string &Name,
                     const std::string &Document);

/// Model m with versions 1 and 2, service led, account acc that may use m@1
/// and led, upstreams u (both versions) and s (led); at index 5.
catalog smallCatalog();

/// A command of the log, filled by \p Fill.
std::string commandText(const std::function<void(wire::command &)> &Fill);

/// A claim of account a.
wire::claim claimOf(const std::string &Key, const std::string &Value);

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_UNIT_FIXTURES_H
