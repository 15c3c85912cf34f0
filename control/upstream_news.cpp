//===- upstream_news.cpp - The list of upstreams, for all gateways --------===//

#include "control/upstream_news.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Nothing new may go to a leaving upstream some 3 s after it is listed so; the
// list itself lags by about one.
constexpr double AskSeconds = 0.9;
// Changes that are kept: at one a second more than a gateway misses before it
// asks for itself.
constexpr size_t MostChanges = 32;
// Revisions of one start; the rest of the number names the start.
constexpr unsigned CounterBits = 24;

wire::listed_upstream entryOf(const platform::listed_upstream &Listed) {
  wire::listed_upstream Entry;
  Entry.set_id(Listed.Id);
  Entry.set_service(Listed.Service);
  Entry.set_address(Listed.Address);
  Entry.set_data_hall(Listed.DataHall);
  Entry.set_version(Listed.Version);
  Entry.set_slots(Listed.Slots);
  Entry.set_leaving(Listed.Leaving);
  Entry.set_started_ms(Listed.StartedMs);
  return Entry;
}

} // namespace

upstream_history::upstream_history(uint64_t NewStart)
    : Start((NewStart << CounterBits) + 1) {}

bool upstream_history::take(
    const std::vector<platform::listed_upstream> &Listed) {
  std::map<std::string, wire::listed_upstream> Next;
  for (const platform::listed_upstream &Each : Listed)
    Next[Each.Id] = entryOf(Each);
  change Change;
  for (const auto &[Id, Entry] : Next) {
    auto It = Entries.find(Id);
    if (It == Entries.end() ||
        It->second.SerializeAsString() != Entry.SerializeAsString())
      Change.Ids.insert(Id);
  }
  for (const auto &[Id, Entry] : Entries)
    if (!Next.contains(Id))
      Change.Ids.insert(Id);
  if (Revision != 0 && Change.Ids.empty())
    return false;
  Entries = std::move(Next);
  Revision = Revision == 0 ? Start : Revision + 1;
  Change.Revision = Revision;
  Changes.push_back(std::move(Change));
  if (Changes.size() > MostChanges)
    Changes.pop_front();
  return true;
}

wire::upstream_list upstream_history::since(uint64_t Held) const {
  wire::upstream_list List;
  bool Known = !Changes.empty() && Held + 1 >= Changes.front().Revision &&
               Held <= Revision && Held >= Start;
  if (!Known) {
    List.set_whole(true);
    for (const auto &[Id, Entry] : Entries)
      *List.add_upstreams() = Entry;
    return List;
  }
  List.set_since(Held);
  std::set<std::string> Ids;
  for (const change &Change : Changes)
    if (Change.Revision > Held)
      Ids.insert(Change.Ids.begin(), Change.Ids.end());
  for (const std::string &Id : Ids) {
    auto It = Entries.find(Id);
    if (It == Entries.end())
      List.add_gone(Id);
    else
      *List.add_upstreams() = It->second;
  }
  return List;
}

upstream_news::upstream_news(struct ev_loop *Loop, const std::string &Address)
    : History(randomIncarnation()) {
  if (!Address.empty())
    Client = std::make_unique<platform::list_client>(Loop, Address);
}

void upstream_news::tick(double Now, bool Leads) {
  if (!Client || !Leads || Client->asking() || Now < AskedAt + AskSeconds)
    return;
  AskedAt = Now;
  Client->ask([this](const auto &Listed) {
    if (!Listed)
      return;
    HadAt = AskedAt;
    if (!History.take(*Listed))
      return;
    logLine(log_level::Info, "list of upstreams changed",
            {{"listed", int64_t(History.size())},
             {"revision", int64_t(History.revision())}});
    if (OnChange)
      OnChange();
  });
}

void upstream_news::fill(uint64_t HeldRevision, double Now,
                         wire::notice &Notice) const {
  if (History.revision() == 0)
    return;
  Notice.set_upstreams_revision(History.revision());
  Notice.set_upstreams_age(Now - HadAt);
  if (History.revision() != HeldRevision)
    *Notice.mutable_upstreams() = History.since(HeldRevision);
}

} // namespace olivevalve
