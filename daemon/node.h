//===- node.h - One process with its roles ----------------------*- C++ -*-===//
//
// Starts the roles that the settings name and serves health checks and metrics.
// A planned stop has four steps: /readyz reports not ready while requests are
// still accepted, so that the balancer can take the process out; new requests
// are then refused; requests in flight finish and bills are handed over to
// control; last, the lease is released.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DAEMON_NODE_H
#define OLIVEVALVE_DAEMON_NODE_H

#include "base/freed_memory.h"
#include "daemon/settings.h"
#include "net/link_authenticator.h"

namespace olivevalve {

/// One process: the configured roles, their shared link context and metrics,
/// and the health server. Runs on the given event loop, which must outlive it.
class node {
public:
  node(struct ev_loop *Loop, const settings &Settings, link_keys Keys);

  /// Binds all addresses and starts the roles. The error names the setting
  /// whose address cannot be bound.
  absl::Status start();
  /// The first call begins a planned stop; a second one exits at once.
  void stop();
  /// Applies the settings that may change at run time; ignores all others.
  void reload(const settings &Changed);
  /// Exit code of the process: 0 after a planned stop, 3 after a failure of
  /// control, 4 if a second stop cut the first one short.
  int exitCode() const { return ExitCode; }

private:
  void handleHealth(const std::shared_ptr<http_exchange> &Exchange);
  void updateProcessMetrics();
  void recordCallers(const std::string &Role, const caller_pool &Callers);
  void logTraffic();
  bool ready() const;
  void beginDrain();
  void checkDrain();
  void end();

  struct ev_loop *Loop;
  settings Settings;
  metrics Metrics;
  link_context Context;
  link_authenticator LinkAuthenticator;
  std::unique_ptr<control_task> Control;
  std::unique_ptr<sidecar_task> Sidecar;
  std::unique_ptr<entry_task> Entry;
  std::unique_ptr<gateway_task> Gateway;
  http_server Health;
  timer TrafficTimer;
  freed_memory Freed;
  timer FreedTimer;
  timer DrainTimer;
  timer ExitTimer;
  timer FailureTimer; ///< Ends the process after a failure of control.
  bool Stopping = false;
  bool Refusing = false; ///< All roles refuse new work.
  /// Steady time in seconds at which a planned stop begins to refuse new work.
  double RefuseAt = 0;
  /// Steady time in seconds at which a planned stop gives up on running work.
  double DrainUntil = 0;
  int ExitCode = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DAEMON_NODE_H
