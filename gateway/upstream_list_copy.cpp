//===- upstream_list_copy.cpp - A gateway's copy of the upstream list -----===//

#include "gateway/upstream_list_copy.h"
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

bool upstream_copy::apply(const wire::upstream_list &Update) {
  auto Entries = platform::decodeUpstreams(Update);
  bool Applicable = Update.whole() || Update.since() == Revision;
  if (!Entries || !Applicable)
    return false;
  if (Update.whole())
    ById.clear();
  for (const std::string &Id : Update.gone())
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
