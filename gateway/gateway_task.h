//===- gateway_task.h - The gateway role ------------------------*- C++ -*-===//
//
// Takes callers' requests for plain HTTP services and passes them to upstreams
// of the platform's list, under the routing configuration that control keeps.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_GATEWAY_GATEWAY_TASK_H
#define OLIVEVALVE_GATEWAY_GATEWAY_TASK_H

#include "gateway/forwarding.h"
#include "gateway/upstream_copy.h"
#include "lease/control_watch.h"
#include "platform/list_client.h"
#include <unordered_map>

namespace olivevalve {

struct gateway_options {
  std::string Node;
  std::string DataHall;
  std::string Address;     ///< For callers.
  std::string NewsAddress; ///< For news of other gateways' work; or empty.
  std::string UpstreamListAddress; ///< The platform's list.
  std::vector<std::string> ControlSeeds;
  retry_window_bounds Retries; ///< Of all gateways together.
  cold_bounds Cold;            ///< Of all gateways together.
  /// How long after its start callers are held until the configuration is
  /// known. After a loss of all VMs control has to elect first.
  double StartSeconds = 2.5;
  double SessionSeconds = 5;    ///< Requests of a session follow within this.
  double ListSeconds = 2;       ///< Between two questions for the list.
  size_t MaxConnections = 2500; ///< Of callers.
};

class gateway_task : public caller_host,
                     public upstream_connections,
                     public forwarding_host {
public:
  gateway_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
               gateway_options Options);
  ~gateway_task() override;

  bool bind() { return Peers.bind() && Listener.bind(Options.Address); }
  std::string address() const { return Listener.address(); }
  bool ready() const { return State.Routing && ListKnown; }
  /// Answers say from now on that their connection closes.
  void beginStop() { Stopping = true; }
  /// No new connections or requests.
  void drain();
  bool drained() const { return Requests.empty(); }
  /// Ends what still runs.
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
  void ended(upstream_connection &Connection) override;
  upstream_connection *acquire(const std::shared_ptr<upstream> &Upstream,
                               connection_kind Kind) override;

  bool holds(forwarding &Request) override;
  void serveHeld();
  void woke(double Seconds);
  bool isCurrent();
  void sweep();
  double listPatience() const;
  void askForList();
  void hearList(double Age, const wire::notice &Notice);
  void takeList(double HadAt);
  void takeRouting(const std::shared_ptr<routing_table> &Routing);
  void supposeCold(upstream &Upstream) const;
  void shareBounds(uint32_t Gateways);
  uint32_t connectionsFor(const std::string &Service) const;
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
  std::vector<std::weak_ptr<forwarding>> Held; ///< Until this is current.
  double ServesBy = 0; ///< Requests are held until then.
  double WokeAt = 0;   ///< What is known is from before; 0: it is current.
  // Freed before the next wait: neither may go inside its own callback.
  std::vector<std::unique_ptr<upstream_connection>> OverConnections;
  std::vector<std::shared_ptr<forwarding>> OverRequests;
  upstream_copy Listed;
  double ListHadAt = 0;  ///< When the platform was asked for it.
  double ListJitter = 0; ///< Seconds.
  double ListPeriod = 0; ///< Seconds between two questions of control.
  double ListRetry;      ///< Seconds after a failed question.
  bool ListKnown = false;
  bool Stopping = false;
  bool Draining = false; ///< New requests are refused.
  timer SweepTimer;
  timer ListTimer;
  timer UncheckedTimer;
  before_wait Prepare;
  pause_watch Pauses;
};

} // namespace olivevalve

#endif // OLIVEVALVE_GATEWAY_GATEWAY_TASK_H
