//===- routing_publisher.cpp - Sends routing changes in pieces ------------===//

#include "control/routing_publisher.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Size of a piece. Bounds how long an urgent message may wait behind it on the
// link to a gateway.
constexpr size_t MaxPieceBytes = 16 << 10;
// Changes kept. At ten changes a second, a gateway that was disconnected for
// 25 s still gets only the changes rather than the complete routing.
constexpr size_t MaxChanges = 256;
// Bounds the names in all changes together: 3 MB at about 60 bytes each.
constexpr size_t MaxNames = 50000;
// Transfers cached for gateways that are requesting their pieces. The complete
// routing with 5,000 routes takes about 0.5 MB, and at any time the gateways
// hold only a few different versions.
constexpr size_t MaxTransfers = 16;
constexpr size_t MaxTransferBytes = 12 << 20;

/// Distributes parts over pieces of bounded size.
class piece_builder {
public:
  explicit piece_builder(std::vector<wire::routing_piece> &Pieces)
      : Pieces(Pieces) {
    Pieces.emplace_back();
  }

  void add(const std::string &Name, const std::string &Part) {
    wire::routing_entry *Entry = newEntry(Name.size() + Part.size());
    Entry->set_name(Name);
    Entry->set_part(Part);
  }
  void addRemoved(const std::string &Name) {
    startPieceIfFull(Name.size());
    Pieces.back().add_gone(Name);
  }

private:
  wire::routing_entry *newEntry(size_t Size) {
    startPieceIfFull(Size);
    return Pieces.back().add_entries();
  }
  void startPieceIfFull(size_t Size) {
    if (Bytes > 0 && Bytes + Size > MaxPieceBytes) {
      Pieces.emplace_back();
      Bytes = 0;
    }
    Bytes += Size;
  }

  std::vector<wire::routing_piece> &Pieces;
  size_t Bytes = 0;
};

} // namespace

void routing_publisher::setConfig(const routing_config &Config) {
  if (Config.Version <= Version)
    return;
  encoded_parts Next = encodeParts(Config);
  change Change{.Version = Config.Version};
  uint64_t NextDigest = 0;
  for (const auto &[Name, Part] : Next) {
    NextDigest += partDigest(Name, Part);
    auto It = Parts.find(Name);
    if (It == Parts.end() || It->second != Part)
      Change.Names.insert(Name);
  }
  for (const auto &[Name, Part] : Parts)
    if (!Next.contains(Name))
      Change.Names.insert(Name);
  // The oldest version is the base for the changes that follow it. What it
  // changed itself is not needed.
  if (Version == 0)
    Change.Names.clear();
  Names += Change.Names.size();
  Changes.push_back(std::move(Change));
  while (Changes.size() > 1 &&
         (Changes.size() > MaxChanges || Names > MaxNames)) {
    Names -= Changes.front().Names.size();
    Changes.pop_front();
  }
  Parts = std::move(Next);
  Version = Config.Version;
  Digest = NextDigest;
}

// A gateway may hold a version between two that this VM has seen. The changes
// after the older of the two then include all that the gateway lacks. The
// exception is a part that was changed and changed back in between: then the
// digest does not match, and the gateway requests the complete routing.
bool routing_publisher::hasChangesSince(uint64_t HeldVersion) const {
  return !Changes.empty() && HeldVersion >= Changes.front().Version;
}

routing_publisher::transfer
routing_publisher::makeTransfer(uint64_t HeldVersion) const {
  transfer Result{.HeldVersion = HeldVersion, .Version = Version};
  piece_builder Builder(Result.Pieces);
  bool ByChanges = hasChangesSince(HeldVersion);
  if (!ByChanges) {
    for (const auto &[Name, Part] : Parts)
      Builder.add(Name, Part);
  } else {
    std::set<std::string> Names;
    for (const change &Change : Changes)
      if (Change.Version > HeldVersion)
        Names.insert(Change.Names.begin(), Change.Names.end());
    for (const std::string &Name : Names)
      if (auto It = Parts.find(Name); It != Parts.end())
        Builder.add(Name, It->second);
      else
        Builder.addRemoved(Name);
  }
  for (size_t I = 0; I < Result.Pieces.size(); ++I) {
    wire::routing_piece &Piece = Result.Pieces[I];
    Piece.set_since(ByChanges ? HeldVersion : 0);
    Piece.set_version(Version);
    Piece.set_piece(uint32_t(I));
    Piece.set_pieces(uint32_t(Result.Pieces.size()));
    Piece.set_digest(Digest);
    Result.Bytes += Piece.ByteSizeLong();
  }
  return Result;
}

// A transfer that a gateway has begun is continued even if there is a newer
// version. With ten changes a second, a large transfer that starts over with
// each change would never complete.
routing_publisher::transfer &
routing_publisher::transferFor(uint64_t HeldVersion, uint64_t Target) {
  auto Find = [&](uint64_t To) {
    return std::find_if(
        Transfers.begin(), Transfers.end(), [&](const transfer &Each) {
          return Each.HeldVersion == HeldVersion && Each.Version == To;
        });
  };
  auto It = Find(Target);
  if (It == Transfers.end())
    It = Find(Version);
  transfer Used;
  if (It == Transfers.end()) {
    Used = makeTransfer(HeldVersion);
  } else {
    Used = std::move(*It);
    Transfers.erase(It);
  }
  Transfers.push_back(std::move(Used));
  evictTransfers();
  return Transfers.back();
}

void routing_publisher::evictTransfers() {
  while (Transfers.size() > 1 &&
         (Transfers.size() > MaxTransfers || cachedBytes() > MaxTransferBytes))
    Transfers.pop_front();
}

size_t routing_publisher::cachedBytes() const {
  size_t Sum = 0;
  for (const transfer &Each : Transfers)
    Sum += Each.Bytes;
  return Sum;
}

std::optional<wire::routing_piece>
routing_publisher::piece(const wire::routing_ask &Request) {
  if (Version == 0 || Request.held_version() >= Version)
    return std::nullopt;
  const transfer &Transfer =
      transferFor(Request.held_version(), Request.version());
  bool Continues = Transfer.Version == Request.version() &&
                   Request.piece() < Transfer.Pieces.size();
  return Transfer.Pieces[Continues ? Request.piece() : 0];
}

} // namespace olivevalve
