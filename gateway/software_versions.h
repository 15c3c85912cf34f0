//===- software_versions.h - Which software may serve a request -*- C++ -*-===//
//
// A gateway's part in roll-outs of services: which version a request is for,
// and what the answers of each version were like.
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

class software_versions {
public:
  void take(const wire::notice &Notice, upstream_table &Upstreams);
  /// The version that a request is for. \p Pinned: that of its session's last
  /// request, or empty. \p Draw: the same for all requests of a session.
  const std::string &versionFor(const std::string &Service,
                                const std::string &Settled,
                                const std::string &Pinned, uint64_t Draw) const;
  /// True if a session with this \p Draw would be taken over by a canary.
  static bool isCanary(uint64_t Draw);
  /// The version under way to \p Service, or "".
  const std::string &target(const std::string &Service) const;
  /// A version that must get nothing, or "".
  std::string_view barred(const std::string &Service) const;

  void count(const std::string &Service, const std::string &Version,
             bool Failed, double Seconds);
  void fillTallies(wire::watch &Watch) const;

private:
  std::map<std::string, wire::rollout> Rollouts; ///< By service.
  std::map<std::pair<std::string, std::string>, version_tally> Tallies;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_SOFTWARE_VERSIONS_H
