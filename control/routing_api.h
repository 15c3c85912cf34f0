//===- routing_api.h - Operators' routing interface -------------*- C++ -*-===//
//
// Serves operators' requests that set the routing configuration, begin and show
// roll-outs of service versions, and evacuate and restore data halls. Of two
// routing configurations the one with the higher version wins. Only the leader
// handles these requests; other control VMs redirect the client to it.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_ROUTING_API_H
#define OLIVEVALVE_CONTROL_ROUTING_API_H

#include "absl/status/status.h"
#include "catalog/routing.h"
#include "control/replicated_log.h"
#include "net/http_server.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace olivevalve {

class routing_api {
public:
  explicit routing_api(replicated_log &Log) : Log(Log) {}

  /// Returns the parsed configuration if \p Document is the last one that an
  /// operator sent to this VM, and forgets it. Saves parsing a large document
  /// twice.
  std::optional<routing_config> takeParsed(const std::string &Document);
  /// Returns the number of listed upstreams of a service with each software
  /// version; empty: not known.
  std::function<std::map<std::string, size_t>(std::string_view Service)>
      CountByVersion;

  /// Handles the exchange and returns true if its path belongs to this
  /// interface.
  bool handle(const std::shared_ptr<http_exchange> &Exchange);

private:
  using exchange = std::shared_ptr<http_exchange>;
  void redirectToLeader(const exchange &Exchange);
  void replaceRouting(const exchange &Exchange);
  void getRouting(const exchange &Exchange);
  void beginRollout(const exchange &Exchange);
  void getRollout(const exchange &Exchange, const std::string &Service);
  void setEvacuation(const exchange &Exchange, std::string_view DataHall,
                     bool Restore);
  /// Replies with the result of the command. False: this VM is not the leader,
  /// and \p OnDone is not called. \p OnDone: called with whether the command
  /// was applied, which is false also if that is not known.
  bool propose(const exchange &Exchange, wire::command Command,
               const std::function<void(bool Applied)> &OnDone = {});

  /// A document that this VM has proposed as the leader of a term, or that is
  /// in force.
  struct proposal {
    uint64_t Term = 0;
    uint64_t Version = 0;
    std::string Document;
  };

  proposal newestProposal() const;

  replicated_log &Log;
  /// The newest of this VM's own documents that may still be applied.
  proposal LastProposal;
  std::string ParsedDocument; ///< The document that ParsedConfig was read from.
  std::optional<routing_config> ParsedConfig;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_ROUTING_API_H
