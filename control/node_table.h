//===- node_table.h - Leases of entries and sidecars ------------*- C++ -*-===//
//
// The leader's view: which nodes may hold a lease until when, which index each
// has in force, and which accepted changes are still waited for. Pure: times
// are passed in.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_NODE_TABLE_H
#define OLIVEVALVE_CONTROL_NODE_TABLE_H

#include "catalog/node_copy.h"
#include "wire/wire.pb.h"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace olivevalve {

struct node_record {
  std::string Node;
  std::string Role;
  std::string DataHall;
  uint64_t Incarnation = 0;
  uint64_t Acked = 0;  ///< Configuration index in force there.
  double LeaseEnd = 0; ///< Never before the node's own view of it.
  double LastSeen = 0;
  bool Stopping = false;
  uint32_t OpenRequests = 0; ///< Entries.
  wire::news News;           ///< Sidecars.
  /// Managed upstreams: requests by version.
  std::map<std::string, uint32_t> VersionLoads;
  std::map<std::string, double> Demand; ///< Entries: requests per second.
};

class node_table {
public:
  /// Forgets everything, at the start of a leadership. No change counts as in
  /// force before leases of the last leader have ended.
  void reset(double Now);
  /// Takes in a renewal of \p Peer.
  void renewed(const std::string &Peer, const wire::renew &Renew, double Now);
  /// A lease was granted to \p Peer just now.
  void granted(const std::string &Peer, double Now);
  /// The node has given its lease up.
  void left(const std::string &Peer);

  /// Calls \p Done once every holder has \p Index or no lease any more.
  /// The argument is the seconds it took.
  void awaitInForce(uint64_t Index, double Now,
                    std::function<void(double)> Done);
  /// Settles waits and forgets nodes long gone.
  void poll(double Now);
  /// Leadership lost: waits end without an answer.
  void dropWaits() { Waits.clear(); }

  /// True if the start of a node called \p Incarnation may hold a lease; also
  /// when this leader cannot know yet.
  bool holdsLease(uint64_t Incarnation, double Now) const;
  uint32_t entries(double Now) const;
  /// What each entry may have of \p Whole, so that all together have no more;
  /// 0 while entries may hold leases that this leader has not heard of.
  double perEntry(double Whole, double Now) const;
  /// False while nodes may hold leases that this leader has not heard of.
  bool settled(double Now) const { return Now >= Barrier; }
  /// \p Peer's share of the limits of the accounts it reported demand for.
  std::vector<wire::account_share> sharesOf(const std::string &Peer,
                                            double Now) const;
  const std::map<std::string, node_record> &nodes() const { return Nodes; }

private:
  struct wait {
    uint64_t Index;
    double Since;
    std::map<std::string, double> Holders; ///< Peer to lease end.
    double Barrier;
    std::function<void(double)> Done;
  };

  std::map<std::string, node_record> Nodes;
  std::vector<wait> Waits;
  double Barrier = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_NODE_TABLE_H
