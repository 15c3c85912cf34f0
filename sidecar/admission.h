//===- admission.h - The last check before work starts ----------*- C++ -*-===//
//
// Whatever an entry believed, work starts at an upstream only if this says
// yes, from the sidecar's own configuration under its own lease. Pure.
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

/// What the sidecar knows of itself when it is asked.
struct admission_state {
  std::string Upstream;
  uint64_t Incarnation = 0;
  bool HasLease = false;
  bool Stopping = false;
  /// What the engine holds; needed for managed upstreams only.
  const std::set<version_name> *Loaded = nullptr;
  const evacuated_halls *Evacuated = nullptr; ///< Null: none.
};

/// OK, or the error kind that the entry is told.
absl::Status admit(const wire::attempt &Attempt, const admission_state &State,
                   const catalog &Config);

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_ADMISSION_H
