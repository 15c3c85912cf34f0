//===- prompt_pace.h - How long models read ---------------------*- C++ -*-===//
//
// Upstreams differ from fleet to fleet, and the models of one by ten times, so
// the time that a prompt takes is learnt from the first tokens of answers.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_PROMPT_PACE_H
#define OLIVEVALVE_POLICY_PROMPT_PACE_H

#include <cstdint>
#include <map>
#include <string>

namespace olivevalve {

/// A token that is made takes an upstream as long as so many that are read,
/// when it is well filled.
constexpr uint32_t ReadTokensPerMade = 10;
/// From sending to the first token on a free upstream, beside the prompt.
constexpr double FirstTokenSeconds = 0.05;

/// Learns how long the models of a service read a token of a prompt.
class prompt_pace {
public:
  /// Seconds to read a prompt. \p Cost: of the model beside the cheapest, the
  /// first guess of its pace. \p Kept: tokens at the prompt's beginning that
  /// need not be read.
  double secondsFor(const std::string &Model, double Cost, uint32_t Tokens,
                    uint32_t Kept = 0) const;
  /// A first token came \p Seconds after the request was sent.
  void firstToken(const std::string &Model, double Cost, uint32_t Tokens,
                  uint32_t Kept, double Seconds);

private:
  struct learnt {
    double SecondsPerToken = 0;
    uint32_t Answers = 0;
  };

  std::map<std::string, learnt> Paces; ///< By model.
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_PROMPT_PACE_H
