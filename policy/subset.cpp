//===- subset.cpp - Which upstreams an entry connects to ------------------===//

#include "policy/subset.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Enough to find a free replica at about twelve requests per second. With 13
// versions this results in 78 links; docs/CAPACITY.md compares that with the
// bound on control traffic.
constexpr size_t MinReplicas = 6;
// Replicas in other data halls, in case the entry's own data hall fails.
constexpr size_t MinOtherHallReplicas = 2;
// The number of entries that should be connected to a replica. With a fixed
// number of ten links per entry, two entries in two of three data halls with
// six replicas each were connected to only half of the replicas of the third
// data hall, and the others stayed idle.
constexpr size_t EntriesPerReplica = 8;
// Longer than a new leader needs to receive the leases of all entries.
constexpr double DecreaseDelaySeconds = 30;

} // namespace

bool steady_entry_count::update(size_t Reported, double Now) {
  if (Reported >= Value)
    DecreasedAt = 0;
  else if (DecreasedAt == 0)
    DecreasedAt = Now;
  bool Decreases =
      Reported < Value && Now >= DecreasedAt + DecreaseDelaySeconds;
  if (Reported <= Value && !Decreases)
    return false;
  Value = Reported;
  DecreasedAt = 0;
  return true;
}

size_t subsetSize(size_t Replicas, size_t Entries) {
  size_t Required = (Replicas * EntriesPerReplica + Entries - 1) / Entries;
  return std::min(Replicas, std::max(MinReplicas, Required));
}

std::vector<std::string> chooseSubset(std::vector<subset_replica> Replicas,
                                      const subset_input &Input) {
  size_t Size = subsetSize(Replicas.size(), std::max<size_t>(1, Input.Entries));
  auto Rank = [&](const subset_replica &Replica) {
    return checksum(Replica.Name, Input.EntryHash);
  };
  std::sort(Replicas.begin(), Replicas.end(),
            [&](const subset_replica &A, const subset_replica &B) {
              return Rank(A) < Rank(B);
            });
  auto Own = std::stable_partition(
      Replicas.begin(), Replicas.end(),
      [](const subset_replica &Replica) { return Replica.SameHall; });
  size_t OwnCount = size_t(Own - Replicas.begin());
  size_t OtherCount = Replicas.size() - OwnCount;
  size_t Others =
      std::min(OtherCount, std::max(MinOtherHallReplicas, Size / 3));
  // If one side has too few replicas, the other side provides the rest.
  size_t TakeOwn = std::min(OwnCount, Size - std::min(Size, Others));
  size_t TakeOthers = std::min(OtherCount, Size - TakeOwn);
  std::vector<std::string> Names;
  for (size_t I = 0; I < TakeOwn; ++I)
    Names.push_back(Replicas[I].Name);
  for (size_t I = 0; I < TakeOthers; ++I)
    Names.push_back(Replicas[OwnCount + I].Name);
  return Names;
}

} // namespace olivevalve
