//===- upstream_table.cpp - Upstreams that an entry speaks to -------------===//

#include "gateway/upstream_table.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// The first failure keeps new work away for a short time, each one after it
// for twice as long: a restart takes seconds, a lost packet none.
constexpr double FirstPause = 0.5;
constexpr double LongestPause = 8;
constexpr unsigned MostDoublings = 4;
// Where nothing may be repeated an upstream that failed waits so long, unless
// it answers something else before.
constexpr double UnprovenSeconds = 10;
// A load told longer ago says nothing of the present one.
constexpr double LoadLifetime = 2;
// Upstreams queue a few requests for each slot. What says more is absurd, and
// would keep all work away.
constexpr uint32_t MostToldPerSlot = 16;
// The platform's list tells an end after some 2 s, and gateways have it a
// second later.
constexpr double DoubtSeconds = 4;
// What asks for more is absurd, and would be lost to its service.
constexpr double LongestRest = 60;
constexpr double LongestCold = 60;
// Of a service. A gateway that is wrong about more would send all the others to
// the rest.
constexpr double MostDoubted = 0.5;

} // namespace

bool upstream::loadKnown(double Now) const {
  return ToldAt > 0 && Now <= ToldAt + LoadLifetime;
}

double upstream::load(double Now, uint32_t Others) const {
  double Known = double(InFlight) + Others;
  return loadKnown(Now) ? std::max(Known, Told + Known - KnownThen) : Known;
}

void upstream::heardLoad(uint32_t Load, double Now, uint32_t Others) {
  Told = std::min(Load, MostToldPerSlot * std::max(1U, Listed.Slots));
  ToldAt = Now;
  KnownThen = InFlight + Others;
}

void upstream::failed(double Now) {
  double Pause = FirstPause * double(1U << std::min(Strikes, MostDoublings));
  SuspectUntil = Now + std::min(Pause, LongestPause);
  UnprovenUntil = Now + UnprovenSeconds;
  ++Strikes;
}

void upstream::doubt(double Now) { DoubtedUntil = Now + DoubtSeconds; }

void upstream::rest(double Seconds, double Now) {
  RestsUntil = std::max(RestsUntil, Now + std::min(Seconds, LongestRest));
}

bool upstream::cold(double Now) const {
  bool IsListed = ListedColdAt > 0 && Now < ListedColdAt + LongestCold;
  return IsListed || Now < SupposedColdUntil;
}

void upstream::supposeCold(double Seconds, double Now) {
  SupposedColdUntil =
      std::max(SupposedColdUntil, Now + std::min(Seconds, LongestCold));
}

void upstream::list(platform::listed_upstream Entry, double Now) {
  if (Entry.ColdSeconds <= 0)
    ListedColdAt = 0;
  else if (ListedColdAt == 0)
    ListedColdAt = Now;
  Listed = std::move(Entry);
}

void upstream::answered() {
  Strikes = 0;
  DoubtedUntil = 0;
}

// Without a start the id alone tells: upstreams of before never told one.
std::shared_ptr<upstream>
upstream_table::incarnationOf(platform::listed_upstream Listed,
                              double Now) const {
  auto It = ById.find(Listed.Id);
  if (It != ById.end()) {
    uint64_t Known = It->second->Listed.StartedMs;
    bool Late = Listed.StartedMs != 0 && Listed.StartedMs < Known;
    bool Again = Known != 0 && Listed.StartedMs > Known;
    if (Late)
      return It->second;
    if (!Again) {
      Listed.StartedMs = std::max(Listed.StartedMs, Known);
      It->second->list(std::move(Listed), Now);
      return It->second;
    }
  }
  auto New = std::make_shared<upstream>();
  // Told and remembered under its place: what was of the start before does not
  // count for this one, however late it comes.
  New->Place = checksum(Listed.Id, Listed.StartedMs);
  New->list(std::move(Listed), Now);
  return New;
}

std::vector<std::shared_ptr<upstream>>
upstream_table::update(std::vector<platform::listed_upstream> List,
                       double Now) {
  std::map<std::string, std::shared_ptr<upstream>> Next;
  ByService.clear();
  Places.clear();
  std::map<std::string, std::map<std::string, int>> Versions;
  for (platform::listed_upstream &Listed : List) {
    auto Upstream = incarnationOf(std::move(Listed), Now);
    Upstream->Evacuated = EvacuatedHalls.contains(Upstream->Listed.DataHall);
    ++Versions[Upstream->Listed.Service][Upstream->Listed.Version];
    ByService[Upstream->Listed.Service].push_back(Upstream);
    Places[Upstream->Place] = Upstream;
    std::string Id = Upstream->Listed.Id;
    Next[Id] = std::move(Upstream);
  }
  for (auto &[Service, Upstreams] : ByService)
    std::sort(Upstreams.begin(), Upstreams.end(),
              [](const auto &A, const auto &B) { return A->Place < B->Place; });
  std::vector<std::shared_ptr<upstream>> Left;
  for (auto &[Id, Upstream] : ById)
    if (auto It = Next.find(Id); It == Next.end() || It->second != Upstream) {
      Upstream->Gone = true;
      Left.push_back(Upstream);
    }
  ById = std::move(Next);
  for (auto &[Service, Counts] : Versions) {
    auto Most = std::max_element(
        Counts.begin(), Counts.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    Settled.try_emplace(Service, Most->first);
  }
  return Left;
}

std::shared_ptr<upstream> upstream_table::at(uint64_t Place) const {
  auto It = Places.find(Place);
  return It == Places.end() ? nullptr : It->second;
}

bool upstream_table::doubt(uint64_t Place, double Now) {
  auto Upstream = at(Place);
  if (!Upstream)
    return false;
  const auto &Service = ofService(Upstream->Listed.Service);
  auto Doubted =
      std::count_if(Service.begin(), Service.end(),
                    [Now](const auto &Each) { return Each->doubted(Now); });
  if (double(Doubted + 1) > MostDoubted * double(Service.size()))
    return false;
  Upstream->doubt(Now);
  return true;
}

std::vector<std::shared_ptr<upstream>>
upstream_table::setEvacuated(std::set<std::string, std::less<>> DataHalls) {
  EvacuatedHalls = std::move(DataHalls);
  std::vector<std::shared_ptr<upstream>> Restored;
  for (auto &[Id, Upstream] : ById) {
    bool Was = Upstream->Evacuated;
    Upstream->Evacuated = EvacuatedHalls.contains(Upstream->Listed.DataHall);
    if (Was && !Upstream->Evacuated)
      Restored.push_back(Upstream);
  }
  return Restored;
}

bool upstream_table::allEvacuated(const std::string &Service) const {
  const auto &All = ofService(Service);
  return !All.empty() &&
         std::all_of(All.begin(), All.end(),
                     [](const auto &Each) { return Each->Evacuated; });
}

std::map<std::string, uint32_t> upstream_table::openInEvacuated() const {
  std::map<std::string, uint32_t> Open;
  for (const std::string &Hall : EvacuatedHalls)
    Open[Hall] = 0;
  for (const auto &[Id, Upstream] : ById)
    if (Upstream->Evacuated)
      Open[Upstream->Listed.DataHall] += Upstream->InFlight;
  return Open;
}

double upstream_table::soonestRest(const std::string &Service,
                                   double Now) const {
  double Soonest = 0;
  for (const auto &Each : ofService(Service)) {
    if (Each->takesNew(Now))
      return 0;
    double Seconds = Each->restsUntil() - Now;
    if (Each->mayRest() && (Soonest == 0 || Seconds < Soonest))
      Soonest = Seconds;
  }
  return Soonest;
}

const std::vector<std::shared_ptr<upstream>> &
upstream_table::ofService(const std::string &Service) const {
  static const std::vector<std::shared_ptr<upstream>> None;
  auto It = ByService.find(Service);
  return It == ByService.end() ? None : It->second;
}

void upstream_table::unsettleVersion(const std::string &Service,
                                     const std::string &Version) {
  auto It = Settled.find(Service);
  if (It == Settled.end() || It->second != Version)
    return;
  for (const auto &Upstream : ofService(Service))
    if (Upstream->Listed.Version != Version)
      It->second = Upstream->Listed.Version;
}

const std::string &
upstream_table::settledVersion(const std::string &Service) const {
  static const std::string None;
  auto It = Settled.find(Service);
  return It == Settled.end() ? None : It->second;
}

} // namespace olivevalve
