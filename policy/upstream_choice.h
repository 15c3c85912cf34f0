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
  double Load = 0;       ///< Requests that run or wait there, estimated.
  double Slots = 1;      ///< Requests that it works on at once.
  bool SameHall = false; ///< In the data hall of the entry.
  bool Suspect = false;  ///< Failed lately: only if there is no other.
};

/// The place of the upstream with the least load for its slots.
std::optional<size_t>
chooseLeastLoaded(const std::vector<upstream_view> &Upstreams,
                  std::mt19937_64 &Random);

/// The upstream that entries send \p Key to, unless it has clearly more to
/// do than the others: then the next one in the key's own order. Those of the
/// own data hall come first where there are enough of them. A key is the shared
/// part of a prompt, whose memory is worth finding again.
std::optional<size_t>
chooseByAffinity(const std::vector<upstream_view> &Upstreams, uint64_t Key);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_UPSTREAM_CHOICE_H
