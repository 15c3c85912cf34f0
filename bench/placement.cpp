//===- placement.cpp - Demand that finds no copy --------------------------===//

#include "policy/placement.h"
#include "bench/bench.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace olivevalve {

namespace {

constexpr int Seconds = 3600;
constexpr int ChangeAt = 600;   ///< When the scenario begins.
constexpr int LostUntil = 1800; ///< A lost data hall is back.
constexpr double LoadSeconds = 30;
constexpr double SmoothSeconds = 60; ///< As control/placer.cpp.
constexpr size_t Replicas = 18;
constexpr size_t Room = 2;
constexpr double Slots = 32;
constexpr double DemandShare = 0.7; ///< Of all slots.

using demand = std::map<version_name, double>;

struct placement_scenario {
  std::string Name;
  /// Shares of demand by version at a second.
  std::function<std::map<std::string, double>(int Second)> Shares;
  bool LosesHall = false;
};

double ramp(int Second) {
  return std::clamp(double(Second - ChangeAt) / 600, 0.0, 1.0);
}

const placement_scenario Scenarios[] = {
    {"steady",
     [](int) {
       return std::map<std::string, double>{
           {"1", 0.5}, {"2", 0.25}, {"3", 0.15}, {"4", 0.1}};
     }},
    {"demand turns within minutes",
     [](int T) {
       double R = ramp(T);
       return std::map<std::string, double>{
           {"1", 0.6 - 0.5 * R}, {"2", 0.2}, {"3", 0.1}, {"4", 0.1 + 0.5 * R}};
     }},
    {"a version rolls in, one leaves",
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

/// The fleet with loads under way.
class placement_run {
public:
  placement_run(const placement_scenario &Scenario, size_t MaxConcurrentLoads,
                bool Static)
      : Scenario(Scenario), Static(Static) {
    Question.MaxConcurrentLoads = MaxConcurrentLoads;
    for (size_t I = 0; I < Replicas; ++I)
      Question.Replicas.push_back({.Name = "r" + std::to_string(I),
                                   .DataHall = "hall-" + std::to_string(I % 3),
                                   .MaxLoadedVersions = Room,
                                   .Models = {"m"}});
    // All start from the same even placement of the first versions.
    auto Shares = Scenario.Shares(0);
    auto It = Shares.begin();
    for (placed_replica &R : Question.Replicas)
      for (size_t Place = 0; Place < Room; ++Place) {
        R.Assigned.insert({"m", It->first});
        if (++It == Shares.end())
          It = Shares.begin();
      }
    for (placed_replica &R : Question.Replicas)
      R.Loaded = R.Assigned;
  }

  placement_row run(const std::string &Policy, decision_signature *Signature) {
    double Unserved = 0;
    double All = 0;
    for (int T = 0; T < Seconds; ++T) {
      bool HallLost = Scenario.LosesHall && T >= ChangeAt && T < LostUntil;
      for (placed_replica &R : Question.Replicas)
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
    return {Scenario.Name, Policy, Unserved / All, double(Loads), MostLoads};
  }

private:
  void step(const demand &Now, int T, decision_signature *Signature) {
    double Keep = T == 0 ? 0 : std::exp(-1 / SmoothSeconds);
    for (const auto &[Name, Requests] : Now)
      Smoothed[Name] = Keep * Smoothed[Name] + (1 - Keep) * Requests;
    Question.Versions.clear();
    for (const auto &[Name, Requests] : Now)
      Question.Versions.push_back({Name, Smoothed[Name]});
    auto Step = nextPlacement(Question);
    if (!Step)
      return;
    placed_replica &R = Question.Replicas[Step->Replica];
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
    MostLoads = std::max(MostLoads, double(LoadsEnd.size()));
  }

  void finishLoads(int T) {
    std::erase_if(LoadsEnd, [&](const auto &Load) {
      if (T < Load.second)
        return false;
      placed_replica &R = Question.Replicas[Load.first.first];
      if (R.Assigned.contains(Load.first.second))
        R.Loaded.insert(Load.first.second);
      return true;
    });
  }

  // Requests spread over the copies with slots left, in small portions.
  double unserved(const demand &Now) const {
    constexpr int Portions = 20;
    std::vector<double> Left(Replicas, Slots);
    double Missing = 0;
    for (int Portion = 0; Portion < Portions; ++Portion)
      for (const auto &[Name, Requests] : Now) {
        size_t Best = Replicas;
        double Rest = Requests / Portions;
        while (Rest > 1e-9) {
          Best = Replicas;
          for (size_t I = 0; I < Replicas; ++I) {
            const placed_replica &R = Question.Replicas[I];
            bool Can = R.Usable && R.Loaded.contains(Name) && Left[I] > 1e-9;
            if (Can && (Best == Replicas || Left[I] > Left[Best]))
              Best = I;
          }
          if (Best == Replicas)
            break;
          double Take = std::min({Rest, Left[Best], 1.0});
          Left[Best] -= Take;
          Rest -= Take;
        }
        Missing += Rest;
      }
    return Missing;
  }

  const placement_scenario &Scenario;
  bool Static;
  placement_input Question;
  demand Smoothed;
  std::map<std::pair<size_t, version_name>, double> LoadsEnd;
  int Loads = 0;
  double MostLoads = 0;
};

} // namespace

std::vector<placement_row> benchPlacement(decision_signature &Signature) {
  constexpr size_t NoLimit = 1000;
  constexpr size_t Limit = 2;
  std::vector<placement_row> Rows;
  for (const placement_scenario &Scenario : Scenarios) {
    Rows.push_back(placement_run(Scenario, Limit, true).run("fixed", nullptr));
    Rows.push_back(placement_run(Scenario, NoLimit, false)
                       .run("no limit of loads", nullptr));
    Rows.push_back(
        placement_run(Scenario, Limit, false).run("olivevalve", &Signature));
  }
  return Rows;
}

} // namespace olivevalve
