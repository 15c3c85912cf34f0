//===- guard.h - Quality tests of versions ----------------------*- C++ -*-===//
//
// Sequential tests that detect a version with bad ratings. They may be
// evaluated after every rating. For a version that is rolling out: a betting
// test (test martingale) with a bounded probability of ever stopping a version
// that is as good as its reference. For a settled version: the same bets,
// restarted at every low point, with a bounded rate of false alarms. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_GUARD_H
#define OLIVEVALVE_POLICY_GUARD_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace olivevalve {

/// Bets against the hypothesis "the mean score is at least the reference".
class score_test {
public:
  /// Adds a rating. \p Score and \p Reference are between 0 and 1.
  void add(double Score, double Reference);
  /// The wealth of the bets since the start. It exceeds 1/a with a probability
  /// of at most a if the version is as good as its reference.
  double evidence() const;
  /// The wealth of the bets since the last low point. For a version that is as
  /// good as its reference it exceeds c about once in c ratings.
  double recentEvidence() const;
  uint64_t ratings() const { return Ratings; }

  static constexpr size_t BetCount = 4;
  /// The evidence of several tests of disjoint ratings, taken as one test.
  static double combined(const std::vector<const score_test *> &Tests);

  /// The wealth of each bet.
  using wealth = std::array<double, BetCount>;
  const wealth &allWealth() const { return Wealth; }
  const wealth &recentWealth() const { return Recent; }
  /// Sets the state to stored values.
  void restore(const wealth &All, const wealth &Newest, uint64_t Count);

private:
  // Bet sizes as fractions of the largest safe bet. Small bets detect small
  // differences and large bets detect large differences quickly. Their average
  // is as safe as each of them.
  static constexpr std::array<double, BetCount> Bets = {0.1, 0.25, 0.5, 0.9};
  wealth Wealth = {1, 1, 1, 1};
  wealth Recent = {1, 1, 1, 1};
  uint64_t Ratings = 0;
};

/// When a version is stopped or settled. See docs/decisions/0006.
struct guard_options {
  /// Evidence that stops a roll-out: 1 in 200 good versions is stopped.
  double RollingEvidence = 200;
  /// Evidence that stops a settled version: 1 false alarm in 3,000 ratings.
  double SettledEvidence = 3000;
  /// A version may be worse than its reference by this much, as a score.
  double Tolerance = 0.04;
  /// A roll-out is complete after at least this many ratings ...
  uint64_t SettleRatings = 200;
  /// ... if the evidence against the version is also below this value.
  double SettleEvidence = 0.3;
  /// A version is stopped for only one template or account if the other ratings
  /// are good and there are at least this many of them.
  uint64_t MinOtherRatings = 10;
};

enum class guard_verdict : uint8_t { Go, Stop, Settle };

/// Judges a version. \p Evidence is that of a score_test or of several: since
/// the start if the version is \p Rolling, otherwise the recent evidence.
guard_verdict judgeVersion(double Evidence, uint64_t Ratings, bool Rolling,
                           const guard_options &Options);

/// What determines the number of answers that a version which is rolling out
/// may give.
struct exposure_input {
  double Budget = 0;  ///< Answers without ratings that are allowed at first.
  double Answers = 0; ///< Given so far.
  double Ratings = 0; ///< Received for these answers.
  /// Expected share of answers that get a rating, 0 to 1.
  double RatedShare = 1;
  double Evidence = 1; ///< Of the score_test.
};

/// The number of answers that the version may still give before more ratings
/// are received.
double exposureAllowance(const exposure_input &Input);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_GUARD_H
