//===- entry_task.h - The entry role ----------------------------*- C++ -*-===//
//
// Takes callers' HTTP requests, checks who asks for what, keeps to the client
// account's limits, and hands each request to a request_task.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_ENTRY_ENTRY_TASK_H
#define OLIVEVALVE_ENTRY_ENTRY_TASK_H

#include "entry/request_task.h"
#include "policy/subset.h"

namespace olivevalve {

struct entry_options {
  std::string Node;
  std::string DataHall;
  std::string Address;   ///< HTTP, towards callers.
  std::string RatingUrl; ///< "http://IP:port", or empty.
  double DefaultDeadline = 60;
  int64_t MaxBodyBytes = 8 << 20;
  int64_t MaxOpenRequests = 4000;
  std::vector<control_member_address> Control;
};

class entry_task {
public:
  entry_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
             entry_options Options);

  bool bind() { return Server.bind(Options.Address); }
  std::string address() const { return Server.address(); }
  bool ready() const;
  /// New requests are refused from now on; those that run go on.
  void drain();
  bool drained() const;
  void leave() { Control.leave(); }

private:
  struct account_use {
    rate_limit Rate;
    rate_meter Meter;
    int64_t Open = 0;
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
  void sweep();

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
  prepared_choices Prepared;
  uint64_t EstimatesIndex = 0;
  std::map<version_name, double> Allowances;
  retry_budget Retries;
  crash_reports Crashes; ///< Only what control has quarantined.
  entry_context Context;
  std::map<uint64_t, std::shared_ptr<request_task>> Tasks;
  std::map<std::string, account_use> Uses;
  uint64_t NextNumber = 1;
  bool Stopping = false;
  http_server Server;
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_ENTRY_ENTRY_TASK_H
