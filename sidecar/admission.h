//===- admission.h - Admission check for attempts ---------------*- C++ -*-===//
//
// An attempt starts at an upstream only if this check allows it, whatever the
// entry assumed. It uses the sidecar's own configuration, held under its own
// lease. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_ADMISSION_H
#define OLIVEVALVE_SIDECAR_ADMISSION_H

#include "absl/status/status.h"
#include "catalog/catalog.h"
#include "lease/evacuated_halls.h"
#include "wire/wire.pb.h"
#include <set>

namespace olivevalve {

/// State of the sidecar that performs the check.
struct admission_state {
  std::string Upstream;
  uint64_t Incarnation = 0;
  bool HasLease = false;
  bool Stopping = false;
  /// Versions that the engine holds; required for managed upstreams only.
  const std::set<version_name> *Loaded = nullptr;
  const evacuated_halls *Evacuated = nullptr; ///< Null: no data hall.
};

/// OK, or an error whose kind and message are returned to the entry.
absl::Status admit(const wire::attempt &Attempt, const admission_state &State,
                   const catalog &Config);

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_ADMISSION_H
