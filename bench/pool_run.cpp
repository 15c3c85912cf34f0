//===- pool_run.cpp - Simulated pool of replicas --------------------------===//

#include "bench/pool_run.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double SampleSeconds = 1.5; ///< Interval of a sidecar's load samples.
/// Longest interval of a sidecar's reports, also if its load has not changed.
constexpr double MaxReportSeconds = 10;
constexpr int Prefixes = 60;        ///< Different prompt prefixes.
constexpr size_t WarmPrefixes = 12; ///< Prefixes that a replica caches.
/// Share of the service time that a cached prefix saves.
constexpr double PrefixSaving = 0.3;
constexpr uint32_t UsualPriority = 2;

} // namespace

void bench_replica::reportTo(size_t Entry, double Now) {
  view &View = Views[Entry];
  View.Running = Running;
  View.Queued = double(Waiting.size());
  View.At = Now;
  View.OwnAtReport = View.Own;
}

std::vector<replica_state> replicaStates(const pick_input &Input) {
  std::vector<replica_state> States;
  for (size_t I = 0; I < Input.Replicas.size(); ++I) {
    const auto &View = Input.Replicas[I].Views[Input.Entry];
    States.push_back({.OwnInFlight = View.Own,
                      .ReportedRunning = View.Running,
                      .ReportedQueued = View.Queued,
                      .OwnAtReport = View.OwnAtReport,
                      .Age = Input.Now - View.At,
                      .Slots = double(Input.Slots)});
    States.back().PrefixScore =
        checksum(std::to_string(I), uint64_t(Input.Prefix));
  }
  return States;
}

double class_waits::quantileMs(double Share) {
  if (Waits.empty())
    return 0;
  size_t Index = size_t(Share * double(Waits.size() - 1));
  std::nth_element(Waits.begin(), Waits.begin() + int64_t(Index), Waits.end());
  return 1000 * Waits[Index];
}

pool_run::pool_run(const bench_pool &Pool, uint64_t Seed)
    : Pool(Pool), Random(Seed), Replicas(Pool.Replicas) {
  size_t Slow = size_t(Pool.SlowShare * double(Pool.Replicas));
  for (size_t I = 0; I < Replicas.size(); ++I) {
    Replicas[I].Speed = I < Slow ? 0.5 : 1;
    Replicas[I].SampledAt = -SampleSeconds * double(I) / double(Pool.Replicas);
    Replicas[I].ReportedAt = -MaxReportSeconds;
  }
}

void pool_run::run(const picker &Pick, decision_signature *Signature) {
  double Capacity = double(Pool.Replicas) * Pool.Slots;
  std::exponential_distribution<double> Gap(Pool.Load * Capacity);
  double Now = 0;
  for (int I = 0; I < Pool.Requests; ++I) {
    Now += Gap(Random);
    endUntil(Now);
    report(Now);
    size_t Entry = Random() % BenchEntries;
    int Prefix = int(Random() % Prefixes);
    size_t Choice =
        choose(Pick, {Replicas, Entry, Prefix, Now, Pool.Slots, Random});
    if (Signature)
      Signature->add(std::to_string(Choice));
    arrive(Choice, Entry, Prefix, Now);
  }
  endUntil(Now + 1000);
}

// A sidecar reports at once that a request is queued. The entry then chooses
// again with that report, and moves the request if the second replica has a
// free slot.
size_t pool_run::choose(const picker &Pick, const pick_input &Input) {
  size_t Choice = Pick(Input);
  for (int MoveCount = 0; MoveCount < Pool.Moves; ++MoveCount) {
    bench_replica &R = Replicas[Choice];
    if (R.Running < Pool.Slots)
      return Choice;
    R.Views[Input.Entry].Own += 1;
    R.reportTo(Input.Entry, Input.Now);
    R.Views[Input.Entry].Queued += 1;
    std::vector<replica_state> States = replicaStates(Input);
    States.erase(States.begin() + int64_t(Choice));
    size_t Second = *chooseReplica(States, Random);
    bool Free = hasFreeSlot(States[Second]);
    Second += Second >= Choice ? 1 : 0;
    R.Views[Input.Entry].Own -= 1;
    R.reportTo(Input.Entry, Input.Now);
    if (!Free)
      return Choice;
    ++Moved;
    Choice = Second;
  }
  return Choice;
}

void pool_run::arrive(size_t Choice, size_t Entry, int Prefix, double Now) {
  bench_replica &R = Replicas[Choice];
  R.Views[Entry].Own += 1;
  auto Warm = std::find(R.Warm.begin(), R.Warm.end(), Prefix);
  bool Hit = Warm != R.Warm.end();
  WarmHits += Hit ? 1 : 0;
  if (Hit)
    R.Warm.erase(Warm);
  R.Warm.push_back(Prefix);
  if (R.Warm.size() > WarmPrefixes)
    R.Warm.pop_front();
  // The service time is 0.4 s plus an exponential part with a mean of 0.6 s.
  std::exponential_distribution<double> Service(1);
  request Request{.Replica = Choice, .Entry = Entry, .Arrived = Now};
  Request.Time = (0.4 + 0.6 * Service(Random)) / R.Speed;
  Request.Time *= Hit ? 1 - PrefixSaving : 1;
  Request.Priority = UsualPriority;
  if (Pool.UrgentShare > 0) {
    std::uniform_real_distribution<double> Unit(0, 1);
    if (Unit(Random) < Pool.UrgentShare)
      Request.Priority = 0;
  }
  uint64_t Ticket = NextTicket++;
  Open[Ticket] = Request;
  auto Shed = R.Waiting.push({.Ticket = Ticket,
                              .Priority = Request.Priority,
                              .Arrived = Now,
                              .Deadline = Now + Pool.MaxWaitSeconds});
  if (Shed)
    shed(*Shed);
  startNext(R, Now);
  R.reportTo(Entry, Now);
}

void pool_run::shed(uint64_t Ticket) {
  const request &Request = Open[Ticket];
  ++classOf(Request.Priority).Shed;
  Replicas[Request.Replica].Views[Request.Entry].Own -= 1;
  Open.erase(Ticket);
}

void pool_run::startNext(bench_replica &Replica, double Now) {
  for (uint64_t Ticket : Replica.Waiting.takeExpired(Now))
    shed(Ticket);
  while (Replica.Running < Pool.Slots) {
    auto Next = Replica.Waiting.pop(Now);
    if (!Next)
      return;
    begin(Next->Ticket, Now);
  }
}

void pool_run::begin(uint64_t Ticket, double Now) {
  const request &Request = Open[Ticket];
  ++Replicas[Request.Replica].Running;
  classOf(Request.Priority).Waits.push_back(Now - Request.Arrived);
  Ends.push({Now + Request.Time, Ticket});
}

void pool_run::endUntil(double Now) {
  while (!Ends.empty() && Ends.top().At <= Now) {
    ending End = Ends.top();
    Ends.pop();
    request Request = Open[End.Ticket];
    Open.erase(End.Ticket);
    bench_replica &R = Replicas[Request.Replica];
    --R.Running;
    R.Views[Request.Entry].Own -= 1;
    startNext(R, End.At);
    R.reportTo(Request.Entry, End.At);
  }
}

void pool_run::report(double Now) {
  for (bench_replica &R : Replicas) {
    if (Now < R.SampledAt + SampleSeconds)
      continue;
    R.SampledAt = Now;
    ++LoadSamples;
    sidecar_load Load{uint32_t(R.Running), uint32_t(R.Waiting.size())};
    if (Now < R.ReportedAt + MaxReportSeconds &&
        !isReportDue(R.LastReport, Load, uint32_t(Pool.Slots)))
      continue;
    R.ReportedAt = Now;
    R.LastReport = Load;
    ++Reports;
    for (size_t Entry = 0; Entry < BenchEntries; ++Entry)
      R.reportTo(Entry, Now);
  }
}

} // namespace olivevalve
