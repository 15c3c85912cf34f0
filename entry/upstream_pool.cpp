//===- upstream_pool.cpp - The upstreams an entry talks to ----------------===//

#include "entry/upstream_pool.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include "policy/subset.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.5;
// A sidecar that has nothing new is asked so often; well before it forgets the
// entry. An attempt finds a lost sidecar sooner, in 1.5 s.
constexpr double HelloSeconds = 10;
// Silent for this long it is taken for lost: an asking, and some seconds for an
// answer that a busy VM or a lossy link delays.
constexpr double SilentSeconds = 14;
// The same while it has work of this entry.
constexpr double BusyHelloSeconds = 1.5;
constexpr double BusySilentSeconds = 3.5;
// A new entry waits so long for upstreams that do not answer, no longer.
constexpr double AcquaintSeconds = 3;
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

// For each version and service a part of its upstreams.
std::set<std::string> upstream_pool::wanted(const catalog &Config,
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
  subset_question Question{.EntryHash = checksum(Options.Node),
                           .Entries = Entries};
  for (auto &[Group, Replicas] : Groups)
    for (std::string &Name : chooseSubset(std::move(Replicas), Question))
      Names.insert(std::move(Name));
  return Names;
}

void upstream_pool::configure(const catalog &Config, size_t Entries) {
  std::set<std::string> Names = wanted(Config, Entries);
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
  if (FirstOpened == 0)
    FirstOpened = steadySeconds();
  member &Member = Members[Name];
  Member.Address = Address;
  Member.Link = std::make_unique<client_link>(
      Context, Loop, Options.Node + "/" + hexOf(Options.Incarnation),
      [this, Name](const wire::envelope &Message) { receive(Name, Message); });
  Member.Link->OnDisconnect = [this, Name] {
    auto It = Members.find(Name);
    if (It == Members.end())
      return;
    It->second.HeardAt = 0;
    OnLost(Name);
  };
  Member.Link->connect(Address);
}

bool upstream_pool::acquainted() const {
  bool HeardAll =
      std::all_of(Members.begin(), Members.end(), [](const auto &M) {
        return M.second.News.incarnation() != 0;
      });
  return HeardAll || steadySeconds() > FirstOpened + AcquaintSeconds;
}

void upstream_pool::receive(const std::string &Name,
                            const wire::envelope &Message) {
  auto It = Members.find(Name);
  if (It == Members.end())
    return;
  It->second.HeardAt = steadySeconds();
  if (Message.has_news())
    return onNews(Name, Message.news());
  OnMessage(Name, Message);
}

void upstream_pool::onNews(const std::string &Name, const wire::news &News) {
  member &Member = Members[Name];
  uint64_t Before = Member.News.incarnation();
  Member.News = News;
  Member.Loaded.clear();
  for (const std::string &Text : News.versions())
    Member.Loaded.insert(parseVersionName(Text));
  Member.OwnAtReport = Member.OwnInFlight;
  if (Before != 0 && Before != News.incarnation())
    OnLost(Name);
}

void upstream_pool::noteLoad(const std::string &Upstream, uint32_t Running,
                             uint32_t Queued) {
  auto It = Members.find(Upstream);
  if (It == Members.end())
    return;
  It->second.News.set_running(Running);
  It->second.News.set_queued(Queued);
  It->second.OwnAtReport = It->second.OwnInFlight;
}

// A managed upstream serves what its sidecar says is loaded.
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
                           const upstream_need &Need, trust Trust,
                           double Now) const {
  bool Alive =
      Member.News.incarnation() != 0 && Now - Member.HeardAt < SilentSeconds;
  bool Open = !Spec.Leaving && !Options.Evacuated.contains(Spec.DataHall);
  return Alive && Open && serves(Member, Spec, Need) &&
         !Member.News.stopping() && Member.News.has_lease() &&
         (Trust == trust::Suspect || Member.Breaker.allows(Now));
}

replica_news upstream_pool::newsOf(const member &Member,
                                   const upstream_spec &Spec,
                                   uint64_t PrefixScore, double Now) const {
  return {.OwnInFlight = Member.OwnInFlight,
          .ReportedRunning = double(Member.News.running()),
          .ReportedQueued = double(Member.News.queued()),
          .OwnAtReport = Member.OwnAtReport,
          .Age = Now - Member.HeardAt,
          .Slots = double(Member.News.slots()),
          .SameHall = Spec.DataHall == Options.DataHall,
          .PrefixScore = PrefixScore};
}

std::string upstream_pool::chooseFree(const upstream_need &Need,
                                      const std::string &Present,
                                      const catalog &Config,
                                      std::mt19937_64 &Random) {
  upstream_need Elsewhere = Need;
  Elsewhere.Excluded.insert(Present);
  std::string Other = chooseAmong(Elsewhere, Config, trust::Sound, Random);
  if (Other.empty())
    return {};
  const upstream_spec &Spec = *Config.upstream(Other);
  bool Free = seemsFree(newsOf(Members[Other], Spec, 0, steadySeconds()));
  return Free ? Other : std::string();
}

// After an overload the breakers of all upstreams are open, though all are
// well again: refusing then would make the overload last for their pause.
std::string upstream_pool::choose(const upstream_need &Need,
                                  const catalog &Config,
                                  std::mt19937_64 &Random) {
  std::string Sound = chooseAmong(Need, Config, trust::Sound, Random);
  return Sound.empty() ? chooseAmong(Need, Config, trust::Suspect, Random)
                       : Sound;
}

std::string upstream_pool::chooseAmong(const upstream_need &Need,
                                       const catalog &Config, trust Trust,
                                       std::mt19937_64 &Random) {
  double Now = steadySeconds();
  std::vector<const std::string *> Names;
  std::vector<replica_news> News;
  for (const auto &[Name, Member] : Members) {
    const upstream_spec *Spec = Config.upstream(Name);
    bool Good = Spec && !Need.Excluded.contains(Name) &&
                usable(Member, *Spec, Need, Trust, Now);
    if (!Good)
      continue;
    Names.push_back(&Name);
    News.push_back(newsOf(Member, *Spec, checksum(Name, Need.PrefixHash), Now));
  }
  auto Place = chooseReplica(News, Random);
  return Place ? *Names[*Place] : std::string();
}

bool upstream_pool::canServe(const upstream_need &Need, const catalog &Config,
                             trust Trust) const {
  double Now = steadySeconds();
  return std::any_of(Members.begin(), Members.end(), [&](const auto &M) {
    const upstream_spec *Spec = Config.upstream(M.first);
    return Spec && usable(M.second, *Spec, Need, Trust, Now);
  });
}

bool upstream_pool::send(const std::string &Upstream,
                         const wire::envelope &Message) {
  auto It = Members.find(Upstream);
  return It != Members.end() && It->second.Link->send(Message);
}

uint64_t upstream_pool::incarnation(const std::string &Upstream) const {
  auto It = Members.find(Upstream);
  return It == Members.end() ? 0 : It->second.News.incarnation();
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
    double Quiet = Now - (Busy ? std::max(Member.HeardAt, Member.BusySince)
                               : Member.HeardAt);
    if (Busy && Quiet >= BusySilentSeconds)
      Silent.push_back(Name);
    bool Due = Now >= Member.NextHello || Quiet >= SilentSeconds ||
               (Busy && Quiet >= BusyHelloSeconds);
    if (!Due)
      continue;
    Member.NextHello = Now + HelloSeconds;
    Member.Link->send(Hello);
  }
  for (const std::string &Name : Silent)
    OnLost(Name);
}

} // namespace olivevalve
