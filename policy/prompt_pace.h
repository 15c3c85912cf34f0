//===- work_shares.h - Long prompts apart from short ones -------*- C++ -*-===//
//
// An upstream reads prompts one after the other, so a short one that comes
// behind a long one waits for all of it. Requests are put into classes by the
// work that their prompts take, and the upstreams of a service are parted among
// the classes by the work of each. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_WORK_SHARES_H
#define OLIVEVALVE_POLICY_WORK_SHARES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace olivevalve {

/// What reading a prompt takes of an upstream.
enum class work_class : uint8_t { Short, Long, Huge };

constexpr size_t WorkClasses = 3;

/// A token that is made takes an upstream as long as so many that are read,
/// when it is well filled: 0.12 ms beside 9 us, measured by single requests.
constexpr uint32_t ReadTokensPerMade = 10;
/// From sending to the first token on a free upstream, beside the prompt.
constexpr double FirstTokenSeconds = 0.05;

work_class workClassOf(double Seconds);

/// Learns how long the models of a service read a token of a prompt.
class prompt_pace {
public:
  /// \p Cost: of the model beside the cheapest, the first guess of its pace.
  double secondsFor(const std::string &Model, double Cost,
                    uint32_t Tokens) const;
  /// A first token came \p Seconds after the request was sent.
  void firstToken(const std::string &Model, double Cost, uint32_t Tokens,
                  double Seconds);

private:
  std::map<std::string, double> SecondsPerToken;
};

/// A part of the upstreams in their order: those from \p Begin to \p End.
struct upstream_range {
  size_t Begin = 0;
  size_t End = 0;
};

/// The work that each class brings, as one gateway sees it.
class work_shares {
public:
  void seen(work_class Class, double Seconds, double Now);
  /// The upstreams for \p Class among \p Count; never none.
  upstream_range rangeOf(work_class Class, size_t Count) const;

private:
  std::array<double, WorkClasses> Work{}; ///< Seconds, older ones fading.
  double Last = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_WORK_SHARES_H
