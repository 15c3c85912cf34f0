//===- routing_store.h - The replicated routing document --------*- C++ -*-===//
//
// Holds the routing document with the highest version, as the operator sent it.
// In control's log a new document may be stored as a patch of the previous one.
// Part of the replicated state.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEDGER_ROUTING_STORE_H
#define OLIVEVALVE_LEDGER_ROUTING_STORE_H

#include "absl/status/status.h"
#include "wire/wire.pb.h"
#include <optional>
#include <string>

namespace olivevalve {

/// The current routing document.
class routing_store {
public:
  /// 0: there is no document yet.
  uint64_t version() const { return Current.version(); }
  const std::string &document() const { return Current.document(); }

  /// Replaces the document by a newer version; an older or equal version is
  /// ignored. NoQuorum: the change is newer but does not give the document, or
  /// is a patch of another one; nothing is changed.
  absl::Status apply(const wire::routing_change &Change);
  /// True if the document of the version was lost. Control VMs that do not
  /// state the content of a change replace it by an empty one if they take a
  /// resent version for a newer one.
  bool isLost() const { return version() != 0 && document().empty(); }

  void save(wire::state_image &Image) const {
    *Image.mutable_routing() = Current;
  }
  void load(const wire::state_image &Image) { Current = Image.routing(); }

private:
  /// The document that \p Change sets; none: it cannot be obtained.
  std::optional<std::string>
  documentOf(const wire::routing_change &Change) const;
  std::optional<std::string> patched(const wire::routing_change &Change) const;

  wire::routing_change Current; ///< Always holds the complete document.
};

/// The log command that sets \p Document as \p Version. It holds a patch of
/// \p Base if \p BaseVersion is not 0 and the patch is shorter than the
/// document.
wire::routing_change makeRoutingChange(uint64_t BaseVersion,
                                       const std::string &Base,
                                       uint64_t Version,
                                       const std::string &Document);

/// The log command for a \p Version that is not newer than \p BaseVersion, the
/// newest one in the log. It changes nothing, and fails if \p BaseVersion was
/// not applied. Control VMs that do not know ROUTING_RESEND take it for a patch
/// that does not fit, with the same result.
wire::routing_change makeRoutingResend(uint64_t BaseVersion, uint64_t Version);

} // namespace olivevalve

#endif // OLIVEVALVE_LEDGER_ROUTING_STORE_H
