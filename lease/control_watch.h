//===- control_watch.h - A gateway's tie to control -------------*- C++ -*-===//
//
// Keeps routing and roll-outs of a gateway up to date without a lease: a
// gateway that is cut off serves on with what it holds. Asks one control VM at
// a time, the leader if it is known, and goes on to another when that one is
// silent. Members are found through seeds.
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
  uint64_t Incarnation = 0;
  std::string DataHall;
  std::vector<std::string> Seeds; ///< Where control VMs listen, "IP:port".
};

class control_watch {
public:
  control_watch(link_context &Context, struct ev_loop *Loop,
                control_watch_options Options);

  /// Fills in what was counted, before each question.
  std::function<void(wire::watch &)> OnAsk;
  /// A routing with a higher version than any before is in force.
  std::function<void(const std::shared_ptr<routing_table> &)> OnRouting;
  std::function<void(const wire::notice &)> OnRollouts;
  /// A session that no canary must take over, as another gateway told.
  std::function<void(uint64_t Key)> OnStaying;
  /// What a control VM knows of requests that are to go to no upstream.
  std::function<void(const wire::notice &)> OnQuarantine;
  /// The evacuated data halls are not what they were.
  std::function<void(const evacuated_halls &)> OnEvacuations;
  /// How many gateways there are, whenever that has changed.
  std::function<void(uint32_t Count)> OnGateways;
  /// Where all of them hear of each other's work, whenever that has changed.
  std::function<void(const std::vector<std::string> &)> OnNewsAddresses;
  /// The leader knows the platform's list of upstreams as it was \p Age seconds
  /// ago, and names it and what has changed in the notice.
  std::function<void(double Age, const wire::notice &)> OnUpstreams;

  uint64_t routingVersion() const { return Routing.copy().version(); }
  /// When the leader said what this node has in force, on this node's steady
  /// clock and no later than it did; 0: it has named a newer routing since.
  double currentAt() const {
    return routingVersion() >= LeaderVersion ? LeaderSaidAt : 0;
  }
  /// The leader was heard lately, and will tell the list of upstreams.
  bool listComes() const;
  /// Seconds since a control VM was last heard; for logs.
  double silence() const;
  void setSeeds(std::vector<std::string> Seeds);

private:
  void tick();
  void ask();
  void askAll();
  void send();
  void receive(const std::string &From, const wire::notice &Notice);
  void receivePiece(const std::string &From, const wire::routing_piece &Piece);
  void askForRouting();
  void hearUpstreams(const wire::notice &Notice);
  void moveOn();
  std::vector<std::string> known() const;
  client_link &linkTo(const std::string &Address);

  link_context &Context;
  struct ev_loop *Loop;
  control_watch_options Options;
  std::map<std::string, std::unique_ptr<client_link>> Links;
  std::vector<std::string> Members; ///< As the last notice told.
  std::string Current;
  double StartedAt;
  double AskedAt = 0;
  double HeardAt = 0;         ///< From the VM that is asked now.
  double LastHeard;           ///< From any.
  double LeaderSaidAt = 0;    ///< Its newest notice was sent then or later.
  uint64_t LeaderVersion = 0; ///< Of the routing, in that notice.
  bool TellsList = false;     ///< The leader, in that notice.
  routing_fetch Routing;
  uint64_t RolloutsRevision = 0;
  evacuated_halls Evacuated;
  uint32_t Gateways = 0;
  uint64_t GatewaysRevision = 0;
  bool Leaderless = false; ///< The VM asked now does not know who leads.
  bool Lost = false;       ///< Logged as lost.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_LEASE_CONTROL_WATCH_H
