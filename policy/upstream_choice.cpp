//===- upstream_choice.cpp - Which upstream gets a request ----------------===//

#include "policy/upstream_choice.h"
#include "base/digest.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Added to the load per slot of an upstream in another data hall. Traffic
// between data halls costs money, but queueing costs more.
constexpr double OtherHallPenalty = 0.15;
// Loads per slot that differ by less than this are treated as equal, and one of
// the upstreams is chosen at random, because load reports are slightly old.
constexpr double LoadTolerance = 0.02;
// Penalty in seconds for sending a request to another data hall. It does not
// hold for upstreams that keep the prompt's shared prefix: each data hall would
// read the prefix for itself, which takes longer than the way there.
constexpr double OtherHallPenaltySeconds = 0.1;
// Above this load per slot an upstream is likely to queue new requests, so the
// penalty rises steeply. Below it the load has little effect.
constexpr double NearlyFullLoad = 0.8;
constexpr double FullPenaltySeconds = 1.0;
constexpr double LoadPenaltySeconds = 0.05;
// Weight of a second of prefill relative to a second of waiting: the prefill
// also delays all requests that are sent to the upstream after this one.
constexpr double PrefillWeight = 2.5;
// Upstream time for the first token of any request.
constexpr double FirstTokenSeconds = 0.05;
// Bonus, per second of prefill, for the two upstreams that rank first and
// second for a shared prefix that no upstream has cached. It makes gateways
// that choose at the same moment send the prefix to the same upstreams.
constexpr double FirstRankBonus = 0.7 * PrefillWeight;
constexpr double SecondRankBonus = 0.3 * PrefillWeight;
// Prefill times of a prompt that differ by less come from rounding.
constexpr double EqualSeconds = 1e-9;
// If all gateways choose the least loaded upstream from reports of the same
// age, they overload it. From this mean load per slot on, each gateway chooses
// only among a few upstreams drawn at random. It draws the same number from its
// own and from the other data halls: a gateway that has the load of its own
// data hall only would do worse with one draw over all upstreams. A higher
// threshold would take effect only after the start of a traffic spike has
// piled up; with a lower one, prompt prefixes that upstreams have cached would
// be used less.
constexpr double SamplingLoad = 0.5;
constexpr size_t SampleSize = 3;
// Upper bound on one upstream's load per slot in the mean above, so that one
// absurd load report does not decide it.
constexpr double MaxLoadInMean = 2;
// Random addition to each estimate, so that gateways that choose at the same
// moment, without the others' latest choices, do not all choose the same
// upstream. Upstreams that keep the prompt's shared prefix get none: they
// differ by prefix, and with it short prefixes would be read everywhere.
constexpr double JitterSeconds = 0.01;
// An earlier end of the output is worth a first token that is later by up to
// this part of the time that the caller's target leaves for it. More would make
// first tokens late while other upstreams are idle.
constexpr double OutputTargetPart = 0.05;
// A step of an engine with all slots in use takes this part longer than one
// with a single request.
constexpr double FullStepGrowth = 0.5;

double loadPerSlot(const upstream_view &Upstream) {
  return Upstream.Load / std::max(1.0, Upstream.Slots);
}

// The load per slot as it would be with this request, in the time that requests
// usually take.
double penalizedLoad(const upstream_view &Upstream) {
  double Load = loadPerSlot(Upstream) + 1 / std::max(1.0, Upstream.Slots);
  return Load * Upstream.Slowdown * Upstream.Pace +
         (Upstream.SameHall ? 0 : OtherHallPenalty);
}

bool anyNotSuspect(const std::vector<upstream_view> &Upstreams) {
  return std::any_of(Upstreams.begin(), Upstreams.end(),
                     [](const upstream_view &U) { return !U.Suspect; });
}

// Without this, an upstream whose load was not reported would look empty, and
// all gateways would send their requests there.
void estimateUnknownLoads(std::vector<upstream_view> &Upstreams) {
  std::vector<double> Known;
  for (const upstream_view &Each : Upstreams)
    if (Each.LoadKnown && !Each.Suspect)
      Known.push_back(loadPerSlot(Each));
  if (Known.empty() || Known.size() == Upstreams.size())
    return;
  auto Median = Known.begin() + ptrdiff_t(Known.size() / 2);
  std::nth_element(Known.begin(), Median, Known.end());
  for (upstream_view &Each : Upstreams)
    if (!Each.LoadKnown)
      Each.Load = std::max(Each.Load, *Median * std::max(1.0, Each.Slots));
}

} // namespace

void estimateUnobservedLoad(std::vector<upstream_view> &Upstreams) {
  estimateUnknownLoads(Upstreams);
  double Seconds = 0;
  double Seen = 0;
  for (const upstream_view &Each : Upstreams) {
    Seconds += Each.PrefillSeconds;
    Seen += Each.ObservedLoad;
  }
  if (Seen <= 0)
    return;
  for (upstream_view &Each : Upstreams)
    Each.PrefillSeconds +=
        std::max(0.0, Each.Load - Each.ObservedLoad) * Seconds / Seen;
}

double meanPrefillSeconds(const std::vector<upstream_view> &Upstreams) {
  double Seconds = 0;
  size_t Eligible = 0;
  for (const upstream_view &Each : Upstreams)
    if (!Each.Suspect) {
      Seconds += Each.PrefillSeconds;
      ++Eligible;
    }
  return Seconds / double(std::max<size_t>(1, Eligible));
}

std::optional<size_t>
chooseLeastLoaded(const std::vector<upstream_view> &Upstreams,
                  std::mt19937_64 &Random) {
  bool SkipSuspects = anyNotSuspect(Upstreams);
  double Lowest = 0;
  size_t Ties = 0;
  std::optional<size_t> Best;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    if (SkipSuspects && Upstreams[I].Suspect)
      continue;
    double Load = penalizedLoad(Upstreams[I]);
    if (!Best || Load < Lowest - LoadTolerance) {
      Best = I;
      Lowest = Load;
      Ties = 1;
    } else if (Load < Lowest + LoadTolerance && Random() % ++Ties == 0) {
      Best = I;
    }
  }
  return Best;
}

namespace {

double loadPenaltySeconds(const upstream_view &Upstream) {
  double Load = loadPerSlot(Upstream);
  double Excess = std::max(0.0, Load - NearlyFullLoad) / (1 - NearlyFullLoad);
  return LoadPenaltySeconds * Load + FullPenaltySeconds * Excess;
}

// Expected time of the output as far as it counts for the choice.
double outputSeconds(const upstream_view &Upstream, const prompt_view &Prompt) {
  double Growth = 1 + FullStepGrowth * std::min(1.0, loadPerSlot(Upstream));
  double Counted = std::min(Prompt.OutputSeconds,
                            OutputTargetPart * Prompt.TargetSecondsLeft);
  return Counted * Growth * Upstream.Slowdown * Upstream.Pace;
}

/// The two preferred upstreams for a shared prefix, by rendezvous hashing: few
/// prefixes move when an upstream is added or removed.
struct preferred_upstreams {
  std::optional<size_t> First;
  std::optional<size_t> Second;
};

preferred_upstreams
preferredUpstreams(const std::vector<upstream_view> &Upstreams, uint64_t Key) {
  preferred_upstreams Preferred;
  uint64_t FirstRank = 0;
  uint64_t SecondRank = 0;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    uint64_t Rank = checksum(Upstreams[I].Id, Key);
    if (Rank > FirstRank) {
      Preferred.Second = Preferred.First;
      SecondRank = FirstRank;
      Preferred.First = I;
      FirstRank = Rank;
    } else if (Rank > SecondRank) {
      Preferred.Second = I;
      SecondRank = Rank;
    }
  }
  return Preferred;
}

/// Upstream time for the part of the shared prefix that is not cached.
double uncachedSharedSeconds(const upstream_view &Upstream,
                             const prompt_view &Prompt) {
  return std::max(0.0,
                  Upstream.UncachedPrefillSeconds -
                      (Prompt.PrefillSeconds - Prompt.SharedPrefillSeconds));
}

/// Draws the upstreams to choose among, up to SampleSize each from the own and
/// from other data halls. Returns an empty vector, which stands for all
/// upstreams, if there are few of them or their mean load is low.
std::vector<bool> sampleUpstreams(const std::vector<upstream_view> &Upstreams,
                                  bool SkipSuspects, std::mt19937_64 &Random) {
  std::vector<size_t> Own;
  std::vector<size_t> Others;
  double TotalLoad = 0;
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    if (SkipSuspects && Upstreams[I].Suspect)
      continue;
    (Upstreams[I].SameHall ? Own : Others).push_back(I);
    TotalLoad += std::min(MaxLoadInMean, loadPerSlot(Upstreams[I]));
  }
  size_t Eligible = Own.size() + Others.size();
  if (Eligible <= SampleSize || TotalLoad < SamplingLoad * double(Eligible))
    return {};
  std::vector<bool> Sampled(Upstreams.size(), false);
  for (const std::vector<size_t> &Indexes : {Own, Others})
    for (size_t I = 0; I < SampleSize && !Indexes.empty(); ++I)
      Sampled[Indexes[Random() % Indexes.size()]] = true;
  return Sampled;
}

} // namespace

bool hasSharedPrefix(const upstream_view &Upstream, const prompt_view &Prompt) {
  return Prompt.SharedPrefillSeconds > 0 &&
         uncachedSharedSeconds(Upstream, Prompt) <= EqualSeconds;
}

std::optional<size_t>
chooseEarliestFirstToken(const std::vector<upstream_view> &Upstreams,
                         const prompt_view &Prompt, std::mt19937_64 &Random) {
  bool SkipSuspects = anyNotSuspect(Upstreams);
  bool HasKeepers =
      std::any_of(Upstreams.begin(), Upstreams.end(),
                  [](const upstream_view &U) { return U.Keeper; });
  preferred_upstreams Preferred;
  if (Prompt.SharedPrefillSeconds > 0 && !HasKeepers)
    Preferred = preferredUpstreams(Upstreams, Prompt.SharedPrefixKey);
  double MinPrefill = Prompt.PrefillSeconds;
  for (const upstream_view &Upstream : Upstreams)
    MinPrefill = std::min(MinPrefill, Upstream.UncachedPrefillSeconds);
  double UncachedShared = std::max(
      0.0, MinPrefill - (Prompt.PrefillSeconds - Prompt.SharedPrefillSeconds));
  std::uniform_real_distribution<double> Jitter(0, JitterSeconds);
  std::optional<size_t> Best;
  double Lowest = 0;
  std::vector<bool> Sampled = sampleUpstreams(Upstreams, SkipSuspects, Random);
  for (size_t I = 0; I < Upstreams.size(); ++I) {
    const upstream_view &Upstream = Upstreams[I];
    if (SkipSuspects && Upstream.Suspect)
      continue;
    bool Keeps =
        HasKeepers && (Upstream.Keeper || hasSharedPrefix(Upstream, Prompt));
    if (!Sampled.empty() && !Sampled[I] && !Keeps)
      continue;
    double Work = Upstream.PrefillSeconds + FirstTokenSeconds +
                  PrefillWeight * Upstream.UncachedPrefillSeconds;
    double Seconds = (Work * Upstream.Slowdown + loadPenaltySeconds(Upstream)) *
                         Upstream.Pace +
                     outputSeconds(Upstream, Prompt) +
                     (Keeps ? 0 : Jitter(Random));
    if (!Upstream.SameHall && !Keeps)
      Seconds += OtherHallPenaltySeconds;
    if (Preferred.First == I)
      Seconds -= FirstRankBonus * UncachedShared;
    else if (Preferred.Second == I)
      Seconds -= SecondRankBonus * UncachedShared;
    else if (Upstream.Keeper)
      Seconds -=
          UncachedShared > 0
              ? FirstRankBonus * UncachedShared
              : SecondRankBonus * uncachedSharedSeconds(Upstream, Prompt);
    if (!Best || Seconds < Lowest) {
      Best = I;
      Lowest = Seconds;
    }
  }
  return Best;
}

} // namespace olivevalve
