//===- prompt_memory.h - What upstreams hold of prompts ---------*- C++ -*-===//
//
// An upstream keeps what it has read of a prompt until it needs the room, and
// need not read it again for the same model. Nobody asks it for what it keeps:
// each gateway knows what it sent where and hears the same of the others. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_PROMPT_MEMORY_H
#define OLIVEVALVE_POLICY_PROMPT_MEMORY_H

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace olivevalve {

/// A part of a prompt, named together with all parts before it and the model:
/// a part is of use only behind the same beginning.
struct prompt_piece {
  uint64_t Key = 0;
  uint32_t Tokens = 0; ///< Of this part alone.
};

class prompt_memory {
public:
  /// \p Tokens: what an upstream has room for.
  void setRoom(uint64_t Tokens) { Room = Tokens; }
  /// The upstream has been sent a prompt of these pieces, in their order.
  void sent(uint64_t Upstream, std::span<const prompt_piece> Pieces);
  /// It did not read them after all, or perhaps not.
  void unsure(uint64_t Upstream, std::span<const prompt_piece> Pieces);
  /// Tokens of the prompt's beginning that the upstream need not read.
  uint32_t kept(uint64_t Upstream, std::span<const prompt_piece> Pieces) const;
  /// The upstream has ended.
  void forget(uint64_t Upstream) { Held.erase(Upstream); }
  size_t upstreams() const { return Held.size(); }

private:
  struct holding {
    std::list<prompt_piece> Pieces; ///< Longest unused last.
    std::unordered_map<uint64_t, std::list<prompt_piece>::iterator> ByKey;
    uint64_t Tokens = 0;
  };

  void touch(holding &Holding, prompt_piece Piece);
  static void drop(holding &Holding, std::list<prompt_piece>::iterator Piece);

  std::unordered_map<uint64_t, holding> Held; ///< By upstream.
  uint64_t Room = 400000; ///< Tokens; until the service tells.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_PROMPT_MEMORY_H
