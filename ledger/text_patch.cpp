//===- text_patch.cpp - One text told by another --------------------------===//

#include "ledger/text_patch.h"
#include <unordered_map>
#include <vector>

namespace olivevalve {

namespace {

// A range has to save more than a step costs.
constexpr size_t LeastRange = 24;

/// Where the piece that begins at \p At ends: before an opening brace or after
/// a closing one.
size_t endOfPiece(std::string_view Text, size_t At) {
  size_t Brace = Text.find_first_of("{}", At + 1);
  if (Brace == std::string_view::npos)
    return Text.size();
  return Text[Brace] == '{' ? Brace : Brace + 1;
}

std::vector<std::string_view> splitAtBraces(std::string_view Text) {
  std::vector<std::string_view> Pieces;
  for (size_t At = 0; At < Text.size();) {
    size_t End = endOfPiece(Text, At);
    Pieces.push_back(Text.substr(At, End - At));
    At = End;
  }
  return Pieces;
}

/// Collects steps; a range that goes on where the last one ended joins it.
class step_writer {
public:
  void copy(size_t From, size_t Length) {
    if (joins(From)) {
      Last->set_length(Last->length() + Length);
      return;
    }
    Last = Steps.Add();
    Last->set_from(From);
    Last->set_length(Length);
  }
  void insert(std::string_view Text) {
    if (!Last)
      Last = Steps.Add();
    Last->mutable_text()->append(Text);
  }
  /// Where the old text would go on.
  std::optional<size_t> goesOnAt() const {
    if (!Last || !Last->text().empty())
      return std::nullopt;
    return Last->from() + Last->length();
  }
  patch_steps take() { return std::move(Steps); }

private:
  bool joins(size_t From) const { return goesOnAt() == From; }

  patch_steps Steps;
  wire::patch_step *Last = nullptr;
};

} // namespace

patch_steps makePatch(std::string_view Old, std::string_view New) {
  std::unordered_map<std::string_view, size_t> Places;
  for (std::string_view Piece : splitAtBraces(Old))
    if (Piece.size() >= LeastRange)
      Places.emplace(Piece, size_t(Piece.data() - Old.data()));
  step_writer Writer;
  for (std::string_view Piece : splitAtBraces(New)) {
    auto GoesOn = Writer.goesOnAt();
    if (GoesOn && Old.substr(*GoesOn, Piece.size()) == Piece) {
      Writer.copy(*GoesOn, Piece.size());
      continue;
    }
    auto It = Places.find(Piece);
    if (It != Places.end())
      Writer.copy(It->second, Piece.size());
    else
      Writer.insert(Piece);
  }
  return Writer.take();
}

std::optional<std::string>
applyPatch(std::string_view Old, const patch_steps &Steps, size_t MostBytes) {
  std::string New;
  New.reserve(std::min(Old.size(), MostBytes));
  for (const wire::patch_step &Step : Steps) {
    bool Known =
        Step.from() <= Old.size() && Step.length() <= Old.size() - Step.from();
    if (!Known || Step.length() > MostBytes ||
        New.size() + Step.length() + Step.text().size() > MostBytes)
      return std::nullopt;
    New.append(Old.substr(Step.from(), Step.length()));
    New.append(Step.text());
  }
  return New;
}

} // namespace olivevalve
