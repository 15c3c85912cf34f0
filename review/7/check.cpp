//===- check.cpp - Gateways are restarted during a roll-out ---------------===//
//
// A service is rolled out from version v9 to v10, which is good: four replicas
// of each run side by side. One of the two edge machines is stopped and started
// just then, as planned. Sessions under way must stay with their version in the
// first half of the roll-out.
//
//===----------------------------------------------------------------------===//

#include "../stand-ins-2/fleet.h"
#include <algorithm>
#include <atomic>
#include <csignal>
#include <random>

using namespace review;

namespace {

constexpr size_t CoreMachines = 5;
constexpr size_t Gateways = 2;
constexpr size_t OldReplicas = 4;
constexpr size_t NewReplicas = 4;
constexpr size_t Clients = 14;
// Of the deployment.
constexpr double ContactSeconds = 3;
constexpr double SessionSeconds = 5;
constexpr size_t PinnedAllowed = 3;
// Of the roll-out, from its order.
constexpr double DurationSeconds = 24;
// The SIGTERM comes this long before the order.
constexpr double TermBefore = 1.5;

struct run {
  double At = 0;
  double Ended = 0;
  std::string Session;
  bool New = false;
  size_t Gateway = 0;
};

/// Since when each gateway is in touch, and until when.
struct touch {
  double From = 0;
  double Until = 1e18;
};

class roll_out {
public:
  explicit roll_out(const std::string &Path)
      : Record(Path), Fleet("127.84.17", CoreMachines), Open(Gateways, true),
        Touches(Gateways) {}

  [[noreturn]] void play() { Fleet.leave(playToEnd()); }

private:
  int playToEnd();
  bool start();
  bool startReplicas();
  void answerStream(const request &Request, responder &To, bool New);
  void client(size_t Number);
  void restart(size_t Number);
  bool inTouch(size_t Number, double At) const;
  int judge();

  record Record;
  fleet Fleet;
  platform_list List;
  std::vector<replica> Later; ///< Those of the new version.
  std::mutex Mutex;
  std::vector<run> Runs;
  std::map<std::string, size_t> SentBy;
  std::vector<bool> Open; ///< The balancer gives the gateway new connections.
  std::vector<std::vector<touch>> Touches;
  std::atomic<double> OrderedAt = 1e18;
  std::atomic<bool> Stop = false;
  std::atomic<size_t> Good = 0;
  std::atomic<size_t> Failed = 0;
};

bool roll_out::startReplicas() {
  bool Served = List.start(Fleet.listAddress());
  for (size_t I = 1; I <= OldReplicas + NewReplicas; ++I) {
    bool New = I > OldReplicas;
    replica Replica{.Id = "i-" + std::to_string(I),
                    .Address = Fleet.other(I),
                    .Version = New ? "v10" : "v9",
                    .Slots = 64};
    Served = Served &&
             serve(Replica.Address, [=, this](const request &R, responder &To) {
               answerStream(R, To, New);
             });
    if (New)
      Later.push_back(Replica);
    else
      List.put(Replica);
  }
  return Served;
}

void roll_out::answerStream(const request &Request, responder &To, bool New) {
  std::string Id = valueOf(Request.Lines, "x-attempt-id");
  double Begun = now();
  To.begin(200, {{"X-Attempt-Id", Id},
                 {"X-Response-Seal", "seal"},
                 {"X-Server-Load", "1,0,64"},
                 {"Content-Type", "text/event-stream"}});
  for (int I = 1; I <= 5; ++I) {
    pause(0.03);
    std::string Number = std::to_string(I);
    To.piece("id: " + Number + "\ndata: " + Number + "\n\n");
  }
  To.finish();
  std::lock_guard Lock(Mutex);
  Runs.push_back({.At = Begun,
                  .Ended = now(),
                  .Session = valueOf(Request.Lines, "session"),
                  .New = New,
                  .Gateway = SentBy[Id]});
}

// One session for each client, with about one request a second.
void roll_out::client(size_t Number) {
  std::mt19937 Random{unsigned(Number)};
  std::uniform_real_distribution<double> Gap(0.5, 1.5);
  for (int I = 0; !Stop; ++I) {
    std::string Session = "s" + std::to_string(Number);
    std::string Id = Session + "-" + std::to_string(I);
    size_t Gateway = 0;
    {
      std::lock_guard Lock(Mutex);
      do
        Gateway = Random() % Gateways;
      while (!Open[Gateway]);
      SentBy[Id] = Gateway;
    }
    char Part[64];
    std::snprintf(Part, sizeof(Part), "5c1e07a2:80,%zx%04x:20", Number + 1,
                  unsigned(I));
    answer Answer = call(Fleet.frontend(Gateway + 1),
                         {.Method = "POST",
                          .Path = "/plan/x",
                          .Lines = {{"Host", "a.example"},
                                    {"X-Attempt-Id", Id},
                                    {"X-Credential", "k1"},
                                    {"X-Deadline-Ms", "15000"},
                                    {"Session", Session},
                                    {"X-Model", "m0"},
                                    {"X-Token-Count", "100,50"},
                                    {"X-Prefix-Hash", Part}},
                          .Body = "hello",
                          .TimeoutSeconds = 15});
    bool IsGood = Answer.Status == 200 && Answer.Whole;
    ++(IsGood ? Good : Failed);
    pause(Gap(Random));
  }
}

void roll_out::restart(size_t Number) {
  {
    std::lock_guard Lock(Mutex);
    Open[Number] = false;
    Touches[Number].back().Until = now();
  }
  std::string Name = "edge-" + std::to_string(Number + 1);
  Record.line("SIGTERM to " + Name);
  Fleet.signalGateway(Number + 1, SIGTERM);
  Fleet.awaitGateway(Number + 1, 9);
  Fleet.startGateway(Number + 1);
  double Started = now();
  Fleet.untilReady(Number + 1, 10);
  Record.line(Name + " is started again and ready");
  std::lock_guard Lock(Mutex);
  Touches[Number].push_back({.From = Started + ContactSeconds});
  Open[Number] = true;
}

bool roll_out::inTouch(size_t Number, double At) const {
  return std::any_of(
      Touches[Number].begin(), Touches[Number].end(),
      [At](const touch &Each) { return At >= Each.From && At < Each.Until; });
}

bool roll_out::start() {
  for (size_t I = 1; I <= CoreMachines; ++I)
    Fleet.startControl(I, true);
  for (size_t I = 1; I <= Gateways; ++I)
    Fleet.startGateway(I);
  std::string Routing = configuration(
      1, {{.Prefix = "/plan/", .Kind = "streaming", .Model = true}});
  bool Ready = startReplicas() && Fleet.untilWhole(20) &&
               Fleet.order("/v1/routing", Routing, 20);
  for (size_t I = 1; I <= Gateways; ++I)
    Ready = Ready && Fleet.untilReady(I, 20);
  pause(ContactSeconds + 0.5);
  for (std::vector<touch> &Each : Touches)
    Each.push_back({.From = now()});
  return Ready;
}

int roll_out::judge() {
  std::lock_guard Lock(Mutex);
  std::sort(Runs.begin(), Runs.end(),
            [](const run &A, const run &B) { return A.At < B.At; });
  size_t Moved = 0;
  std::map<std::string, run> Last;
  for (const run &Each : Runs) {
    bool Touched = inTouch(Each.Gateway, Each.At);
    auto It = Last.find(Each.Session);
    bool IsMoved = It != Last.end() && !It->second.New && Each.New &&
                   Each.At < It->second.Ended + SessionSeconds && Touched &&
                   Each.At < OrderedAt + DurationSeconds / 2;
    Moved += IsMoved;
    if (Each.At >= OrderedAt - SessionSeconds)
      Record.line("run " + std::to_string(Each.At - OrderedAt).substr(0, 6) +
                  " s after the order: session " + Each.Session + " on " +
                  (Each.New ? "v10" : "v9") + " from edge-" +
                  std::to_string(Each.Gateway + 1) +
                  (Touched ? "" : ", not in touch") +
                  (IsMoved ? ", MOVED" : ""));
    Last[Each.Session] = Each;
  }
  Record.line(std::to_string(Good) + " requests answered with 200, " +
              std::to_string(Failed) + " not");
  Record.line("PINNED: " + std::to_string(Moved) +
              " requests of sessions on v9 ran on v10 in the first half, " +
              std::to_string(PinnedAllowed) + " are allowed");
  bool IsBroken = Moved > PinnedAllowed;
  Record.line(IsBroken ? "BROKEN" : "held");
  return IsBroken ? Broken : Held;
}

int roll_out::playToEnd() {
  if (!start()) {
    Record.line("the deployment did not become ready");
    return CannotRun;
  }
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < Clients; ++I)
    Threads.emplace_back([this, I] { client(I); });
  pause(4);
  std::atomic<bool> Ordered = false;
  std::thread Operator([&] {
    pause(TermBefore);
    Ordered =
        Fleet
            .order("/v1/rollouts",
                   R"({"service":"svc","target_version":"v10","duration_s":)" +
                       std::to_string(int(DurationSeconds)) + "}",
                   5)
            .has_value();
    OrderedAt = now();
    Record.line(Ordered ? "POST /v1/rollouts, v9 to v10: 200"
                        : "the roll-out was not acknowledged");
    for (const replica &Each : Later)
      List.put(Each);
    Record.line("four replicas of v10 are listed beside four of v9");
  });
  // In this thread: a process that is started ends with the thread.
  if (withTrouble())
    restart(Gateways - 1);
  Operator.join();
  pause(OrderedAt + DurationSeconds - now());
  Record.line("GET /v1/rollouts/svc: " +
              Fleet.operate("GET", "/v1/rollouts/svc", "", 1).Body);
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  return Ordered ? judge() : CannotRun;
}

} // namespace

int main(int Count, char **Values) {
  roll_out(Count > 1 ? Values[1] : "record.txt").play();
}
