//===- upstream_choice.cpp - Which upstream gets a request ----------------===//

#include "policy/upstream_choice.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// An upstream in another data hall must be less loaded by this share of its
// slots: the bytes on the way have a price, waiting has a higher one.
constexpr double OtherHallPenalty = 0.15;
// Loads that differ by less are taken for equal and drawn by lot: every entry
// sees a load that is a moment old.
constexpr double SameLoad = 0.02;
// How far over the mean an upstream may be loaded and still get its keys, as a
// factor and in requests.
constexpr double AffinityFactor = 1.25;
constexpr double AffinitySlack = 3;
// With at least so many upstreams in the entry's own data hall their keys are
// kept there: bytes between halls fell by two thirds with six in each. With
// three in each the loads became uneven and more answers late.
constexpr size_t LeastNear = 5;

double share(const upstream_view &Upstream) {
  return Upstream.Load / std::max(1.0, Upstream.Slots) +
         (Upstream.SameHall ? 0 : OtherHallPenalty);
}

bool anySound(const std::vector<upstream_view> &Upstreams) {
  return std::any_of(Upstreams.begin(), Upstreams.end(),
                     [](const upstream_view &U) { return !U.Suspect; });
}

} // namespace

std::optional<size_t>
chooseLeastLoaded(const std::vector<upstream_view> &Upstreams,
                  std::mt19937_64 &Random) {
  bool HeedSuspicion = anySound(Upstreams);
  double Least = 0;
  size_t Ties = 0;
  std::optional<size_t> Best;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    if (HeedSuspicion && Upstreams[I].Suspect)
      continue;
    double Share = share(Upstreams[I]);
    if (!Best || Share < Least - SameLoad) {
      Best = I;
      Least = Share;
      Ties = 1;
    } else if (Share < Least + SameLoad && Random() % ++Ties == 0) {
      Best = I;
    }
  }
  return Best;
}

std::optional<size_t>
chooseByAffinity(const std::vector<upstream_view> &Upstreams, uint64_t Key) {
  bool HeedSuspicion = anySound(Upstreams);
  double Sum = 0;
  size_t Count = 0;
  size_t Near = 0;
  for (const upstream_view &Upstream : Upstreams) {
    if (HeedSuspicion && Upstream.Suspect)
      continue;
    Sum += Upstream.Load;
    ++Count;
    Near += Upstream.SameHall;
  }
  if (Count == 0)
    return std::nullopt;
  double Bound = Sum / double(Count) * AffinityFactor + AffinitySlack;
  bool NearFirst = Near >= LeastNear;
  std::optional<size_t> Best;
  bool BestIsNear = false;
  uint64_t BestRank = 0;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    const upstream_view &Upstream = Upstreams[I];
    if ((HeedSuspicion && Upstream.Suspect) || Upstream.Load > Bound)
      continue;
    uint64_t Rank = checksum(Upstream.Id, Key);
    bool IsNear = NearFirst && Upstream.SameHall;
    bool Better = IsNear == BestIsNear ? Rank > BestRank : IsNear;
    if (!Best || Better) {
      Best = I;
      BestIsNear = IsNear;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace olivevalve
