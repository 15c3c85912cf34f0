//===- routing_store.cpp - The replicated routing document ----------------===//

#include "ledger/routing_store.h"
#include "base/digest.h"
#include "base/error.h"
#include "ledger/text_patch.h"

namespace olivevalve {

namespace {

// Bounds a patched document; equal to the limit on an operator's HTTP request.
constexpr size_t MaxDocumentBytes = 16 << 20;

} // namespace

absl::Status routing_store::apply(const wire::routing_change &Change) {
  // A version that is not higher is a resend, or was overtaken by a concurrent
  // change.
  if (Change.version() <= Current.version())
    return absl::OkStatus();
  if (Change.base_version() == 0) {
    Current = Change;
    return absl::OkStatus();
  }
  auto Document =
      Change.base_version() == Current.version()
          ? applyPatch(Current.document(), Change.steps(), MaxDocumentBytes)
          : std::nullopt;
  if (!Document || checksum(*Document) != Change.digest())
    return makeError(error_kind::NoQuorum,
                     "the routing was changed by another request; retry");
  Current.set_version(Change.version());
  Current.set_document(*std::move(Document));
  return absl::OkStatus();
}

wire::routing_change makeRoutingChange(uint64_t BaseVersion,
                                       const std::string &Base,
                                       uint64_t Version,
                                       const std::string &Document) {
  wire::routing_change Full;
  Full.set_version(Version);
  Full.set_document(Document);
  if (BaseVersion == 0)
    return Full;
  wire::routing_change Change;
  Change.set_version(Version);
  Change.set_base_version(BaseVersion);
  *Change.mutable_steps() = makePatch(Base, Document);
  Change.set_digest(checksum(Document));
  return Change.ByteSizeLong() < Full.ByteSizeLong() ? Change : Full;
}

} // namespace olivevalve
