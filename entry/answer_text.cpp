//===- answer_text.cpp - Text of an answer for the rating service ---------===//

#include "entry/answer_text.h"
#include "base/fields.h"

namespace olivevalve {

namespace {

// Longer lines carry no token; what exceeds the bound is dropped.
constexpr size_t MaxLineBytes = 64 << 10;

// The value of the first "content" string, still escaped; empty: none.
std::string_view escapedContent(std::string_view Line) {
  constexpr std::string_view Name = "\"content\"";
  size_t At = Line.find(Name);
  if (At == std::string_view::npos)
    return {};
  At = Line.find_first_not_of(" :", At + Name.size());
  if (At == std::string_view::npos || Line[At] != '"')
    return {};
  size_t Begin = ++At;
  while (At < Line.size() && Line[At] != '"')
    At += Line[At] == '\\' ? 2 : 1;
  return At < Line.size() ? Line.substr(Begin, At - Begin) : std::string_view();
}

} // namespace

void answer_text::feed(std::string_view Bytes) {
  if (Escaped.size() >= MaxBytes)
    return;
  for (;;) {
    size_t End = Bytes.find('\n');
    if (End == std::string_view::npos)
      break;
    if (PartialLine.empty()) {
      parseLine(Bytes.substr(0, End));
    } else {
      PartialLine.append(Bytes.substr(0, End));
      parseLine(PartialLine);
      PartialLine.clear();
    }
    Bytes.remove_prefix(End + 1);
  }
  if (PartialLine.size() < MaxLineBytes)
    PartialLine.append(Bytes);
}

void answer_text::parseLine(std::string_view Line) {
  if (!Line.starts_with("data:"))
    return;
  std::string_view Content = escapedContent(Line);
  if (Escaped.size() + Content.size() <= MaxBytes)
    Escaped.append(Content);
}

std::string answer_text::text() const {
  json Text = parseJsonOrNull("\"" + Escaped + "\"");
  return Text.is_string() ? Text.get<std::string>() : Escaped;
}

void answer_text::clear() {
  PartialLine.clear();
  Escaped.clear();
}

std::string textOfAnswer(const std::string &Body) {
  json Answer = parseJsonOrNull(Body);
  json::json_pointer Content("/choices/0/message/content");
  bool HasContent = Answer.is_object() && Answer.contains(Content) &&
                    Answer[Content].is_string();
  return HasContent ? Answer[Content].get<std::string>() : Body;
}

} // namespace olivevalve
