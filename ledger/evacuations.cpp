//===- evacuations.cpp - Data halls that get no new requests --------------===//

#include "ledger/evacuations.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace olivevalve {

absl::Status evacuation_store::apply(const wire::evacuation_change &Change,
                                     double WallSeconds) {
  bool IsEvacuated = Halls.contains(Change.data_hall());
  if (IsEvacuated != Change.restore())
    return absl::OkStatus();
  if (Change.restore()) {
    Halls.erase(Change.data_hall());
  } else if (Halls.size() >= MaxHalls) {
    return makeError(error_kind::Conflict,
                     absl::StrCat(MaxHalls, " data halls are evacuated, which "
                                            "is the limit; restore one first"));
  } else {
    wire::evacuation &Evacuation = Halls[Change.data_hall()];
    Evacuation.set_data_hall(Change.data_hall());
    Evacuation.set_since_wall(WallSeconds);
  }
  ++Revision;
  return absl::OkStatus();
}

void evacuation_store::fillUpdate(uint64_t HeldRevision,
                                  wire::evacuation_news &Update) const {
  if (Revision <= HeldRevision)
    return;
  Update.set_revision(Revision);
  for (const auto &[Name, Evacuation] : Halls)
    *Update.add_evacuations() = Evacuation;
}

void evacuation_store::save(wire::state_image &Image) const {
  Image.set_evacuations_revision(Revision);
  for (const auto &[Name, Evacuation] : Halls)
    *Image.add_evacuations() = Evacuation;
}

void evacuation_store::load(const wire::state_image &Image) {
  Revision = Image.evacuations_revision();
  for (const wire::evacuation &Evacuation : Image.evacuations())
    Halls[Evacuation.data_hall()] = Evacuation;
}

} // namespace olivevalve
