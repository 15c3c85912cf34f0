//===- placement.cpp - Which replicas hold which versions -----------------===//

#include "policy/placement.h"
#include <algorithm>
#include <limits>
#include <map>

namespace olivevalve {

namespace {

// The number of copies that every version should have, in different data halls
// if possible, so that it is still served after the loss of one replica.
constexpr size_t MinCopies = 2;
// A copy is moved only if the demand per copy of the version that receives it
// is higher by this factor than what the remaining copies of the other version
// then have: loading a version costs bandwidth of the weight store and part of
// what the replica has cached.
constexpr double MinImbalance = 1.5;
// Demand assumed for a version without requests; otherwise it would give up all
// but the minimum of its copies.
constexpr double MinDemand = 0.1;
constexpr double NoLimit = std::numeric_limits<double>::infinity();

/// The input, with counts derived from it.
class planner {
public:
  explicit planner(const placement_input &Input);
  std::optional<placement_step> next() const;

private:
  std::optional<placement_step> removeInactive() const;
  std::optional<placement_step> addMissingCopy() const;
  std::optional<placement_step> fillFreeRoom() const;
  std::optional<placement_step> rebalance() const;

  bool isActive(const version_name &Name) const {
    return Copies.contains(Name);
  }
  size_t copies(const version_name &Name) const { return Copies.at(Name); }
  /// Requests in flight per copy if the version has \p Copies.
  static double demandPerCopy(const placed_version &Version, size_t Copies);
  bool mayHold(const placed_replica &Replica, const version_name &Name) const;
  size_t copiesIn(const std::string &DataHall, const version_name &Name) const;
  std::optional<size_t> freeReplica(const version_name &Name) const;
  std::optional<placement_step> exchange(const placed_version &Needed,
                                         double MaxDemandPerCopy) const;
  placement_step add(size_t Index, const version_name &Name) const;

  const placement_input &Input;
  /// Copies assigned to usable replicas, for each version that takes new work.
  std::map<version_name, size_t> Copies;
  /// Copies assigned to usable replicas and loaded, for each assigned version.
  std::map<version_name, size_t> Ready;
  /// Copies that are assigned to usable replicas but not loaded yet.
  size_t Loading = 0;
};

planner::planner(const placement_input &Input) : Input(Input) {
  for (const placed_version &Version : Input.Versions)
    Copies[Version.Name] = 0;
  for (const placed_replica &Replica : Input.Replicas) {
    if (!Replica.Usable)
      continue;
    for (const version_name &Name : Replica.Assigned) {
      bool IsLoaded = Replica.Loaded.contains(Name);
      Loading += IsLoaded ? 0 : 1;
      Ready[Name] += IsLoaded ? 1 : 0;
      auto It = Copies.find(Name);
      if (It != Copies.end())
        ++It->second;
    }
  }
}

std::optional<placement_step> planner::next() const {
  if (auto Step = removeInactive())
    return Step;
  if (Loading >= Input.MaxConcurrentLoads)
    return std::nullopt;
  if (auto Step = addMissingCopy())
    return Step;
  if (auto Step = fillFreeRoom())
    return Step;
  return rebalance();
}

double planner::demandPerCopy(const placed_version &Version, size_t Copies) {
  return std::max(Version.InFlight, MinDemand) / double(Copies);
}

bool planner::mayHold(const placed_replica &Replica,
                      const version_name &Name) const {
  const auto &Models = Replica.Models;
  return Replica.Usable && !Replica.Assigned.contains(Name) &&
         std::find(Models.begin(), Models.end(), Name.Model) != Models.end();
}

size_t planner::copiesIn(const std::string &DataHall,
                         const version_name &Name) const {
  return size_t(std::count_if(
      Input.Replicas.begin(), Input.Replicas.end(), [&](const auto &R) {
        return R.Usable && R.DataHall == DataHall && R.Assigned.contains(Name);
      }));
}

placement_step planner::add(size_t Index, const version_name &Name) const {
  placement_step Step{Index, Input.Replicas[Index].Assigned};
  Step.Assigned.insert(Name);
  return Step;
}

// Removes versions that are withdrawn or stopped. This comes first, because it
// needs no load and makes room.
std::optional<placement_step> planner::removeInactive() const {
  for (size_t I = 0; I < Input.Replicas.size(); ++I) {
    placement_step Step{I, Input.Replicas[I].Assigned};
    if (std::erase_if(Step.Assigned,
                      [&](const auto &V) { return !isActive(V); }))
      return Step;
  }
  return std::nullopt;
}

// Returns a usable replica with room, in the data hall with the fewest copies
// of the version; of equal ones, the one with the most room.
std::optional<size_t> planner::freeReplica(const version_name &Name) const {
  std::optional<size_t> Best;
  auto Rank = [&](size_t I) {
    const placed_replica &R = Input.Replicas[I];
    return std::pair(copiesIn(R.DataHall, Name),
                     int64_t(R.Assigned.size()) - int64_t(R.MaxLoadedVersions));
  };
  for (size_t I = 0; I < Input.Replicas.size(); ++I) {
    const placed_replica &R = Input.Replicas[I];
    bool Fits = mayHold(R, Name) && R.Assigned.size() < R.MaxLoadedVersions;
    if (Fits && (!Best || Rank(I) < Rank(*Best)))
      Best = I;
  }
  return Best;
}

// Replaces a copy of another version by a copy of \p Needed. The other version
// is the one whose remaining copies then have the lowest demand, which must be
// below \p MaxDemandPerCopy per copy. Only versions with more loaded copies
// than MinCopies give one up.
std::optional<placement_step> planner::exchange(const placed_version &Needed,
                                                double MaxDemandPerCopy) const {
  std::optional<placement_step> Best;
  for (const placed_version &Version : Input.Versions) {
    auto LoadedCopies = Ready.find(Version.Name);
    bool MayGiveUp =
        LoadedCopies != Ready.end() && LoadedCopies->second > MinCopies;
    if (Version.Name == Needed.Name || !MayGiveUp)
      continue;
    double DemandAfter = demandPerCopy(Version, copies(Version.Name) - 1);
    if (DemandAfter >= MaxDemandPerCopy)
      continue;
    for (size_t I = 0; I < Input.Replicas.size(); ++I) {
      const placed_replica &R = Input.Replicas[I];
      if (!mayHold(R, Needed.Name) || !R.Assigned.contains(Version.Name))
        continue;
      Best = add(I, Needed.Name);
      Best->Assigned.erase(Version.Name);
      MaxDemandPerCopy = DemandAfter;
      break;
    }
  }
  return Best;
}

// Adds a copy of a version that has too few: of the version with the fewest
// copies, of equal ones that with the most requests in flight.
std::optional<placement_step> planner::addMissingCopy() const {
  std::vector<const placed_version *> TooFew;
  for (const placed_version &Version : Input.Versions)
    if (copies(Version.Name) < MinCopies)
      TooFew.push_back(&Version);
  std::stable_sort(TooFew.begin(), TooFew.end(), [&](auto *A, auto *B) {
    return std::pair(copies(A->Name), -A->InFlight) <
           std::pair(copies(B->Name), -B->InFlight);
  });
  for (const placed_version *Version : TooFew) {
    if (auto Index = freeReplica(Version->Name))
      return add(*Index, Version->Name);
    if (auto Step = exchange(*Version, NoLimit))
      return Step;
  }
  return std::nullopt;
}

// Uses free room for a copy of the version that would still have the highest
// demand per copy.
std::optional<placement_step> planner::fillFreeRoom() const {
  std::vector<const placed_version *> Order;
  for (const placed_version &Version : Input.Versions)
    Order.push_back(&Version);
  std::stable_sort(Order.begin(), Order.end(), [&](auto *A, auto *B) {
    return demandPerCopy(*A, copies(A->Name) + 1) >
           demandPerCopy(*B, copies(B->Name) + 1);
  });
  for (const placed_version *Version : Order)
    if (auto Index = freeReplica(Version->Name))
      return add(*Index, Version->Name);
  return std::nullopt;
}

// Used if there is no free room: moves a copy to the version with the highest
// demand per copy from the version that needs it least.
std::optional<placement_step> planner::rebalance() const {
  std::vector<const placed_version *> Order;
  for (const placed_version &Version : Input.Versions)
    if (copies(Version.Name) > 0)
      Order.push_back(&Version);
  std::stable_sort(Order.begin(), Order.end(), [&](auto *A, auto *B) {
    return demandPerCopy(*A, copies(A->Name)) >
           demandPerCopy(*B, copies(B->Name));
  });
  for (const placed_version *Version : Order)
    if (auto Step =
            exchange(*Version, demandPerCopy(*Version, copies(Version->Name)) /
                                   MinImbalance))
      return Step;
  return std::nullopt;
}

} // namespace

std::optional<placement_step> nextPlacement(const placement_input &Input) {
  return planner(Input).next();
}

} // namespace olivevalve
