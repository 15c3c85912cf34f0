//===- prompt_memory.cpp - What upstreams hold of prompts -----------------===//

#include "policy/prompt_memory.h"
#include <iterator>

namespace olivevalve {

namespace {

// The rest of an upstream's memory holds requests that run, and what they make.
constexpr double KeptPart = 0.8;

} // namespace

void prompt_memory::drop(holding &Holding,
                         std::list<prompt_piece>::iterator Piece) {
  Holding.Tokens -= Piece->Tokens;
  Holding.ByKey.erase(Piece->Key);
  Holding.Pieces.erase(Piece);
}

void prompt_memory::touch(holding &Holding, prompt_piece Piece) {
  auto It = Holding.ByKey.find(Piece.Key);
  if (It != Holding.ByKey.end()) {
    Holding.Pieces.splice(Holding.Pieces.begin(), Holding.Pieces, It->second);
    return;
  }
  Holding.Pieces.push_front(Piece);
  Holding.ByKey[Piece.Key] = Holding.Pieces.begin();
  Holding.Tokens += Piece.Tokens;
}

// The last piece first, so that a beginning is never older than what needs it.
void prompt_memory::sent(uint64_t Upstream,
                         std::span<const prompt_piece> Pieces) {
  holding &Holding = Held[Upstream];
  for (size_t I = Pieces.size(); I-- > 0;)
    touch(Holding, Pieces[I]);
  while (Holding.Tokens > uint64_t(KeptPart * double(Room)) &&
         Holding.Pieces.size() > Pieces.size())
    drop(Holding, std::prev(Holding.Pieces.end()));
}

void prompt_memory::unsure(uint64_t Upstream,
                           std::span<const prompt_piece> Pieces) {
  auto It = Held.find(Upstream);
  if (It == Held.end())
    return;
  for (const prompt_piece &Piece : Pieces) {
    auto Kept = It->second.ByKey.find(Piece.Key);
    if (Kept != It->second.ByKey.end())
      drop(It->second, Kept->second);
  }
}

uint32_t prompt_memory::kept(uint64_t Upstream,
                             std::span<const prompt_piece> Pieces) const {
  auto It = Held.find(Upstream);
  if (It == Held.end())
    return 0;
  uint32_t Tokens = 0;
  for (const prompt_piece &Piece : Pieces) {
    if (!It->second.ByKey.contains(Piece.Key))
      break;
    Tokens += Piece.Tokens;
  }
  return Tokens;
}

} // namespace olivevalve
