//===- guard.h - Tells a bad version from a good one ------------*- C++ -*-===//
//
// Two tests that may be looked at after every rating. For a version that is
// rolling out: a betting test whose chance ever to stop a version that meets
// its reference is bounded. For a settled one: the same bets restarted at
// every low point, with a bounded rate of false alarms. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_GUARD_H
#define OLIVEVALVE_POLICY_GUARD_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace olivevalve {

/// Bets against "the mean score is at least the reference".
class score_test {
public:
  /// \p Score and \p Reference from 0 to 1.
  void add(double Score, double Reference);
  /// Wealth of the bets since the start: above 1/a with chance a at most if
  /// the version is as good as its reference.
  double evidence() const;
  /// Wealth since the last low point; grows past c about once in c ratings
  /// for a version that meets its reference.
  double recentEvidence() const;
  uint64_t ratings() const { return Ratings; }

  static constexpr size_t BetCount = 4;
  /// Evidence of several tests of separate ratings taken as one test.
  static double combined(const std::vector<const score_test *> &Tests);

  using wealth = std::array<double, BetCount>;
  const wealth &allWealth() const { return Wealth; }
  const wealth &recentWealth() const { return Recent; }
  void restore(const wealth &All, const wealth &Newest, uint64_t Count);

private:
  // Fractions of the largest safe bet. Small ones find small faults, large
  // ones find large faults fast; their average is as safe as each.
  static constexpr std::array<double, BetCount> Bets = {0.1, 0.25, 0.5, 0.9};
  wealth Wealth = {1, 1, 1, 1};
  wealth Recent = {1, 1, 1, 1};
  uint64_t Ratings = 0;
};

/// When a version stops. Measured with `bench`, see docs/decisions/0006.
struct guard_options {
  double RollingEvidence = 200;  ///< False stops of roll-outs: 1 in 200.
  double SettledEvidence = 3000; ///< False alarms: 1 in 3,000 ratings.
  double Tolerance = 0.04;       ///< Worse than the reference by less is fine.
  uint64_t SettleRatings = 200;  ///< A roll-out is done after so many.
  double SettleEvidence = 0.3;   ///< ... and evidence well below even.
  /// A version is ended for one template or account only if it looks good
  /// without it, by so many ratings.
  uint64_t RestRatings = 10;
};

enum class guard_verdict : uint8_t { Go, Stop, Settle };

/// \p Evidence of a score_test or several, its recent one if not \p Rolling.
guard_verdict judgeVersion(double Evidence, uint64_t Ratings, bool Rolling,
                           const guard_options &Options);

/// What bounds the answers that a rolling version may give.
struct exposure_input {
  double Budget = 0;     ///< Unrated answers at the start.
  double Answers = 0;    ///< Given so far.
  double Ratings = 0;    ///< That came back.
  double RatedShare = 1; ///< Share of answers that get rated at all.
  double Evidence = 1;   ///< Of the score_test.
};

/// Answers that may still be given before more ratings come back.
double exposureAllowance(const exposure_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_GUARD_H
