//===- upstream_news.cpp - The list of upstreams, for all gateways --------===//

#include "control/upstream_news.h"
#include "base/clock.h"
#include "base/log.h"
#include "platform/upstream_list_wire.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Nothing new may go to a leaving upstream some 3 s after it is listed so; the
// list itself lags by about one.
constexpr double AskSeconds = 0.9;
// A long list is asked for less often: settings of the platform name 40 calls a
// second for all callers together, and this keeps to 33.
constexpr double SecondsPerPage = 0.03;
// In seconds: one busy answer must not end a list of many pages.
constexpr double BusyPatience = 3;
// Changes that are kept: at one a second more than a gateway misses before it
// asks for itself.
constexpr size_t MostChanges = 32;

// A whole list may be so long on its way to many gateways at once; until then
// it is not sent again with each of their questions, which bounds what the
// leader sends.
constexpr double WholeSeconds = 2;

} // namespace

bool upstream_history::take(
    const std::vector<platform::listed_upstream> &Listed) {
  std::map<std::string, platform::listed_upstream> Next;
  for (const platform::listed_upstream &Each : Listed)
    Next[Each.Id] = Each;
  uint64_t NextRevision = platform::revisionOf(Next);
  if (NextRevision == Revision) {
    Entries = std::move(Next);
    return false;
  }
  change Change{.Revision = NextRevision};
  for (const auto &[Id, Entry] : Next) {
    auto It = Entries.find(Id);
    if (It == Entries.end() ||
        platform::checksumOf(It->second) != platform::checksumOf(Entry))
      Change.Ids.insert(Id);
  }
  for (const auto &[Id, Entry] : Entries)
    if (!Next.contains(Id))
      Change.Ids.insert(Id);
  Entries = std::move(Next);
  Revision = NextRevision;
  Changes.push_back(std::move(Change));
  if (Changes.size() > MostChanges)
    Changes.pop_front();
  return true;
}

std::map<std::string, size_t> upstream_history::byHall() const {
  std::map<std::string, size_t> Counts;
  for (const auto &[Id, Entry] : Entries)
    ++Counts[Entry.DataHall];
  return Counts;
}

bool upstream_history::knows(uint64_t Held) const {
  return std::any_of(Changes.begin(), Changes.end(), [&](const change &Change) {
    return Change.Revision == Held;
  });
}

wire::upstream_list upstream_history::since(uint64_t Held) const {
  wire::upstream_list List;
  // The last time, as a list may come back to what it was.
  auto Last =
      std::find_if(Changes.rbegin(), Changes.rend(), [&](const change &Change) {
        return Change.Revision == Held;
      });
  if (Last == Changes.rend()) {
    List.set_whole(true);
    for (const auto &[Id, Entry] : Entries)
      platform::addTo(List, Entry);
    return List;
  }
  List.set_since(Held);
  std::set<std::string> Ids;
  for (auto It = Changes.rbegin(); It != Last; ++It)
    Ids.insert(It->Ids.begin(), It->Ids.end());
  for (const std::string &Id : Ids) {
    auto It = Entries.find(Id);
    if (It == Entries.end())
      List.add_gone(Id);
    else
      platform::addTo(List, It->second);
  }
  return List;
}

upstream_news::upstream_news(struct ev_loop *Loop, const std::string &Address)
    : Period(AskSeconds) {
  if (!Address.empty())
    Client = std::make_unique<platform::list_client>(
        Loop, platform::list_client_options{.Address = Address,
                                            .BusyPatience = BusyPatience});
}

void upstream_news::tick(double Now, bool Leads) {
  if (!Client || !Leads || Client->asking() || Now < AskedAt + Period)
    return;
  AskedAt = Now;
  Client->ask([this](const auto &Listed) {
    if (!Listed)
      return;
    HadAt = AskedAt;
    Period = std::max(AskSeconds, SecondsPerPage * double(Client->pages()));
    if (!History.take(*Listed))
      return;
    logLine(log_level::Info, "list of upstreams changed",
            {{"listed", int64_t(History.size())},
             {"revision", int64_t(History.revision())}});
    if (OnChange)
      OnChange();
  });
}

void upstream_news::fill(const held_upstreams &Held, double Now,
                         wire::notice &Notice) const {
  if (History.revision() == 0)
    return;
  Notice.set_upstreams_revision(History.revision());
  Notice.set_upstreams_age(Now - HadAt);
  Notice.set_upstreams_period(Period);
  // A gateway that asked the platform itself may hold a newer one.
  bool HoldsNewer = Held.Revision != 0 && Held.HadAt > HadAt;
  if (History.revision() == Held.Revision || HoldsNewer)
    return;
  bool UnderWay = Now < Held.ToldWholeAt + WholeSeconds;
  if (UnderWay && !History.knows(Held.Revision))
    return;
  *Notice.mutable_upstreams() = History.since(Held.Revision);
}

} // namespace olivevalve
