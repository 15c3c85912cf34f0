//===- routing_publisher.h - Sends routing changes in pieces ----*- C++ -*-===//
//
// Holds the routing in encoded parts, with the names of the parts that each of
// the latest changes touched. What a gateway lacks is cut into small pieces,
// which the gateway requests one by one. Pure. All memory is bounded.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_ROUTING_PUBLISHER_H
#define OLIVEVALVE_CONTROL_ROUTING_PUBLISHER_H

#include "catalog/routing_parts.h"
#include "wire/wire.pb.h"
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace olivevalve {

class routing_publisher {
public:
  /// Replaces the routing. A version that is not newer is ignored.
  void setConfig(const routing_config &Config);
  /// Version of the current routing; 0: none yet.
  uint64_t version() const { return Version; }
  /// The requested piece. If the transfer that it belongs to is no longer
  /// cached, the first piece of a transfer to the newest version instead. None
  /// if there is no routing or the gateway already holds the newest version.
  std::optional<wire::routing_piece> piece(const wire::routing_ask &Request);

  /// Size in bytes of the pieces of all cached transfers.
  size_t cachedBytes() const;
  /// Number of versions for which the changed parts are kept.
  size_t retainedChanges() const { return Changes.size(); }

private:
  /// The parts that one version changed.
  struct change {
    uint64_t Version = 0; ///< Of the routing after the change.
    std::set<std::string> Names;
  };
  /// All pieces from one version to another, shared by all gateways.
  struct transfer {
    uint64_t HeldVersion = 0; ///< Held by the gateways; 0: none.
    uint64_t Version = 0;     ///< Of the routing after the last piece.
    size_t Bytes = 0;
    std::vector<wire::routing_piece> Pieces;
  };

  transfer &transferFor(uint64_t HeldVersion, uint64_t Target);
  transfer makeTransfer(uint64_t HeldVersion) const;
  bool hasChangesSince(uint64_t HeldVersion) const;
  void evictTransfers();

  uint64_t Version = 0;
  uint64_t Digest = 0;
  encoded_parts Parts;
  /// Oldest first. The first is the base of the others and has no names.
  std::deque<change> Changes;
  size_t Names = 0;               ///< Number of names in all changes.
  std::deque<transfer> Transfers; ///< Least recently used first.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_ROUTING_PUBLISHER_H
