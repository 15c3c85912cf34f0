//===- soak.cpp - Random faults on real processes -------------------------===//
//
// Runs control VMs and gateways as processes of their own, with callers and
// upstreams in this one. Faults come from outside: signals, a proxy on the way
// to each upstream, upstreams that crash, leave and come back, odd entries in
// the list, changes in series. They overlap. What callers were told is held
// against what upstreams ran. One seed a run, named by OLIVEVALVE_SEED;
// scripts/soak runs many.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE soak
#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace olivevalve;

namespace {

constexpr size_t GatewayCount = 2;
constexpr size_t UpstreamCount = 4;
constexpr size_t OpenRequests = 16;
constexpr double FaultSeconds = 9;
// A leaving upstream may hear of requests so long. Gateways promise some 3 s;
// the rest is for machines that are busy.
constexpr double LeaveSeconds = 10;
constexpr double CallerSeconds = 6;
// Then the operator goes on without knowing.
constexpr double OperatorSeconds = 3;
constexpr int StreamEvents = 6;

uint64_t seedOf() {
  const char *Text = std::getenv("OLIVEVALVE_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

/// One gateway process, over all its lives.
struct soaked_gateway {
  reserved_address Address;
  reserved_address Health;
  std::unique_ptr<daemon_process> Process;
  uint64_t AckedAtStart = 0; ///< The marker acknowledged before this life.
  uint64_t NewestSeen = 0;   ///< The newest marker that it served in this life.
  int Life = 0;
  int Stops = 0;         ///< How often this life was told to end.
  bool Answered = false; ///< Somebody, in this life.
  /// A SIGHUP came before the first instruction of the program, which could
  /// not have taken it: for some 0.015 s after the start, longer on a busy
  /// machine.
  bool HungUpUnborn = false;

  /// A second order ends it at once, and one that comes before it has begun
  /// finds nobody who could wait for anything.
  bool mayEndWith(int Code) const {
    constexpr int EndedAtOnce = 4;
    return (Code == 0 && Stops > 0) || (Code == EndedAtOnce && Stops > 1) ||
           (Code == 128 + SIGTERM && Stops > 0 && !Answered) ||
           (Code == 128 + SIGHUP && HungUpUnborn);
  }
};

enum class request_kind : uint8_t {
  Safe,
  Unsafe,
  Stream,
  Marker,
  Last = Marker
};

struct soaked_request {
  std::string Id;
  request_kind Kind = request_kind::Safe;
  size_t Gateway = 0;
  int Life = 0;
  uint64_t Marker = 0; ///< The route asked for, of the kind Marker.
  std::shared_ptr<caller_answer> Answer;
};

std::string eventsUpTo(int Last) {
  std::string Text;
  for (int I = 1; I <= Last; ++I)
    Text +=
        "id: " + std::to_string(I) + "\ndata: " + std::to_string(I) + "\n\n";
  return Text;
}

class soak : public gateway_world {
public:
  explicit soak(uint64_t Seed) : Random(Seed) {
    for (size_t I = 0; I < UpstreamCount; ++I)
      addUpstream();
    untilVoters(3);
    Large = chance(0.4);
    changeRouting();
    for (size_t I = 0; I < GatewayCount; ++I) {
      Gateways.push_back(std::make_unique<soaked_gateway>());
      startLife(I);
    }
    for (auto &Each : Gateways)
      until("a gateway is ready", [&] { return ready(Each->Health); });
  }
  ~soak() {
    for (auto &Each : Gateways)
      Each->Process->kill();
  }

  void play() {
    double End = steadySeconds() + FaultSeconds;
    while (steadySeconds() < End) {
      oneFault();
      double Pause = std::uniform_real_distribution<double>(0.02, 0.5)(Random);
      double Until = steadySeconds() + Pause;
      until(
          "the next fault is due",
          [&] {
            turn();
            return steadySeconds() >= Until;
          },
          60);
    }
    heal();
    recover();
    for (const soaked_request &Each : Judged)
      judgeRuns(Each);
  }

  void print(std::ostream &Out) const {
    Out << "requests " << Judged.size() << " served " << Served << " not_run "
        << NotRun << " faults " << Faults << " changes " << NewestMarker
        << " broken " << Broken << "\n";
  }
  size_t broken() const { return Broken; }

private:
  bool chance(double Part) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Part;
  }
  size_t below(size_t Count) { return size_t(Random() % Count); }

  void breaks(const std::string &What) {
    ++Broken;
    BOOST_ERROR(What);
  }

  // ---- the world ----

  void addUpstream() {
    std::string Id = "i-" + std::to_string(++Upstreams);
    addReplica({.Id = Id});
    Listed.push_back(Id);
  }

  void startLife(size_t Place) {
    soaked_gateway &Each = *Gateways[Place];
    Each.AckedAtStart = AckedMarker;
    Each.NewestSeen = 0;
    Each.Stops = 0;
    Each.Answered = Each.HungUpUnborn = false;
    ++Each.Life;
    if (!Each.Process)
      Each.Process = makeGateway("gateway-" + std::to_string(Place + 1),
                                 Each.Address, Each.Health);
    Each.Process->start();
  }

  // Each version has a route of its own, and only that of its number.
  void changeRouting() {
    json Routing = Large ? largeRouting(300) : usualRouting();
    uint64_t Marker = ++NewestMarker;
    json Route = Routing["routes"][0];
    Route["name"] = "marker";
    Route["path_prefix"] = "/mark-" + std::to_string(Marker) + "/";
    Routing["routes"].push_back(Route);
    if (putRouting(Routing, OperatorSeconds).Status == 200)
      AckedMarker = Marker;
  }

  // ---- faults ----

  void oneFault() {
    ++Faults;
    using fault = void (soak::*)();
    constexpr fault All[] = {
        &soak::killGateway,   &soak::stopGateway,    &soak::pauseGateway,
        &soak::killControl,   &soak::killAllControl, &soak::pauseControl,
        &soak::harmPath,      &soak::harmPath,       &soak::crashUpstream,
        &soak::leaveUpstream, &soak::changeSeries,   &soak::changeSeries,
        &soak::hangUp,        &soak::oddList,        &soak::listRefuses};
    (this->*All[below(std::size(All))])();
  }

  void killGateway() {
    size_t Place = below(GatewayCount);
    Gateways[Place]->Process->kill();
    later(0.3, [this, Place] {
      if (Gateways[Place]->Process->pid() <= 0)
        startLife(Place);
    });
  }

  void stopGateway() {
    soaked_gateway &Each = *Gateways[below(GatewayCount)];
    ++Each.Stops;
    Each.Process->signal(SIGTERM);
  }

  void pauseGateway() {
    size_t Place = below(GatewayCount);
    pause(*Gateways[Place]->Process);
  }

  void pause(daemon_process &Process) {
    pid_t Pid = Process.pid();
    if (Pid <= 0)
      return;
    Process.signal(SIGSTOP);
    double Seconds = std::uniform_real_distribution<double>(0.1, 2)(Random);
    // A process that was killed meanwhile has another number.
    later(Seconds, [&Process, Pid] {
      if (Process.pid() == Pid)
        Process.signal(SIGCONT);
    });
  }

  void killControl() { restartControl(*Seeded[below(Seeded.size())]); }
  void killAllControl() {
    for (auto &Node : Seeded)
      restartControl(*Node);
  }
  void restartControl(seeded_control &Node) {
    if (!Node.Process->running())
      return;
    Node.Process->kill();
    later(0.1 + 0.1 * double(below(8)), [&Node] {
      if (!Node.Process->running())
        Node.Process->start();
    });
  }
  void pauseControl() { pause(*Seeded[below(Seeded.size())]->Process); }

  void harmPath() {
    constexpr proxy_fault Faults[] = {
        proxy_fault::Cut,          proxy_fault::Hole,
        proxy_fault::Drip,         proxy_fault::Slow,
        proxy_fault::HoleToServer, proxy_fault::HoleToClient};
    std::string Id = Listed[below(Listed.size())];
    Paths[Id]->set(Faults[below(std::size(Faults))]);
    later(0.2 + 0.2 * double(below(8)),
          [this, Id] { Paths[Id]->set(proxy_fault::None); });
  }

  void crashUpstream() {
    size_t Place = below(Listed.size());
    std::string Id = Listed[Place];
    Replicas[Id]->crash();
    Listed.erase(Listed.begin() + ptrdiff_t(Place));
    // The list shows it for a while.
    later(1, [this, Id] { List->remove(Id); });
    addUpstream();
  }

  void leaveUpstream() {
    size_t Place = below(Listed.size());
    std::string Id = Listed[Place];
    Listed.erase(Listed.begin() + ptrdiff_t(Place));
    addUpstream();
    List->put(*Replicas[Id], Paths[Id]->address(), "draining");
    later(LeaveSeconds, [this, Id] { Left[Id] = Replicas[Id]->runs(); });
  }

  void changeSeries() {
    for (size_t I = 0, Count = 1 + below(4); I < Count; ++I)
      changeRouting();
  }

  void hangUp() {
    soaked_gateway &Each = *Gateways[below(GatewayCount)];
    Each.HungUpUnborn = Each.HungUpUnborn || !Each.Process->handles(SIGHUP);
    Each.Process->signal(SIGHUP);
  }

  void oddList() {
    List->putRaw("i-odd", {{"id", below(3)}, {"state", "ready"}});
    List->Garbage = chance(0.5) ? "{\"id\":\"\xff\"}," : "7,";
    later(1, [this] {
      List->remove("i-odd");
      List->Garbage.clear();
    });
  }

  void listRefuses() { List->Refusals += int(below(6)); }

  void later(double Seconds, std::function<void()> Do) {
    Later.emplace(steadySeconds() + Seconds, std::move(Do));
  }

  // ---- callers ----

  void turn() {
    runLater();
    for (size_t I = 0; I < GatewayCount; ++I)
      watchProcess(I);
    std::erase_if(Open, [&](soaked_request &Each) {
      if (!Each.Answer->Done)
        return false;
      judge(Each);
      Judged.push_back(std::move(Each));
      return true;
    });
    while (Open.size() < OpenRequests)
      ask();
  }

  void runLater() {
    while (!Later.empty() && Later.begin()->first <= steadySeconds()) {
      auto Do = std::move(Later.begin()->second);
      Later.erase(Later.begin());
      Do();
    }
  }

  // One that was told to stop starts again; nobody ends by itself.
  void watchProcess(size_t Place) {
    soaked_gateway &Each = *Gateways[Place];
    bool WasKilled = Each.Process->pid() <= 0;
    if (WasKilled || Each.Process->running())
      return;
    if (!Each.mayEndWith(Each.Process->exitCode()))
      breaks("a gateway ended by itself with code " +
             std::to_string(Each.Process->exitCode()));
    startLife(Place);
  }

  void ask() {
    soaked_request Request;
    Request.Kind = request_kind(below(size_t(request_kind::Last) + 1));
    Request.Gateway = below(GatewayCount);
    Request.Life = Gateways[Request.Gateway]->Life;
    Request.Id = nextId();
    std::string Path;
    switch (Request.Kind) {
    case request_kind::Safe:
      Path = "/safe/x?late=" + std::to_string(below(40));
      break;
    case request_kind::Unsafe:
      // Long enough that faults meet it at work.
      Path = "/unsafe/x?late=" + std::to_string(below(400));
      break;
    case request_kind::Stream:
      Path = "/stream/x?events=" + std::to_string(StreamEvents) +
             (chance(0.2) ? "&break=2" : "");
      break;
    case request_kind::Marker:
      Request.Marker =
          NewestMarker - below(std::min<uint64_t>(NewestMarker, 3));
      Path = "/mark-" + std::to_string(Request.Marker) + "/x";
      break;
    }
    Request.Answer = begin(
        Gateways[Request.Gateway]->Address.text(),
        {.Path = Path,
         .Body = "of " + Request.Id + ".",
         .Key = "",
         .Headers = {"Host: a.example", "X-Credential: k1",
                     "X-Deadline-Ms: 4000", "X-Attempt-Id: " + Request.Id},
         .Seconds = CallerSeconds});
    Open.push_back(std::move(Request));
  }

  void judge(const soaked_request &Request) {
    const caller_answer &Answer = *Request.Answer;
    soaked_gateway &Asked = *Gateways[Request.Gateway];
    if (Answer.Status != 0 && Asked.Life == Request.Life)
      Asked.Answered = true;
    bool Whole = Answer.Error.empty();
    Served += Whole && Answer.Status == 200;
    NotRun += Whole && Answer.Status == 503;
    if (Answer.Status != 200)
      return;
    if (Request.Kind == request_kind::Stream)
      judgeStream(Request, Whole);
    else if (Whole && !Answer.Body.ends_with("got of " + Request.Id + "."))
      breaks("another's answer for " + Request.Id + ": " + Answer.Body);
    if (Request.Kind == request_kind::Marker)
      judgeMarker(Request);
  }

  void judgeStream(const soaked_request &Request, bool Whole) {
    std::string All = eventsUpTo(StreamEvents);
    const std::string &Body = Request.Answer->Body;
    bool Good = Whole ? Body == All : All.starts_with(Body);
    if (!Good)
      breaks("a stream with pieces lost or doubled, " + Request.Id + ": " +
             Body);
  }

  // Never an older version than one that this life has shown, or that had been
  // acknowledged before it began.
  void judgeMarker(const soaked_request &Request) {
    soaked_gateway &Each = *Gateways[Request.Gateway];
    if (Each.Life != Request.Life)
      return;
    if (Request.Marker < Each.AckedAtStart)
      breaks("marker " + std::to_string(Request.Marker) + " from a gateway " +
             "that started after " + std::to_string(Each.AckedAtStart) +
             " was acknowledged");
    Each.NewestSeen = std::max(Each.NewestSeen, Request.Marker);
  }

  void judgeRuns(const soaked_request &Request) {
    int Runs = 0;
    for (auto &[Id, Replica] : Replicas)
      Runs += Replica->runs(Request.Id);
    if (Request.Kind == request_kind::Unsafe && Runs > 1)
      breaks(Request.Id + " ran " + std::to_string(Runs) + " times");
    if (Request.Kind == request_kind::Unsafe && Runs > 0 &&
        Request.Answer->Status == 503)
      breaks(Request.Id + " was called not run, and ran");
  }

  // ---- the end ----

  void heal() {
    double Last = steadySeconds() + LeaveSeconds + 0.1;
    until(
        "all faults are over",
        [&] {
          turn();
          return Later.empty() || steadySeconds() > Last;
        },
        60);
    List->Refusals = 0;
    changeRouting();
  }

  // Every gateway serves every kind again, under the newest version.
  void recover() {
    std::string Newest = "/mark-" + std::to_string(NewestMarker) + "/x";
    for (size_t I = 0; I < GatewayCount; ++I)
      for (const std::string &Path :
           {Newest, std::string("/safe/x"), std::string("/unsafe/x")})
        until(
            Path + " is served again",
            [&] {
              turn();
              return statusAt(I, Path) == 200;
            },
            40);
    until("the last requests end", [&] {
      runLater();
      return std::all_of(Open.begin(), Open.end(),
                         [](const auto &Each) { return Each.Answer->Done; });
    });
    for (soaked_request &Each : Open) {
      judge(Each);
      Judged.push_back(Each);
    }
    for (const auto &[Id, Runs] : Left)
      if (Replicas[Id]->runs() != Runs)
        breaks("upstream " + Id + " got new work long after it left");
    for (auto &Node : Seeded)
      if (!Node->Process->running())
        breaks("a control VM ended by itself");
  }

  int statusAt(size_t Place, const std::string &Path) {
    return call(Gateways[Place]->Address.text(),
                {.Path = Path,
                 .Key = "",
                 .Headers = {"Host: a.example", "X-Credential: k1",
                             "X-Attempt-Id: " + nextId()},
                 .Seconds = 3})
        .Status;
  }

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<soaked_gateway>> Gateways;
  std::vector<std::string> Listed; ///< Upstreams that are well.
  std::map<std::string, int> Left; ///< Runs when the time to leave was over.
  std::multimap<double, std::function<void()>> Later;
  std::list<soaked_request> Open;
  std::vector<soaked_request> Judged;
  uint64_t NewestMarker = 0;
  uint64_t AckedMarker = 0;
  size_t Upstreams = 0;
  bool Large = false;
  size_t Faults = 0;
  size_t Served = 0;
  size_t NotRun = 0;
  size_t Broken = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(one_seed) {
  uint64_t Seed = seedOf();
  soak Soak(Seed);
  Soak.play();
  std::cout << "seed " << Seed << " ";
  Soak.print(std::cout);
  BOOST_TEST(Soak.broken() == 0U);
}
