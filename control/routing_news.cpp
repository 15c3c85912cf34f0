//===- routing_news.cpp - The routing, told in pieces by changes ----------===//

#include "control/routing_news.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A timely message may wait behind one piece on a gateway's link.
constexpr size_t PieceBytes = 16 << 10;
// Changes that are kept: at ten a second a gateway that was cut off for 25 s
// still gets what changed and not the whole.
constexpr size_t MostChanges = 256;
// Names in all of them together, some 60 bytes each: 3 MB.
constexpr size_t MostNames = 50000;
// Kept for gateways that are asking for their pieces. The whole of 5,000 routes
// is some 0.5 MB; gateways are at a few versions at a time.
constexpr size_t MostTransfers = 16;
constexpr size_t MostTransferBytes = 12 << 20;

/// Fills pieces up to their size.
class piece_cutter {
public:
  explicit piece_cutter(std::vector<wire::routing_piece> &Pieces)
      : Pieces(Pieces) {
    Pieces.emplace_back();
  }

  void add(const std::string &Name, const std::string &Part) {
    wire::routing_entry *Entry = roomFor(Name.size() + Part.size());
    Entry->set_name(Name);
    Entry->set_part(Part);
  }
  void addGone(const std::string &Name) {
    startIfFull(Name.size());
    Pieces.back().add_gone(Name);
  }

private:
  wire::routing_entry *roomFor(size_t Size) {
    startIfFull(Size);
    return Pieces.back().add_entries();
  }
  void startIfFull(size_t Size) {
    if (Bytes > 0 && Bytes + Size > PieceBytes) {
      Pieces.emplace_back();
      Bytes = 0;
    }
    Bytes += Size;
  }

  std::vector<wire::routing_piece> &Pieces;
  size_t Bytes = 0;
};

} // namespace

void routing_news::take(const routing_config &Config) {
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
  // The oldest version kept is the base of the changes after it: its own names
  // are not needed.
  if (Version == 0)
    Change.Names.clear();
  Names += Change.Names.size();
  Changes.push_back(std::move(Change));
  while (Changes.size() > 1 &&
         (Changes.size() > MostChanges || Names > MostNames)) {
    Names -= Changes.front().Names.size();
    Changes.pop_front();
  }
  Parts = std::move(Next);
  Version = Config.Version;
  Digest = NextDigest;
}

// Also for a version between two that were seen here: what changed after the
// one before it holds what changed after it, unless a part was changed and
// changed back in between. Then the digest does not fit and the whole is asked
// for.
bool routing_news::knowsChangesSince(uint64_t Held) const {
  return !Changes.empty() && Held >= Changes.front().Version;
}

routing_news::transfer routing_news::makeTransfer(uint64_t Held) const {
  transfer Made{.Held = Held, .Version = Version};
  piece_cutter Cutter(Made.Pieces);
  bool ByChanges = knowsChangesSince(Held);
  if (!ByChanges) {
    for (const auto &[Name, Part] : Parts)
      Cutter.add(Name, Part);
  } else {
    std::set<std::string> Names;
    for (const change &Change : Changes)
      if (Change.Version > Held)
        Names.insert(Change.Names.begin(), Change.Names.end());
    for (const std::string &Name : Names)
      if (auto It = Parts.find(Name); It != Parts.end())
        Cutter.add(Name, It->second);
      else
        Cutter.addGone(Name);
  }
  for (size_t I = 0; I < Made.Pieces.size(); ++I) {
    wire::routing_piece &Piece = Made.Pieces[I];
    Piece.set_since(ByChanges ? Held : 0);
    Piece.set_version(Version);
    Piece.set_piece(uint32_t(I));
    Piece.set_pieces(uint32_t(Made.Pieces.size()));
    Piece.set_digest(Digest);
    Made.Bytes += Piece.ByteSizeLong();
  }
  return Made;
}

// One that was begun is kept to its end, also when a newer version is there:
// with ten changes a second a large one that starts anew would never end.
routing_news::transfer &routing_news::transferFor(uint64_t Held,
                                                  uint64_t Target) {
  auto Find = [&](uint64_t To) {
    return std::find_if(Transfers.begin(), Transfers.end(),
                        [&](const transfer &Each) {
                          return Each.Held == Held && Each.Version == To;
                        });
  };
  auto It = Find(Target);
  if (It == Transfers.end())
    It = Find(Version);
  transfer Used;
  if (It == Transfers.end()) {
    Used = makeTransfer(Held);
  } else {
    Used = std::move(*It);
    Transfers.erase(It);
  }
  Transfers.push_back(std::move(Used));
  dropOld();
  return Transfers.back();
}

void routing_news::dropOld() {
  while (Transfers.size() > 1 &&
         (Transfers.size() > MostTransfers || keptBytes() > MostTransferBytes))
    Transfers.pop_front();
}

size_t routing_news::keptBytes() const {
  size_t Sum = 0;
  for (const transfer &Each : Transfers)
    Sum += Each.Bytes;
  return Sum;
}

std::optional<wire::routing_piece>
routing_news::piece(const wire::routing_ask &Ask) {
  if (Version == 0 || Ask.held_version() >= Version)
    return std::nullopt;
  const transfer &Transfer = transferFor(Ask.held_version(), Ask.version());
  bool Goes =
      Transfer.Version == Ask.version() && Ask.piece() < Transfer.Pieces.size();
  return Transfer.Pieces[Goes ? Ask.piece() : 0];
}

} // namespace olivevalve
