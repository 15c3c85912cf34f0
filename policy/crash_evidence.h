//===- crash_evidence.h - Requests that upstreams end under -----*- C++ -*-===//
//
// A request may crash every upstream that runs it, and comes again at any
// gateway. What speaks against it is the set of upstreams that ended while they
// had it: a union, so that it does not matter who tells it, in which order or
// how often. What speaks for it is one whole answer: such a request never gets
// one, while a popular one that upstreams only happen to end under does. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_POLICY_CRASH_EVIDENCE_H
#define OLIVEVALVE_POLICY_CRASH_EVIDENCE_H

#include "base/digest.h"
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace olivevalve {

/// An upstream ended while it had a request.
struct crash_report {
  short_digest Request{};
  uint64_t Upstream = 0; ///< Its incarnation.
};

/// Requests that got a whole answer lately. The memory is fixed: a newer one
/// may take the place of an older one.
class answered_requests {
public:
  explicit answered_requests(size_t Places) : Table(Places) {}

  void add(const short_digest &Request, double Now);
  bool contains(const short_digest &Request, double Now) const;

private:
  struct place {
    short_digest Request{};
    double Until = 0; ///< Steady seconds.
  };
  size_t placeOf(const short_digest &Request) const {
    return size_t(Request[0] % Table.size());
  }

  std::vector<place> Table;
};

struct crash_evidence_options {
  size_t MostRequests = 4096;        ///< That some upstream ended under.
  size_t AnsweredRequests = 1 << 14; ///< Remembered as such.
};

class crash_evidence {
public:
  /// So many upstreams that end under one request are no coincidence.
  static constexpr size_t EndsToConvict = 3;

  explicit crash_evidence(crash_evidence_options Options = {});

  /// True if this is new, and the request was not answered lately.
  bool ended(const crash_report &Report, double Now);
  /// A whole answer came. True if something spoke against the request.
  bool answered(const short_digest &Request, double Now);
  bool answeredLately(const short_digest &Request, double Now) const {
    return Answered.contains(Request, Now);
  }
  /// Drops all that speaks against it.
  void forget(const short_digest &Request);
  bool convicted(const short_digest &Request, double Now) const;
  /// Upstreams that ended under it.
  std::set<uint64_t> endsUnder(const short_digest &Request, double Now) const;
  std::vector<short_digest> allConvicted(double Now) const;
  size_t size() const { return Records.size(); }

private:
  struct record {
    std::set<uint64_t> Upstreams; ///< EndsToConvict at most.
    double LastAt = 0;
  };
  /// Those with the fewest ends go first, of equals the oldest.
  using order_key = std::tuple<size_t, double, short_digest>;
  static order_key orderOf(const short_digest &Request, const record &Record) {
    return {Record.Upstreams.size(), Record.LastAt, Request};
  }
  bool holds(const record &Record, double Now) const;
  void makeRoom();

  crash_evidence_options Options;
  std::map<short_digest, record> Records;
  std::set<order_key> Order;
  answered_requests Answered;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_CRASH_EVIDENCE_H
