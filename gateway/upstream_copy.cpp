//===- upstream_copy.cpp - A gateway's copy of the list -------------------===//

#include "gateway/upstream_copy.h"
#include "platform/upstream_list_wire.h"

namespace olivevalve {

void upstream_copy::set(std::vector<platform::listed_upstream> List) {
  ById.clear();
  for (platform::listed_upstream &Each : List) {
    std::string Id = Each.Id;
    ById.insert_or_assign(std::move(Id), std::move(Each));
  }
  Revision = platform::revisionOf(ById);
}

bool upstream_copy::take(const wire::upstream_list &Told) {
  auto Entries = platform::entriesOf(Told);
  bool Fits = Told.whole() || Told.since() == Revision;
  if (!Entries || !Fits)
    return false;
  if (Told.whole())
    ById.clear();
  for (const std::string &Id : Told.gone())
    ById.erase(Id);
  for (platform::listed_upstream &Each : *Entries) {
    std::string Id = Each.Id;
    ById.insert_or_assign(std::move(Id), std::move(Each));
  }
  Revision = platform::revisionOf(ById);
  return true;
}

std::vector<platform::listed_upstream> upstream_copy::list() const {
  std::vector<platform::listed_upstream> List;
  List.reserve(ById.size());
  for (const auto &[Id, Each] : ById)
    List.push_back(Each);
  return List;
}

} // namespace olivevalve
