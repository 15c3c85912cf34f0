//===- prefix_keepers.cpp - Upstreams that keep a shared prefix -----------===//

#include "memory/prefix_keepers.h"
#include "base/digest.h"
#include <algorithm>
#include <cmath>
#include <functional>

namespace olivevalve {

namespace {

// Callers of a prefix that suddenly becomes popular see queues at its keepers
// until the rate is known; targets for first tokens are some seconds.
constexpr double WindowSeconds = 2;
// Prefixes remembered in one window; prompts of further ones count as rare.
constexpr size_t MaxPrefixes = 4096;
// Share of a keeper's time that the prompts of one prefix may take. Up to one
// half, they wait for each other less than half as long as each of them takes.
constexpr double MaxKeeperShare = 0.5;

} // namespace

void prefix_rates::turnWindow(double Now) {
  if (Now < WindowStart + WindowSeconds)
    return;
  bool Adjacent = Now < WindowStart + 2 * WindowSeconds;
  Previous = Adjacent ? std::move(Current) : decltype(Current)();
  Current.clear();
  WindowStart = Adjacent ? WindowStart + WindowSeconds : Now;
}

void prefix_rates::record(uint64_t Prefix, double Now) {
  turnWindow(Now);
  if (Current.size() < MaxPrefixes || Current.contains(Prefix))
    ++Current[Prefix];
}

// The present window and the part of the one before that ended less than a
// window ago.
double prefix_rates::perSecond(uint64_t Prefix, double Now) const {
  double Age = Now - WindowStart;
  auto Count = [&](const std::unordered_map<uint64_t, uint32_t> &Window) {
    auto It = Window.find(Prefix);
    return It == Window.end() ? 0.0 : double(It->second);
  };
  if (Age >= 2 * WindowSeconds)
    return 0;
  if (Age >= WindowSeconds)
    return Count(Current) * (2 - Age / WindowSeconds) / WindowSeconds;
  return (Count(Current) + Count(Previous) * (1 - Age / WindowSeconds)) /
         WindowSeconds;
}

size_t keeperCount(double PromptsPerSecond, double SecondsEach) {
  double Keepers = std::ceil(PromptsPerSecond * SecondsEach / MaxKeeperShare);
  return size_t(std::clamp(Keepers, 1.0, double(MaxPrefixes)));
}

void markKeepers(std::vector<upstream_view> &Upstreams, uint64_t Prefix,
                 size_t Count) {
  std::vector<std::pair<uint64_t, size_t>> Ranks;
  Ranks.reserve(Upstreams.size());
  for (size_t I = 0; I < Upstreams.size(); ++I)
    if (!Upstreams[I].Suspect)
      Ranks.emplace_back(checksum(Upstreams[I].Id, Prefix), I);
  Count = std::min(Count, Ranks.size());
  std::partial_sort(Ranks.begin(), Ranks.begin() + ptrdiff_t(Count),
                    Ranks.end(), std::greater<>());
  for (size_t I = 0; I < Count; ++I)
    Upstreams[Ranks[I].second].Keeper = true;
}

prefix_reuse reuseAt(const std::vector<upstream_view> &Upstreams,
                     const prompt_view &Prompt, size_t Chosen) {
  auto Has = [&](const upstream_view &Upstream) {
    return hasSharedPrefix(Upstream, Prompt);
  };
  if (Has(Upstreams[Chosen]))
    return prefix_reuse::Kept;
  return std::any_of(Upstreams.begin(), Upstreams.end(), Has)
             ? prefix_reuse::PassedOver
             : prefix_reuse::FirstRead;
}

} // namespace olivevalve
