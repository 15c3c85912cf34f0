//===- replicas.cpp - Waiting of requests under stale news ----------------===//

#include "policy/replica_choice.h"
#include "tests/bench/bench.h"
#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>

namespace olivevalve {

namespace {

constexpr int Entries = 8;
constexpr int Requests = 60000;
constexpr double NewsEvery = 1.5; ///< Seconds between a replica's looks.
constexpr double TellEvery = 10;  ///< It tells at least so often.
constexpr int Prefixes = 60;
constexpr size_t WarmPrefixes = 12;  ///< That a replica keeps.
constexpr double PrefixSaving = 0.3; ///< Of the service time, when warm.

struct bench_pool {
  std::string Name;
  size_t Replicas;
  int Slots;
  double Load;      ///< Of capacity without warm prefixes.
  double SlowShare; ///< Of replicas that take twice the time.
};

const bench_pool Pools[] = {
    {"20 replicas at 70%", 20, 8, 0.7, 0},
    {"20 replicas at 90%", 20, 8, 0.9, 0},
    {"20 replicas at 70%, two slow", 20, 8, 0.7, 0.1},
    {"10 replicas at 85%", 10, 8, 0.85, 0},
};

/// A replica as it is, and as it last said it was.
struct bench_replica {
  int Running = 0;
  std::deque<std::pair<double, double>> Waiting; ///< Arrival, service time.
  std::deque<int> Warm;
  double Speed = 1;
  /// What each entry last heard: once a second, and with its own answers.
  struct view {
    double Running = 0;
    double Queued = 0;
    double At = 0;
    double Own = 0;
    double OwnAtReport = 0;
  };
  std::array<view, Entries> Views{};
  double LookedAt = 0;
  double ToldAt = -TellEvery;
  told_load Told;

  void tell(int Entry, double Now) {
    view &View = Views[size_t(Entry)];
    View.Running = Running;
    View.Queued = double(Waiting.size());
    View.At = Now;
    View.OwnAtReport = View.Own;
  }
};

struct bench_event {
  double At;
  size_t Replica;
  int Entry;
  bool operator>(const bench_event &Other) const { return At > Other.At; }
};

/// What a policy sees and picks from.
struct pick_input {
  const std::vector<bench_replica> &Replicas;
  int Entry;
  int Prefix;
  double Now;
  int Slots;
  std::mt19937_64 &Random;
};
using picker = std::function<size_t(const pick_input &)>;

std::vector<replica_news> newsOf(const pick_input &Input) {
  std::vector<replica_news> News;
  for (size_t I = 0; I < Input.Replicas.size(); ++I) {
    const auto &View = Input.Replicas[I].Views[size_t(Input.Entry)];
    News.push_back({.OwnInFlight = View.Own,
                    .ReportedRunning = View.Running,
                    .ReportedQueued = View.Queued,
                    .OwnAtReport = View.OwnAtReport,
                    .Age = Input.Now - View.At,
                    .Slots = double(Input.Slots)});
    News.back().PrefixScore =
        checksum(std::to_string(I), uint64_t(Input.Prefix));
  }
  return News;
}

size_t pickRandom(const pick_input &Input) {
  return Input.Random() % Input.Replicas.size();
}

size_t pickLeastReported(const pick_input &Input) {
  size_t Best = 0;
  auto Load = [&](size_t I) {
    const auto &View = Input.Replicas[I].Views[size_t(Input.Entry)];
    return View.Running + View.Queued;
  };
  for (size_t I = 1; I < Input.Replicas.size(); ++I)
    if (Load(I) < Load(Best))
      Best = I;
  return Best;
}

size_t pickTwo(const pick_input &Input) {
  size_t A = pickRandom(Input);
  size_t B = pickRandom(Input);
  auto Load = [&](size_t I) {
    const auto &View = Input.Replicas[I].Views[size_t(Input.Entry)];
    return View.Running + View.Queued;
  };
  return Load(A) <= Load(B) ? A : B;
}

size_t pickOurs(const pick_input &Input) {
  return *chooseReplica(newsOf(Input), Input.Random);
}

// The prefix's replica always, however loaded.
size_t pickPrefix(const pick_input &Input) {
  auto News = newsOf(Input);
  size_t Best = 0;
  for (size_t I = 1; I < News.size(); ++I)
    if (News[I].PrefixScore > News[Best].PrefixScore)
      Best = I;
  return Best;
}

/// Arrivals and ends of one pool, in order of time.
class replica_run {
public:
  replica_run(const bench_pool &Pool, uint64_t Seed)
      : Pool(Pool), Random(Seed), Replicas(Pool.Replicas) {
    size_t Slow = size_t(Pool.SlowShare * double(Pool.Replicas));
    for (size_t I = 0; I < Slow; ++I)
      Replicas[I].Speed = 0.5;
    for (size_t I = 0; I < Replicas.size(); ++I)
      Replicas[I].LookedAt = -NewsEvery * double(I) / double(Pool.Replicas);
  }

  replica_row run(const std::string &Policy, const picker &Pick,
                  decision_signature *Signature) {
    double Capacity = double(Pool.Replicas) * Pool.Slots;
    std::exponential_distribution<double> Gap(Pool.Load * Capacity);
    double Now = 0;
    for (int I = 0; I < Requests; ++I) {
      Now += Gap(Random);
      endUntil(Now);
      report(Now);
      int Entry = int(Random() % Entries);
      int Prefix = int(Random() % Prefixes);
      size_t Choice = Pick({Replicas, Entry, Prefix, Now, Pool.Slots, Random});
      if (Signature)
        Signature->add(std::to_string(Choice));
      arrive(Choice, Entry, Prefix, Now);
    }
    endUntil(Now + 1000);
    replica_row Row{Pool.Name, Policy};
    std::sort(Waits.begin(), Waits.end());
    auto At = [&](double Share) {
      return 1000 * Waits[size_t(Share * double(Waits.size() - 1))];
    };
    double Sum = 0;
    for (double Wait : Waits)
      Sum += Wait;
    Row.MeanWaitMs = 1000 * Sum / double(Waits.size());
    Row.P95WaitMs = At(0.95);
    Row.P99WaitMs = At(0.99);
    Row.PrefixHits = double(Hits) / Requests;
    Row.NewsShare = Told / Looks;
    return Row;
  }

private:
  void arrive(size_t Place, int Entry, int Prefix, double Now) {
    bench_replica &R = Replicas[Place];
    R.Views[size_t(Entry)].Own += 1;
    auto Warm = std::find(R.Warm.begin(), R.Warm.end(), Prefix);
    bool Hit = Warm != R.Warm.end();
    Hits += Hit ? 1 : 0;
    if (Hit)
      R.Warm.erase(Warm);
    R.Warm.push_back(Prefix);
    if (R.Warm.size() > WarmPrefixes)
      R.Warm.pop_front();
    // Answers of about a second, a tenth of them long.
    std::exponential_distribution<double> Service(1);
    double Time = (0.4 + 0.6 * Service(Random)) / R.Speed;
    Time *= Hit ? 1 - PrefixSaving : 1;
    if (R.Running < Pool.Slots) {
      begin(Place, Entry, Now, Now, Time);
    } else {
      R.Waiting.emplace_back(Now, Time);
      QueuedEntries[Place].push_back(Entry);
    }
    R.tell(Entry, Now);
  }

  void begin(size_t Place, int Entry, double Arrived, double Now, double Time) {
    ++Replicas[Place].Running;
    Waits.push_back(Now - Arrived);
    Ends.push({Now + Time, Place, Entry});
  }

  void endUntil(double Now) {
    while (!Ends.empty() && Ends.top().At <= Now) {
      bench_event End = Ends.top();
      Ends.pop();
      bench_replica &R = Replicas[End.Replica];
      --R.Running;
      R.Views[size_t(End.Entry)].Own -= 1;
      if (R.Waiting.empty()) {
        R.tell(End.Entry, End.At);
        continue;
      }
      auto [Arrived, Time] = R.Waiting.front();
      R.Waiting.pop_front();
      int Entry = QueuedEntries[End.Replica].front();
      QueuedEntries[End.Replica].pop_front();
      begin(End.Replica, Entry, Arrived, End.At, Time);
      R.tell(End.Entry, End.At);
    }
  }

  void report(double Now) {
    for (bench_replica &R : Replicas) {
      if (Now < R.LookedAt + NewsEvery)
        continue;
      R.LookedAt = Now;
      ++Looks;
      told_load Load{uint32_t(R.Running), uint32_t(R.Waiting.size())};
      if (Now < R.ToldAt + TellEvery &&
          !isNews(R.Told, Load, uint32_t(Pool.Slots)))
        continue;
      R.ToldAt = Now;
      R.Told = Load;
      ++Told;
      for (int Entry = 0; Entry < Entries; ++Entry)
        R.tell(Entry, Now);
    }
  }

  const bench_pool &Pool;
  std::mt19937_64 Random;
  std::vector<bench_replica> Replicas;
  std::priority_queue<bench_event, std::vector<bench_event>, std::greater<>>
      Ends;
  std::map<size_t, std::deque<int>> QueuedEntries;
  std::vector<double> Waits;
  int Hits = 0;
  double Looks = 0;
  double Told = 0;
};

} // namespace

std::vector<replica_row> benchReplicas(decision_signature &Signature) {
  std::vector<replica_row> Rows;
  for (const bench_pool &Pool : Pools) {
    std::array<size_t, Entries> Turn{};
    for (size_t I = 0; I < Entries; ++I)
      Turn[I] = I * 7;
    Rows.push_back(replica_run(Pool, 5).run("random", pickRandom, nullptr));
    Rows.push_back(replica_run(Pool, 5).run(
        "round robin",
        [&Turn](const pick_input &Input) {
          return Turn[size_t(Input.Entry)]++ % Input.Replicas.size();
        },
        nullptr));
    Rows.push_back(
        replica_run(Pool, 5).run("least reported", pickLeastReported, nullptr));
    Rows.push_back(replica_run(Pool, 5).run("power of two", pickTwo, nullptr));
    Rows.push_back(
        replica_run(Pool, 5).run("prefix always", pickPrefix, nullptr));
    Rows.push_back(
        replica_run(Pool, 5).run("olivevalve", pickOurs, &Signature));
  }
  return Rows;
}

} // namespace olivevalve
