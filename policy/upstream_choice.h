//===- upstream_choice.h - Which upstream gets a request --------*- C++ -*-===//
//
// Selects the upstream for a request among those that a gateway forwards to
// directly. The functions are pure: the caller builds an upstream_view of each
// candidate from its current data.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_UPSTREAM_CHOICE_H
#define OLIVEVALVE_POLICY_UPSTREAM_CHOICE_H

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace olivevalve {

/// The state of one candidate upstream, as this gateway has it.
struct upstream_view {
  std::string_view Id;
  /// Estimated number of requests that run or are queued at the upstream.
  double Load = 0;
  /// The requests among these whose prefill work is known.
  double ObservedLoad = 0;
  /// False if there is no recent load report; Load then counts only the
  /// requests of this gateway and of the peers it receives updates from.
  bool LoadKnown = true;
  double Slots = 1;      ///< Requests that the upstream runs concurrently.
  bool SameHall = false; ///< In the same data hall as the gateway.
  /// Failed recently: chosen only if all candidates are suspect.
  bool Suspect = false;
  /// Upstream time for the outstanding prefill of requests already sent there,
  /// as far as it is known, in seconds.
  double PrefillSeconds = 0;
  /// How long work takes there now, relative to its usual time.
  double Slowdown = 1;
  /// How long work takes there, relative to an upstream of usual speed.
  double Pace = 1;
  /// Upstream time for the prefill of the part of this request's prompt that
  /// the upstream does not have in its cache, in seconds.
  double UncachedPrefillSeconds = 0;
  /// One of the upstreams that are to keep the shared prefix of the prompt.
  bool Keeper = false;
};

/// The prefill work of a request's prompt; all zero if the request is not for a
/// model.
struct prompt_view {
  /// Upstream time for the prefill of the whole prompt, in seconds.
  double PrefillSeconds = 0;
  /// The same for the prefix that it shares with other prompts.
  double SharedPrefillSeconds = 0;
  /// Hash of the model and the shared prefix; 0 if there is no such prefix.
  uint64_t SharedPrefixKey = 0;
  /// Upstream time for the output after the first token, in seconds; 0: not
  /// known, and then only the first token counts.
  double OutputSeconds = 0;
  /// Until the first token is late for the caller. The less is left, the less
  /// the output counts.
  double TargetSecondsLeft = 0;
};

/// True if \p Upstream is expected to have the whole shared prefix cached.
bool hasSharedPrefix(const upstream_view &Upstream, const prompt_view &Prompt);

/// Fills in estimates for a gateway that receives updates from only some of the
/// other gateways. An upstream with unknown load is assumed to be at least as
/// full as the median of the others. Requests whose prefill work is unknown are
/// assumed to need the mean of those whose work is known.
void estimateUnobservedLoad(std::vector<upstream_view> &Upstreams);

/// The mean outstanding prefill work of the upstreams that are not suspect, in
/// seconds; 0 if there is none.
double meanPrefillSeconds(const std::vector<upstream_view> &Upstreams);

/// The index of the upstream with the lowest load per slot; none if
/// \p Upstreams is empty.
std::optional<size_t>
chooseLeastLoaded(const std::vector<upstream_view> &Upstreams,
                  std::mt19937_64 &Random);

/// The index of the upstream with the lowest expected time to first token,
/// where prefill also counts for the delay that it causes to other requests;
/// none if \p Upstreams is empty. All gateways prefer the same two upstreams
/// for a shared prefix that no upstream has cached, so that few upstreams
/// compute and cache it, unless the request would have to wait there. Keepers
/// of the prefix, if any are marked, take the place of these two.
/// where prefill also counts for the delay that it causes to other requests,
/// and the output as far as the caller's target leaves time for it; none if \p
/// Upstreams is empty. All gateways prefer the same two upstreams for a shared
/// prefix that no upstream has cached, so that few upstreams compute and cache
/// it, unless the request would have to wait there.
std::optional<size_t>
chooseEarliestFirstToken(const std::vector<upstream_view> &Upstreams,
                         const prompt_view &Prompt, std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_UPSTREAM_CHOICE_H
