//===- upstream_list_publisher.cpp - The list of upstreams for gateways ---===//

#include "control/upstream_list_publisher.h"
#include "base/clock.h"
#include "base/log.h"
#include "platform/upstream_list_wire.h"
#include <algorithm>

namespace olivevalve {

namespace {

// An upstream may get no new requests from about 3 s after it is listed as
// leaving, and the list itself lags by about 1 s.
constexpr double MinPollSeconds = 0.9;
// A list of many pages is polled less often. The platform's settings allow 40
// calls a second for all clients together; this keeps control at 33.
constexpr double PollSecondsPerPage = 0.03;
// Pages that the platform is too busy to return are retried for this long, so
// that one busy response does not fail a list of many pages.
constexpr double MaxBusySeconds = 3;
// Changes kept. At one change a second, these cover more time than a gateway
// goes without updates before it fetches the list for itself.
constexpr size_t MaxChanges = 32;

// A complete list may take this long to arrive when many gateways get it at
// once. Until then it is not sent again with each watch message of the
// gateway, which bounds what the leader sends.
constexpr double FullListTransitSeconds = 2;

} // namespace

bool upstream_history::setList(
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
  if (Changes.size() > MaxChanges)
    Changes.pop_front();
  return true;
}

std::map<std::string, size_t> upstream_history::countByHall() const {
  std::map<std::string, size_t> Counts;
  for (const auto &[Id, Entry] : Entries)
    ++Counts[Entry.DataHall];
  return Counts;
}

std::map<std::string, size_t>
upstream_history::countByVersion(std::string_view Service) const {
  std::map<std::string, size_t> Counts;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Service == Service)
      ++Counts[Entry.Version];
  return Counts;
}

bool upstream_history::contains(uint64_t Held) const {
  return std::any_of(Changes.begin(), Changes.end(), [&](const change &Change) {
    return Change.Revision == Held;
  });
}

wire::upstream_list upstream_history::changesSince(uint64_t Held) const {
  wire::upstream_list List;
  // The latest match: a list may return to an earlier state, and so to an
  // earlier revision.
  auto Base =
      std::find_if(Changes.rbegin(), Changes.rend(), [&](const change &Change) {
        return Change.Revision == Held;
      });
  if (Base == Changes.rend()) {
    List.set_whole(true);
    for (const auto &[Id, Entry] : Entries)
      platform::appendUpstream(List, Entry);
    return List;
  }
  List.set_since(Held);
  std::set<std::string> Ids;
  for (auto It = Changes.rbegin(); It != Base; ++It)
    Ids.insert(It->Ids.begin(), It->Ids.end());
  for (const std::string &Id : Ids) {
    auto It = Entries.find(Id);
    if (It == Entries.end())
      List.add_gone(Id);
    else
      platform::appendUpstream(List, It->second);
  }
  return List;
}

upstream_list_publisher::upstream_list_publisher(struct ev_loop *Loop,
                                                 const std::string &Address)
    : PollSeconds(MinPollSeconds) {
  if (!Address.empty())
    Client = std::make_unique<platform::list_client>(
        Loop, platform::list_client_options{
                  .Address = Address, .BusyRetrySeconds = MaxBusySeconds});
}

void upstream_list_publisher::tick(double Now, bool Leads) {
  if (!Client || !Leads || Client->isFetching() ||
      Now < RequestedAt + PollSeconds)
    return;
  RequestedAt = Now;
  Client->fetch([this](const auto &Listed) {
    if (!Listed)
      return;
    FetchedAt = RequestedAt;
    PollSeconds =
        std::max(MinPollSeconds, PollSecondsPerPage * double(Client->pages()));
    if (!History.setList(*Listed))
      return;
    logLine(log_level::Info, "list of upstreams has changed",
            {{"listed", int64_t(History.size())},
             {"revision", int64_t(History.revision())}});
    if (OnChange)
      OnChange();
  });
}

void upstream_list_publisher::fill(const held_upstream_list &Held, double Now,
                                   wire::notice &Notice) const {
  if (History.revision() == 0)
    return;
  Notice.set_upstreams_revision(History.revision());
  Notice.set_upstreams_age(Now - FetchedAt);
  Notice.set_upstreams_period(PollSeconds);
  // A gateway that fetched the list from the platform may hold a newer one.
  bool HoldsNewer = Held.Revision != 0 && Held.FetchedAt > FetchedAt;
  if (History.revision() == Held.Revision || HoldsNewer)
    return;
  bool InTransit = Now < Held.FullListSentAt + FullListTransitSeconds;
  if (InTransit && !History.contains(Held.Revision))
    return;
  *Notice.mutable_upstreams() = History.changesSince(Held.Revision);
}

} // namespace olivevalve
