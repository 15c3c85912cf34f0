//===- routing_fetch.h - Fetches a newer routing from control ---*- C++ -*-===//
//
// Requests the pieces of a newer routing one at a time from one control VM at a
// time. So at most one piece is in front of an urgent message on the gateway's
// link, and control buffers nothing for a gateway that does not read. Pure: the
// clock is passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_ROUTING_FETCH_H
#define OLIVEVALVE_LEASE_ROUTING_FETCH_H

#include "catalog/routing_replica.h"
#include <optional>
#include <random>
#include <string>

namespace olivevalve {

/// A request for a piece of the routing.
struct routing_request {
  std::string To; ///< Address of the control VM to send it to.
  wire::routing_ask Request;
};

class routing_fetch {
public:
  /// \p Seed of the random jitter in the retry interval.
  explicit routing_fetch(uint64_t Seed) : Random(Seed) {}

  /// Records that the control VM at \p From holds \p Version of the routing.
  void recordOffer(const std::string &From, uint64_t Version);
  /// The request to send now. None if the routing is up to date or an answer
  /// may still arrive.
  std::optional<routing_request> nextRequest(double Now);
  /// Applies a piece that arrived from the control VM at \p From. Returns Odd,
  /// and changes nothing, if the piece was not requested from that VM or does
  /// not fit the pieces before it.
  piece_result take(const std::string &From, const wire::routing_piece &Piece);

  const routing_replica &copy() const { return Copy; }

private:
  routing_replica Copy;
  std::mt19937_64 Random;
  /// Address of the control VM that last reported NewestVersion.
  std::string Source;
  uint64_t NewestVersion = 0; ///< Newest version reported by any control VM.
  /// Address of the control VM that the current transfer comes from.
  std::string RequestedFrom;
  bool InFlight = false;   ///< A request has not been answered yet.
  double RetryAt = 0;      ///< When that request is repeated.
  double RetrySeconds = 0; ///< Retry interval; grows without an answer.
  /// The held routing cannot be the base of changes, so all of it is requested.
  bool NeedsFullRouting = false;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_ROUTING_FETCH_H
