//===- control_task.h - The control role ------------------------*- C++ -*-===//
//
// Serves entries, sidecars and gateways from the replicated log: leases,
// claims, bills, ratings, routing and crash reports. Also provides the
// operators' HTTP interface. While this VM is the leader, it runs the roll-out
// guard, the roll-outs of services and the placement of model versions.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_CONTROL_TASK_H
#define OLIVEVALVE_CONTROL_CONTROL_TASK_H

#include "base/fields.h"
#include "base/metrics.h"
#include "control/duty_driver.h"
#include "control/gateway_table.h"
#include "control/node_table.h"
#include "control/operator_api.h"
#include "control/placer.h"
#include "control/quarantine_manager.h"
#include "control/replicated_log.h"
#include "control/retry_lender.h"
#include "control/rollout_driver.h"
#include "control/routing_publisher.h"
#include "control/upstream_list_publisher.h"

namespace olivevalve {

struct control_options {
  std::string Address;         ///< Listens here for nodes and control VMs.
  std::string OperatorAddress; ///< Listens here for operators' HTTP requests.
  /// Digests of the keys that operators may use; empty: no key is required.
  std::vector<std::string> OperatorKeyDigests;
  /// Number of versions that may be loaded from the weight store at once.
  size_t MaxConcurrentLoads = 2;
  /// Address of the platform's list of upstreams; empty: control does not poll
  /// the list and each gateway fetches it for itself.
  std::string UpstreamListAddress;
  duty_options Duties;
  /// That operators' requests together may make this process hold.
  size_t MaxCallerBytes = defaultCallerBytes();
  /// Of the retries of all gateways. Where the gateways have another bound, the
  /// stricter one holds for what is lent.
  retry_window_bounds Retries;
  exposure_bound Exposure; ///< Of roll-outs of services.
  replicated_log_options Log;
};

class control_task {
public:
  /// Errors: BadConfiguration if an address cannot be bound, StorageFailed if
  /// the data folder cannot be read.
  static absl::StatusOr<std::unique_ptr<control_task>>
  start(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
        control_options Options);

  /// True if this VM knows the current leader, which may be itself.
  bool ready() const { return Log->core().leader() != 0; }
  void setPeers(std::vector<control_peer> Peers) {
    Log->setPeers(std::move(Peers));
  }
  /// Stops accepting operators' requests. drained() is true once the requests
  /// in progress have been answered.
  void drain() { Api->drain(); }
  bool drained() const { return Api->idle(); }
  std::string address() const { return Server.address(); }
  std::string operatorAddress() const { return Api->address(); }
  const caller_pool &callers() const { return Api->callers(); }

  /// Called when the disk has failed; the process must terminate.
  std::function<void()> OnFailed;

private:
  friend class operator_api;
  control_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
               control_options Options);
  void receive(const std::string &Peer, const wire::envelope &Message);
  void onRenew(const std::string &Peer, const wire::renew &Renew);
  void grant(const std::string &Peer, const wire::renew &Renew, double Now);
  void fillEstimates(wire::estimate_table &Table, uint64_t HeldIndex) const;
  void redirect(const std::string &Peer);
  void onClaim(const std::string &Peer, const wire::claim &Claim);
  void onFinish(const std::string &Peer, const wire::finish &Finish);
  void onBatch(const std::string &Peer, uint64_t Call, wire::command Command);
  void sendClaimResult(const std::string &Peer, uint64_t Call,
                       const apply_result *Result);
  void onApplied(uint64_t Index, const apply_result &Result);
  void pushConfig();
  void onWatch(const std::string &Peer, const wire::watch &Watch);
  void onRoutingRequest(const std::string &Peer,
                        const wire::routing_ask &Request);
  void updateRouting();
  void onRetryAsk(const std::string &Peer, const wire::retry_ask &Ask);
  /// \p Loans: null, or the tokens lent to the gateway.
  void sendNotice(const std::string &Peer, wire::retry_grant *Loans = nullptr);
  void countNoticeBytes(const wire::notice &Notice);
  void scheduleNotices();
  void sendAllNotices();
  void receiveCrashReports(const wire::crash_news &Crashes, uint64_t Sender,
                           double Now);
  void proposeQuarantineChanges(double Now);
  void fillQuarantine(uint64_t HeldRevision,
                      wire::quarantine_news &Update) const;
  void logEvacuationsInForce();
  void checkLeadership();
  void tick();
  void publishGroupMetrics(double Now);
  void guardVersions(double Now);
  void driveRollouts(double Now);
  void recordFormerVersions();
  void reportRollout(const rollout_judgement &Judgement);
  void proposePlacement(double Now);
  bool isLastOfItsModel(const version_name &Name) const;
  void setVersionState(const guard_report &Report, version_state State);
  void stopScopes(const guard_report &Report);
  void changeVersion(const guard_report &Report, std::string_view Change,
                     const std::function<void(json &)> &Edit);
  bool leads(double Now) const { return Log->hasLeaderLease(Now); }

  struct ev_loop *Loop;
  metrics &Metrics;
  control_options Options;
  placer Placer;
  server_link Server;
  std::unique_ptr<replicated_log> Log;
  std::unique_ptr<operator_api> Api;
  std::unique_ptr<duty_driver> Duties;
  node_table Nodes;
  gateway_table Gateways;
  rollout_driver Rollouts;
  quarantine_manager Quarantine;
  retry_lender Lender;
  upstream_list_publisher Upstreams;
  routing_publisher RoutingPublisher;
  uint64_t LedTerm = 0;
  std::map<std::string, bool> GuardPending;
  std::vector<guard_report> Reports;
  double NextGuard = 0;
  double NextPlacement = 0;
  double NextQuarantine = 0;
  double NextRollouts = 0;
  /// When the newest routing is next encoded, even if no gateway requests it.
  double NextRoutingUpdate = 0;
  double NoticesSentAt = 0; ///< When notices last went to all gateways.
  // Versions and revisions in the notices last sent to all gateways.
  uint64_t SentRoutingVersion = 0;
  uint64_t SentRolloutsRevision = 0;
  uint64_t SentQuarantineRevision = 0;
  uint64_t SentEvacuationsRevision = 0;
  /// Newest revision that all gateways hold, as logged.
  uint64_t EvacuationsInForce = 0;
  bool PlacementPending = false;
  timer NoticeTimer;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_CONTROL_TASK_H
