//===- upstream_choice.h - Which upstream gets a request --------*- C++ -*-===//
//
// For upstreams that an entry speaks to directly. Pure: the views are made from
// what is known at the moment.
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

/// What is known of one upstream that may be chosen.
struct upstream_view {
  std::string_view Id;
  double Load = 0;          ///< Requests that run or wait there, estimated.
  double Seen = 0;          ///< Of them, those whose prompts are known.
  bool LoadKnown = true;    ///< False: nothing tells how many there are.
  double Slots = 1;         ///< Requests that it works on at once.
  bool SameHall = false;    ///< In the data hall of the entry.
  bool Suspect = false;     ///< Failed lately: only if there is no other.
  double PromptSeconds = 0; ///< Of its time, for prompts that it has to read.
  /// Of its time, to read of this prompt what it does not keep.
  double ReadSeconds = 0;
};

/// The prompt of a request to a model.
struct prompt_view {
  double Seconds = 0;       ///< Of an upstream's time, to read all of it.
  double SharedSeconds = 0; ///< For the part that other prompts begin with.
  uint64_t SharedKey = 0;   ///< Names that part and the model.
};

/// Puts in what a gateway that hears of some gateways only cannot see. An
/// upstream whose load is not known counts as full as the middle one of the
/// others, if that is fuller; requests that are not seen have prompts like
/// those that are.
void supposeUnseen(std::vector<upstream_view> &Upstreams);

/// Of an upstream's time, for prompts that it has to read, on average.
double meanPromptSeconds(const std::vector<upstream_view> &Upstreams);

/// The place of the upstream with the least load for its slots.
std::optional<size_t>
chooseLeastLoaded(const std::vector<upstream_view> &Upstreams,
                  std::mt19937_64 &Random);

/// The place of the upstream where the first token is expected soonest, at the
/// least cost to the others. Gateways send the same shared part to the same
/// upstream as long as that does not make it wait.
std::optional<size_t> chooseSoonest(const std::vector<upstream_view> &Upstreams,
                                    const prompt_view &Prompt,
                                    std::mt19937_64 &Random);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_UPSTREAM_CHOICE_H
