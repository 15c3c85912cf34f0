//===- sidecar_task.h - The sidecar role ------------------------*- C++ -*-===//
//
// The only way to its upstream: admits, queues, runs and cancels attempts,
// streams answers under credit, and says how loaded it is.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_SIDECAR_TASK_H
#define OLIVEVALVE_SIDECAR_SIDECAR_TASK_H

#include "base/error.h"
#include "base/metrics.h"
#include "lease/control_client.h"
#include "lease/outbox.h"
#include "net/http_client.h"
#include "policy/replica_choice.h"
#include "policy/work_queue.h"
#include "quarantine/crash_watch.h"
#include "sidecar/attempt_table.h"
#include "sidecar/engine.h"
#include "sidecar/version_loader.h"

namespace olivevalve {

struct sidecar_options {
  std::string Node;
  std::string DataHall;
  std::string Upstream;
  std::string Address;   ///< Where entries connect.
  std::string EngineUrl; ///< "http://IP:port", of the engine or service.
  std::vector<control_member_address> Control;
};

/// Stored outcomes are answers of bookings and assignments: small. A larger one
/// is stored without its body.
constexpr size_t OutcomeBytes = 64 << 10;

class sidecar_task {
public:
  sidecar_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
               sidecar_options Options);

  bool bind() { return Server.bind(Options.Address); }
  std::string address() const { return Server.address(); }
  bool ready() const { return Control.hasLease() && !Stopping; }
  /// Takes no new work; what runs goes on.
  void drain();
  bool drained();
  void leave() { Control.leave(); }

private:
  struct running_attempt {
    std::string Peer;
    wire::attempt Attempt;
    uint64_t Ticket = 0;
    double Arrived = 0;
    double Started = 0;
    bool Running = false;
    http_client::fetch_id Fetch = 0;
    uint32_t Credits = 0;
    bool Paused = false;
    uint32_t NextSequence = 0;
    int Status = 0;
    usage_scanner Usage;
    /// Claimed attempts only: the answer, kept for whoever asks again.
    std::string Outcome;
    std::string ContentType;
    bool claimed() const { return !Attempt.idempotency_key().empty(); }
  };

  /// What an entry has not settled yet. If the entry dies first, the sidecar
  /// hands the bill in itself.
  struct unsettled_bill {
    std::string Peer;
    double At = 0;
    wire::bill Bill;
  };

  void receive(const std::string &Peer, const wire::envelope &Message);
  void onSettle(const wire::settle &Settle);
  void keepBill(const running_attempt &Work);
  void settleForLostEntries(double Now);
  void onAttempt(const std::string &Peer, const wire::attempt &Attempt);
  void onCredit(const wire::credit &Credit);
  void onCancel(const std::string &Peer, const wire::cancel &Cancel);
  void sendCancelResult(const std::string &Peer, const wire::attempt_id &Id,
                        wire::cancel_result::cancel_progress Progress);
  void onHello(const std::string &Peer);
  void refuse(const std::string &Peer, const wire::attempt_id &Id,
              const absl::Status &Status);
  void enqueue(const std::string &Peer, const wire::attempt &Attempt);
  void startNext();
  void start(running_attempt &Work, double Now);
  bool onBytes(uint64_t Ticket, std::string_view Bytes);
  void onHead(uint64_t Ticket, int Status, std::string_view ContentType);
  void onDone(uint64_t Ticket, const fetch_result &Result);
  void storeOutcome(const running_attempt &Work);
  void sendEnd(const running_attempt &Work, error_kind Kind,
               std::string_view Message);
  void dropQueued(uint64_t Ticket, error_kind Kind, std::string_view Message);
  void forget(uint64_t Ticket, attempt_progress Progress);
  running_attempt *find(uint64_t Ticket);
  running_attempt *find(const attempt_key &Key);
  /// What entries choose by; they know which upstream the link leads to.
  wire::news makeNews() const;
  void sendNews();
  void readEngineLoad();
  void tick();
  int64_t slots() const;
  bool isEngine() const;
  bool managed() const;
  void fillVersionLoads(wire::renew &Renew) const;
  void orderVersions();
  absl::Status check(const wire::attempt &Attempt) const;
  watched_upstream engine() const;
  void noteEngine(const running_attempt &Work, bool Answered);

  metrics &Metrics;
  sidecar_options Options;
  uint64_t Incarnation;
  server_link Server;
  control_client Control;
  bill_outbox Outbox;
  size_t OutcomesPending = 0;
  http_client Http;
  version_loader Loader;
  work_queue Queue;
  attempt_table Table;
  std::map<uint64_t, running_attempt> Attempts; ///< By ticket.
  std::map<attempt_key, uint64_t> Tickets;
  std::map<attempt_key, unsettled_bill> Unsettled;
  std::map<std::string, double> Entries; ///< Peers that want news, since when.
  uint64_t NextTicket = 1;
  int64_t Running = 0;
  crash_reports Reports;
  crash_watch Crashes;
  uint64_t EngineStart = 0;    ///< Counts those that this process has seen.
  double EngineEndedAt = 0;    ///< 0: not since it started last.
  bool HasCrashReport = false; ///< That control is to be told soon.
  engine_load EngineLoad;
  bool LoadPending = false;
  bool Stopping = false;
  double NextLook = 0;
  told_load Told;         ///< The load that entries were last sent.
  bool ToldLease = false; ///< Whether it held a lease at the last look.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_SIDECAR_TASK_H
