//===- gateway_world.h - Gateways, control by seeds, upstreams --*- C++ -*-===//
//
// The processes of a system without sidecars: control VMs that find each other
// by seeds, gateways, and stand-ins of the platform's side in this process.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_GATEWAY_WORLD_H
#define OLIVEVALVE_TESTS_GATEWAY_WORLD_H

#include "tests/replica.h"
#include "tests/world.h"
#include <filesystem>

namespace olivevalve {

/// A control VM with an address of its own, so that all use one port.
struct seeded_control {
  std::string Ip;
  std::string Folder;
  std::unique_ptr<daemon_process> Process;
};

class gateway_world : public world {
public:
  /// Starts \p Count control VMs, of which the first three are the seeds.
  explicit gateway_world(size_t Count = 3);
  ~gateway_world();

  /// A control VM that joins later, under a new address.
  seeded_control &addControl(bool MayStartGroup);
  replica &addReplica(replica_options Options);
  /// \p Changes: to the gateway's usual settings.
  void startGateway(const std::string &Name, const json &Changes = {});
  /// The same, but it finds control at one address only.
  void startGatewayBehind(const std::string &Control, const std::string &Name,
                          const json &Changes = {});
  void untilGatewayReady(const std::string &Name);
  /// Puts the routing in force and starts a gateway; returns once a request
  /// was served.
  void startServing(const json &Routing, const json &Changes = {});
  /// The routing with the usual routes, under the next version.
  json usualRouting();
  /// The same with so many routes more, "/r0/", "/r1/" and so on.
  json largeRouting(int Routes);
  /// Sends it to control VMs in turn until one takes it.
  caller_answer putRouting(const json &Routing, double Seconds = 20);
  caller_answer operatorCall(const std::string &Method, const std::string &Path,
                             const std::string &Body, double Seconds = 20);
  /// What a control VM says of itself; empty if it does not answer.
  json statusOf(const seeded_control &Node);
  size_t voters();
  void untilVoters(size_t Count);
  seeded_control *leaderOf();
  /// Where nodes connect to this control VM.
  std::string nodeAddressOf(const seeded_control &Node) const {
    return Node.Ip + ":" + std::to_string(NodePort);
  }
  std::string operatorAddressOf(const seeded_control &Node) const {
    return Node.Ip + ":" + std::to_string(OperatorPort);
  }

  std::shared_ptr<caller_answer> beginRequest(const std::string &Path,
                                              caller_request Request = {});
  caller_answer request(const std::string &Path, caller_request Request = {});
  std::string nextId() { return "attempt-" + std::to_string(++Requests); }

  std::vector<std::unique_ptr<seeded_control>> Seeded;
  std::map<std::string, std::unique_ptr<replica>> Replicas;
  /// Gateways reach each upstream through it.
  std::map<std::string, std::unique_ptr<proxy>> Paths;
  std::unique_ptr<upstream_list_stand_in> List;
  reserved_address GatewayAddress;
  reserved_address GatewayHealth;
  std::unique_ptr<daemon_process> Gateway;
  uint64_t RoutingVersion = 0;
  std::string LastId; ///< Of the last request.

  /// A further gateway, not started.
  std::unique_ptr<daemon_process> makeGateway(const std::string &Name,
                                              const reserved_address &Address,
                                              const reserved_address &Health);

private:
  json seeds();
  json gatewaySettings(const json &Seeds, const std::string &Name,
                       const reserved_address &Address,
                       const reserved_address &Health);
  void startWith(const json &Seeds, const std::string &Name,
                 const json &Changes);
  std::vector<std::unique_ptr<reserved_address>> Ports;
  int NodePort = 0;
  int OperatorPort = 0;
  int Requests = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_GATEWAY_WORLD_H
