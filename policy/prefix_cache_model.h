//===- prefix_cache_model.h - What upstreams have cached --------*- C++ -*-===//
//
// Estimates which prompt prefixes each upstream has in its KV cache, so that a
// prompt can go where the least of it needs prefill. An upstream does not
// report the contents of its cache, so they are derived from the prompts that
// this gateway and the others sent to it. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_PREFIX_CACHE_MODEL_H
#define OLIVEVALVE_POLICY_PREFIX_CACHE_MODEL_H

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace olivevalve {

/// A block of a prompt. An upstream can reuse a cached block only for the same
/// model and after the same preceding blocks.
struct prompt_block {
  /// Hash of the model, all preceding blocks and this one.
  uint64_t Key = 0;
  uint32_t Tokens = 0; ///< Of this block alone.
};

/// A least-recently-used list of prompt blocks for each upstream.
class prefix_cache_model {
public:
  /// Sets the size of an upstream's KV cache in \p Tokens, the same for all
  /// upstreams.
  void setCapacity(uint64_t Tokens) { CapacityTokens = Tokens; }
  /// Records that the upstream was sent a prompt of these blocks, in the order
  /// of the prompt. Evicts other blocks if the cache is full.
  void addPrompt(uint64_t Upstream, std::span<const prompt_block> Blocks);
  /// Removes blocks that the upstream may not have processed, because the
  /// request was taken back or failed before its first token.
  void removeBlocks(uint64_t Upstream, std::span<const prompt_block> Blocks);
  /// The number of tokens in the longest cached prefix of the prompt.
  uint32_t cachedTokens(uint64_t Upstream,
                        std::span<const prompt_block> Blocks) const;
  /// Removes an upstream that has terminated.
  void removeUpstream(uint64_t Upstream) { Caches.erase(Upstream); }
  /// The number of upstreams that have blocks.
  size_t upstreamCount() const { return Caches.size(); }
  /// The most blocks that are kept for one upstream, however few tokens callers
  /// state for each.
  size_t maxBlocks() const;
  /// The number of blocks that are kept for \p Upstream.
  size_t blockCount(uint64_t Upstream) const;

private:
  struct block_cache {
    std::list<prompt_block> Blocks; ///< Most recently used first.
    std::unordered_map<uint64_t, std::list<prompt_block>::iterator> ByKey;
    uint64_t Tokens = 0;
  };

  void touch(block_cache &Cache, prompt_block Block);
  static void erase(block_cache &Cache,
                    std::list<prompt_block>::iterator Block);

  std::unordered_map<uint64_t, block_cache> Caches; ///< By upstream.
  /// The size of an upstream's KV cache; a default until the service's
  /// configuration is received.
  uint64_t CapacityTokens = 400000;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_PREFIX_CACHE_MODEL_H
