//===- evacuated_halls.cpp - Data halls that get no new requests ----------===//

#include "lease/evacuated_halls.h"
#include "base/log.h"

namespace olivevalve {

bool evacuated_halls::applyUpdate(const wire::evacuation_news &Update) {
  if (Update.revision() <= Revision)
    return false;
  std::set<std::string, std::less<>> Next;
  for (const wire::evacuation &Each : Update.evacuations())
    Next.insert(Each.data_hall());
  for (const std::string &Hall : Next)
    if (!Halls.contains(Hall))
      logLine(log_level::Info, "data hall evacuated",
              {{"data_hall", Hall}, {"revision", int64_t(Update.revision())}});
  for (const std::string &Hall : Halls)
    if (!Next.contains(Hall))
      logLine(log_level::Info, "data hall restored",
              {{"data_hall", Hall}, {"revision", int64_t(Update.revision())}});
  Halls = std::move(Next);
  Revision = Update.revision();
  return true;
}

} // namespace olivevalve
