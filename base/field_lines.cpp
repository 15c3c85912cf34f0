//===- field_lines.cpp - Line numbers of JSON fields ----------------------===//

#include "base/field_lines.h"
#include <vector>

namespace olivevalve {

namespace {

/// Scans the text once and records the line on which each field begins.
class line_walker {
public:
  line_walker(std::string_view Text,
              std::map<std::string, size_t, std::less<>> &Lines)
      : Text(Text), Lines(Lines) {}

  void walkValue(const std::string &Path) {
    skipSpace();
    Lines.emplace(Path, Line);
    if (peek() == '{')
      return walkObject(Path);
    if (peek() == '[')
      return walkArray(Path);
    if (peek() == '"') {
      takeString();
      return;
    }
    while (At < Text.size() && Text.find_first_of(",]} \t\r\n/", At) != At)
      ++At;
  }

private:
  char peek() const { return At < Text.size() ? Text[At] : '\0'; }

  void step() {
    if (peek() == '\n')
      ++Line;
    ++At;
  }

  // Skips white space, commas, colons, and line and block comments.
  void skipSpace() {
    while (At < Text.size()) {
      if (Text.substr(At, 2) == "//") {
        while (At < Text.size() && peek() != '\n')
          step();
      } else if (Text.substr(At, 2) == "/*") {
        while (At < Text.size() && Text.substr(At, 2) != "*/")
          step();
        At += 2;
      } else if (std::string_view(" \t\r\n,:").find(peek()) !=
                 std::string_view::npos) {
        step();
      } else {
        return;
      }
    }
  }

  // Escapes in a name are not decoded. lineOf() doesn't find such a field and
  // returns the line of the enclosing one.
  std::string takeString() {
    size_t Begin = ++At;
    while (At < Text.size() && peek() != '"')
      At += peek() == '\\' ? 2 : 1;
    std::string Name(Text.substr(Begin, At - Begin));
    ++At;
    return Name;
  }

  void walkObject(const std::string &Path) {
    ++At;
    for (skipSpace(); peek() == '"'; skipSpace()) {
      size_t NameLine = Line;
      std::string Name = takeString();
      std::string Field = Path.empty() ? Name : Path + "." + Name;
      Lines.emplace(Field, NameLine);
      walkValue(Field);
    }
    ++At;
  }

  void walkArray(const std::string &Path) {
    ++At;
    size_t Index = 0;
    for (skipSpace(); At < Text.size() && peek() != ']'; skipSpace())
      walkValue(Path + "[" + std::to_string(Index++) + "]");
    ++At;
  }

  std::string_view Text;
  std::map<std::string, size_t, std::less<>> &Lines;
  size_t At = 0;
  size_t Line = 1;
};

} // namespace

field_lines::field_lines(std::string_view Text) {
  line_walker(Text, Lines).walkValue("");
}

size_t field_lines::lineOf(std::string_view Path) const {
  for (;;) {
    auto It = Lines.find(Path);
    if (It != Lines.end())
      return It->second;
    size_t Separator = Path.find_last_of(".[");
    if (Separator == std::string_view::npos)
      return 1;
    Path = Path.substr(0, Separator);
  }
}

} // namespace olivevalve
