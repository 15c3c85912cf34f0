//===- routing_fetch.h - How a gateway gets a newer routing -----*- C++ -*-===//
//
// Asks one control VM at a time for one piece at a time: what is large never
// stands before timely news on the gateway's link with more than one piece, and
// control holds nothing for a gateway that does not read. Pure; the clock is
// passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_ROUTING_FETCH_H
#define OLIVEVALVE_LEASE_ROUTING_FETCH_H

#include "catalog/routing_copy.h"
#include <optional>
#include <random>
#include <string>

namespace olivevalve {

/// A question and the control VM that it is for.
struct routing_question {
  std::string To;
  wire::routing_ask Ask;
};

class routing_fetch {
public:
  /// \p Seed: of the spread of pauses before a question is repeated.
  explicit routing_fetch(uint64_t Seed) : Random(Seed) {}

  /// The control VM at \p From holds \p Version.
  void offered(const std::string &From, uint64_t Version);
  /// What is to be sent now; none while an answer may still come.
  std::optional<routing_question> question(double Now);
  piece_result take(const std::string &From, const wire::routing_piece &Piece);

  const routing_copy &copy() const { return Copy; }

private:
  routing_copy Copy;
  std::mt19937_64 Random;
  std::string Offerer;     ///< Of the newest version, the last to tell it.
  uint64_t Offered = 0;    ///< The newest version told.
  std::string Asked;       ///< Whom the pieces under way come from.
  bool Open = false;       ///< A question waits for its answer.
  double RepeatAt = 0;     ///< When it is asked again.
  double PauseSeconds = 0; ///< Until then; grows while nothing comes.
  bool WantsWhole = false; ///< What is held cannot be built upon.
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_ROUTING_FETCH_H
