//===- sidecar_task.h - The sidecar role ------------------------*- C++ -*-===//
//
// All requests reach an upstream through its sidecar, which admits, queues,
// runs and cancels attempts, streams responses under credit-based flow control,
// and reports the upstream's load.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_SIDECAR_SIDECAR_TASK_H
#define OLIVEVALVE_SIDECAR_SIDECAR_TASK_H

#include "base/error.h"
#include "base/metrics.h"
#include "lease/bill_outbox.h"
#include "lease/control_client.h"
#include "net/http_client.h"
#include "policy/replica_choice.h"
#include "policy/work_queue.h"
#include "quarantine/crash_watch.h"
#include "sidecar/attempt_table.h"
#include "sidecar/engine.h"
#include "sidecar/version_loader.h"

namespace olivevalve {

/// Settings of the sidecar role.
struct sidecar_options {
  std::string Node;
  std::string DataHall;
  std::string Upstream;  ///< Name of the upstream that it serves.
  std::string Address;   ///< "IP:port" where entries connect.
  std::string EngineUrl; ///< "http://IP:port" of the engine or plain service.
  std::vector<control_member_address> Control;
};

/// Largest response body that is stored as the outcome of a claimed attempt.
/// Such responses, of bookings and assignments, are small. The outcome of a
/// larger one is stored without its body.
constexpr size_t MaxOutcomeBytes = 64 << 10;

/// Serves one upstream.
class sidecar_task {
public:
  sidecar_task(link_context &Context, struct ev_loop *Loop, metrics &Metrics,
               sidecar_options Options);

  bool bind() { return Server.bind(Options.Address); }
  std::string address() const { return Server.address(); }
  bool ready() const { return Control.hasLease() && !Stopping; }
  /// Refuses new attempts from now on; accepted ones are completed.
  void drain();
  /// True if no attempt, bill or outcome is pending.
  bool drained();
  /// Gives the lease back to control.
  void leave() { Control.leave(); }

private:
  /// An attempt that is queued or running.
  struct active_attempt {
    std::string Peer; ///< Link to the entry that sent it.
    wire::attempt Attempt;
    uint64_t Ticket = 0; ///< Its key in Attempts and in the queue.
    double Arrived = 0;
    double Started = 0;
    bool Running = false;
    http_client::fetch_id Fetch = 0;
    uint32_t Credits = 0; ///< Frames that may be sent now.
    bool Paused = false;  ///< The transfer waits for credits.
    double BegunAt = 0;   ///< When the response began.
    /// The response has survived its beginning, see SurvivalSeconds.
    bool Survived = false;
    uint32_t NextSequence = 0;
    int Status = 0;
    response_body Body;
    usage_scanner Usage;
    /// Body of the response, to be stored; only for claimed attempts.
    std::string Outcome;
    std::string ContentType;
    bool claimed() const { return !Attempt.idempotency_key().empty(); }
  };

  /// Bill of a finished attempt that its entry has not settled yet. If the
  /// entry is lost, the sidecar reports the bill to control itself.
  struct unsettled_bill {
    std::string Peer;
    double At = 0;
    wire::bill Bill;
  };

  void receive(const std::string &Peer, const wire::envelope &Message);
  void onSettle(const wire::settle &Settle);
  void holdBill(const active_attempt &Work);
  void settleForLostEntries(double Now);
  void onAttempt(const std::string &Peer, const wire::attempt &Attempt);
  void passOn(active_attempt &Work, std::string_view Bytes);
  void onCredit(const wire::credit &Credit);
  void onCancel(const std::string &Peer, const wire::cancel &Cancel);
  void sendCancelResult(const std::string &Peer, const wire::attempt_id &Id,
                        wire::cancel_result::cancel_progress Progress);
  void onHello(const std::string &Peer);
  void refuse(const std::string &Peer, const wire::attempt_id &Id,
              const absl::Status &Status);
  void enqueue(const std::string &Peer, const wire::attempt &Attempt);
  void startNext();
  void start(active_attempt &Work, double Now);
  bool onBytes(uint64_t Ticket, std::string_view Bytes);
  void onHead(uint64_t Ticket, int Status, std::string_view ContentType);
  void onDone(uint64_t Ticket, const fetch_result &Result);
  void conclude(uint64_t Ticket, std::string Error);
  void storeOutcome(const active_attempt &Work);
  void sendEnd(const active_attempt &Work, error_kind Kind,
               std::string_view Message);
  void rejectQueued(uint64_t Ticket, error_kind Kind, std::string_view Message);
  void removeAttempt(uint64_t Ticket, attempt_progress Progress);
  active_attempt *find(uint64_t Ticket);
  active_attempt *find(const attempt_key &Key);
  /// The report by which entries choose among upstreams. The upstream's name is
  /// not set, since entries know to which upstream a link leads.
  wire::news makeReport() const;
  /// Sends the report to all known entries.
  void sendReport();
  void readEngineLoad();
  void tick();
  int64_t slots() const;
  bool isEngine() const;
  bool managed() const;
  void fillVersionLoads(wire::renew &Renew) const;
  void updateVersions();
  absl::Status check(const wire::attempt &Attempt) const;
  bool isQuarantined(const wire::attempt &Attempt) const;
  void recordSurvival(active_attempt &Work);
  watched_upstream engine() const;
  void recordEngineResult(const active_attempt &Work, bool Answered);

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
  std::map<uint64_t, active_attempt> Attempts; ///< By ticket.
  std::map<attempt_key, uint64_t> Tickets;
  std::map<attempt_key, unsettled_bill> Unsettled;
  std::map<std::string, double> Entries; ///< Peers, by their last hello.
  uint64_t NextTicket = 1;
  int64_t Running = 0;
  crash_reports Reports;
  crash_watch Crashes;
  listener_probes Probes;
  /// Counts the engine starts that this process has detected.
  uint64_t EngineGeneration = 0;
  /// When the engine was found to have crashed; 0: not since its last start.
  double EngineCrashedAt = 0;
  /// A crash is to be reported to control at once, by an early lease renewal.
  bool CrashReportPending = false;
  engine_load EngineLoad;
  bool LoadPending = false;
  bool Stopping = false;
  double NextLoadCheckAt = 0;
  sidecar_load LastSentLoad; ///< Load in the last report to entries.
  bool HadLease = false;     ///< Whether a lease was held at the last check.
  timer Timer;
};

} // namespace olivevalve

#endif // OLIVEVALVE_SIDECAR_SIDECAR_TASK_H
