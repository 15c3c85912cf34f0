//===- routing_api.h - Operators' calls on what is routed where -*- C++ -*-===//
//
// Whole routing configurations by highest version, roll-outs of services'
// software, and evacuations of data halls. Only the leader answers; the others
// send the caller there.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_ROUTING_API_H
#define OLIVEVALVE_CONTROL_ROUTING_API_H

#include "absl/status/status.h"
#include "catalog/routing.h"
#include "control/replicated_log.h"
#include "net/http_server.h"
#include <memory>
#include <optional>
#include <string>

namespace olivevalve {

class routing_api {
public:
  explicit routing_api(replicated_log &Log) : Log(Log) {}

  /// The configuration in \p Document if it was the last that an operator sent
  /// here: a large one is not read twice.
  std::optional<routing_config> takeRead(const std::string &Document);
  /// Takes the exchange if its path is one of these calls.
  bool handle(const std::shared_ptr<http_exchange> &Exchange);

private:
  using exchange = std::shared_ptr<http_exchange>;
  void sendToLeader(const exchange &Exchange);
  void replaceRouting(const exchange &Exchange);
  void readRoutingBack(const exchange &Exchange);
  void beginRollout(const exchange &Exchange);
  void readRollout(const exchange &Exchange, const std::string &Service);
  void moveHall(const exchange &Exchange, std::string_view DataHall,
                bool Restore);
  void propose(const exchange &Exchange, wire::command Command);

  /// The newest document that this VM has put into the log as leader of a term:
  /// what the next change is told by.
  struct proposed {
    uint64_t Term = 0;
    uint64_t Version = 0;
    std::string Document;
  };

  wire::routing_change changeTo(uint64_t Version, const std::string &Document);

  replicated_log &Log;
  proposed Proposed;
  std::string ReadDocument; ///< Of which LastRead is.
  std::optional<routing_config> LastRead;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_ROUTING_API_H
