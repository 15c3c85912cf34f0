//===- software_versions.h - Software version for a request -----*- C++ -*-===//
//
// A gateway's part in the roll-outs of services: selects the software version
// for each request, and counts the responses of each version.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H
#define OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H

#include "platform/upstream_list.h"
#include "policy/service_guard.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace olivevalve {

class upstream_table;

/// Roll-outs of all services, and counts of the responses of each version.
class software_versions {
public:
  /// Applies the roll-outs in \p Notice, and updates the stable versions in \p
  /// Upstreams.
  void apply(const wire::notice &Notice, upstream_table &Upstreams);
  /// The version that a request is for. \p Stable: the stable version. \p
  /// Pinned: version of the session's last request, or empty. \p SessionHash:
  /// see sessionHash().
  /// \p Share: of the new sessions that a canary gets, see canaryShare().
  const std::string &versionFor(const std::string &Service,
                                const std::string &Stable,
                                const std::string &Pinned, uint64_t SessionHash,
                                double Share) const;
  /// True if a session with this hash is in the share served by a canary.
  static bool isCanary(uint64_t SessionHash, double Share);
  /// The version being rolled out to \p Service, or "".
  const std::string &target(const std::string &Service) const;
  /// A reverted version, which must get no requests, or "".
  std::string_view revertedVersion(const std::string &Service) const;

  /// True if \p Version is being rolled out to the service and has the requests
  /// of a few sessions only.
  bool isCanaryVersion(const std::string &Service,
                       const std::string &Version) const;

  /// Counts a request that is sent to the version.
  void countSent(const std::string &Service, const std::string &Version);
  /// Counts a response that took \p Seconds.
  void count(const std::string &Service, const std::string &Version,
             bool Failed, double Seconds);
  /// Counts a response that failed or was timed. \p Pace: the time that it
  /// took, relative to the usual one of its class. Responses of the version
  /// that is being rolled out are counted by upstream.
  void countFailure(const platform::listed_upstream &Upstream, uint64_t Key);
  void countPace(const platform::listed_upstream &Upstream, uint64_t Key,
                 double Pace);
  /// The same for one in progress, \p Late already or not. It counts in the
  /// next message only. Without those that are not late, the first responses
  /// that count would be late ones, as the others count when they end.
  void countInProgress(const platform::listed_upstream &Upstream, uint64_t Key,
                       bool Late);
  /// True if a response with this pace is much slower than usual.
  static bool isLate(double Pace);
  /// Adds the counts to a message for control.
  void fillTallies(wire::watch &Watch);

private:
  /// Service, version, and the key of the upstream or 0.
  using tally_key = std::tuple<std::string, std::string, uint64_t>;
  tally_key keyOf(const platform::listed_upstream &Upstream,
                  uint64_t Key) const;
  void addUpUpstreams(const std::string &Service, const std::string &Version);

  std::map<std::string, wire::rollout> Rollouts; ///< By service.
  std::map<tally_key, version_tally> Tallies;
  /// Responses in progress, of which only Judged and Bad are counted.
  std::map<tally_key, version_tally> InProgress;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H
