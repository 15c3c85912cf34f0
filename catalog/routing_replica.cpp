//===- routing_replica.cpp - A gateway's replica of the routing -----------===//

#include "catalog/routing_replica.h"

namespace olivevalve {

namespace {

struct part_adder {
  routing_table &Table;
  void operator()(const caller_limits &Limits) const {
    Table.setLimits(Limits);
  }
  void operator()(const auto &Part) const { Table.add(Part); }
};

struct part_remover {
  routing_table &Table;
  void operator()(const caller_limits &) const {}
  void operator()(const auto &Part) const { Table.remove(*Part); }
};

} // namespace

piece_result routing_replica::applyPiece(const wire::routing_piece &Piece) {
  if (!isExpected(Piece))
    return piece_result::Rejected;
  if (Piece.piece() == 0)
    Pending =
        pending_version{.Since = Piece.since(), .Version = Piece.version()};
  if (!storePiece(Piece)) {
    Pending.reset();
    return piece_result::Corrupt;
  }
  if (++Pending->Next < Piece.pieces())
    return piece_result::Stored;
  uint64_t NewDigest = pendingDigest();
  if (NewDigest != Piece.digest()) {
    Pending.reset();
    return piece_result::Corrupt;
  }
  activate(NewDigest);
  return piece_result::InForce;
}

bool routing_replica::isExpected(const wire::routing_piece &Piece) const {
  bool Newer = Piece.version() > version();
  bool OnHeld = Piece.since() == 0 || Piece.since() == version();
  if (!Newer || !OnHeld || Piece.piece() >= Piece.pieces())
    return false;
  if (Piece.piece() == 0)
    return true;
  return Pending && Pending->Next == Piece.piece() &&
         Pending->Version == Piece.version() && Pending->Since == Piece.since();
}

routing_replica::stored_part
routing_replica::makeStoredPart(const std::string &Name,
                                const std::string &Bytes, routing_part Part) {
  struct make_shared_part {
    shared_part operator()(caller_limits &Limits) const { return Limits; }
    shared_part operator()(route_spec &Route) const {
      return std::make_shared<const route_spec>(std::move(Route));
    }
    shared_part operator()(routed_service &Service) const {
      return std::make_shared<const routed_service>(std::move(Service));
    }
    shared_part operator()(caller_account &Account) const {
      return std::make_shared<const caller_account>(std::move(Account));
    }
  };
  return {.Digest = partDigest(Name, Bytes),
          .Part = std::visit(make_shared_part{}, Part)};
}

// Stores a piece of the incomplete version; false if a part cannot be decoded.
// Parts are decoded as they arrive, because decoding a large routing at once
// would block the event loop.
bool routing_replica::storePiece(const wire::routing_piece &Piece) {
  for (const wire::routing_entry &Entry : Piece.entries()) {
    auto Part = decodePart(Entry.part());
    if (!Part)
      return false;
    Pending->Parts[Entry.name()] =
        makeStoredPart(Entry.name(), Entry.part(), *std::move(Part));
  }
  for (const std::string &Name : Piece.gone())
    Pending->Removed.push_back(Name);
  return true;
}

uint64_t routing_replica::pendingDigest() const {
  uint64_t Sum = Pending->Since == 0 ? 0 : Digest;
  auto SubtractOld = [&](const std::string &Name) {
    auto It = Parts.find(Name);
    if (Pending->Since != 0 && It != Parts.end())
      Sum -= It->second.Digest;
  };
  for (const std::string &Name : Pending->Removed)
    SubtractOld(Name);
  for (const auto &[Name, New] : Pending->Parts) {
    SubtractOld(Name);
    Sum += New.Digest;
  }
  return Sum;
}

// Removes all old parts before it adds new ones: a key may have moved from one
// account to another.
void routing_replica::activate(uint64_t NewDigest) {
  if (Pending->Since == 0) {
    Table = std::make_shared<routing_table>();
    Parts.clear();
  }
  for (const std::string &Name : Pending->Removed)
    removePart(Name);
  for (const auto &[Name, New] : Pending->Parts)
    removePart(Name);
  for (auto &[Name, New] : Pending->Parts) {
    std::visit(part_adder{*Table}, New.Part);
    Parts[Name] = std::move(New);
  }
  Table->setVersion(Pending->Version);
  Digest = NewDigest;
  Pending.reset();
}

void routing_replica::removePart(const std::string &Name) {
  auto It = Parts.find(Name);
  if (It == Parts.end())
    return;
  std::visit(part_remover{*Table}, It->second.Part);
  Parts.erase(It);
}

} // namespace olivevalve
