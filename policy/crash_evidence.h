//===- crash_evidence.h - Requests that crash upstreams ---------*- C++ -*-===//
//
// A request may crash every upstream that processes it, and its caller may
// retry it at any gateway. The evidence against a request is the set of
// upstreams that crashed while processing it. Reports are merged as a set
// union, so their order, origin and repetition do not matter. A single complete
// response clears the request: a request that crashes upstreams never gets one,
// while a frequent request that was merely in progress during crashes does.
// Pure.
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

/// An upstream crashed while it was processing a request.
struct crash_report {
  short_digest Request{};
  uint64_t Upstream = 0; ///< Incarnation of the upstream.
};

/// Requests that recently got a complete response: a hash table of fixed size
/// in which a newer entry may overwrite an older one.
class answered_requests {
public:
  explicit answered_requests(size_t Capacity) : Table(Capacity) {}

  void add(const short_digest &Request, double Now);
  bool contains(const short_digest &Request, double Now) const;

private:
  struct entry {
    short_digest Request{};
    double Until = 0; ///< Steady-clock seconds.
  };
  size_t indexOf(const short_digest &Request) const {
    return size_t(Request[0] % Table.size());
  }

  std::vector<entry> Table;
};

struct crash_evidence_options {
  /// The number of requests for which evidence is held.
  size_t MaxRequests = 4096;
  /// The number of recently answered requests that are remembered.
  size_t MaxAnsweredRequests = 1 << 14;
};

/// The crash evidence that one process holds. All times are steady-clock
/// seconds.
class crash_evidence {
public:
  /// The number of upstreams that must have crashed for a request to be
  /// quarantined: too many for a coincidence.
  static constexpr size_t CrashesToQuarantine = 3;

  explicit crash_evidence(crash_evidence_options Options = {});

  /// Adds a crash report. Returns false if the report is a duplicate, the
  /// evidence already suffices, or the request was answered recently.
  bool addCrash(const crash_report &Report, double Now);
  /// Records a complete response to the request and clears the evidence against
  /// it. Returns true if there was any.
  bool recordResponse(const short_digest &Request, double Now);
  bool answeredRecently(const short_digest &Request, double Now) const {
    return Answered.contains(Request, Now);
  }
  /// Removes all evidence against the request.
  void clear(const short_digest &Request);
  /// True if the evidence suffices to quarantine the request.
  bool shouldQuarantine(const short_digest &Request, double Now) const;
  /// The incarnations of the upstreams that crashed while processing the
  /// request.
  std::set<uint64_t> crashedUpstreams(const short_digest &Request,
                                      double Now) const;
  /// All requests whose evidence suffices to quarantine them, latest first.
  std::vector<short_digest> requestsToQuarantine(double Now) const;
  /// The number of requests with evidence, including expired evidence.
  size_t size() const { return Records.size(); }

private:
  struct record {
    /// Incarnations, up to the number that is needed for the quarantine.
    std::set<uint64_t> Upstreams;
    double LastAt = 0; ///< When the last upstream was added.
  };
  /// The order of eviction: fewest crashes first, then oldest.
  using order_key = std::tuple<size_t, double, short_digest>;
  static order_key orderOf(const short_digest &Request, const record &Record) {
    return {Record.Upstreams.size(), Record.LastAt, Request};
  }
  bool isCurrent(const record &Record, double Now) const;
  void makeRoom();

  crash_evidence_options Options;
  std::map<short_digest, record> Records;
  std::set<order_key> Order;
  answered_requests Answered;
};

} // namespace olivevalve

#endif // OLIVEVALVE_POLICY_CRASH_EVIDENCE_H
