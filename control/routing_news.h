//===- routing_news.h - The routing, told in pieces by changes --*- C++ -*-===//
//
// Keeps the routing in parts with the names of the parts that its last changes
// touched, and cuts what a gateway lacks into small pieces that the gateway
// asks for one by one. Pure. All that it keeps has a bound.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_ROUTING_NEWS_H
#define OLIVEVALVE_CONTROL_ROUTING_NEWS_H

#include "catalog/routing_parts.h"
#include "wire/wire.pb.h"
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace olivevalve {

class routing_news {
public:
  /// A newer version is in force.
  void take(const routing_config &Config);
  /// 0: none yet.
  uint64_t version() const { return Version; }
  /// The piece asked for; the first towards the newest version if the gateway
  /// has fallen out of what is kept. None while no routing is known.
  std::optional<wire::routing_piece> piece(const wire::routing_ask &Ask);

  /// Bytes of the pieces that are kept, for metrics.
  size_t keptBytes() const;
  size_t keptChanges() const { return Changes.size(); }

private:
  /// What one version changed.
  struct change {
    uint64_t Version = 0; ///< That it led to.
    std::set<std::string> Names;
  };
  /// All pieces from one version to another, for every gateway that asks.
  struct transfer {
    uint64_t Held = 0; ///< The version of the gateways that ask for it.
    uint64_t Version = 0;
    size_t Bytes = 0;
    std::vector<wire::routing_piece> Pieces;
  };

  transfer &transferFor(uint64_t Held, uint64_t Target);
  transfer makeTransfer(uint64_t Held) const;
  bool knowsChangesSince(uint64_t Held) const;
  void dropOld();

  uint64_t Version = 0;
  uint64_t Digest = 0;
  encoded_parts Parts;
  std::deque<change> Changes;     ///< Oldest first; the first is the base.
  size_t Names = 0;               ///< In all of them.
  std::deque<transfer> Transfers; ///< The last used at the end.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_ROUTING_NEWS_H
