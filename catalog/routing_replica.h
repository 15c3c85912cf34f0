//===- routing_replica.h - A gateway's replica of the routing ---*- C++ -*-===//
//
// Receives a new version of the routing as a sequence of pieces, which hold the
// difference from the version in force or the complete routing. The new version
// comes into force only after all pieces have arrived and the digest matches.
// Pieces out of sequence are ignored. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_ROUTING_REPLICA_H
#define OLIVEVALVE_CATALOG_ROUTING_REPLICA_H

#include "catalog/routing_parts.h"
#include "wire/wire.pb.h"
#include <memory>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// Result of a received piece.
enum class piece_result : uint8_t {
  Rejected, ///< Out of sequence or of an old version; nothing is changed.
  Stored,   ///< Stored; more pieces have to follow.
  InForce,  ///< The last one; its version is now in force.
  /// A part cannot be decoded or the digest does not match. The pieces received
  /// so far are dropped; the routing has to be requested again.
  Corrupt
};

class routing_replica {
public:
  piece_result applyPiece(const wire::routing_piece &Piece);

  /// Version in force; 0: none.
  uint64_t version() const { return Table ? Table->version() : 0; }
  /// Null until a version is in force.
  const std::shared_ptr<routing_table> &table() const { return Table; }
  /// Version of which some pieces have arrived; 0: none.
  uint64_t pendingVersion() const { return Pending ? Pending->Version : 0; }
  /// Number of the next piece, from 0.
  uint32_t nextPiece() const { return Pending ? Pending->Next : 0; }
  /// Drops the pieces of an incomplete version.
  void dropPending() { Pending.reset(); }

private:
  using shared_part =
      std::variant<std::shared_ptr<const route_spec>,
                   std::shared_ptr<const routed_service>,
                   std::shared_ptr<const caller_account>, caller_limits>;
  struct stored_part {
    uint64_t Digest = 0;
    shared_part Part;
  };
  using stored_parts = std::unordered_map<std::string, stored_part>;
  /// A version of which not all pieces have arrived.
  struct pending_version {
    uint64_t Since = 0; ///< Version that it changes; 0: it is complete.
    uint64_t Version = 0;
    uint32_t Next = 0;                ///< Number of the next piece.
    stored_parts Parts;               ///< New or changed parts, by name.
    std::vector<std::string> Removed; ///< Names of removed parts.
  };

  bool isExpected(const wire::routing_piece &Piece) const;
  bool storePiece(const wire::routing_piece &Piece);
  uint64_t pendingDigest() const;
  void activate(uint64_t NewDigest);
  void removePart(const std::string &Name);
  static stored_part makeStoredPart(const std::string &Name,
                                    const std::string &Bytes,
                                    routing_part Part);

  std::shared_ptr<routing_table> Table;
  stored_parts Parts;  ///< Parts of the version in force, by name.
  uint64_t Digest = 0; ///< Of the version in force: sum over its parts.
  std::optional<pending_version> Pending;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_REPLICA_H
