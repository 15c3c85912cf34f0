//===- gateway_table.h - State of the gateways ------------------*- C++ -*-===//
//
// One control VM's record of the gateways that poll it: the versions of the
// routing, roll-outs and other state that each holds, and the answers each has
// counted by software version. Pure: times are passed in, in steady seconds.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_GATEWAY_TABLE_H
#define OLIVEVALVE_CONTROL_GATEWAY_TABLE_H

#include "policy/service_guard.h"
#include "wire/wire.pb.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace olivevalve {

/// One gateway, as of its last watch message. Revisions are those that the
/// gateway holds; 0: none yet.
struct gateway_record {
  std::string Node;
  std::string DataHall;
  /// Where it receives the load updates of other gateways; empty: nowhere.
  std::string PeerUpdateAddress;
  uint64_t Incarnation = 0; ///< Differs for each start of the gateway.
  uint64_t RoutingVersion = 0;
  uint64_t RolloutsRevision = 0;
  uint64_t QuarantineRevision = 0;
  uint64_t EvacuationsRevision = 0;
  /// Requests in flight, by evacuated data hall.
  std::map<std::string, uint32_t> OpenRequestsByHall;
  double LastSeen = 0;
  double WatchSentAt = 0; ///< Of the last watch message, by its own clock.
  /// Names the list of upstreams that it holds.
  uint64_t UpstreamsRevision = 0;
  /// When that list was current at the platform.
  double UpstreamsFetchedAt = 0;
  /// When the complete list of upstreams was last sent to it; 0: never.
  double FullListSentAt = 0;
  /// Names the set of gateways' addresses that it holds.
  uint64_t GatewaysRevision = 0;
  /// The sessions reported up to this time have been sent to it.
  double SessionsSentAt = 0;
};

class gateway_table {
public:
  /// Records a watch message from \p Peer, with the tallies in it.
  void recordWatch(const std::string &Peer, const wire::watch &Watch,
                   double Now);
  /// Records that the list of upstreams in \p Notice, or its changes, was sent
  /// to \p Peer. Whether it arrived shows in the next watch message of \p Peer.
  void recordListSent(const std::string &Peer, const wire::notice &Notice,
                      double Now);
  /// Records that this control VM is the leader from now on. Gateways switch to
  /// a new leader one after the other, so their number is not valid at first.
  void beginLeadership(double Now);
  /// Number of gateways; none while some may not have polled this VM yet.
  std::optional<uint32_t> count(double Now) const;
  /// Removes gateways that have not polled for a long time, and sessions
  /// reported long ago. Tallies are kept.
  void forgetSilent(double Now);
  /// The gateway with link name \p Peer, or null.
  const gateway_record *find(const std::string &Peer) const;
  /// Adds the sessions that gateways have reported as staying on their version
  /// since \p Peer was last sent any.
  void fillSessions(const std::string &Peer, double Now, wire::notice &Notice);
  /// Adds the addresses at which gateways receive each other's load updates, if
  /// \p Peer holds a different set. Always sets their revision.
  void fillAddresses(const std::string &Peer, wire::notice &Notice) const;
  /// Number of gateways that do not hold \p Revision of the evacuations yet.
  size_t countBehindEvacuations(uint64_t Revision) const;
  /// Requests in flight in an evacuated data hall, summed over all gateways.
  uint64_t openRequestsIn(const std::string &DataHall) const;
  /// All gateways, by the name of their link.
  const std::map<std::string, gateway_record> &gateways() const {
    return Gateways;
  }
  /// Answers of one version of a service, summed over all gateways and all of
  /// their starts.
  version_tally answersOf(std::string_view Service,
                          std::string_view Version) const;
  /// The same by upstream, for those of which gateways report it.
  std::map<uint64_t, version_tally>
  answersByUpstream(std::string_view Service, std::string_view Version) const;
  /// The same, summed over all other versions of the service.
  version_tally answersOfOthers(std::string_view Service,
                                std::string_view Version) const;

private:
  void removeEarlierStart(const std::string &Node);

  std::map<std::string, gateway_record> Gateways;
  /// By then all gateways have polled this VM.
  double CountValidFrom = 0;
  struct reported_session {
    double ReportedAt = 0;
    uint64_t Key = 0;
    bool IsCanary = false; ///< On the version that is being rolled out.
  };
  /// Sessions that stay on their version; oldest first.
  std::deque<reported_session> Sessions;
  using version_key = std::pair<std::string, std::string>;
  /// By version and gateway start. Each start of a gateway counts from zero and
  /// reports running totals.
  struct tally_source {
    uint64_t Gateway = 0;  ///< Its incarnation.
    uint64_t Upstream = 0; ///< Its key; 0: several together.
    auto operator<=>(const tally_source &) const = default;
  };
  std::map<version_key, std::map<tally_source, version_tally>> Tallies;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_GATEWAY_TABLE_H
