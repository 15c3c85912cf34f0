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
// Seconds that bytes to another data hall are worth.
constexpr double OtherHallSeconds = 0.1;
// A full upstream makes new requests wait for a place; how full it is weighs
// little before that.
constexpr double NearlyFull = 0.8;
constexpr double SecondsWhenFull = 1.0;
constexpr double SecondsByFill = 0.05;
// A second of reading counts for so many of waiting: all who come behind wait
// for it too.
constexpr double WeightOfReading = 2.5;
// What is kept nowhere goes to the upstream that comes first or second for it:
// gateways that choose at the same moment choose alike.
constexpr double FirstKeeps = 0.7 * WeightOfReading;
constexpr double SecondKeeps = 0.3 * WeightOfReading;
// Gateways that choose the one that seems emptiest, all from news of the same
// moment ago, fill it far above the others. From this fill on, on average, each
// chooses among so few by lot, and as many of other data halls: gateways that
// know only their own would lose by one lot over all. Fuller, the first wave
// of a flood has piled up already; emptier, what upstreams keep of prompts is
// worth more.
constexpr double DrawFromFill = 0.5;
constexpr size_t DrawnByLot = 3;
// In the mean that tells whether all are full, an absurd load counts for no
// more.
constexpr double MostFill = 2;
// Gateways that choose at the same moment do not know of each other.
constexpr double JitterSeconds = 0.01;

double fillOf(const upstream_view &Upstream) {
  return Upstream.Load / std::max(1.0, Upstream.Slots);
}

double share(const upstream_view &Upstream) {
  return fillOf(Upstream) + (Upstream.SameHall ? 0 : OtherHallPenalty);
}

bool anySound(const std::vector<upstream_view> &Upstreams) {
  return std::any_of(Upstreams.begin(), Upstreams.end(),
                     [](const upstream_view &U) { return !U.Suspect; });
}

// What nobody has told of would look empty, and all gateways would send there.
void supposeLoads(std::vector<upstream_view> &Upstreams) {
  std::vector<double> Known;
  for (const upstream_view &Each : Upstreams)
    if (Each.LoadKnown && !Each.Suspect)
      Known.push_back(fillOf(Each));
  if (Known.empty() || Known.size() == Upstreams.size())
    return;
  auto Middle = Known.begin() + ptrdiff_t(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  for (upstream_view &Each : Upstreams)
    if (!Each.LoadKnown)
      Each.Load = std::max(Each.Load, *Middle * std::max(1.0, Each.Slots));
}

} // namespace

void supposeUnseen(std::vector<upstream_view> &Upstreams) {
  supposeLoads(Upstreams);
  double Seconds = 0;
  double Seen = 0;
  for (const upstream_view &Each : Upstreams) {
    Seconds += Each.PromptSeconds;
    Seen += Each.Seen;
  }
  if (Seen <= 0)
    return;
  for (upstream_view &Each : Upstreams)
    Each.PromptSeconds += std::max(0.0, Each.Load - Each.Seen) * Seconds / Seen;
}

double meanPromptSeconds(const std::vector<upstream_view> &Upstreams) {
  double Seconds = 0;
  size_t Sound = 0;
  for (const upstream_view &Each : Upstreams)
    if (!Each.Suspect) {
      Seconds += Each.PromptSeconds;
      ++Sound;
    }
  return Seconds / double(std::max<size_t>(1, Sound));
}

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

namespace {

double fillSeconds(const upstream_view &Upstream) {
  double Fill = fillOf(Upstream);
  double Over = std::max(0.0, Fill - NearlyFull) / (1 - NearlyFull);
  return SecondsByFill * Fill + SecondsWhenFull * Over;
}

/// The two upstreams that a shared part goes to first, by rendezvous: few parts
/// move when an upstream comes or goes.
struct keepers {
  std::optional<size_t> First;
  std::optional<size_t> Second;
};

keepers keepersOf(const std::vector<upstream_view> &Upstreams, uint64_t Key) {
  keepers Keepers;
  uint64_t FirstRank = 0;
  uint64_t SecondRank = 0;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    uint64_t Rank = checksum(Upstreams[I].Id, Key);
    if (Rank > FirstRank) {
      Keepers.Second = Keepers.First;
      SecondRank = FirstRank;
      Keepers.First = I;
      FirstRank = Rank;
    } else if (Rank > SecondRank) {
      Keepers.Second = I;
      SecondRank = Rank;
    }
  }
  return Keepers;
}

/// Where upstreams are half full on average, the few by lot among which to
/// choose, as many of the own data hall as of others, or none: then all.
std::vector<bool> drawnByLot(const std::vector<upstream_view> &Upstreams,
                             bool HeedSuspicion, std::mt19937_64 &Random) {
  std::vector<size_t> Own;
  std::vector<size_t> Others;
  double Fill = 0;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    if (HeedSuspicion && Upstreams[I].Suspect)
      continue;
    (Upstreams[I].SameHall ? Own : Others).push_back(I);
    Fill += std::min(MostFill, fillOf(Upstreams[I]));
  }
  size_t Sound = Own.size() + Others.size();
  if (Sound <= DrawnByLot || Fill < DrawFromFill * double(Sound))
    return {};
  std::vector<bool> Drawn(Upstreams.size(), false);
  for (const std::vector<size_t> &Places : {Own, Others})
    for (size_t I = 0; I < DrawnByLot && !Places.empty(); ++I)
      Drawn[Places[Random() % Places.size()]] = true;
  return Drawn;
}

} // namespace

std::optional<size_t> chooseSoonest(const std::vector<upstream_view> &Upstreams,
                                    const prompt_view &Prompt,
                                    std::mt19937_64 &Random) {
  bool HeedSuspicion = anySound(Upstreams);
  keepers Keepers;
  if (Prompt.SharedSeconds > 0)
    Keepers = keepersOf(Upstreams, Prompt.SharedKey);
  double LeastRead = Prompt.Seconds;
  for (const upstream_view &Upstream : Upstreams)
    LeastRead = std::min(LeastRead, Upstream.ReadSeconds);
  double Unkept =
      std::max(0.0, LeastRead - (Prompt.Seconds - Prompt.SharedSeconds));
  std::uniform_real_distribution<double> Jitter(0, JitterSeconds);
  std::optional<size_t> Best;
  double Least = 0;
  std::vector<bool> Drawn = drawnByLot(Upstreams, HeedSuspicion, Random);
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    const upstream_view &Upstream = Upstreams[I];
    if (HeedSuspicion && Upstream.Suspect)
      continue;
    if (!Drawn.empty() && !Drawn[I])
      continue;
    double Seconds = Upstream.PromptSeconds + fillSeconds(Upstream) +
                     WeightOfReading * Upstream.ReadSeconds + Jitter(Random);
    if (!Upstream.SameHall)
      Seconds += OtherHallSeconds;
    if (Keepers.First == I)
      Seconds -= FirstKeeps * Unkept;
    else if (Keepers.Second == I)
      Seconds -= SecondKeeps * Unkept;
    if (!Best || Seconds < Least) {
      Best = I;
      Least = Seconds;
    }
  }
  return Best;
}

} // namespace olivevalve
