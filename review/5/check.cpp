//===- check.cpp - Leaders are killed right after an acknowledgement ------===//
//
// One change of the configuration is acknowledged, and the leader is killed
// right after that and starts again. Meanwhile seven further changes are under
// way. This is repeated, with three changes a second on average and never more
// than two machines down or catching up. At the end the configuration is read
// back: it must be the newest that was acknowledged, as it was sent, or a newer
// one.
//
//===----------------------------------------------------------------------===//

#include "../stand-ins-2/fleet.h"
#include <algorithm>
#include <atomic>
#include <csignal>

using namespace review;

namespace {

constexpr size_t CoreMachines = 5;
constexpr size_t OrdersAtOnce = 7;
// One and seven changes: a change each 0.33 s on average.
constexpr double RoundSeconds = 2.7;
constexpr size_t Routes = 350;
constexpr double PlaySeconds = 96;
// A read counts so long after the last acknowledgement.
constexpr double ApplySeconds = 2;
constexpr double ContactSeconds = 3;
constexpr double DownSeconds = 0.15;
// Between two tries of the operator, growing.
constexpr double FirstWait = 0.0001;
constexpr double LongestWait = 0.0005;
// Between two reads of a machine that refers to another one.
constexpr double ReadWait = 0.0001;

std::string document(uint64_t Version) {
  std::vector<route> All;
  for (size_t I = 0; I < Routes; ++I)
    All.push_back({.Prefix = "/r" + std::to_string(I) + "/",
                   .TimeoutMs = 2000 + int(I == 0 ? Version % 1000 : 0)});
  return configuration(Version, All);
}

/// One operator's view: what was sent and acknowledged, and by whom last.
class operators {
public:
  operators(record &Record, fleet &Fleet) : Record(Record), Fleet(Fleet) {}

  /// Sends so many changes at once and returns when all are acknowledged.
  void sendTogether(size_t Count);
  size_t lastMachine() const { return LastMachine; }
  /// Reads at a machine; false if it gives what cannot be in force.
  bool read(size_t Machine, const std::string &When);
  bool readAtAll(const std::string &When);
  bool spoiled() const { return Spoiled; }
  size_t acknowledged() const { return Acknowledged; }

private:
  void send(uint64_t Version);
  bool mayBeInForce(const std::string &Body);

  record &Record;
  fleet &Fleet;
  std::mutex Mutex;
  std::map<uint64_t, std::string> Sent;
  uint64_t Newest = 0; ///< The highest version that was acknowledged.
  uint64_t Last = 0;   ///< The highest version that was sent.
  std::atomic<size_t> LastMachine = 1;
  std::atomic<size_t> Acknowledged = 0;
  std::atomic<bool> Spoiled = false;
};

void operators::send(uint64_t Version) {
  std::string Body;
  {
    std::lock_guard Lock(Mutex);
    Body = Sent[Version];
  }
  // One connection to each machine is kept for all tries.
  std::map<size_t, kept_connection> Connections;
  size_t Machine = 1 + Version % CoreMachines;
  size_t Hops = 0;
  double Wait = FirstWait;
  double Begun = now();
  while (!Spoiled && now() < Begun + 20) {
    answer Answer = Connections[Machine].call(
        Fleet.controlPlane(Machine),
        {.Method = "POST", .Path = "/v1/routing", .Body = Body});
    if (Answer.Status == 200) {
      LastMachine = Machine;
      ++Acknowledged;
      std::lock_guard Lock(Mutex);
      Newest = std::max(Newest, Version);
      return;
    }
    size_t Leader = Fleet.machineAt(valueOf(Answer.Lines, "location"));
    if (Answer.Status == 307 && Leader != 0 && Hops++ < 2) {
      Machine = Leader;
      continue;
    }
    if (Answer.Status == 503 &&
        Answer.Body.find("changed by another") != std::string::npos)
      Record.line("POST version " + std::to_string(Version) + " at core-" +
                  std::to_string(Machine) + ": 503 " + Answer.Body);
    Hops = 0;
    Machine = Machine % CoreMachines + 1;
    pause(Wait);
    Wait = std::min(LongestWait, Wait * 1.2);
  }
}

void operators::sendTogether(size_t Count) {
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < Count; ++I) {
    uint64_t Version = 0;
    {
      std::lock_guard Lock(Mutex);
      Version = Last += 1 + I % 3;
      Sent[Version] = document(Version);
      while (Sent.size() > 64)
        Sent.erase(Sent.begin());
    }
    Threads.emplace_back([this, Version] { send(Version); });
  }
  for (std::thread &Each : Threads)
    Each.join();
}

bool operators::mayBeInForce(const std::string &Body) {
  std::lock_guard Lock(Mutex);
  return std::any_of(Sent.begin(), Sent.end(), [&](const auto &Each) {
    return Each.first >= Newest && Each.second == Body;
  });
}

bool operators::read(size_t Machine, const std::string &When) {
  answer Read = Fleet.operate("GET", "/v1/routing", "", Machine);
  if (Read.Status != 200 || !Read.Whole)
    return true;
  bool May = mayBeInForce(Read.Body);
  if (!May || When == "at the end")
    Record.line("GET " + When + " at core-" + std::to_string(Machine) +
                ": 200, " + std::to_string(Read.Body.size()) + " bytes" +
                (May ? ", as sent" : ", NOT as sent"));
  if (!May)
    Spoiled = true;
  return May;
}

bool operators::readAtAll(const std::string &When) {
  bool Good = true;
  for (size_t I = 1; I <= CoreMachines; ++I)
    Good = read(I, When) && Good;
  return Good;
}

} // namespace

int main(int Count, char **Values) {
  record Record(Count > 1 ? Values[1] : "record.txt");
  fleet Fleet("127.84.5", CoreMachines);
  for (size_t I = 1; I <= CoreMachines; ++I)
    Fleet.startControl(I, true);
  if (!Fleet.untilWhole(20)) {
    Record.line("the core did not become whole");
    Fleet.leave(CannotRun);
  }
  pause(4.5); // catchUpS after the start
  Record.line("five core machines are up");
  // Two operators that read the configuration at each machine.
  for (size_t Reader = 0; Reader < 2 * CoreMachines; ++Reader)
    std::thread([&Fleet, I = 1 + Reader % CoreMachines] {
      kept_connection Connection;
      for (;;) {
        int Status =
            Connection.call(Fleet.controlPlane(I), {.Path = "/v1/routing"})
                .Status;
        pause(Status == 200 ? 0.05 : Status == 0 ? 0.01 : ReadWait);
      }
    }).detach();

  operators Operators(Record, Fleet);
  size_t Kills = 0;
  double Until = now() + PlaySeconds;
  while (now() < Until && !Operators.spoiled()) {
    double Next = now() + RoundSeconds;
    Operators.sendTogether(1);
    if (withTrouble()) {
      size_t Machine = Operators.lastMachine();
      Fleet.signalControl(Machine, SIGKILL);
      ++Kills;
      Fleet.awaitControl(Machine);
      pause(DownSeconds);
      Fleet.startControl(Machine, false);
    }
    Operators.sendTogether(OrdersAtOnce);
    // Only ends the play early; what counts is read below.
    Operators.read(Operators.lastMachine(), "after the acknowledgements");
    pause(Next - now());
  }
  Record.line(std::to_string(Operators.acknowledged()) +
              " changes acknowledged, " + std::to_string(Kills) +
              " leaders killed");
  pause(ApplySeconds);
  bool Good = true;
  for (double End = now() + ContactSeconds; now() < End; pause(0.7))
    Good = Operators.readAtAll("at the end") && Good;
  Record.line(Good ? "held"
                   : "BROKEN: what is read back is not what was acknowledged");
  Fleet.leave(Good ? Held : Broken);
}
