//===- operator_api.h - The operators' HTTP interface -----------*- C++ -*-===//
//
// Changes, objects, status, nodes, bills and a watch. Only the leader answers,
// so that nobody reads an old state; others say who leads.
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
  bool bind(const std::string &Address) { return Server.bind(Address); }
  std::string address() const { return Server.address(); }
  void drain() { Server.stopListening(); }
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
  void waitInForce(const exchange &Exchange, uint64_t Index, bool Repeated);

  control_task &Control;
  routing_api Routing;
  http_server Server;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_OPERATOR_API_H
