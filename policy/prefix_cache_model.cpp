//===- prefix_cache_model.cpp - What upstreams have cached ----------------===//

#include "policy/prefix_cache_model.h"
#include <algorithm>
#include <iterator>

namespace olivevalve {

namespace {

// The share of an upstream's KV cache that holds blocks of finished prompts.
// The rest holds the running requests and their output.
constexpr double CachedShare = 0.8;
// Of all upstreams together, some 90 bytes of memory each, and for each
// upstream at least.
constexpr size_t MaxBlocks = 1 << 17;
constexpr size_t MinBlocksEach = 512;

} // namespace

void prefix_cache_model::erase(block_cache &Cache,
                               std::list<prompt_block>::iterator Block) {
  Cache.Tokens -= Block->Tokens;
  Cache.ByKey.erase(Block->Key);
  Cache.Blocks.erase(Block);
}

void prefix_cache_model::touch(block_cache &Cache, prompt_block Block) {
  auto It = Cache.ByKey.find(Block.Key);
  if (It != Cache.ByKey.end()) {
    Cache.Blocks.splice(Cache.Blocks.begin(), Cache.Blocks, It->second);
    return;
  }
  Cache.Blocks.push_front(Block);
  Cache.ByKey[Block.Key] = Cache.Blocks.begin();
  Cache.Tokens += Block.Tokens;
}

// Touches the last block first, so that a block is never evicted before the
// blocks that follow it in the prompt, which are useless without it.
void prefix_cache_model::addPrompt(uint64_t Upstream,
                                   std::span<const prompt_block> Blocks) {
  block_cache &Cache = Caches[Upstream];
  for (size_t I = Blocks.size(); I-- > 0;)
    touch(Cache, Blocks[I]);
  while (Cache.Blocks.size() > Blocks.size() &&
         (Cache.Tokens > uint64_t(CachedShare * double(CapacityTokens)) ||
          Cache.Blocks.size() > maxBlocks()))
    erase(Cache, std::prev(Cache.Blocks.end()));
}

size_t prefix_cache_model::maxBlocks() const {
  return std::max(MinBlocksEach,
                  MaxBlocks / std::max<size_t>(Caches.size(), 1));
}

size_t prefix_cache_model::blockCount(uint64_t Upstream) const {
  auto It = Caches.find(Upstream);
  return It == Caches.end() ? 0 : It->second.Blocks.size();
}

void prefix_cache_model::removeBlocks(uint64_t Upstream,
                                      std::span<const prompt_block> Blocks) {
  auto It = Caches.find(Upstream);
  if (It == Caches.end())
    return;
  for (const prompt_block &Block : Blocks) {
    auto Cached = It->second.ByKey.find(Block.Key);
    if (Cached != It->second.ByKey.end())
      erase(It->second, Cached->second);
  }
}

uint32_t
prefix_cache_model::cachedTokens(uint64_t Upstream,
                                 std::span<const prompt_block> Blocks) const {
  auto It = Caches.find(Upstream);
  if (It == Caches.end())
    return 0;
  uint32_t Tokens = 0;
  for (const prompt_block &Block : Blocks) {
    if (!It->second.ByKey.contains(Block.Key))
      break;
    Tokens += Block.Tokens;
  }
  return Tokens;
}

} // namespace olivevalve
