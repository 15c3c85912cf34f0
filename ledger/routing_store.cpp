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
  auto Document = documentOf(Change);
  if (!Document)
    return makeError(error_kind::NoQuorum,
                     "the routing was changed by another request; retry");
  Current.set_version(Change.version());
  Current.set_document(*std::move(Document));
  return absl::OkStatus();
}

std::optional<std::string>
routing_store::documentOf(const wire::routing_change &Change) const {
  switch (Change.content()) {
  case wire::ROUTING_DOCUMENT:
    if (Change.document().empty())
      return std::nullopt;
    return Change.document();
  case wire::ROUTING_PATCH:
    return patched(Change);
  case wire::ROUTING_UNSTATED:
    // Also if the document is empty: control VMs that do not state the content
    // apply it, and all of them have to reach the same state.
    return Change.base_version() == 0 ? Change.document() : patched(Change);
  default:
    return std::nullopt;
  }
}

std::optional<std::string>
routing_store::patched(const wire::routing_change &Change) const {
  if (Change.base_version() != Current.version())
    return std::nullopt;
  auto Document =
      applyPatch(Current.document(), Change.steps(), MaxDocumentBytes);
  if (!Document || checksum(*Document) != Change.digest())
    return std::nullopt;
  return Document;
}

wire::routing_change makeRoutingChange(uint64_t BaseVersion,
                                       const std::string &Base,
                                       uint64_t Version,
                                       const std::string &Document) {
  wire::routing_change Full;
  Full.set_version(Version);
  Full.set_document(Document);
  Full.set_content(wire::ROUTING_DOCUMENT);
  if (BaseVersion == 0)
    return Full;
  wire::routing_change Change;
  Change.set_version(Version);
  Change.set_base_version(BaseVersion);
  *Change.mutable_steps() = makePatch(Base, Document);
  Change.set_digest(checksum(Document));
  Change.set_content(wire::ROUTING_PATCH);
  return Change.ByteSizeLong() < Full.ByteSizeLong() ? Change : Full;
}

wire::routing_change makeRoutingResend(uint64_t BaseVersion, uint64_t Version) {
  wire::routing_change Change;
  Change.set_version(Version);
  Change.set_base_version(BaseVersion);
  Change.set_content(wire::ROUTING_RESEND);
  return Change;
}

} // namespace olivevalve
