//===- operator_api.h - The operators' HTTP interface -----------*- C++ -*-===//
//
// Serves configuration changes, objects, status, nodes, bills, versions,
// control members, the quarantine, data halls and duties; routing_api serves
// the rest. Except for the status, only the leader answers, so that no operator
// sees an outdated state. The other control VMs name the leader in their error.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_OPERATOR_API_H
#define OLIVEVALVE_CONTROL_OPERATOR_API_H

#include "base/fields.h"
#include "control/routing_api.h"
#include "net/http_server.h"

namespace olivevalve {

class control_task;

class operator_api {
public:
  operator_api(control_task &Control, struct ev_loop *Loop);
  /// Starts to listen; false if \p Address cannot be bound.
  bool bind(const std::string &Address) { return Server.bind(Address); }
  std::string address() const { return Server.address(); }
  const caller_pool &callers() const { return Server.callers(); }
  /// Accepts no new connections.
  void drain() { Server.stopListening(); }
  /// True if no request is in progress.
  bool idle() const { return Server.openExchanges() == 0; }
  routing_api &routing() { return Routing; }

private:
  using exchange = std::shared_ptr<http_exchange>;
  void handle(const exchange &Exchange);
  bool allowed(const http_exchange &Exchange) const;
  void changes(const exchange &Exchange);
  void objects(const exchange &Exchange);
  void status(const exchange &Exchange);
  void nodes(const exchange &Exchange);
  void bills(const exchange &Exchange);
  void versions(const exchange &Exchange);
  void removeMember(const exchange &Exchange);
  void quarantine(const exchange &Exchange);
  void release(const exchange &Exchange);
  void halls(const exchange &Exchange);
  void duties(const exchange &Exchange);
  /// Replies once all nodes with a lease have applied \p Index.
  void waitInForce(const exchange &Exchange, uint64_t Index, bool Repeated);

  control_task &Control;
  routing_api Routing;
  http_server Server;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_OPERATOR_API_H
