//===- upstream_table.cpp - Upstreams that a gateway uses -----------------===//

#include "gateway/upstream_table.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// An upstream is avoided for a short time after its first failure and for twice
// as long after each further one: a restart takes seconds, a lost packet no
// time.
constexpr double FirstSuspectSeconds = 0.5;
constexpr double MaxSuspectSeconds = 8;
constexpr unsigned MaxDoublings = 4;
// An upstream that failed is avoided for this long by requests that must not be
// repeated, unless it responds to another one before.
constexpr double UnrecoveredSeconds = 10;
// A load reported longer ago says nothing about the present one.
constexpr double LoadLifetimeSeconds = 2;
// Upstreams queue a few requests per slot. A higher reported load is not
// plausible, and would keep all requests away.
constexpr uint32_t MaxLoadPerSlot = 16;
// The platform's list shows a crash after some 2 s, and gateways receive it a
// second later.
constexpr double PresumedCrashSeconds = 4;
// A longer backoff or cold period is not plausible, and would take the upstream
// from its service.
constexpr double MaxBackoffSeconds = 60;
constexpr double MaxColdSeconds = 60;
// Of a service's upstreams, the fraction that may be presumed crashed on the
// reports of other gateways. If more could be, one gateway that reports wrongly
// would make all others send everything to the remaining upstreams.
constexpr double MaxPresumedFraction = 0.5;

} // namespace

bool upstream::hasFreshLoad(double Now) const {
  return ReportedAt > 0 && Now <= ReportedAt + LoadLifetimeSeconds;
}

double upstream::load(double Now, uint32_t Others) const {
  double Known = double(InFlight) + Others;
  return hasFreshLoad(Now)
             ? std::max(Known, ReportedLoad + Known - KnownAtReport)
             : Known;
}

void upstream::recordLoad(uint32_t Load, double Now, uint32_t Others) {
  ReportedLoad = std::min(Load, MaxLoadPerSlot * std::max(1U, Listed.Slots));
  ReportedAt = Now;
  KnownAtReport = InFlight + Others;
}

void upstream::recordFailure(double Now) {
  double Pause = FirstSuspectSeconds *
                 double(1U << std::min(ConsecutiveFailures, MaxDoublings));
  SuspectUntil = Now + std::min(Pause, MaxSuspectSeconds);
  UnrecoveredUntil = Now + UnrecoveredSeconds;
  ++ConsecutiveFailures;
}

void upstream::presumeCrashed(double Now) {
  PresumedCrashedUntil = Now + PresumedCrashSeconds;
}

void upstream::backOff(double Seconds, double Now) {
  BackoffUntil =
      std::max(BackoffUntil, Now + std::min(Seconds, MaxBackoffSeconds));
}

bool upstream::cold(double Now) const {
  bool IsListed = ListedColdAt > 0 && Now < ListedColdAt + MaxColdSeconds;
  return IsListed || Now < AssumedColdUntil;
}

bool upstream::stillAccepts(double AssignedAt, double Now) const {
  bool LimitIsNewer = Limit.requestsPerSecond() && Limit.beganAt() > AssignedAt;
  bool ColdIsNewer = cold(Now) && ListedColdAt > AssignedAt;
  return acceptsRequests(Now) && !LimitIsNewer && !ColdIsNewer;
}

void upstream::assumeCold(double Seconds, double Now) {
  AssumedColdUntil =
      std::max(AssumedColdUntil, Now + std::min(Seconds, MaxColdSeconds));
}

void upstream::list(platform::listed_upstream Entry, double Now) {
  if (Entry.ColdSeconds <= 0)
    ListedColdAt = 0;
  else if (ListedColdAt == 0)
    ListedColdAt = Now;
  Listed = std::move(Entry);
}

void upstream::recordResponse() {
  ConsecutiveFailures = 0;
  PresumedCrashedUntil = 0;
}

// Without a start time the id alone identifies the incarnation: older upstreams
// never reported one.
std::shared_ptr<upstream>
upstream_table::incarnationOf(platform::listed_upstream Listed,
                              double Now) const {
  auto It = ById.find(Listed.Id);
  if (It != ById.end()) {
    uint64_t Known = It->second->Listed.StartedMs;
    bool Outdated = Listed.StartedMs != 0 && Listed.StartedMs < Known;
    bool Restarted = Known != 0 && Listed.StartedMs > Known;
    if (Outdated)
      return It->second;
    if (!Restarted) {
      Listed.StartedMs = std::max(Listed.StartedMs, Known);
      It->second->list(std::move(Listed), Now);
      return It->second;
    }
  }
  auto New = std::make_shared<upstream>();
  // Reports and stored state refer to this key, which contains the start time:
  // those about an earlier start do not apply to this one, however late they
  // arrive.
  New->Key = checksum(Listed.Id, Listed.StartedMs);
  New->list(std::move(Listed), Now);
  return New;
}

std::vector<std::shared_ptr<upstream>>
upstream_table::update(std::vector<platform::listed_upstream> List,
                       double Now) {
  std::map<std::string, std::shared_ptr<upstream>> Next;
  ByService.clear();
  ByKey.clear();
  for (platform::listed_upstream &Listed : List) {
    auto Upstream = incarnationOf(std::move(Listed), Now);
    Upstream->Evacuated = EvacuatedHalls.contains(Upstream->Listed.DataHall);
    ByService[Upstream->Listed.Service].push_back(Upstream);
    ByKey[Upstream->Key] = Upstream;
    std::string Id = Upstream->Listed.Id;
    Next[Id] = std::move(Upstream);
  }
  for (auto &[Service, Upstreams] : ByService)
    std::sort(Upstreams.begin(), Upstreams.end(),
              [](const auto &A, const auto &B) { return A->Key < B->Key; });
  std::vector<std::shared_ptr<upstream>> Removed;
  for (auto &[Id, Upstream] : ById)
    if (auto It = Next.find(Id); It == Next.end() || It->second != Upstream) {
      Upstream->Gone = true;
      Removed.push_back(Upstream);
    }
  ById = std::move(Next);
  for (const auto &[Service, Upstreams] : ByService)
    if (!StableVersions.contains(Service))
      chooseStableVersion(Service);
  return Removed;
}

std::shared_ptr<upstream> upstream_table::at(uint64_t Key) const {
  auto It = ByKey.find(Key);
  return It == ByKey.end() ? nullptr : It->second;
}

bool upstream_table::presumeCrashed(uint64_t Key, double Now) {
  auto Upstream = at(Key);
  if (!Upstream)
    return false;
  const auto &Service = ofService(Upstream->Listed.Service);
  auto Presumed =
      std::count_if(Service.begin(), Service.end(), [Now](const auto &Each) {
        return Each->presumedCrashed(Now);
      });
  if (double(Presumed + 1) > MaxPresumedFraction * double(Service.size()))
    return false;
  Upstream->presumeCrashed(Now);
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

const std::vector<std::shared_ptr<upstream>> &
upstream_table::ofService(const std::string &Service) const {
  static const std::vector<std::shared_ptr<upstream>> None;
  auto It = ByService.find(Service);
  return It == ByService.end() ? None : It->second;
}

void upstream_table::setUnstableVersion(const std::string &Service,
                                        const std::string &Version) {
  UnstableVersions[Service] = Version;
  auto It = StableVersions.find(Service);
  if (It == StableVersions.end() || It->second != Version)
    return;
  StableVersions.erase(It);
  chooseStableVersion(Service);
}

void upstream_table::chooseStableVersion(const std::string &Service) {
  auto Unstable = UnstableVersions.find(Service);
  std::map<std::string, int> Counts;
  for (const auto &Upstream : ofService(Service))
    if (Unstable == UnstableVersions.end() ||
        Upstream->Listed.Version != Unstable->second)
      ++Counts[Upstream->Listed.Version];
  auto Most = std::max_element(
      Counts.begin(), Counts.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Most != Counts.end())
    StableVersions[Service] = Most->first;
}

const std::string &
upstream_table::stableVersion(const std::string &Service) const {
  static const std::string None;
  auto It = StableVersions.find(Service);
  return It == StableVersions.end() ? None : It->second;
}

} // namespace olivevalve
