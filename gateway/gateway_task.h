//===- gateway_task.h - The gateway role ------------------------*- C++ -*-===//
//
// Forwards callers' requests for plain HTTP services to the upstreams in the
// platform's list, according to the routing configuration that control keeps.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_GATEWAY_TASK_H
#define OLIVEVALVE_GATEWAY_GATEWAY_TASK_H

#include "gateway/forwarding.h"
#include "gateway/upstream_list_copy.h"
#include "lease/control_watch.h"
#include "platform/list_client.h"
#include "policy/connection_share.h"
#include <optional>
#include <unordered_map>

namespace olivevalve {

/// Settings of a gateway.
struct gateway_options {
  std::string Node;
  std::string DataHall;
  std::string Address; ///< For callers.
  /// For reports of other gateways; empty: none are exchanged.
  std::string PeerAddress;
  std::string UpstreamListAddress; ///< The platform's list.
  std::vector<std::string> ControlSeeds;
  retry_window_bounds Retries; ///< For all gateways together.
  shared_bound Cold;           ///< Of cold upstreams.
  /// Of upstreams that state a limit.
  shared_bound Limit{
      .Ratio = 1.5, .Slack = 5, .WindowSeconds = 4, .ProbePart = 0.1};
  /// How long after the start requests are parked until the routing
  /// configuration and the list are received. After a loss of all VMs control
  /// first has to elect a leader.
  double StartSeconds = 2.5;
  /// Length of the windows in which requests are counted; 0: they are not.
  double UsageWindowSeconds = 0;
  double SessionSeconds = 5; ///< Longest pause between requests of a session.
  double ListSeconds = 2;    ///< Between polls of the platform's list.
  /// Learns how fast each upstream is, where upstreams tell of the moment.
  bool UpstreamPace = false;
  size_t MaxConnections = 2500; ///< Of callers.
  /// That callers together may make this process hold.
  size_t MaxCallerBytes = defaultCallerBytes();
  /// Upstreams keep shared prefixes by their rates.
  bool EngineMemory = false;
  account_share_options Shares; ///< Of client accounts.
};

/// Serves callers and owns all state of the gateway.
class gateway_task : public caller_host,
                     public upstream_connections,
                     public forwarding_host {
public:
  gateway_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
               gateway_options Options);
  ~gateway_task() override;

  bool bind() { return Peers.bind() && Listener.bind(Options.Address); }
  std::string address() const { return Listener.address(); }
  const caller_pool &callers() const { return Callers; }
  /// True once the routing configuration and the list have been received.
  bool ready() const { return State.Routing && ListReceived; }
  /// From now on, responses announce that their connection closes.
  void beginStop() { Stopping = true; }
  /// Accepts no more connections and refuses new requests.
  void drain();
  bool drained() const { return Requests.empty(); }
  /// Ends the requests that are still in flight and tells control what was
  /// counted last.
  void leave();
  void setSeeds(std::vector<std::string> Seeds) {
    Watch.setSeeds(std::move(Seeds));
  }

private:
  const caller_limits &limits() const override;
  bool closesAfterAnswer() const override { return Stopping; }
  void onRequest(caller_connection &Connection, http_head Head,
                 std::string Body) override;
  void onMalformed(int Status, std::string_view Why) override;
  void ended(caller_connection &Connection) override;

  void released(upstream_connection &Connection) override;
  void responseEnded(const upstream_connection &Connection,
                     std::string_view How) override;
  void ended(upstream_connection &Connection) override;
  upstream_connection *acquire(const std::shared_ptr<upstream> &Upstream,
                               connection_kind Kind) override;

  bool parkUntilReady(forwarding &Request) override;
  void parkUntilRetryToken(forwarding &Request, double Seconds) override;
  void resumeParked();
  void resumedAfterPause(double Seconds);
  bool isCurrent();
  void sweep();
  double maxListAge() const;
  double listPollDelay() const;
  void pollList();
  void applyControlList(double Age, const wire::notice &Notice);
  void applyList(double ReadAt);
  void applyUsageStatus(const wire::notice &Notice);
  void fillRetryAsk(wire::retry_ask &Ask);
  void askForRetries();
  void applyRetryGrant(const wire::retry_grant &Grant);
  void abortRequests();
  void limitHeldResponses();
  void applyRouting(const std::shared_ptr<routing_table> &Routing);
  void assumeCold(upstream &Upstream) const;
  void setGatewayCount(uint32_t Gateways);
  std::optional<connection_use> connectionUse(const upstream &Upstream) const;
  uint32_t connectionsFor(const upstream &Upstream) const;
  void returnIdleConnections(double Now);
  void forgetIdle(upstream_connection &Connection);

  struct ev_loop *Loop;
  gateway_options Options;
  uint64_t Incarnation;
  gateway_state State;
  crash_reports Reports;
  crash_watch Crashes;
  peer_work Peers;
  tcp_listener Listener;
  control_watch Watch;
  platform::list_client List;
  caller_pool Callers;
  std::unordered_map<upstream_connection *,
                     std::unique_ptr<upstream_connection>>
      UpstreamConnections;
  std::unordered_map<forwarding *, std::shared_ptr<forwarding>> Requests;
  /// Requests parked until this gateway's data is current.
  std::vector<std::weak_ptr<forwarding>> Parked;
  /// Requests parked until the leader lends a retry token, oldest first.
  std::vector<std::weak_ptr<forwarding>> AwaitingRetryTokens;
  double StartDeadline = 0; ///< While starting, requests are parked until then.
  /// When the process resumed after a pause; 0: its data is current.
  double ResumedAt = 0;
  // Destroyed before the event loop's next wait: neither may be destroyed
  // within its own callback.
  std::vector<std::unique_ptr<upstream_connection>> ClosedConnections;
  std::vector<std::shared_ptr<forwarding>> FinishedRequests;
  upstream_copy Listed;
  /// When the list that is held was read from the platform.
  double ListReadAt = 0;
  /// From 0 to below 1, at random: spreads the polls of the gateways.
  double ListPhase = 0;
  double ListPeriod = 0; ///< Seconds between polls of the platform by control.
  double ListRetryDelay; ///< Seconds to wait after a failed poll.
  bool ListReceived = false;
  bool Stopping = false;
  bool Draining = false; ///< New requests are refused.
  /// Requests refused before they were complete, since the last such log line.
  uint64_t UnloggedMalformed = 0;
  double MalformedLoggedAt = 0;
  timer SweepTimer;
  timer ListTimer;
  timer CatchUpTimer;
  timer RetryAskTimer;
  before_wait Prepare;
  pause_detector Pauses;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_GATEWAY_TASK_H
