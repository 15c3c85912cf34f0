//===- software_versions.h - Software version for a request -----*- C++ -*-===//
//
// A gateway's part in the roll-outs of services: selects the software version
// for each request, and counts the responses of each version.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H
#define OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H

#include "policy/service_guard.h"
#include "wire/wire.pb.h"
#include <map>
#include <string>
#include <string_view>
#include <utility>

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
  const std::string &versionFor(const std::string &Service,
                                const std::string &Stable,
                                const std::string &Pinned,
                                uint64_t SessionHash) const;
  /// True if a session with this hash is in the share served by a canary.
  static bool isCanary(uint64_t SessionHash);
  /// The version being rolled out to \p Service, or "".
  const std::string &target(const std::string &Service) const;
  /// A reverted version, which must get no requests, or "".
  std::string_view revertedVersion(const std::string &Service) const;

  /// Counts a response that took \p Seconds.
  void count(const std::string &Service, const std::string &Version,
             bool Failed, double Seconds);
  /// Adds the counts to a message for control.
  void fillTallies(wire::watch &Watch) const;

private:
  std::map<std::string, wire::rollout> Rollouts; ///< By service.
  /// By service and version.
  std::map<std::pair<std::string, std::string>, version_tally> Tallies;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H
