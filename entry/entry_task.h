//===- entry_task.h - The entry role ----------------------------*- C++ -*-===//
//
// Receives HTTP requests from callers, authenticates them, enforces the limits
// of their client account, and starts a request_task for each.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_ENTRY_TASK_H
#define OLIVEVALVE_ENTRY_ENTRY_TASK_H

#include "entry/request_task.h"
#include "policy/subset.h"

namespace olivevalve {

/// Settings of the entry role.
struct entry_options {
  std::string Node;
  std::string DataHall;
  std::string Address;                ///< "IP:port" where callers connect.
  std::string RatingUrl;              ///< "http://IP:port"; empty: no ratings.
  double DefaultDeadlineSeconds = 60; ///< Seconds, for callers that give none.
  int64_t MaxBodyBytes = 8 << 20;
  int64_t MaxOpenRequests = 4000;
  /// That callers together may make this process hold.
  size_t MaxCallerBytes = defaultCallerBytes();
  std::vector<control_member_address> Control;
};

/// Serves the callers of one entry process.
class entry_task {
public:
  entry_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
             entry_options Options);

  bool bind() { return Server.bind(Options.Address); }
  std::string address() const { return Server.address(); }
  const caller_pool &callers() const { return Server.callers(); }
  /// True if the entry can serve requests: it holds a lease, is not draining,
  /// and has the first reports of its upstreams.
  bool ready() const;
  /// Refuses new requests from now on; requests in progress are completed.
  void drain();
  /// True if no request, bill or rating is pending.
  bool drained() const;
  /// Gives the lease back to control.
  void leave() { Control.leave(); }

private:
  struct account_usage {
    rate_limit Rate;
    rate_meter Meter;
    int64_t Open = 0; ///< Requests in progress.
  };
  using exchange = std::shared_ptr<http_exchange>;

  void handle(const exchange &Exchange);
  const account_spec *authenticate(const http_exchange &Exchange) const;
  void chat(const exchange &Exchange, const account_spec &Account);
  void service(const exchange &Exchange, const account_spec &Account,
               const service_spec &Service);
  void models(const exchange &Exchange, const account_spec &Account);
  request_facts commonFacts(const http_exchange &Exchange,
                            const account_spec &Account);
  absl::Status resolveModel(request_facts &Facts,
                            const account_spec &Account) const;
  absl::Status withinLimits(const account_spec &Account);
  void start(const exchange &Exchange, request_facts Facts);
  void refuse(http_exchange &Exchange, const absl::Status &Status);
  void onMessage(const std::string &Upstream, const wire::envelope &Message);
  void onLost(const std::string &Upstream);
  void onGrant(const wire::grant &Grant);
  void tick();
  bool isFull();
  void removeFinished();

  metrics &Metrics;
  entry_options Options;
  uint64_t Incarnation;
  std::mt19937_64 Random;
  control_client Control;
  bill_outbox Outbox;
  steady_entry_count EntryCount;
  upstream_pool Pool;
  rater Rater;
  sessions Sessions;
  estimates Estimates;
  choice_cache Prepared;
  uint64_t EstimatesIndex = 0;
  std::map<version_name, double> Allowances;
  retry_budget Retries;
  crash_reports Crashes; ///< Used only for the quarantine that control sends.
  entry_context Context;
  std::map<uint64_t, std::shared_ptr<request_task>> Tasks;
  std::map<std::string, account_usage> AccountUsage;
  uint64_t NextNumber = 1;
  bool Stopping = false;
  http_server Server;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_ENTRY_TASK_H
