//===- placement.cpp - Demand that no loaded version serves ---------------===//

#include "policy/placement.h"
#include "bench/bench.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace olivevalve {

namespace {

constexpr int Seconds = 3600;
constexpr int ChangeAt = 600; ///< Second at which the scenario's change begins.
constexpr int LostUntil = 1800; ///< Second at which a lost data hall is back.
constexpr double LoadSeconds = 30; ///< Time to load a version.
/// DemandSmoothingSeconds of control/placer.cpp.
constexpr double SmoothSeconds = 60;
constexpr size_t Replicas = 18;
constexpr size_t Room = 2;          ///< Versions that a replica can hold.
constexpr double Slots = 32;        ///< Concurrent requests of a replica.
constexpr double DemandShare = 0.7; ///< Share of all slots.

/// Concurrent requests by version.
using demand = std::map<version_name, double>;

struct placement_scenario {
  std::string Name;
  /// Shares of demand by version at a given second.
  std::function<std::map<std::string, double>(int Second)> Shares;
  bool LosesHall = false;
};

/// Rises from 0 to 1 in the ten minutes after ChangeAt.
double ramp(int Second) {
  return std::clamp(double(Second - ChangeAt) / 600, 0.0, 1.0);
}

const placement_scenario Scenarios[] = {
    {"steady",
     [](int) {
       return std::map<std::string, double>{
           {"1", 0.5}, {"2", 0.25}, {"3", 0.15}, {"4", 0.1}};
     }},
    {"demand shifts within minutes",
     [](int T) {
       double R = ramp(T);
       return std::map<std::string, double>{
           {"1", 0.6 - 0.5 * R}, {"2", 0.2}, {"3", 0.1}, {"4", 0.1 + 0.5 * R}};
     }},
    {"a version replaces another",
     [](int T) {
       double R = ramp(T);
       std::map<std::string, double> Shares = {{"2", 0.3}, {"3", 0.1}};
       if (R < 1)
         Shares["1"] = 0.6 * (1 - R);
       if (T >= ChangeAt)
         Shares["5"] = 0.6 * R;
       return Shares;
     }},
    {"a data hall is lost for 20 min",
     [](int) {
       return std::map<std::string, double>{{"1", 0.5}, {"2", 0.3}, {"3", 0.2}};
     },
     true},
};

/// Replicas with the versions that they have loaded or are loading.
class placement_run {
public:
  placement_run(const placement_scenario &Scenario, size_t MaxConcurrentLoads,
                bool Static)
      : Scenario(Scenario), Static(Static) {
    Input.MaxConcurrentLoads = MaxConcurrentLoads;
    for (size_t I = 0; I < Replicas; ++I)
      Input.Replicas.push_back({.Name = "r" + std::to_string(I),
                                .DataHall = "hall-" + std::to_string(I % 3),
                                .MaxLoadedVersions = Room,
                                .Models = {"m"}});
    // Every policy starts with the first versions placed evenly.
    auto Shares = Scenario.Shares(0);
    auto It = Shares.begin();
    for (placed_replica &R : Input.Replicas)
      for (size_t Copy = 0; Copy < Room; ++Copy) {
        R.Assigned.insert({"m", It->first});
        if (++It == Shares.end())
          It = Shares.begin();
      }
    for (placed_replica &R : Input.Replicas)
      R.Loaded = R.Assigned;
  }

  placement_row run(const std::string &Policy, decision_signature *Signature) {
    double Unserved = 0;
    double All = 0;
    for (int T = 0; T < Seconds; ++T) {
      bool HallLost = Scenario.LosesHall && T >= ChangeAt && T < LostUntil;
      for (placed_replica &R : Input.Replicas)
        R.Usable = !HallLost || R.DataHall != "hall-0";
      demand Now;
      double Capacity = Slots * double(Replicas) * (HallLost ? 2.0 / 3 : 1.0);
      for (const auto &[Version, Share] : Scenario.Shares(T))
        Now[{"m", Version}] = Share * DemandShare * Capacity;
      finishLoads(T);
      if (!Static)
        step(Now, T, Signature);
      for (const auto &[Name, Requests] : Now)
        All += Requests;
      Unserved += unserved(Now);
    }
    return {Scenario.Name, Policy, Unserved / All, double(Loads),
            PeakConcurrentLoads};
  }

private:
  void step(const demand &Now, int T, decision_signature *Signature) {
    double Keep = T == 0 ? 0 : std::exp(-1 / SmoothSeconds);
    for (const auto &[Name, Requests] : Now)
      Smoothed[Name] = Keep * Smoothed[Name] + (1 - Keep) * Requests;
    Input.Versions.clear();
    for (const auto &[Name, Requests] : Now)
      Input.Versions.push_back({Name, Smoothed[Name]});
    auto Step = nextPlacement(Input);
    if (!Step)
      return;
    placed_replica &R = Input.Replicas[Step->Replica];
    for (const version_name &Name : Step->Assigned)
      if (!R.Assigned.contains(Name)) {
        LoadsEnd[{Step->Replica, Name}] = T + LoadSeconds;
        ++Loads;
        if (Signature)
          Signature->add(R.Name + Name.text());
      }
    R.Assigned = Step->Assigned;
    std::erase_if(R.Loaded,
                  [&](const auto &Name) { return !R.Assigned.contains(Name); });
    PeakConcurrentLoads =
        std::max(PeakConcurrentLoads, double(LoadsEnd.size()));
  }

  void finishLoads(int T) {
    std::erase_if(LoadsEnd, [&](const auto &Load) {
      if (T < Load.second)
        return false;
      placed_replica &R = Input.Replicas[Load.first.first];
      if (R.Assigned.contains(Load.first.second))
        R.Loaded.insert(Load.first.second);
      return true;
    });
  }

  // Distributes the requests in small portions, each to the usable replica with
  // the version loaded and the most free slots. Returns what finds no slot.
  double unserved(const demand &Now) const {
    constexpr int Portions = 20;
    std::vector<double> FreeSlots(Replicas, Slots);
    double NotServed = 0;
    for (int Portion = 0; Portion < Portions; ++Portion)
      for (const auto &[Name, Requests] : Now) {
        size_t Best = Replicas;
        double Remaining = Requests / Portions;
        while (Remaining > 1e-9) {
          Best = Replicas;
          for (size_t I = 0; I < Replicas; ++I) {
            const placed_replica &R = Input.Replicas[I];
            bool CanServe =
                R.Usable && R.Loaded.contains(Name) && FreeSlots[I] > 1e-9;
            if (CanServe &&
                (Best == Replicas || FreeSlots[I] > FreeSlots[Best]))
              Best = I;
          }
          if (Best == Replicas)
            break;
          double Taken = std::min({Remaining, FreeSlots[Best], 1.0});
          FreeSlots[Best] -= Taken;
          Remaining -= Taken;
        }
        NotServed += Remaining;
      }
    return NotServed;
  }

  const placement_scenario &Scenario;
  bool Static;
  placement_input Input;
  demand Smoothed;
  std::map<std::pair<size_t, version_name>, double> LoadsEnd;
  int Loads = 0;
  double PeakConcurrentLoads = 0;
};

} // namespace

std::vector<placement_row> benchPlacement(decision_signature &Signature) {
  constexpr size_t NoLimit = 1000;
  constexpr size_t Limit = 2;
  std::vector<placement_row> Rows;
  for (const placement_scenario &Scenario : Scenarios) {
    Rows.push_back(placement_run(Scenario, Limit, true).run("fixed", nullptr));
    Rows.push_back(placement_run(Scenario, NoLimit, false)
                       .run("unlimited loads", nullptr));
    Rows.push_back(
        placement_run(Scenario, Limit, false).run("olivevalve", &Signature));
  }
  return Rows;
}

} // namespace olivevalve
