//===- node.h - One process with its roles ----------------------*- C++ -*-===//
//
// Starts the roles that the settings name, serves health and metrics, and
// stops in order: not ready, no new work once the balancer has noticed, running
// work ends, bills are handed over, the lease is given up.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_DAEMON_NODE_H
#define OLIVEVALVE_DAEMON_NODE_H

#include "daemon/settings.h"
#include "net/gatekeeper.h"

namespace olivevalve {

class node {
public:
  node(struct ev_loop *Loop, const settings &Settings, link_keys Keys);

  absl::Status start();
  /// The first call begins a planned stop, the second ends at once.
  void stop();
  /// Takes over what a changed settings file may change while running.
  void reload(const settings &Changed);
  /// What the process should exit with.
  int exitCode() const { return ExitCode; }

private:
  void handleHealth(const std::shared_ptr<http_exchange> &Exchange);
  void countTraffic();
  void logTraffic();
  bool ready() const;
  void beginDrain();
  void checkDrain();
  void end();

  struct ev_loop *Loop;
  settings Settings;
  metrics Metrics;
  link_context Context;
  gatekeeper Gatekeeper;
  std::unique_ptr<control_task> Control;
  std::unique_ptr<sidecar_task> Sidecar;
  std::unique_ptr<entry_task> Entry;
  std::unique_ptr<gateway_task> Gateway;
  http_server Health;
  timer TrafficTimer;
  timer DrainTimer;
  timer EndTimer;
  bool Stopping = false;
  bool Refusing = false; ///< The entry takes nothing new any more.
  double RefuseAt = 0;
  double DrainUntil = 0;
  int ExitCode = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_DAEMON_NODE_H
