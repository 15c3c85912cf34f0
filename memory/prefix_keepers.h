//===- prefix_keepers.h - Upstreams that keep a shared prefix ---*- C++ -*-===//
//
// Decides how many and which upstreams keep the prefix that prompts share, so
// that it is read there once and found by the prompts that follow. The decision
// follows from the rate of the prefix and a hash of the upstreams' ids, so that
// all gateways make the same one without asking each other. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_MEMORY_PREFIX_KEEPERS_H
#define OLIVEVALVE_MEMORY_PREFIX_KEEPERS_H

#include "policy/upstream_choice.h"
#include <array>
#include <string_view>
#include <unordered_map>

namespace olivevalve {

/// Learns how often prompts with each shared prefix are sent. Times are
/// steady-clock seconds.
class prefix_rates {
public:
  /// Records that this or another gateway has sent a prompt with \p Prefix.
  void record(uint64_t Prefix, double Now);
  /// Prompts per second with \p Prefix.
  double perSecond(uint64_t Prefix, double Now) const;
  /// Number of prefixes that are remembered.
  size_t size() const { return Current.size() + Previous.size(); }

private:
  void turnWindow(double Now);

  std::unordered_map<uint64_t, uint32_t> Current;  ///< Prompts by prefix.
  std::unordered_map<uint64_t, uint32_t> Previous; ///< In the window before.
  double WindowStart = 0;
};

/// The number of upstreams that keep a prefix of \p PromptsPerSecond, each of
/// which takes \p SecondsEach of an upstream that has the prefix.
size_t keeperCount(double PromptsPerSecond, double SecondsEach);

/// Marks \p Count of the upstreams as keepers of \p Prefix. Few keepers change
/// when an upstream is added or removed.
void markKeepers(std::vector<upstream_view> &Upstreams, uint64_t Prefix,
                 size_t Count);

/// How the shared prefix of a prompt was found at the upstream chosen for it.
enum class prefix_reuse : uint8_t {
  Kept,       ///< The upstream is expected to have it.
  FirstRead,  ///< No upstream that takes the request has it.
  PassedOver, ///< Others have it, but the request would wait longer there.
  Last = PassedOver
};

constexpr std::string_view nameOf(prefix_reuse Reuse) {
  constexpr std::array<std::string_view, size_t(prefix_reuse::Last) + 1> Names =
      {"kept", "first read", "passed over"};
  return Names[size_t(Reuse)];
}

/// How the shared prefix of \p Prompt is found at the upstream at \p Chosen.
prefix_reuse reuseAt(const std::vector<upstream_view> &Upstreams,
                     const prompt_view &Prompt, size_t Chosen);

} // namespace olivevalve

#endif // OLIVEVALVE_MEMORY_PREFIX_KEEPERS_H
