//===- placement.cpp - Which replicas hold which versions -----------------===//

#include "policy/placement.h"
#include <algorithm>
#include <limits>
#include <map>

namespace olivevalve {

namespace {

// Copies that every version has, in different data halls where it can be, so
// that the loss of one replica leaves it served.
constexpr size_t LeastCopies = 2;
// A copy is moved only to where a request finds this many times more others:
// a load costs the weight store and the replica's caches.
constexpr double WorthMoving = 1.5;
// Demand that a version without any has: else its copies would all be given up.
constexpr double LeastDemand = 0.1;
constexpr double NoLimit = std::numeric_limits<double>::infinity();

/// The question with counts beside it.
class planner {
public:
  explicit planner(const placement_question &Question);
  std::optional<placement_step> next() const;

private:
  std::optional<placement_step> dropEnded() const;
  std::optional<placement_step> mendShortest() const;
  std::optional<placement_step> fill() const;
  std::optional<placement_step> even() const;

  bool lives(const version_name &Name) const { return Copies.contains(Name); }
  size_t copies(const version_name &Name) const { return Copies.at(Name); }
  /// Requests that a copy has to bear when there are so many.
  static double burden(const placed_version &Version, size_t Copies);
  bool mayTake(const placed_replica &Replica, const version_name &Name) const;
  size_t copiesIn(const std::string &DataHall, const version_name &Name) const;
  std::optional<size_t> freeReplica(const version_name &Name) const;
  std::optional<placement_step> exchange(const placed_version &Needs,
                                         double MostBurden) const;
  placement_step add(size_t Place, const version_name &Name) const;

  const placement_question &Question;
  std::map<version_name, size_t> Copies; ///< Assigned on usable replicas.
  std::map<version_name, size_t> Ready;  ///< Loaded of these.
  size_t Loading = 0;
};

planner::planner(const placement_question &Question) : Question(Question) {
  for (const placed_version &Version : Question.Versions)
    Copies[Version.Name] = 0;
  for (const placed_replica &Replica : Question.Replicas) {
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
  if (auto Step = dropEnded())
    return Step;
  if (Loading >= Question.LoadsAtOnce)
    return std::nullopt;
  if (auto Step = mendShortest())
    return Step;
  if (auto Step = fill())
    return Step;
  return even();
}

double planner::burden(const placed_version &Version, size_t Copies) {
  return std::max(Version.InFlight, LeastDemand) / double(Copies);
}

bool planner::mayTake(const placed_replica &Replica,
                      const version_name &Name) const {
  const auto &Models = Replica.Models;
  return Replica.Usable && !Replica.Assigned.contains(Name) &&
         std::find(Models.begin(), Models.end(), Name.Model) != Models.end();
}

size_t planner::copiesIn(const std::string &DataHall,
                         const version_name &Name) const {
  return size_t(std::count_if(
      Question.Replicas.begin(), Question.Replicas.end(), [&](const auto &R) {
        return R.Usable && R.DataHall == DataHall && R.Assigned.contains(Name);
      }));
}

placement_step planner::add(size_t Place, const version_name &Name) const {
  placement_step Step{Place, Question.Replicas[Place].Assigned};
  Step.Assigned.insert(Name);
  return Step;
}

// What is withdrawn or stopped goes first: it costs no load and makes room.
std::optional<placement_step> planner::dropEnded() const {
  for (size_t I = 0; I < Question.Replicas.size(); ++I) {
    placement_step Step{I, Question.Replicas[I].Assigned};
    if (std::erase_if(Step.Assigned, [&](const auto &V) { return !lives(V); }))
      return Step;
  }
  return std::nullopt;
}

// The usable replica with room, in the data hall with the fewest copies, then
// with the most room left.
std::optional<size_t> planner::freeReplica(const version_name &Name) const {
  std::optional<size_t> Best;
  auto Rank = [&](size_t I) {
    const placed_replica &R = Question.Replicas[I];
    return std::pair(copiesIn(R.DataHall, Name),
                     int64_t(R.Assigned.size()) - int64_t(R.Room));
  };
  for (size_t I = 0; I < Question.Replicas.size(); ++I) {
    const placed_replica &R = Question.Replicas[I];
    bool Fits = mayTake(R, Name) && R.Assigned.size() < R.Room;
    if (Fits && (!Best || Rank(I) < Rank(*Best)))
      Best = I;
  }
  return Best;
}

// Puts a copy in the place of one that is missed least, as long as those left
// of it then bear no more than \p MostBurden each.
std::optional<placement_step> planner::exchange(const placed_version &Needs,
                                                double MostBurden) const {
  std::optional<placement_step> Best;
  for (const placed_version &Version : Question.Versions) {
    auto Loaded = Ready.find(Version.Name);
    bool Spare = Loaded != Ready.end() && Loaded->second > LeastCopies;
    if (Version.Name == Needs.Name || !Spare)
      continue;
    double After = burden(Version, copies(Version.Name) - 1);
    if (After >= MostBurden)
      continue;
    for (size_t I = 0; I < Question.Replicas.size(); ++I) {
      const placed_replica &R = Question.Replicas[I];
      if (!mayTake(R, Needs.Name) || !R.Assigned.contains(Version.Name))
        continue;
      Best = add(I, Needs.Name);
      Best->Assigned.erase(Version.Name);
      MostBurden = After;
      break;
    }
  }
  return Best;
}

// A version short of copies: the shortest, and of these the most wanted, first.
std::optional<placement_step> planner::mendShortest() const {
  std::vector<const placed_version *> Short;
  for (const placed_version &Version : Question.Versions)
    if (copies(Version.Name) < LeastCopies)
      Short.push_back(&Version);
  std::stable_sort(Short.begin(), Short.end(), [&](auto *A, auto *B) {
    return std::pair(copies(A->Name), -A->InFlight) <
           std::pair(copies(B->Name), -B->InFlight);
  });
  for (const placed_version *Version : Short) {
    if (auto Place = freeReplica(Version->Name))
      return add(*Place, Version->Name);
    if (auto Step = exchange(*Version, NoLimit))
      return Step;
  }
  return std::nullopt;
}

// Room that is left goes to the version whose copies bear the most.
std::optional<placement_step> planner::fill() const {
  std::vector<const placed_version *> Order;
  for (const placed_version &Version : Question.Versions)
    Order.push_back(&Version);
  std::stable_sort(Order.begin(), Order.end(), [&](auto *A, auto *B) {
    return burden(*A, copies(A->Name) + 1) > burden(*B, copies(B->Name) + 1);
  });
  for (const placed_version *Version : Order)
    if (auto Place = freeReplica(Version->Name))
      return add(*Place, Version->Name);
  return std::nullopt;
}

// No room is left: a copy goes from the version that misses it least to the one
// whose copies bear the most.
std::optional<placement_step> planner::even() const {
  std::vector<const placed_version *> Order;
  for (const placed_version &Version : Question.Versions)
    if (copies(Version.Name) > 0)
      Order.push_back(&Version);
  std::stable_sort(Order.begin(), Order.end(), [&](auto *A, auto *B) {
    return burden(*A, copies(A->Name)) > burden(*B, copies(B->Name));
  });
  for (const placed_version *Version : Order)
    if (auto Step = exchange(*Version, burden(*Version, copies(Version->Name)) /
                                           WorthMoving))
      return Step;
  return std::nullopt;
}

} // namespace

std::optional<placement_step>
nextPlacement(const placement_question &Question) {
  return planner(Question).next();
}

} // namespace olivevalve
