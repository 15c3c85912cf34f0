//===- routing_fetch.cpp - How a gateway gets a newer routing -------------===//

#include "lease/routing_fetch.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A link that callers' answers fill holds a piece up for so long.
constexpr double FirstPauseSeconds = 0.6;
constexpr double MostPauseSeconds = 4;
constexpr double PauseGrowth = 2;
// All gateways miss the same control VM at the same moment.
constexpr double PauseSpread = 0.25;

} // namespace

void routing_fetch::offered(const std::string &From, uint64_t Version) {
  if (Version < Offered || Version <= Copy.version())
    return;
  Offered = Version;
  Offerer = From;
}

std::optional<routing_question> routing_fetch::question(double Now) {
  if (Offered <= Copy.version() || (Open && Now < RepeatAt))
    return std::nullopt;
  bool Repeated = Open;
  PauseSeconds = Repeated
                     ? std::min(PauseSeconds * PauseGrowth, MostPauseSeconds)
                     : FirstPauseSeconds;
  // Pieces of two control VMs do not fit together.
  if (Copy.comingVersion() == 0 || (Repeated && Asked != Offerer)) {
    Copy.dropComing();
    Asked = Offerer;
  }
  std::uniform_real_distribution<double> Spread(1, 1 + PauseSpread);
  RepeatAt = Now + PauseSeconds * Spread(Random);
  Open = true;
  routing_question Question{.To = Asked};
  Question.Ask.set_held_version(WantsWhole ? 0 : Copy.version());
  Question.Ask.set_version(Copy.comingVersion());
  Question.Ask.set_piece(Copy.nextPiece());
  return Question;
}

piece_result routing_fetch::take(const std::string &From,
                                 const wire::routing_piece &Piece) {
  if (From != Asked)
    return piece_result::Odd;
  piece_result Result = Copy.take(Piece);
  switch (Result) {
  case piece_result::Odd:
    break;
  case piece_result::Kept:
    Open = false;
    break;
  case piece_result::InForce:
    Open = false;
    WantsWhole = false;
    break;
  case piece_result::Damaged:
    // The whole is asked for at once. If that is damaged too, it may be so
    // again: the open question keeps its pause.
    Open = WantsWhole;
    WantsWhole = true;
    break;
  }
  return Result;
}

} // namespace olivevalve
