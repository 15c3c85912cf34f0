//===- control_watch.h - A gateway's connection to control ------*- C++ -*-===//
//
// Keeps the routing, roll-outs and other replicated state of a gateway up to
// date. No lease is involved: a gateway without a connection to control keeps
// serving with what it holds. It polls one control VM at a time, the leader if
// there is one, and switches to another VM if that one does not answer. The
// control VMs are discovered through seed addresses.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_LEASE_CONTROL_WATCH_H
#define OLIVEVALVE_LEASE_CONTROL_WATCH_H

#include "lease/evacuated_halls.h"
#include "lease/routing_fetch.h"
#include "net/link.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace olivevalve {

struct control_watch_options {
  std::string Node;
  uint64_t Incarnation = 0; ///< Differs for each start of the gateway.
  std::string DataHall;
  std::vector<std::string> Seeds; ///< Addresses of control VMs, "IP:port".
};

class control_watch {
public:
  control_watch(link_context &Context, struct ev_loop *Loop,
                control_watch_options Options);

  /// Called before each watch message is sent, to add what the gateway reports.
  std::function<void(wire::watch &)> OnWatch;
  /// Called when a routing with a higher version has come into force.
  std::function<void(const std::shared_ptr<routing_table> &)> OnRouting;
  /// Called with a notice that has newer roll-outs.
  std::function<void(const wire::notice &)> OnRollouts;
  /// Called with every notice; it may list sessions that gateways have reported
  /// as staying on their version.
  std::function<void(const wire::notice &)> OnSessions;
  /// Called with every notice; it may list the quarantined requests.
  std::function<void(const wire::notice &)> OnQuarantine;
  /// Called when the evacuated data halls have changed.
  std::function<void(const evacuated_halls &)> OnEvacuations;
  /// Called when the number of gateways has changed.
  std::function<void(uint32_t Count)> OnGateways;
  /// Called when the addresses at which gateways receive each other's load
  /// updates have changed.
  std::function<void(const std::vector<std::string> &)> OnPeerAddresses;
  /// Called with a notice that names the list of upstreams, as it was \p Age
  /// seconds ago at the platform. The notice may contain the list or the
  /// changes since the one that the gateway holds.
  std::function<void(double Age, const wire::notice &)> OnUpstreams;

  /// Called with a notice in which the leader tells what it knows of usage.
  std::function<void(const wire::notice &)> OnUsageStatus;
  /// Called when the leader tells which retry tokens it has lent.
  std::function<void(const wire::retry_grant &)> OnRetryGrant;

  /// Sends a watch message at once, as the process is about to end.
  void sendLast() { sendWatch(); }
  /// Asks the leader for retry tokens, without a watch message.
  void askForRetries(const wire::retry_ask &Ask);
  /// Version of the routing in force; 0: none yet.
  uint64_t routingVersion() const { return Routing.copy().version(); }
  /// Time up to which the routing in force is certain to be the newest, by this
  /// process's steady clock: the leader sent its last notice then or later. 0
  /// if that notice names a newer version.
  double confirmedAt() const {
    return routingVersion() >= LeaderRoutingVersion ? LeaderSentAt : 0;
  }
  /// True if the leader has answered recently and sends the list of upstreams.
  bool expectsUpstreamList() const;
  /// Seconds since the last message from any control VM.
  double silence() const;
  /// Replaces the seed addresses.
  void setSeeds(std::vector<std::string> Seeds);

private:
  void tick();
  void poll();
  void pollAll();
  void sendWatch();
  void receiveNotice(const std::string &From, const wire::notice &Notice);
  void receivePiece(const std::string &From, const wire::routing_piece &Piece);
  void requestRouting();
  void receiveUpstreams(const wire::notice &Notice);
  void switchToNext();
  std::vector<std::string> knownAddresses() const;
  client_link &linkTo(const std::string &Address);

  link_context &Context;
  struct ev_loop *Loop;
  control_watch_options Options;
  std::map<std::string, std::unique_ptr<client_link>> Links;
  std::vector<std::string> Members; ///< Addresses, from the last notice.
  std::string Current;              ///< Address of the control VM polled.
  double StartedAt;
  /// When the oldest unanswered poll of Current was sent; if all are answered,
  /// the last one. 0: none was sent.
  double PolledAt = 0;
  double AnsweredAt = 0; ///< Of the last notice from Current.
  double LastReceivedAt; ///< Of the last message from any control VM.
  /// The leader's last notice was sent at this time or later.
  double LeaderSentAt = 0;
  uint64_t LeaderRoutingVersion = 0; ///< Named by that notice.
  bool LeaderSendsList = false;      ///< According to that notice.
  routing_fetch Routing;
  uint64_t RolloutsRevision = 0;
  evacuated_halls Evacuated;
  uint32_t Gateways = 0;
  uint64_t GatewaysRevision = 0;
  bool Leaderless = false;    ///< Current has named no leader.
  bool LoggedSilence = false; ///< Control's silence has been logged.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_CONTROL_WATCH_H
