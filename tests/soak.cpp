//===- soak.cpp - Random faults on real processes -------------------------===//
//
// Runs control VMs and gateways as processes; clients and upstreams are
// simulated in the test process. Random, overlapping faults are injected:
// signals, network faults between gateways and upstreams, upstreams that crash,
// crash under prompts with one block, state request limits, break responses
// off, or are drained and replaced,
// invalid entries in the upstream list, and series of routing changes. The
// responses of upstreams differ in what ends them: a length, chunks, or the
// close of their connection. The responses that clients
// received are then compared with what the upstreams ran. A run uses the seed
// OLIVEVALVE_SEED; scripts/soak runs many seeds.
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
// A draining upstream may still receive requests for this long. Gateways need
// up to some 3 s; the rest allows for a busy machine.
constexpr double DrainSeconds = 10;
constexpr double ClientTimeoutSeconds = 6;
// After this time a routing change is given up, whether it took effect or not.
constexpr double OperatorTimeoutSeconds = 3;
constexpr int StreamEvents = 6;
const std::string BadBlock = "bad";

uint64_t seedOf() {
  const char *Text = std::getenv("OLIVEVALVE_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

/// A gateway and its present process. Each start of a process begins a new
/// life.
struct gateway_under_test {
  reserved_address Address;
  reserved_address Health;
  std::unique_ptr<daemon_process> Process;
  uint64_t AckedAtStart = 0; ///< Last marker acknowledged before this life.
  uint64_t NewestSeen = 0;   ///< Newest marker served in this life.
  int Life = 0;              ///< Number of starts.
  int Stops = 0;             ///< SIGTERMs sent in this life.
  bool Answered = false;     ///< Has sent a response in this life.
  /// A SIGHUP was sent before the program had installed its signal handlers,
  /// which takes some 0.015 s after the start, longer on a busy machine.
  bool EarlySighup = false;

  /// Returns whether the signals sent explain this exit code. A second SIGTERM
  /// makes the gateway exit at once, with code 4; one sent before the handlers
  /// are installed terminates the process.
  bool mayExitWith(int Code) const {
    constexpr int ExitedAtOnce = 4;
    return (Code == 0 && Stops > 0) || (Code == ExitedAtOnce && Stops > 1) ||
           (Code == 128 + SIGTERM && Stops > 0 && !Answered) ||
           (Code == 128 + SIGHUP && EarlySighup);
  }
};

enum class request_kind : uint8_t {
  Safe,
  Unsafe,
  Stream,
  Marker,
  Last = Marker
};

struct sent_request {
  std::string Id;
  request_kind Kind = request_kind::Safe;
  size_t Gateway = 0;
  int Life = 0;
  uint64_t Marker = 0; ///< Number of the route, for the kind Marker.
  /// What a response that looks complete may consist of instead of all events,
  /// for the kind Stream; empty: nothing else.
  std::string Partial;
  std::shared_ptr<client_response> Answer;
};

/// One run: the processes, the clients, the faults and the checks.
class soak : public gateway_world {
public:
  explicit soak(uint64_t Seed) : Random(Seed) {
    for (size_t I = 0; I < UpstreamCount; ++I)
      addUpstream();
    untilVoters(3);
    Large = chance(0.4);
    changeRouting();
    for (size_t I = 0; I < GatewayCount; ++I) {
      Gateways.push_back(std::make_unique<gateway_under_test>());
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
      injectFault();
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
    endFaults();
    checkRecovery();
    for (const sent_request &Each : Checked)
      checkRuns(Each);
  }

  void print(std::ostream &Out) const {
    Out << "requests " << Checked.size() << " served " << Served << " not_run "
        << NotRun << " faults " << Faults << " changes " << NewestMarker
        << " broken " << Violations << "\n";
  }
  size_t violations() const { return Violations; }

private:
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }
  size_t below(size_t Count) { return size_t(Random() % Count); }

  void reportViolation(const std::string &What) {
    ++Violations;
    BOOST_ERROR(What);
  }

  // ---- Processes and routing ----

  void addUpstream() {
    std::string Id = "i-" + std::to_string(++Upstreams);
    addReplica({.Id = Id});
    Listed.push_back(Id);
  }

  void startLife(size_t Index) {
    gateway_under_test &Each = *Gateways[Index];
    Each.AckedAtStart = AckedMarker;
    Each.NewestSeen = 0;
    Each.Stops = 0;
    Each.Answered = Each.EarlySighup = false;
    ++Each.Life;
    if (!Each.Process)
      Each.Process = makeGateway("gateway-" + std::to_string(Index + 1),
                                 Each.Address, Each.Health);
    Each.Process->start();
  }

  // Sends a new routing. Each version has one marker route whose path contains
  // the marker's number, so that a response shows which version is in effect.
  void changeRouting() {
    json Routing = Large ? largeRouting(300) : defaultRouting();
    uint64_t Marker = ++NewestMarker;
    json Route = Routing["routes"][0];
    Route["name"] = "marker";
    Route["path_prefix"] = "/mark-" + std::to_string(Marker) + "/";
    Routing["routes"].push_back(Route);
    if (putRouting(Routing, OperatorTimeoutSeconds).Status == 200)
      AckedMarker = Marker;
  }

  // ---- Faults ----

  void injectFault() {
    ++Faults;
    using fault = void (soak::*)();
    constexpr fault All[] = {
        &soak::killGateway,   &soak::stopGateway,    &soak::pauseGateway,
        &soak::killControl,   &soak::killAllControl, &soak::pauseControl,
        &soak::disturbPath,   &soak::disturbPath,    &soak::crashUpstream,
        &soak::drainUpstream, &soak::changeSeries,   &soak::changeSeries,
        &soak::sendSighup,    &soak::corruptList,    &soak::refuseListRequests,
        &soak::limitUpstream, &soak::crashUnderBlock};
    (this->*All[below(std::size(All))])();
  }

  void killGateway() {
    size_t Index = below(GatewayCount);
    Gateways[Index]->Process->kill();
    schedule(0.3, [this, Index] {
      if (Gateways[Index]->Process->pid() <= 0)
        startLife(Index);
    });
  }

  void stopGateway() {
    gateway_under_test &Each = *Gateways[below(GatewayCount)];
    ++Each.Stops;
    Each.Process->signal(SIGTERM);
  }

  void pauseGateway() {
    size_t Index = below(GatewayCount);
    pause(*Gateways[Index]->Process);
  }

  void pause(daemon_process &Process) {
    pid_t Pid = Process.pid();
    if (Pid <= 0)
      return;
    Process.signal(SIGSTOP);
    double Seconds = std::uniform_real_distribution<double>(0.1, 2)(Random);
    // If the process was killed meanwhile, its successor has another pid.
    schedule(Seconds, [&Process, Pid] {
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
    schedule(0.1 + 0.1 * double(below(8)), [&Node] {
      if (!Node.Process->running())
        Node.Process->start();
    });
  }
  void pauseControl() { pause(*Seeded[below(Seeded.size())]->Process); }

  void disturbPath() {
    constexpr proxy_fault Faults[] = {
        proxy_fault::Cut,          proxy_fault::DropAll,
        proxy_fault::Drip,         proxy_fault::Slow,
        proxy_fault::DropToServer, proxy_fault::DropToClient};
    std::string Id = Listed[below(Listed.size())];
    Paths[Id]->set(Faults[below(std::size(Faults))]);
    schedule(0.2 + 0.2 * double(below(8)),
             [this, Id] { Paths[Id]->set(proxy_fault::None); });
  }

  void crashUpstream() {
    size_t Index = below(Listed.size());
    std::string Id = Listed[Index];
    Replicas[Id]->crash();
    Listed.erase(Listed.begin() + ptrdiff_t(Index));
    // The platform's list still contains a crashed upstream for a while.
    schedule(1, [this, Id] { List->remove(Id); });
    addUpstream();
  }

  // For a while each upstream crashes that begins to answer a prompt with the
  // block.
  void crashUnderBlock() {
    setCrashingBlock(BadBlock);
    schedule(0.5 + 0.5 * double(below(4)), [this] { setCrashingBlock(""); });
  }
  void setCrashingBlock(const std::string &Block) {
    for (const std::string &Id : Listed)
      Replicas[Id]->CrashingBlock = Block;
  }

  void replaceCrashed() {
    for (const std::string &Id : std::vector(Listed))
      if (Replicas[Id]->crashed()) {
        std::erase(Listed, Id);
        schedule(1, [this, Id] { List->remove(Id); });
        addUpstream();
      }
  }

  void drainUpstream() {
    size_t Index = below(Listed.size());
    std::string Id = Listed[Index];
    Listed.erase(Listed.begin() + ptrdiff_t(Index));
    addUpstream();
    List->put(*Replicas[Id], Paths[Id]->address(), "draining");
    schedule(DrainSeconds, [this, Id] { Drained[Id] = Replicas[Id]->runs(); });
  }

  void changeSeries() {
    for (size_t I = 0, Count = 1 + below(4); I < Count; ++I)
      changeRouting();
  }

  void sendSighup() {
    gateway_under_test &Each = *Gateways[below(GatewayCount)];
    Each.EarlySighup = Each.EarlySighup || !Each.Process->handles(SIGHUP);
    Each.Process->signal(SIGHUP);
  }

  void corruptList() {
    List->putRawEntry("i-odd", {{"id", below(3)}, {"state", "ready"}});
    List->Garbage = chance(0.5) ? "{\"id\":\"\xff\"}," : "7,";
    schedule(1, [this] {
      List->remove("i-odd");
      List->Garbage.clear();
    });
  }

  // Once the limit has ended, the upstream must be used again: checkRecovery().
  void limitUpstream() {
    std::string Id = Listed[below(Listed.size())];
    Replicas[Id]->RequestLimit = std::to_string(below(6));
    schedule(0.5 + 0.5 * double(below(8)),
             [this, Id] { Replicas[Id]->RequestLimit.clear(); });
  }

  void refuseListRequests() { List->Refusals += int(below(6)); }

  void schedule(double Seconds, std::function<void()> Action) {
    Scheduled.emplace(steadySeconds() + Seconds, std::move(Action));
  }

  // ---- Clients ----

  // Runs due actions, restarts stopped gateways, checks finished requests and
  // sends new ones.
  void turn() {
    runScheduled();
    replaceCrashed();
    for (size_t I = 0; I < GatewayCount; ++I)
      checkProcess(I);
    std::erase_if(Open, [&](sent_request &Each) {
      if (!Each.Answer->Done)
        return false;
      check(Each);
      Checked.push_back(std::move(Each));
      return true;
    });
    while (Open.size() < OpenRequests)
      send();
  }

  void runScheduled() {
    while (!Scheduled.empty() && Scheduled.begin()->first <= steadySeconds()) {
      auto Action = std::move(Scheduled.begin()->second);
      Scheduled.erase(Scheduled.begin());
      Action();
    }
  }

  // Restarts a gateway that was sent a signal and has exited; an exit without a
  // signal is a violation.
  void checkProcess(size_t Index) {
    gateway_under_test &Each = *Gateways[Index];
    bool WasKilled = Each.Process->pid() <= 0;
    if (WasKilled || Each.Process->running())
      return;
    if (!Each.mayExitWith(Each.Process->exitCode()))
      reportViolation("a gateway terminated unexpectedly with code " +
                      std::to_string(Each.Process->exitCode()));
    startLife(Index);
  }

  void send() {
    sent_request Request;
    Request.Kind = request_kind(below(size_t(request_kind::Last) + 1));
    Request.Gateway = below(GatewayCount);
    Request.Life = Gateways[Request.Gateway]->Life;
    Request.Id = nextId();
    std::string Path;
    std::string Unframed = chance(0.3) ? "&do=unframed" : "";
    switch (Request.Kind) {
    case request_kind::Safe:
      Path = "/safe/x?late=" + std::to_string(below(40)) + Unframed;
      break;
    case request_kind::Unsafe:
      // Long enough for faults to occur while it is being processed.
      Path = "/unsafe/x?late=" + std::to_string(below(400)) + Unframed;
      break;
    case request_kind::Stream:
      Path = streamPath(Request);
      break;
    case request_kind::Marker:
      Request.Marker =
          NewestMarker - below(std::min<uint64_t>(NewestMarker, 3));
      Path = "/mark-" + std::to_string(Request.Marker) + "/x";
      break;
    }
    std::vector<std::string> Headers = {"Host: a.example", "X-Credential: k1",
                                        "X-Deadline-Ms: 4000",
                                        "X-Attempt-Id: " + Request.Id};
    if (Request.Kind == request_kind::Stream)
      addPrompt(Headers);
    Request.Answer = begin(Gateways[Request.Gateway]->Address.text(),
                           {.Path = Path,
                            .Body = "of " + Request.Id + ".",
                            .Key = "",
                            .Headers = std::move(Headers),
                            .Seconds = ClientTimeoutSeconds});
    Open.push_back(std::move(Request));
  }

  // A prompt with a first block that all share, another block and its own one.
  void addPrompt(std::vector<std::string> &Headers) {
    std::string Middle =
        chance(0.1) ? BadBlock : "b" + std::to_string(below(6));
    Headers.push_back("X-Model: small");
    Headers.push_back("X-Token-Count: 1000,20");
    Headers.push_back("X-Prefix-Hash: a1:300," + Middle + ":200,f" +
                      std::to_string(Checked.size()) + ":100");
  }

  // A stream in any framing, often cut after a random number of bytes. Nothing
  // shows that a stream without a length or chunks was cut after an event.
  std::string streamPath(sent_request &Request) {
    constexpr const char *Framings[] = {"chunks", "length", "close"};
    std::string Framing = Framings[below(std::size(Framings))];
    std::string Path = "/stream/x?events=" + std::to_string(StreamEvents) +
                       "&frame=" + Framing;
    if (chance(0.6))
      return Path;
    size_t Cut = below(eventsUpTo(StreamEvents).size());
    size_t EventBytes = eventsUpTo(1).size();
    if (Framing == "close" && Cut > 0 && Cut % EventBytes == 0)
      Request.Partial = eventsUpTo(int(Cut / EventBytes));
    return Path + "&cut=" + std::to_string(Cut);
  }

  void check(const sent_request &Request) {
    const client_response &Answer = *Request.Answer;
    gateway_under_test &Target = *Gateways[Request.Gateway];
    if (Answer.Status != 0 && Target.Life == Request.Life)
      Target.Answered = true;
    bool Complete = Answer.Error.empty();
    Served += Complete && Answer.Status == 200;
    NotRun += Complete && Answer.Status == 503;
    if (Answer.Status != 200)
      return;
    if (Request.Kind == request_kind::Stream)
      checkStream(Request, Complete);
    else if (Complete && !Answer.Body.ends_with("got of " + Request.Id + "."))
      reportViolation("response to another request for " + Request.Id + ": " +
                      Answer.Body);
    if (Request.Kind == request_kind::Marker)
      checkMarker(Request);
  }

  void checkStream(const sent_request &Request, bool Complete) {
    std::string All = eventsUpTo(StreamEvents);
    const std::string &Body = Request.Answer->Body;
    bool IsPartial = !Request.Partial.empty() && Body == Request.Partial;
    bool Good = Complete ? Body == All || IsPartial : All.starts_with(Body);
    if (!Good)
      reportViolation("a stream with lost or repeated events, " + Request.Id +
                      ": " + Body);
  }

  // A gateway must not serve an older routing than the last one that was
  // acknowledged before the gateway's present life began.
  void checkMarker(const sent_request &Request) {
    gateway_under_test &Each = *Gateways[Request.Gateway];
    if (Each.Life != Request.Life)
      return;
    if (Request.Marker < Each.AckedAtStart)
      reportViolation("marker " + std::to_string(Request.Marker) +
                      " served by a gateway " + "that started after " +
                      std::to_string(Each.AckedAtStart) + " was acknowledged");
    Each.NewestSeen = std::max(Each.NewestSeen, Request.Marker);
  }

  // A request to an unsafe route must run at most once, and not at all if the
  // client got status 503.
  void checkRuns(const sent_request &Request) {
    int Runs = 0;
    for (auto &[Id, Replica] : Replicas)
      Runs += Replica->runs(Request.Id);
    if (Request.Kind == request_kind::Unsafe && Runs > 1)
      reportViolation(Request.Id + " ran " + std::to_string(Runs) + " times");
    if (Request.Kind == request_kind::Unsafe && Runs > 0 &&
        Request.Answer->Status == 503)
      reportViolation(Request.Id + " was reported as not run, but ran");
  }

  // ---- End of the run ----

  // Waits until all faults have ended.
  void endFaults() {
    double Last = steadySeconds() + DrainSeconds + 0.1;
    until(
        "all faults have ended",
        [&] {
          turn();
          return Scheduled.empty() || steadySeconds() > Last;
        },
        60);
    List->Refusals = 0;
    changeRouting();
  }

  // Each gateway must serve safe and unsafe routes again, and the marker route
  // of the newest routing.
  void checkRecovery() {
    std::string Newest = "/mark-" + std::to_string(NewestMarker) + "/x";
    for (size_t I = 0; I < GatewayCount; ++I)
      for (const std::string &Path :
           {Newest, std::string("/safe/x"), std::string("/unsafe/x"),
            std::string("/stream/x?events=2")})
        until(
            Path + " is served again",
            [&] {
              turn();
              return statusAt(I, Path) == 200;
            },
            40);
    until("the last requests are complete", [&] {
      runScheduled();
      return std::all_of(Open.begin(), Open.end(),
                         [](const auto &Each) { return Each.Answer->Done; });
    });
    for (sent_request &Each : Open) {
      check(Each);
      Checked.push_back(Each);
    }
    for (const auto &[Id, Runs] : Drained)
      if (Replicas[Id]->runs() != Runs)
        reportViolation("upstream " + Id +
                        " received requests long after it was drained");
    for (auto &Node : Seeded)
      if (!Node->Process->running())
        reportViolation("a control VM terminated unexpectedly");
  }

  int statusAt(size_t Index, const std::string &Path) {
    return call(Gateways[Index]->Address.text(),
                {.Path = Path,
                 .Key = "",
                 .Headers = {"Host: a.example", "X-Credential: k1",
                             "X-Attempt-Id: " + nextId(), "X-Model: small",
                             "X-Prefix-Hash: a1:300,b1:200,e1:100"},
                 .Seconds = 3})
        .Status;
  }

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<gateway_under_test>> Gateways;
  std::vector<std::string> Listed; ///< Upstreams that accept requests.
  /// Number of runs of each drained upstream when its draining time was over.
  std::map<std::string, int> Drained;
  std::multimap<double, std::function<void()>> Scheduled; ///< By due time.
  std::list<sent_request> Open;
  std::vector<sent_request> Checked;
  uint64_t NewestMarker = 0; ///< Of the last routing that was sent.
  uint64_t AckedMarker = 0;  ///< Of the last routing that was acknowledged.
  size_t Upstreams = 0;      ///< Number of upstreams started so far.
  bool Large = false;        ///< Routings have 300 additional routes.
  size_t Faults = 0;
  size_t Served = 0;
  size_t NotRun = 0;
  size_t Violations = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(one_seed) {
  uint64_t Seed = seedOf();
  soak Soak(Seed);
  Soak.play();
  std::cout << "seed " << Seed << " ";
  Soak.print(std::cout);
  BOOST_TEST(Soak.violations() == 0U);
}
