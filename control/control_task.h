//===- control_task.h - The control role ------------------------*- C++ -*-===//
//
// Serves entries and sidecars (leases, claims, bills, ratings) and the
// operators' interface from the replicated log, and runs the roll-out guard
// while this VM leads.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_CONTROL_TASK_H
#define OLIVEVALVE_CONTROL_CONTROL_TASK_H

#include "base/fields.h"
#include "base/metrics.h"
#include "control/gateway_table.h"
#include "control/node_table.h"
#include "control/operator_api.h"
#include "control/placer.h"
#include "control/quarantine_keeper.h"
#include "control/replicated_log.h"
#include "control/rollout_driver.h"
#include "control/routing_news.h"
#include "control/upstream_news.h"

namespace olivevalve {

struct control_options {
  std::string Address;         ///< For nodes and other control VMs.
  std::string OperatorAddress; ///< HTTP.
  std::vector<std::string> OperatorKeyDigests;
  size_t LoadsAtOnce = 2; ///< Versions that the weight store gives out at once.
  std::string UpstreamListAddress; ///< Empty: gateways ask for themselves.
  replicated_log_options Log;
};

class control_task {
public:
  static absl::StatusOr<std::unique_ptr<control_task>>
  start(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
        control_options Options);

  bool ready() const { return Log->core().leader() != 0; }
  void setPeers(std::vector<control_peer> Peers) {
    Log->setPeers(std::move(Peers));
  }
  /// Stops taking operators' requests; true once those running have ended.
  void drain() { Api->drain(); }
  bool drained() const { return Api->idle(); }
  std::string address() const { return Server.address(); }
  std::string operatorAddress() const { return Api->address(); }

  std::function<void()> OnFailed; ///< The disk failed: the process must end.

private:
  friend class operator_api;
  control_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
               control_options Options);
  void receive(const std::string &Peer, const wire::envelope &Message);
  void onRenew(const std::string &Peer, const wire::renew &Renew);
  void grant(const std::string &Peer, const wire::renew &Renew, double Now);
  void fillEstimates(wire::estimate_table &Table, uint64_t Known) const;
  void redirect(const std::string &Peer);
  void onClaim(const std::string &Peer, const wire::claim &Claim);
  void onFinish(const std::string &Peer, const wire::finish &Finish);
  void onBatch(const std::string &Peer, uint64_t Call, wire::command Command);
  void sendClaimResult(const std::string &Peer, uint64_t Call,
                       const apply_result *Result);
  void onApplied(uint64_t Index, const apply_result &Result);
  void pushConfig();
  void onWatch(const std::string &Peer, const wire::watch &Watch);
  void onRoutingAsk(const std::string &Peer, const wire::routing_ask &Ask);
  void followRouting();
  void sendNotice(const std::string &Peer);
  void countParts(const wire::notice &Notice);
  void tellGateways();
  void pushNotices();
  void hearCrashes(const wire::crash_news &News, double Now);
  void keepQuarantine(double Now);
  void fillQuarantine(uint64_t Held, wire::quarantine_news &News) const;
  void noteEvacuations();
  void noteLeadership();
  void tick();
  void guardVersions(double Now);
  void driveRollouts(double Now);
  void place(double Now);
  bool isLastOfItsModel(const version_name &Name) const;
  void setVersionState(const guard_report &Report, version_state State);
  void stopScopes(const guard_report &Report);
  void changeVersion(const guard_report &Report, std::string_view What,
                     const std::function<void(json &)> &Edit);
  bool leads(double Now) const { return Log->core().hasLeaderLease(Now); }

  struct ev_loop *Loop;
  metrics &Metrics;
  control_options Options;
  placer Placer;
  server_link Server;
  std::unique_ptr<replicated_log> Log;
  std::unique_ptr<operator_api> Api;
  node_table Nodes;
  gateway_table Gateways;
  rollout_driver Rollouts;
  quarantine_keeper Quarantine;
  upstream_news Upstreams;
  routing_news RoutingNews;
  uint64_t LedTerm = 0;
  std::map<std::string, bool> GuardPending;
  std::vector<guard_report> Reports;
  double NextGuard = 0;
  double NextPlacement = 0;
  double NextRollouts = 0;
  double NextFollow = 0; ///< When the newest routing is read into parts again.
  double ToldAt = 0;     ///< Gateways, of changes.
  uint64_t TellsRouting = 0;  ///< Version that gateways were told last.
  uint64_t TellsRollouts = 0; ///< Revision that gateways were told last.
  uint64_t TellsQuarantine = 0;
  uint64_t TellsEvacuations = 0;
  uint64_t EvacuationsInForce = 0; ///< Revision that all gateways hold.
  bool PlacementPending = false;
  timer NewsTimer;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_CONTROL_TASK_H
