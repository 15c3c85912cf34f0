//===- event_splitter.cpp - Complete events of a stream -------------------===//

#include "gateway/event_splitter.h"
#include <algorithm>

namespace olivevalve {

namespace {

/// Position after the last blank line, or 0. Lines end in LF or CRLF.
size_t endOfLastEvent(std::string_view Text) {
  for (size_t I = Text.size(); I > 1; --I) {
    if (Text[I - 1] != '\n')
      continue;
    bool AfterLf = Text[I - 2] == '\n';
    bool AfterCrLf = I > 2 && Text[I - 2] == '\r' && Text[I - 3] == '\n';
    if (AfterLf || AfterCrLf)
      return I;
  }
  return 0;
}

} // namespace

std::string event_splitter::take(std::string_view Bytes) {
  Rest.append(Bytes);
  size_t End = endOfLastEvent(Rest);
  if (End == 0)
    return {};
  std::string Whole = Rest.substr(0, End);
  Rest.erase(0, End);
  noteIds(Whole);
  return Whole;
}

void event_splitter::noteIds(std::string_view Events) {
  constexpr std::string_view Field = "id:";
  while (!Events.empty()) {
    size_t End = std::min(Events.find('\n'), Events.size());
    std::string_view Line = Events.substr(0, End);
    Events.remove_prefix(std::min(End + 1, Events.size()));
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    LastId = Line;
  }
}

} // namespace olivevalve
