//===- answer_tally.h - Upstreams that fail more than the others -*- C++ -*-==//
//
// An upstream that fails its requests at once, healthy as it looks, seems the
// least loaded and draws most of them. Its answers of the last seconds are held
// against those of the others: what all fail alike is the requests' matter.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_ANSWER_TALLY_H
#define OLIVEVALVE_POLICY_ANSWER_TALLY_H

#include <cstdint>

namespace olivevalve {

/// Answers, and how many of them were failures.
struct answer_counts {
  double Answers = 0;
  double Failures = 0;
};

/// The answers of one upstream; older ones count for less.
class answer_tally {
public:
  void add(uint32_t Answers, uint32_t Failures, double Now);
  answer_counts at(double Now) const;
  /// False: failsMore() is false for it, whatever the others do.
  bool mayFail() const;

private:
  answer_counts Counts;
  double CountedAt = 0;
};

/// True if \p One fails so much more than \p Others of its kind that it should
/// get requests only now and then, to see whether it still does.
bool failsMore(const answer_counts &One, const answer_counts &Others);

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_ANSWER_TALLY_H
