//===- node_table.h - Leases of entries and sidecars ------------*- C++ -*-===//
//
// The leader's record of the nodes: until when each may hold a lease, which
// configuration index each has applied, and which committed changes still wait
// for nodes to apply them. Pure: times are passed in, in steady seconds.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_NODE_TABLE_H
#define OLIVEVALVE_CONTROL_NODE_TABLE_H

#include "catalog/config_replica.h"
#include "wire/wire.pb.h"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace olivevalve {

/// One node, as of its last renewal.
struct node_record {
  std::string Node;
  std::string Role; ///< "entry" or "sidecar".
  std::string DataHall;
  uint64_t Incarnation = 0; ///< Differs for each start of the node.
  /// Index of the configuration in force at the node.
  uint64_t HeldConfigIndex = 0;
  /// When its lease has ended for certain, never earlier than by the node's own
  /// clock; 0: the node holds no lease.
  double LeaseEnd = 0;
  double LastSeen = 0;
  bool Stopping = false;
  uint32_t OpenRequests = 0; ///< Entries only.
  wire::news SidecarReport;  ///< Sidecars only: the last report.
  /// Sidecars of managed upstreams: requests running and queued, by version.
  std::map<std::string, uint32_t> VersionLoads;
  /// Entries: requests per second, by client account.
  std::map<std::string, double> Demand;
};

class node_table {
public:
  /// Drops all nodes and waits, at the start of a leadership. No change counts
  /// as in force until the leases of the previous leader have expired.
  void reset(double Now);
  /// Records a renewal from \p Peer.
  void recordRenewal(const std::string &Peer, const wire::renew &Renew,
                     double Now);
  /// Records that a lease was granted to \p Peer at \p Now.
  void recordGrant(const std::string &Peer, double Now);
  /// Records that \p Peer has given up its lease.
  void releaseLease(const std::string &Peer);

  /// Calls \p Done once every node that holds a lease has applied \p Index or
  /// has lost its lease. The argument is the wait in seconds.
  void awaitInForce(uint64_t Index, double Now,
                    std::function<void(double)> Done);
  /// Completes waits that are over and removes nodes not seen for a long time.
  void poll(double Now);
  /// Drops all waits without calling back, when leadership is lost.
  void dropWaits() { Waits.clear(); }

  /// True if the node start \p Incarnation may hold a lease. Also true while
  /// leases of the previous leader may still run, as they are not recorded
  /// here.
  bool holdsLease(uint64_t Incarnation, double Now) const;
  /// Number of entries that hold a lease.
  uint32_t entries(double Now) const;
  /// An equal share of \p Total for each entry, so that all entries together
  /// do not exceed it; 0 while entries may hold leases of the previous leader.
  double perEntry(double Total, double Now) const;
  /// False while nodes may hold leases of the previous leader, which are not
  /// recorded here.
  bool leasesComplete(double Now) const { return Now >= Barrier; }
  /// Shares of \p Peer, from 0 to 1, in the limits of the client accounts that
  /// it reported demand for. Empty if \p Peer is not in the table.
  std::vector<wire::account_share> sharesOf(const std::string &Peer,
                                            double Now) const;
  /// All nodes, by the name of their link.
  const std::map<std::string, node_record> &nodes() const { return Nodes; }

private:
  struct wait {
    uint64_t Index;
    double Since;
    /// Lease ends of the nodes that have not applied Index, by link name.
    std::map<std::string, double> Holders;
    double Barrier;
    std::function<void(double)> Done;
  };

  std::map<std::string, node_record> Nodes;
  std::vector<wait> Waits;
  double Barrier = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_NODE_TABLE_H
