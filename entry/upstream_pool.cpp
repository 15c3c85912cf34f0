//===- upstream_pool.cpp - Upstreams that an entry uses -------------------===//

#include "entry/upstream_pool.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include "policy/subset.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.5;
// Interval at which a report is requested from a sidecar that sends none by
// itself; well below the time after which a sidecar forgets the entry. An
// attempt detects a lost sidecar sooner, in 1.5 s.
constexpr double HelloIntervalSeconds = 10;
// A sidecar that has been silent this long counts as lost: one hello interval
// plus some seconds for a reply that a busy VM or a lossy link delays.
constexpr double SilentSeconds = 14;
// The same two bounds while the sidecar has attempts of this entry.
constexpr double BusyHelloIntervalSeconds = 1.5;
constexpr double BusySilentSeconds = 3.5;
// Upper bound on a new entry's wait for the first reports.
constexpr double InitialReportSeconds = 3;
} // namespace

upstream_pool::upstream_pool(link_context &Context, struct ev_loop *Loop,
                             pool_options Options, message_handler OnMessage,
                             lost_handler OnLost)
    : Context(Context), Loop(Loop), Options(std::move(Options)),
      OnMessage(std::move(OnMessage)), OnLost(std::move(OnLost)),
      Timer(Loop, [this] { tick(); }),
      Prepare(Loop, [this] { Closing.clear(); }) {
  Timer.startRepeating(TickSeconds);
}

// Selects a subset of the upstreams of each version and each service.
std::set<std::string> upstream_pool::selectSubset(const catalog &Config,
                                                  size_t Entries) const {
  std::map<std::string, std::vector<subset_replica>> Groups;
  Config.forEach<upstream_spec>([&](const upstream_spec &Spec) {
    subset_replica Replica{Spec.Name, Spec.DataHall == Options.DataHall};
    if (!Spec.Service.empty())
      Groups["service " + Spec.Service].push_back(Replica);
    for (const version_name &Version : Config.versionsOf(Spec))
      Groups[Version.text()].push_back(Replica);
  });
  std::set<std::string> Names;
  subset_input Question{.EntryHash = checksum(Options.Node),
                        .Entries = Entries};
  for (auto &[Group, Replicas] : Groups)
    for (std::string &Name : chooseSubset(std::move(Replicas), Question))
      Names.insert(std::move(Name));
  return Names;
}

void upstream_pool::configure(const catalog &Config, size_t Entries) {
  std::set<std::string> Names = selectSubset(Config, Entries);
  for (auto It = Members.begin(); It != Members.end();) {
    const upstream_spec *Spec = Config.upstream(It->first);
    bool Keep = Spec && Spec->Address == It->second.Address &&
                (Names.contains(It->first) || It->second.OwnInFlight > 0);
    if (Keep) {
      ++It;
      continue;
    }
    Closing.push_back(std::move(It->second.Link));
    It = Members.erase(It);
  }
  for (const std::string &Name : Names)
    if (!Members.contains(Name))
      open(Name, Config.upstream(Name)->Address);
}

void upstream_pool::open(const std::string &Name, const std::string &Address) {
  if (FirstOpenedAt == 0)
    FirstOpenedAt = steadySeconds();
  member &Member = Members[Name];
  Member.Address = Address;
  Member.Link = std::make_unique<client_link>(
      Context, Loop, Options.Node + "/" + hexOf(Options.Incarnation),
      [this, Name](const wire::envelope &Message) { receive(Name, Message); });
  Member.Link->OnDisconnect = [this, Name] {
    auto It = Members.find(Name);
    if (It == Members.end())
      return;
    It->second.LastMessageAt = 0;
    OnLost(Name);
  };
  Member.Link->connect(Address);
}

bool upstream_pool::hasInitialReports() const {
  bool AllReported =
      std::all_of(Members.begin(), Members.end(), [](const auto &M) {
        return M.second.Report.incarnation() != 0;
      });
  return AllReported || steadySeconds() > FirstOpenedAt + InitialReportSeconds;
}

void upstream_pool::receive(const std::string &Name,
                            const wire::envelope &Message) {
  auto It = Members.find(Name);
  if (It == Members.end())
    return;
  It->second.LastMessageAt = steadySeconds();
  if (Message.has_news())
    return onReport(Name, Message.news());
  OnMessage(Name, Message);
}

void upstream_pool::onReport(const std::string &Name,
                             const wire::news &Report) {
  member &Member = Members[Name];
  uint64_t Before = Member.Report.incarnation();
  Member.Report = Report;
  Member.Loaded.clear();
  for (const std::string &Text : Report.versions())
    Member.Loaded.insert(parseVersionName(Text));
  Member.OwnAtReport = Member.OwnInFlight;
  if (Before != 0 && Before != Report.incarnation())
    OnLost(Name);
}

void upstream_pool::updateLoad(const std::string &Upstream, uint32_t Running,
                               uint32_t Queued) {
  auto It = Members.find(Upstream);
  if (It == Members.end())
    return;
  It->second.Report.set_running(Running);
  It->second.Report.set_queued(Queued);
  It->second.OwnAtReport = It->second.OwnInFlight;
}

// A managed upstream serves the versions that its sidecar reports as loaded.
bool upstream_pool::serves(const member &Member, const upstream_spec &Spec,
                           const upstream_need &Need) {
  if (Need.Version.Model.empty())
    return Spec.Service == Need.Service;
  if (Spec.managed())
    return Member.Loaded.contains(Need.Version);
  return std::find(Spec.Versions.begin(), Spec.Versions.end(), Need.Version) !=
         Spec.Versions.end();
}

bool upstream_pool::usable(const member &Member, const upstream_spec &Spec,
                           const upstream_need &Need, breaker_policy Breakers,
                           double Now) const {
  bool Alive = Member.Report.incarnation() != 0 &&
               Now - Member.LastMessageAt < SilentSeconds;
  bool Open = !Spec.Leaving && !Options.Evacuated.contains(Spec.DataHall);
  return Alive && Open && serves(Member, Spec, Need) &&
         !Member.Report.stopping() && Member.Report.has_lease() &&
         (Breakers == breaker_policy::IncludeOpen ||
          Member.Breaker.allows(Now));
}

replica_state upstream_pool::replicaState(const member &Member,
                                          const upstream_spec &Spec,
                                          uint64_t PrefixScore,
                                          double Now) const {
  return {.OwnInFlight = Member.OwnInFlight,
          .ReportedRunning = double(Member.Report.running()),
          .ReportedQueued = double(Member.Report.queued()),
          .OwnAtReport = Member.OwnAtReport,
          .Age = Now - Member.LastMessageAt,
          .Slots = double(Member.Report.slots()),
          .SameHall = Spec.DataHall == Options.DataHall,
          .PrefixScore = PrefixScore};
}

std::string upstream_pool::chooseIdle(const upstream_need &Need,
                                      const std::string &Current,
                                      const catalog &Config,
                                      std::mt19937_64 &Random) {
  upstream_need Elsewhere = Need;
  Elsewhere.Excluded.insert(Current);
  std::string Other =
      chooseAmong(Elsewhere, Config, breaker_policy::ClosedOnly, Random);
  if (Other.empty())
    return {};
  const upstream_spec &Spec = *Config.upstream(Other);
  bool Free =
      hasFreeSlot(replicaState(Members[Other], Spec, 0, steadySeconds()));
  return Free ? Other : std::string();
}

// After an overload the breakers of all upstreams may be open although the
// upstreams have recovered. Refusing requests until the breakers close again
// would prolong the overload.
std::string upstream_pool::choose(const upstream_need &Need,
                                  const catalog &Config,
                                  std::mt19937_64 &Random) {
  std::string Closed =
      chooseAmong(Need, Config, breaker_policy::ClosedOnly, Random);
  return Closed.empty()
             ? chooseAmong(Need, Config, breaker_policy::IncludeOpen, Random)
             : Closed;
}

std::string upstream_pool::chooseAmong(const upstream_need &Need,
                                       const catalog &Config,
                                       breaker_policy Breakers,
                                       std::mt19937_64 &Random) {
  double Now = steadySeconds();
  std::vector<const std::string *> Names;
  std::vector<replica_state> Replicas;
  for (const auto &[Name, Member] : Members) {
    const upstream_spec *Spec = Config.upstream(Name);
    bool Usable = Spec && !Need.Excluded.contains(Name) &&
                  usable(Member, *Spec, Need, Breakers, Now);
    if (!Usable)
      continue;
    Names.push_back(&Name);
    Replicas.push_back(
        replicaState(Member, *Spec, checksum(Name, Need.PrefixHash), Now));
  }
  auto Index = chooseReplica(Replicas, Random);
  return Index ? *Names[*Index] : std::string();
}

bool upstream_pool::canServe(const upstream_need &Need, const catalog &Config,
                             breaker_policy Breakers) const {
  double Now = steadySeconds();
  return std::any_of(Members.begin(), Members.end(), [&](const auto &M) {
    const upstream_spec *Spec = Config.upstream(M.first);
    return Spec && usable(M.second, *Spec, Need, Breakers, Now);
  });
}

bool upstream_pool::send(const std::string &Upstream,
                         const wire::envelope &Message) {
  auto It = Members.find(Upstream);
  return It != Members.end() && It->second.Link->send(Message);
}

uint64_t upstream_pool::incarnation(const std::string &Upstream) const {
  auto It = Members.find(Upstream);
  return It == Members.end() ? 0 : It->second.Report.incarnation();
}

void upstream_pool::attemptStarted(const std::string &Upstream) {
  auto It = Members.find(Upstream);
  if (It == Members.end())
    return;
  if (It->second.OwnInFlight == 0)
    It->second.BusySince = steadySeconds();
  It->second.OwnInFlight += 1;
}

void upstream_pool::attemptEnded(const std::string &Upstream) {
  auto It = Members.find(Upstream);
  if (It != Members.end())
    It->second.OwnInFlight = std::max(0.0, It->second.OwnInFlight - 1);
}

void upstream_pool::succeeded(const std::string &Upstream) {
  auto It = Members.find(Upstream);
  if (It != Members.end())
    It->second.Breaker.succeeded();
}

void upstream_pool::failed(const std::string &Upstream) {
  auto It = Members.find(Upstream);
  if (It != Members.end())
    It->second.Breaker.failed(steadySeconds());
}

void upstream_pool::tick() {
  double Now = steadySeconds();
  wire::envelope Hello;
  Hello.mutable_hello();
  std::vector<std::string> Silent;
  for (auto &[Name, Member] : Members) {
    bool Busy = Member.OwnInFlight > 0;
    double SilentFor =
        Now - (Busy ? std::max(Member.LastMessageAt, Member.BusySince)
                    : Member.LastMessageAt);
    if (Busy && SilentFor >= BusySilentSeconds)
      Silent.push_back(Name);
    bool Due = Now >= Member.NextHelloAt || SilentFor >= SilentSeconds ||
               (Busy && SilentFor >= BusyHelloIntervalSeconds);
    if (!Due)
      continue;
    Member.NextHelloAt = Now + HelloIntervalSeconds;
    Member.Link->send(Hello);
  }
  for (const std::string &Name : Silent)
    OnLost(Name);
}

} // namespace olivevalve
