//===- subset.cpp - Which upstreams an entry talks to ---------------------===//

#include "policy/subset.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Enough to find a free replica at a dozen requests a second. With 13 versions
// these are 78 links, which docs/CAPACITY.md holds against the bound.
constexpr size_t LeastReplicas = 6;
// Places kept for other data halls, should the own one fail.
constexpr size_t OtherHalls = 2;
// Entries that a replica should be known to. With ten links whatever the number
// of entries, two entries in two of three data halls with six replicas each
// knew some half of the third hall's (computed): the rest stood idle.
constexpr size_t EntriesOfReplica = 8;
// Longer than the leases that a new leader has not heard of yet.
constexpr double FewerSeconds = 30;

} // namespace

bool steady_entry_count::update(size_t Told, double Now) {
  if (Told >= Value)
    FewerSince = 0;
  else if (FewerSince == 0)
    FewerSince = Now;
  bool Fewer = Told < Value && Now >= FewerSince + FewerSeconds;
  if (Told <= Value && !Fewer)
    return false;
  Value = Told;
  FewerSince = 0;
  return true;
}

size_t subsetSize(size_t Replicas, size_t Entries) {
  size_t Shared = (Replicas * EntriesOfReplica + Entries - 1) / Entries;
  return std::min(Replicas, std::max(LeastReplicas, Shared));
}

std::vector<std::string> chooseSubset(std::vector<subset_replica> Replicas,
                                      const subset_question &Question) {
  size_t Size =
      subsetSize(Replicas.size(), std::max<size_t>(1, Question.Entries));
  auto Rank = [&](const subset_replica &Replica) {
    return checksum(Replica.Name, Question.EntryHash);
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
  size_t Others = std::min(OtherCount, std::max(OtherHalls, Size / 3));
  // What one side cannot give comes from the other.
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
