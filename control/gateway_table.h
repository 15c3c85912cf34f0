//===- gateway_table.h - What gateways hold and have seen -------*- C++ -*-===//
//
// One control VM's view of the gateways that ask it: which routing version and
// roll-outs each holds, and the answers it counted by software version. Pure:
// times are passed in.
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

struct gateway_record {
  std::string Node;
  std::string DataHall;
  std::string NewsAddress; ///< Where it hears of other gateways' work, or "".
  uint64_t Incarnation = 0;
  uint64_t RoutingVersion = 0;
  uint64_t RolloutsRevision = 0;
  uint64_t QuarantineRevision = 0;
  uint64_t EvacuationsRevision = 0;
  /// Requests under way, by evacuated data hall.
  std::map<std::string, uint32_t> OpenInHalls;
  double LastSeen = 0;
  double WatchSentAt = 0;         ///< Its last question, by its own clock.
  uint64_t UpstreamsRevision = 0; ///< Of the list that it holds.
  double UpstreamsHadAt = 0;      ///< When that list was true.
  double ToldListAt = 0;          ///< A whole list was sent to it last.
  uint64_t GatewaysRevision = 0;  ///< Of the addresses that it was told.
  double ToldStayingAt = 0; ///< Staying sessions up to then were told to it.
};

class gateway_table {
public:
  void watched(const std::string &Peer, const wire::watch &Watch, double Now);
  /// \p Peer was told the list, or its changes, of this revision; its next
  /// question says whether it has come.
  void toldUpstreams(const std::string &Peer, const wire::notice &Notice,
                     double Now);
  /// This control VM leads from now on: gateways turn to it one after the
  /// other.
  void beginLeadership(double Now);
  /// How many gateways there are; nothing while some may not have asked yet.
  std::optional<uint32_t> count(double Now) const;
  /// Drops gateways that have long said nothing; what they counted stays.
  void forgetSilent(double Now);
  const gateway_record *find(const std::string &Peer) const;
  /// Fills in the sessions that gateways told since \p Peer was told last.
  void fillStaying(const std::string &Peer, double Now, wire::notice &Notice);
  /// Fills in where gateways hear, if \p Peer was told something else.
  void fillAddresses(const std::string &Peer, wire::notice &Notice) const;
  /// How many do not hold this revision of the evacuations.
  size_t behindEvacuations(uint64_t Revision) const;
  /// Requests that all have under way in an evacuated data hall.
  uint64_t openIn(const std::string &DataHall) const;
  const std::map<std::string, gateway_record> &gateways() const {
    return Gateways;
  }
  /// Answers of one version of a service, summed over all gateways' starts.
  version_tally answersOf(std::string_view Service,
                          std::string_view Version) const;
  /// The same of all other versions together.
  version_tally answersOfOthers(std::string_view Service,
                                std::string_view Version) const;

private:
  void forgetEarlierStart(const std::string &Node);

  std::map<std::string, gateway_record> Gateways;
  double CountedFrom = 0; ///< All have asked by then.
  struct staying_session {
    double ToldAt = 0;
    uint64_t Key = 0;
  };
  std::deque<staying_session> Staying; ///< Oldest first.
  using version_key = std::pair<std::string, std::string>;
  /// Each start of a gateway counts from zero and tells its sums.
  std::map<version_key, std::map<uint64_t, version_tally>> Tallies;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_GATEWAY_TABLE_H
