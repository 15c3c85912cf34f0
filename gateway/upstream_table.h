//===- upstream_table.h - Upstreams that a gateway uses ---------*- C++ -*-===//
//
// The upstreams of the platform's list, with what this gateway holds about
// each: its own requests in flight, the load that the upstream last reported,
// and failures.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_UPSTREAM_TABLE_H
#define OLIVEVALVE_GATEWAY_UPSTREAM_TABLE_H

#include "platform/headers.h"
#include "platform/upstream_list.h"
#include "policy/answer_tally.h"
#include "policy/request_limit.h"
#include "policy/shared_rate.h"
#include "policy/slowdown.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace olivevalve {

class upstream_connection;

/// Requests that one or more gateways have at an upstream.
struct upstream_work {
  /// Upstream time for prompts whose prefill is not done.
  double PrefillSeconds = 0;
  uint32_t InFlight = 0;
  uint32_t Connections = 0;
};

/// One incarnation of an upstream: a process from its start to its end.
struct upstream {
  /// Its entry in the platform's list.
  platform::listed_upstream Listed;
  bool Gone = false;      ///< No longer listed.
  bool Evacuated = false; ///< Its whole data hall is evacuated.
  /// Key of the incarnation, the same at all gateways; orders the upstreams of
  /// a service.
  uint64_t Key = 0;
  /// Requests of this gateway in flight.
  uint32_t InFlight = 0;
  /// Upstream time for own prompts whose prefill is not done.
  double PrefillSeconds = 0;
  /// Open connections of this gateway.
  uint32_t Connections = 0;
  /// Idle keep-alive connections, the last used one at the end.
  std::vector<upstream_connection *> Idle;
  /// To all gateways that report to this one, and to itself.
  answer_tally Answers;
  /// How long work takes there, as it has told this gateway and others.
  slowdown_estimate Slowdown;
  /// The request limit that the upstream states.
  request_limit Limit;
  /// The last stated limit that could not be read.
  std::string MalformedLimit;
  /// Spaces this gateway's requests while the upstream takes few.
  request_pacer Pacer;

  /// Estimated number of requests that run or wait at the upstream: the load
  /// that it last reported, corrected by what this gateway and those that
  /// report to it have sent and completed since. \p Others: requests that the
  /// reporting gateways have in flight there now.
  double load(double Now, uint32_t Others = 0) const;
  /// The last reported load is recent enough to estimate the present one.
  bool hasFreshLoad(double Now) const;
  /// Failed recently, or presumed crashed: selected only if no other is left.
  bool suspect(double Now) const {
    return Now < SuspectUntil || presumedCrashed(Now);
  }
  /// Presumed crashed, because a connection was refused or another gateway
  /// reported it.
  bool presumedCrashed(double Now) const { return Now < PresumedCrashedUntil; }
  /// Presumes the upstream crashed until the list should show whether it is.
  void presumeCrashed(double Now);
  /// Failed in the last seconds and has not responded since.
  bool unrecovered(double Now) const {
    return ConsecutiveFailures > 0 && Now < UnrecoveredUntil;
  }
  /// Records a reported load. \p Load: requests that ran or waited at the
  /// upstream. \p Others: requests that the reporting gateways have in flight
  /// there now.
  void recordLoad(uint32_t Load, double Now, uint32_t Others = 0);
  /// Records that the upstream gave no response or an invalid one.
  void recordFailure(double Now);
  /// Records a response: the upstream is alive.
  void recordResponse();
  /// Records that the upstream has announced that it is leaving.
  void markLeaving() { AnnouncedLeaving = true; }
  /// Sends no requests from this gateway for \p Seconds, up to a limit, as the
  /// upstream asked with Retry-After.
  void backOff(double Seconds, double Now);
  /// End of the backoff; in the past: the upstream is not backing off.
  double backoffUntil() const { return BackoffUntil; }
  /// Stops soon, as planned, and takes no new requests.
  bool leaving() const { return AnnouncedLeaving || Listed.Leaving; }
  /// Takes new requests now; how many is up to permitFor().
  bool acceptsRequests(double Now) const {
    return acceptsAfterBackoff() && Now >= BackoffUntil;
  }
  /// May still be sent a request that was assigned to it at \p AssignedAt:
  /// takes requests, and has begun to take few only before that.
  bool stillAccepts(double AssignedAt, double Now) const;
  /// Just started and able to take few requests: listed as cold, or assumed to
  /// be.
  bool cold(double Now) const;
  /// Assumes the upstream cold for \p Seconds from \p Now, up to a limit, for
  /// the time until the list can show it.
  void assumeCold(double Seconds, double Now);
  /// May be sent requests now or after its backoff.
  bool acceptsAfterBackoff() const { return !Gone && !leaving() && !Evacuated; }

private:
  friend class upstream_table;
  void list(platform::listed_upstream Entry, double Now);

  /// Start of the present cold period in the list; 0: not listed as cold.
  double ListedColdAt = 0;
  double AssumedColdUntil = 0;
  /// Requests that ran or waited at the last report.
  uint32_t ReportedLoad = 0;
  /// 0: nothing was reported yet.
  double ReportedAt = 0;
  /// Of that load, requests of this gateway and those that report to it.
  uint32_t KnownAtReport = 0;
  double SuspectUntil = 0;
  double UnrecoveredUntil = 0;
  double PresumedCrashedUntil = 0;
  double BackoffUntil = 0;
  unsigned ConsecutiveFailures = 0;
  /// By the upstream itself, before the list shows it.
  bool AnnouncedLeaving = false;
};

/// All upstreams of the list, and the stable software version of each service.
class upstream_table {
public:
  /// Applies a complete list. Returns the upstreams that are gone since the
  /// last one. An id listed with a later start is a new incarnation, which
  /// inherits nothing; the old one is returned as gone. An entry with an
  /// earlier start than the one held is out of date and ignored.
  std::vector<std::shared_ptr<upstream>>
  update(std::vector<platform::listed_upstream> List, double Now);
  /// The upstreams of \p Service in the order of their keys; empty: none.
  const std::vector<std::shared_ptr<upstream>> &
  ofService(const std::string &Service) const;
  /// All upstreams by incarnation id.
  const std::map<std::string, std::shared_ptr<upstream>> &all() const {
    return ById;
  }
  /// The listed upstream with this key; null: none.
  std::shared_ptr<upstream> at(uint64_t Key) const;
  bool has(uint64_t Key) const { return ByKey.contains(Key); }
  /// Another gateway reported that this upstream crashed: presumes so until the
  /// list shows it. Returns false and changes nothing if it is not listed, or
  /// if too many upstreams of its service are presumed crashed already; then
  /// each gateway detects crashes on its own.
  bool presumeCrashed(uint64_t Key, double Now);
  /// Evacuates these data halls and no others. Returns the upstreams that were
  /// evacuated and no longer are.
  std::vector<std::shared_ptr<upstream>>
  setEvacuated(std::set<std::string, std::less<>> DataHalls);
  /// True if the service has upstreams and all of them are evacuated.
  bool allEvacuated(const std::string &Service) const;
  /// This gateway's requests in flight in each evacuated data hall.
  std::map<std::string, uint32_t> openInEvacuated() const;
  /// The stable software version of the service: the one set, or else the one
  /// that most of its upstreams had when the service was first listed, without
  /// those of the unstable version; empty if neither is known.
  const std::string &stableVersion(const std::string &Service) const;
  /// Makes \p Version the stable one.
  void setStableVersion(const std::string &Service,
                        const std::string &Version) {
    StableVersions[Service] = Version;
  }
  /// \p Version is being rolled out or was reverted, and the version before it
  /// is not known: if it was taken for the stable one, another one is chosen,
  /// now or once one is listed.
  void setUnstableVersion(const std::string &Service,
                          const std::string &Version);

private:
  void chooseStableVersion(const std::string &Service);
  std::shared_ptr<upstream> incarnationOf(platform::listed_upstream Listed,
                                          double Now) const;

  std::map<std::string, std::shared_ptr<upstream>> ById;
  std::map<std::string, std::vector<std::shared_ptr<upstream>>> ByService;
  std::map<std::string, std::string> StableVersions;   ///< By service.
  std::map<std::string, std::string> UnstableVersions; ///< By service.
  std::unordered_map<uint64_t, std::shared_ptr<upstream>> ByKey;
  std::set<std::string, std::less<>> EvacuatedHalls;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_UPSTREAM_TABLE_H
