//===- routing_book.cpp - The routing document in control's log -----------===//

#include "ledger/routing_book.h"
#include "base/digest.h"
#include "base/error.h"
#include "ledger/text_patch.h"

namespace olivevalve {

namespace {

// As long as an operator's call may be.
constexpr size_t MostDocumentBytes = 16 << 20;

} // namespace

absl::Status routing_book::apply(const wire::routing_change &Change) {
  // A document under a version that is not higher changes nothing: it is a
  // resend, or the loser of a race.
  if (Change.version() <= Current.version())
    return absl::OkStatus();
  if (Change.base_version() == 0) {
    Current = Change;
    return absl::OkStatus();
  }
  auto Document =
      Change.base_version() == Current.version()
          ? applyPatch(Current.document(), Change.steps(), MostDocumentBytes)
          : std::nullopt;
  if (!Document || checksum(*Document) != Change.digest())
    return makeError(error_kind::NoQuorum,
                     "the routing was changed meanwhile; send it again");
  Current.set_version(Change.version());
  Current.set_document(*std::move(Document));
  return absl::OkStatus();
}

wire::routing_change makeChange(uint64_t BaseVersion, const std::string &Base,
                                uint64_t Version, const std::string &Document) {
  wire::routing_change Whole;
  Whole.set_version(Version);
  Whole.set_document(Document);
  if (BaseVersion == 0)
    return Whole;
  wire::routing_change Change;
  Change.set_version(Version);
  Change.set_base_version(BaseVersion);
  *Change.mutable_steps() = makePatch(Base, Document);
  Change.set_digest(checksum(Document));
  return Change.ByteSizeLong() < Whole.ByteSizeLong() ? Change : Whole;
}

} // namespace olivevalve
