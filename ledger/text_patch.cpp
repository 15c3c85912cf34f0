//===- text_patch.cpp - Differences between two texts ---------------------===//

#include "ledger/text_patch.h"
#include <unordered_map>
#include <vector>

namespace olivevalve {

namespace {

// Shorter segments are not searched for in the old text: a step that copies one
// takes about as many bytes as the text itself.
constexpr size_t MinRangeBytes = 24;

/// End of the segment that begins at \p At: before the next opening brace or
/// after the next closing one, whichever comes first.
size_t endOfSegment(std::string_view Text, size_t At) {
  size_t Brace = Text.find_first_of("{}", At + 1);
  if (Brace == std::string_view::npos)
    return Text.size();
  return Text[Brace] == '{' ? Brace : Brace + 1;
}

std::vector<std::string_view> splitAtBraces(std::string_view Text) {
  std::vector<std::string_view> Segments;
  for (size_t At = 0; At < Text.size();) {
    size_t End = endOfSegment(Text, At);
    Segments.push_back(Text.substr(At, End - At));
    At = End;
  }
  return Segments;
}

/// Builds the list of steps; merges a range with the last one if it starts
/// where that one ends.
class patch_builder {
public:
  void copy(size_t From, size_t Length) {
    if (continuesRange(From)) {
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
  /// Offset in the old text after the last step; none if that step ends with
  /// inserted text.
  std::optional<size_t> nextOffset() const {
    if (!Last || !Last->text().empty())
      return std::nullopt;
    return Last->from() + Last->length();
  }
  patch_steps take() { return std::move(Steps); }

private:
  bool continuesRange(size_t From) const { return nextOffset() == From; }

  patch_steps Steps;
  wire::patch_step *Last = nullptr;
};

} // namespace

patch_steps makePatch(std::string_view Old, std::string_view New) {
  std::unordered_map<std::string_view, size_t> Offsets;
  for (std::string_view Segment : splitAtBraces(Old))
    if (Segment.size() >= MinRangeBytes)
      Offsets.emplace(Segment, size_t(Segment.data() - Old.data()));
  patch_builder Builder;
  for (std::string_view Segment : splitAtBraces(New)) {
    auto Next = Builder.nextOffset();
    if (Next && Old.substr(*Next, Segment.size()) == Segment) {
      Builder.copy(*Next, Segment.size());
      continue;
    }
    auto It = Offsets.find(Segment);
    if (It != Offsets.end())
      Builder.copy(It->second, Segment.size());
    else
      Builder.insert(Segment);
  }
  return Builder.take();
}

std::optional<std::string>
applyPatch(std::string_view Old, const patch_steps &Steps, size_t MaxBytes) {
  std::string New;
  New.reserve(std::min(Old.size(), MaxBytes));
  for (const wire::patch_step &Step : Steps) {
    bool InRange =
        Step.from() <= Old.size() && Step.length() <= Old.size() - Step.from();
    if (!InRange || Step.length() > MaxBytes ||
        New.size() + Step.length() + Step.text().size() > MaxBytes)
      return std::nullopt;
    New.append(Old.substr(Step.from(), Step.length()));
    New.append(Step.text());
  }
  return New;
}

} // namespace olivevalve
