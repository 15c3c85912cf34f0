//===- routing_fetch.cpp - Fetches a newer routing from control -----------===//

#include "lease/routing_fetch.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A piece may be delayed this long on a link that is full of answers to
// callers.
constexpr double MinRetrySeconds = 0.6;
constexpr double MaxRetrySeconds = 4;
constexpr double RetryGrowth = 2;
// Spreads retries: all gateways lose the same control VM at the same moment.
constexpr double MaxRetryJitter = 0.25;

} // namespace

void routing_fetch::recordOffer(const std::string &From, uint64_t Version) {
  if (Version < NewestVersion || Version <= Copy.version())
    return;
  NewestVersion = Version;
  Source = From;
}

std::optional<routing_request> routing_fetch::nextRequest(double Now) {
  if (NewestVersion <= Copy.version() || (InFlight && Now < RetryAt))
    return std::nullopt;
  bool Repeated = InFlight;
  RetrySeconds = Repeated
                     ? std::min(RetrySeconds * RetryGrowth, MaxRetrySeconds)
                     : MinRetrySeconds;
  // Pieces from two control VMs cannot be combined.
  if (Copy.pendingVersion() == 0 || (Repeated && RequestedFrom != Source)) {
    Copy.dropPending();
    RequestedFrom = Source;
  }
  std::uniform_real_distribution<double> Jitter(1, 1 + MaxRetryJitter);
  RetryAt = Now + RetrySeconds * Jitter(Random);
  InFlight = true;
  routing_request Request{.To = RequestedFrom};
  Request.Request.set_held_version(NeedsFullRouting ? 0 : Copy.version());
  Request.Request.set_version(Copy.pendingVersion());
  Request.Request.set_piece(Copy.nextPiece());
  return Request;
}

piece_result routing_fetch::take(const std::string &From,
                                 const wire::routing_piece &Piece) {
  if (From != RequestedFrom)
    return piece_result::Rejected;
  piece_result Result = Copy.applyPiece(Piece);
  switch (Result) {
  case piece_result::Rejected:
    break;
  case piece_result::Stored:
    InFlight = false;
    break;
  case piece_result::InForce:
    InFlight = false;
    NeedsFullRouting = false;
    break;
  case piece_result::Corrupt:
    // Request the complete routing at once. If that is damaged as well, the
    // next attempt may be too, so it waits for the retry interval.
    InFlight = NeedsFullRouting;
    NeedsFullRouting = true;
    break;
  }
  return Result;
}

} // namespace olivevalve
