//===- check.cpp - The reader of a gateway's log stands still -------------===//
//
// A gateway writes its log to standard output, a pipe that a collector reads.
// The collector is stopped for a while and goes on then. Clients send requests
// all the time. Those that reach their route's timeout must get a final answer.
//
//===----------------------------------------------------------------------===//

#include "../stand-ins-2/fleet.h"
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr size_t CoreMachines = 5;
constexpr int TimeoutMs = 2000;
constexpr double TimeoutSeconds = TimeoutMs / 1000.0;
// After the timeout a final answer may take this long.
constexpr double GraceSeconds = 0.5;
constexpr int Requests = 600;
constexpr double GapSeconds = 0.05;
constexpr double StopAt = 3;
constexpr double StopSeconds = 20;
constexpr size_t LeastUnanswered = 8;

/// Starts a process that reads \p Pipe as a collector of logs does.
pid_t startCollector(int Pipe) {
  pid_t Id = fork();
  if (Id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    char Buffer[4096];
    while (read(Pipe, Buffer, sizeof(Buffer)) > 0) {
    }
    _exit(0);
  }
  return Id;
}

} // namespace

int main(int Count, char **Values) {
  record Record(Count > 1 ? Values[1] : "record.txt");
  fleet Fleet("127.84.16", CoreMachines);
  for (size_t I = 1; I <= CoreMachines; ++I)
    Fleet.startControl(I, true);
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    Fleet.leave(CannotRun);
  pid_t Collector = startCollector(Pipe[0]);
  Fleet.startGateway(1, Pipe[1]);
  close(Pipe[0]);
  close(Pipe[1]);

  std::mutex Mutex;
  std::map<std::string, int> Runs;
  platform_list List;
  bool Served = List.start(Fleet.listAddress());
  for (size_t I = 1; I <= 3; ++I) {
    replica Replica{.Id = "i-" + std::to_string(I), .Address = Fleet.other(I)};
    List.put(Replica);
    Served =
        Served &&
        serve(Replica.Address, [&](const request &Request, responder &To) {
          std::string Id = valueOf(Request.Lines, "x-attempt-id");
          {
            std::lock_guard Lock(Mutex);
            ++Runs[Id];
          }
          pause(0.06);
          To.whole(200, {{"X-Attempt-Id", Id}, {"X-Response-Seal", "seal"}},
                   std::string(800, 'x'));
        });
  }
  std::string Routing = configuration(
      1, {{.Prefix = "/book/", .Kind = "unsafe", .TimeoutMs = TimeoutMs}});
  bool Ready = Served && Fleet.untilWhole(20) &&
               Fleet.order("/v1/routing", Routing, 20) &&
               Fleet.untilReady(1, 20);
  if (!Ready) {
    Record.line("the deployment did not become ready");
    kill(Collector, SIGKILL);
    waitpid(Collector, nullptr, 0);
    Fleet.leave(CannotRun);
  }
  pause(3.5); // contactMs after the start
  Record.line("the gateway is ready and in touch");

  std::atomic<size_t> AtTimeout = 0;
  std::atomic<size_t> Late = 0;
  std::atomic<size_t> Good = 0;
  std::atomic<size_t> RunUnanswered = 0;
  std::vector<std::thread> Clients;
  double Begun = now();
  bool Stopped = false;
  bool Continued = false;
  for (int I = 0; I < Requests; ++I) {
    if (withTrouble() && !Stopped && now() > Begun + StopAt) {
      kill(Collector, SIGSTOP);
      Stopped = true;
      Record.line("the collector of the gateway's log stands still");
    }
    if (Stopped && !Continued && now() > Begun + StopAt + StopSeconds) {
      kill(Collector, SIGCONT);
      Continued = true;
      Record.line("the collector goes on");
    }
    Clients.emplace_back([&, I] {
      std::string Id = "a-" + std::to_string(I);
      answer Answer =
          call(Fleet.frontend(1), {.Method = "POST",
                                   .Path = "/book/seat",
                                   .Lines = {{"Host", "a.example"},
                                             {"X-Attempt-Id", Id},
                                             {"X-Credential", "k1"},
                                             {"X-Deadline-Ms", "3000"}},
                                   .Body = "{\"seat\":7}",
                                   .TimeoutSeconds = 3});
      bool Final = Answer.Status != 0 && Answer.Whole;
      double Seconds = Final ? Answer.Seconds : 3;
      Good += Final && Answer.Status == 200;
      AtTimeout += Seconds >= TimeoutSeconds;
      Late += Seconds >= TimeoutSeconds + GraceSeconds;
      std::lock_guard Lock(Mutex);
      bool Ran = Runs[Id] > 0;
      RunUnanswered += !Final && Ran;
      Record.line(
          Id + ": " +
          (Final ? std::to_string(Answer.Status) : std::string("no answer")) +
          " after " + std::to_string(Seconds).substr(0, 5) + " s, " +
          (Ran ? "run" : "not run"));
    });
    pause(GapSeconds);
  }
  for (std::thread &Client : Clients)
    Client.join();
  kill(Collector, SIGCONT);
  kill(Collector, SIGKILL);
  waitpid(Collector, nullptr, 0);

  Record.line(std::to_string(Requests) + " requests, " + std::to_string(Good) +
              " answered with 200; " + std::to_string(AtTimeout) +
              " unanswered at their route's timeout, " + std::to_string(Late) +
              " of these also " + std::to_string(GraceSeconds).substr(0, 3) +
              " s later; " + std::to_string(RunUnanswered) +
              " were run and never answered");
  bool IsBroken = Late >= LeastUnanswered && 2 * Late > AtTimeout;
  Record.line(IsBroken ? "BROKEN: the gateway stands still while nobody reads "
                         "its log"
                       : "held");
  Fleet.leave(IsBroken ? Broken : Held);
}
