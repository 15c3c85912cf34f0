//===- routing_copy.h - A gateway's copy of the routing ---------*- C++ -*-===//
//
// Takes in the pieces by which one version of the routing follows another. A
// version comes into force only as a whole, after its digest has been checked;
// pieces that do not fit change nothing. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_ROUTING_COPY_H
#define OLIVEVALVE_CATALOG_ROUTING_COPY_H

#include "catalog/routing_parts.h"
#include "wire/wire.pb.h"
#include <memory>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// What became of a piece.
enum class piece_result : uint8_t {
  Odd,     ///< It does not fit what is held: nothing is changed.
  Kept,    ///< More have to come.
  InForce, ///< It was the last.
  Damaged  ///< The whole cannot be what control has: it must come anew.
};

class routing_copy {
public:
  piece_result take(const wire::routing_piece &Piece);

  /// Of the routing in force; 0: none.
  uint64_t version() const { return Table ? Table->version() : 0; }
  /// Null until the first is in force.
  const std::shared_ptr<routing_table> &table() const { return Table; }
  /// That the pieces taken so far lead to; 0: none is under way.
  uint64_t comingVersion() const { return Coming ? Coming->Version : 0; }
  /// The one to come next.
  uint32_t nextPiece() const { return Coming ? Coming->Next : 0; }
  /// What has been taken of a version that is under way is dropped.
  void dropComing() { Coming.reset(); }

private:
  using held_part =
      std::variant<std::shared_ptr<const route_spec>,
                   std::shared_ptr<const routed_service>,
                   std::shared_ptr<const caller_account>, caller_limits>;
  struct held {
    uint64_t Digest = 0;
    held_part Part;
  };
  using held_parts = std::unordered_map<std::string, held>;
  /// A version of which not all pieces are there.
  struct coming {
    uint64_t Since = 0;
    uint64_t Version = 0;
    uint32_t Next = 0;
    held_parts Parts;
    std::vector<std::string> Gone;
  };

  bool fits(const wire::routing_piece &Piece) const;
  bool keep(const wire::routing_piece &Piece);
  uint64_t digestAfter() const;
  void putInForce(uint64_t NewDigest);
  void withdraw(const std::string &Name);
  static held hold(const std::string &Name, const std::string &Bytes,
                   routing_part Part);

  std::shared_ptr<routing_table> Table;
  held_parts Parts; ///< In force, by name.
  uint64_t Digest = 0;
  std::optional<coming> Coming;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_COPY_H
