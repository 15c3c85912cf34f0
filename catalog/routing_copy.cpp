//===- routing_copy.cpp - A gateway's copy of the routing -----------------===//

#include "catalog/routing_copy.h"

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

piece_result routing_copy::take(const wire::routing_piece &Piece) {
  if (!fits(Piece))
    return piece_result::Odd;
  if (Piece.piece() == 0)
    Coming = coming{.Since = Piece.since(), .Version = Piece.version()};
  if (!keep(Piece)) {
    Coming.reset();
    return piece_result::Damaged;
  }
  if (++Coming->Next < Piece.pieces())
    return piece_result::Kept;
  uint64_t NewDigest = digestAfter();
  if (NewDigest != Piece.digest()) {
    Coming.reset();
    return piece_result::Damaged;
  }
  putInForce(NewDigest);
  return piece_result::InForce;
}

bool routing_copy::fits(const wire::routing_piece &Piece) const {
  bool Newer = Piece.version() > version();
  bool OnHeld = Piece.since() == 0 || Piece.since() == version();
  if (!Newer || !OnHeld || Piece.piece() >= Piece.pieces())
    return false;
  if (Piece.piece() == 0)
    return true;
  return Coming && Coming->Next == Piece.piece() &&
         Coming->Version == Piece.version() && Coming->Since == Piece.since();
}

routing_copy::held routing_copy::hold(const std::string &Name,
                                      const std::string &Bytes,
                                      routing_part Part) {
  struct sharer {
    held_part operator()(caller_limits &Limits) const { return Limits; }
    held_part operator()(route_spec &Route) const {
      return std::make_shared<const route_spec>(std::move(Route));
    }
    held_part operator()(routed_service &Service) const {
      return std::make_shared<const routed_service>(std::move(Service));
    }
    held_part operator()(caller_account &Account) const {
      return std::make_shared<const caller_account>(std::move(Account));
    }
  };
  return {.Digest = partDigest(Name, Bytes),
          .Part = std::visit(sharer{}, Part)};
}

// Decoded as it comes, so that no single turn of the loop decodes a large
// table.
bool routing_copy::keep(const wire::routing_piece &Piece) {
  for (const wire::routing_entry &Entry : Piece.entries()) {
    auto Part = decodePart(Entry.part());
    if (!Part)
      return false;
    Coming->Parts[Entry.name()] =
        hold(Entry.name(), Entry.part(), *std::move(Part));
  }
  for (const std::string &Name : Piece.gone())
    Coming->Gone.push_back(Name);
  return true;
}

uint64_t routing_copy::digestAfter() const {
  uint64_t Sum = Coming->Since == 0 ? 0 : Digest;
  auto DropOld = [&](const std::string &Name) {
    auto It = Parts.find(Name);
    if (Coming->Since != 0 && It != Parts.end())
      Sum -= It->second.Digest;
  };
  for (const std::string &Name : Coming->Gone)
    DropOld(Name);
  for (const auto &[Name, New] : Coming->Parts) {
    DropOld(Name);
    Sum += New.Digest;
  }
  return Sum;
}

// All that goes is taken out first: a key may move from one account to another.
void routing_copy::putInForce(uint64_t NewDigest) {
  if (Coming->Since == 0) {
    Table = std::make_shared<routing_table>();
    Parts.clear();
  }
  for (const std::string &Name : Coming->Gone)
    withdraw(Name);
  for (const auto &[Name, New] : Coming->Parts)
    withdraw(Name);
  for (auto &[Name, New] : Coming->Parts) {
    std::visit(part_adder{*Table}, New.Part);
    Parts[Name] = std::move(New);
  }
  Table->setVersion(Coming->Version);
  Digest = NewDigest;
  Coming.reset();
}

void routing_copy::withdraw(const std::string &Name) {
  auto It = Parts.find(Name);
  if (It == Parts.end())
    return;
  std::visit(part_remover{*Table}, It->second.Part);
  Parts.erase(It);
}

} // namespace olivevalve
