//===- answer_tally.h - Upstreams with excess failures ----------*- C++ -*-===//
//
// An upstream that fails its requests immediately, although its health checks
// pass, appears to be the least loaded and attracts most requests. To detect
// it, its responses of the last seconds are compared with those of the other
// upstreams: failures that occur at all upstreams are caused by the requests.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_ANSWER_TALLY_H
#define OLIVEVALVE_POLICY_ANSWER_TALLY_H

#include <cstdint>

namespace olivevalve {

/// A number of responses and the failures among them, discounted by age.
struct answer_counts {
  double Answers = 0;
  double Failures = 0;
};

/// Counts of one upstream's responses. Old responses are discounted
/// exponentially.
class answer_tally {
public:
  /// Adds \p Answers responses, \p Failures of which failed.
  void add(uint32_t Answers, uint32_t Failures, double Now);
  answer_counts at(double Now) const;
  /// False if the upstream has too few failures to count as failing more than
  /// the others, whatever the counts of the others are.
  bool hasEnoughFailures() const;

private:
  answer_counts Counts; ///< As of CountedAt.
  double CountedAt = 0; ///< Steady-clock seconds.
};

/// True if the failure rate of \p One is so much higher than that of \p Others,
/// the other upstreams of its service, that it should get only occasional
/// requests, which show whether it still fails.
bool hasExcessFailures(const answer_counts &One, const answer_counts &Others);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_ANSWER_TALLY_H
