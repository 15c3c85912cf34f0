//===- answer_text.cpp - The text of an answer, for the rating ------------===//

#include "entry/answer_text.h"
#include "base/fields.h"

namespace olivevalve {

namespace {

// Lines longer than this are no tokens; their rest is not read.
constexpr size_t MostLine = 64 << 10;

// The string after "content":, still escaped; empty if there is none.
std::string_view contentOf(std::string_view Line) {
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
  if (Escaped.size() >= MostBytes)
    return;
  for (;;) {
    size_t End = Bytes.find('\n');
    if (End == std::string_view::npos)
      break;
    if (Partial.empty()) {
      takeLine(Bytes.substr(0, End));
    } else {
      Partial.append(Bytes.substr(0, End));
      takeLine(Partial);
      Partial.clear();
    }
    Bytes.remove_prefix(End + 1);
  }
  if (Partial.size() < MostLine)
    Partial.append(Bytes);
}

void answer_text::takeLine(std::string_view Line) {
  if (!Line.starts_with("data:"))
    return;
  std::string_view Content = contentOf(Line);
  if (Escaped.size() + Content.size() <= MostBytes)
    Escaped.append(Content);
}

std::string answer_text::text() const {
  json Text = json::parse("\"" + Escaped + "\"", nullptr, false);
  return Text.is_string() ? Text.get<std::string>() : Escaped;
}

void answer_text::clear() {
  Partial.clear();
  Escaped.clear();
}

std::string textOfAnswer(const std::string &Body) {
  json Answer = json::parse(Body, nullptr, false);
  json::json_pointer Content("/choices/0/message/content");
  bool Has = Answer.is_object() && Answer.contains(Content) &&
             Answer[Content].is_string();
  return Has ? Answer[Content].get<std::string>() : Body;
}

} // namespace olivevalve
