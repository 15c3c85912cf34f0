//===- json_text.cpp - Parsing and writing of JSON text -------------------===//

#include "base/json_text.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include <algorithm>
#include <vector>

namespace olivevalve {

namespace {

// nlohmann::json reports a number beyond the range of a double with this id.
constexpr int NumberOverflowId = 406;
// Messages quote at most this much of a value.
constexpr size_t MaxQuotedBytes = 64;

/// Builds a document from the events of the parser and keeps the path of the
/// field being read, so that errors can name it.
class document_builder final : public json::json_sax_t {
public:
  explicit document_builder(std::string_view Text) : Text(Text) {}

  json &root() { return Root; }
  /// Line, field and cause; empty unless the parser has failed.
  const std::string &error() const { return Error; }

  bool null() override { return accept(nullptr); }
  bool boolean(bool Value) override { return accept(Value); }
  bool number_integer(number_integer_t Value) override { return accept(Value); }
  bool number_unsigned(number_unsigned_t Value) override {
    return accept(Value);
  }
  bool number_float(number_float_t Value, const string_t &) override {
    return accept(Value);
  }
  bool string(string_t &Value) override { return accept(std::move(Value)); }
  bool binary(binary_t &) override { return false; }
  bool start_object(size_t) override { return open(json::object()); }
  bool end_object() override { return close(); }
  bool start_array(size_t) override { return open(json::array()); }
  bool end_array() override { return close(); }

  bool key(string_t &Name) override {
    Levels.back().Member = &(*Levels.back().Value)[Name];
    Levels.back().Name = std::move(Name);
    return true;
  }

  bool parse_error(size_t Byte, const std::string &Token,
                   const json::exception &Cause) override {
    auto Before = Text.substr(0, std::min(Byte, Text.size()));
    auto Line = 1 + std::count(Before.begin(), Before.end(), '\n');
    std::string Path = path();
    absl::StrAppend(&Error, "line ", Line, ": ", Path,
                    Path.empty() ? "" : ": ");
    if (Cause.id == NumberOverflowId)
      absl::StrAppend(&Error, Token.substr(0, MaxQuotedBytes),
                      " is beyond the range of a number");
    else
      absl::StrAppend(&Error, "not valid JSON: ", Cause.what());
    return false;
  }

private:
  /// An object or array whose end has not been read.
  struct level {
    json *Value = nullptr;
    json *Member = nullptr; ///< Of an object: the member being read.
    std::string Name;       ///< Of that member.
  };

  bool accept(json Value) {
    add(std::move(Value));
    return true;
  }

  json *add(json Value) {
    if (Levels.empty())
      return &(Root = std::move(Value));
    level &Level = Levels.back();
    if (Level.Value->is_array())
      return &Level.Value->emplace_back(std::move(Value));
    return &(*Level.Member = std::move(Value));
  }

  bool open(json Value) {
    if (Levels.size() == MaxJsonDepth) {
      absl::StrAppend(&Error, path(), ": nested deeper than ", MaxJsonDepth,
                      " levels");
      return false;
    }
    json *Added = add(std::move(Value));
    Levels.push_back({.Value = Added});
    return true;
  }

  bool close() {
    Levels.pop_back();
    return true;
  }

  // An element counts once it has been read, so the innermost array holds as
  // many elements as the index of the one being read; the outer ones already
  // hold theirs.
  std::string path() const {
    std::string Path;
    for (const level &Level : Levels) {
      bool IsInnermost = &Level == &Levels.back();
      if (Level.Value->is_array())
        absl::StrAppend(&Path, "[", Level.Value->size() - (IsInnermost ? 0 : 1),
                        "]");
      else if (!Level.Name.empty())
        absl::StrAppend(&Path, Path.empty() ? "" : ".", Level.Name);
    }
    return Path;
  }

  std::string_view Text;
  json Root;
  std::vector<level> Levels;
  std::string Error;
};

/// Follows the structure of an object without building it.
class structure_scanner {
public:
  structure_scanner(std::string_view Text, size_t Start, int MaxDepth)
      : Text(Text), At(Start), MaxDepth(MaxDepth) {}

  bool skipObject() { return peek() == '{' && skipMembers(1); }
  size_t position() const { return At; }

private:
  char peek() const { return At < Text.size() ? Text[At] : '\0'; }

  bool take(char Expected) {
    if (peek() != Expected)
      return false;
    ++At;
    return true;
  }

  void skipSpace() {
    while (std::string_view(" \t\r\n").find(peek()) != std::string_view::npos)
      ++At;
  }

  bool skipString() {
    if (!take('"'))
      return false;
    while (At < Text.size() && Text[At] != '"')
      At += Text[At] == '\\' ? 2 : 1;
    return take('"');
  }

  // A number or a literal, or what another writer has put in its place.
  bool skipScalar() {
    size_t Begin = At;
    while (absl::ascii_isalnum(peek()) || peek() == '-' || peek() == '+' ||
           peek() == '.')
      ++At;
    return At > Begin;
  }

  bool skipValue(int Depth) {
    skipSpace();
    if (peek() == '{')
      return skipMembers(Depth + 1);
    if (peek() == '[')
      return skipElements(Depth + 1);
    return peek() == '"' ? skipString() : skipScalar();
  }

  bool skipMembers(int Depth) {
    ++At;
    skipSpace();
    if (Depth > MaxDepth)
      return false;
    if (take('}'))
      return true;
    do {
      skipSpace();
      if (!skipString())
        return false;
      skipSpace();
      if (!take(':') || !skipValue(Depth))
        return false;
      skipSpace();
    } while (take(','));
    return take('}');
  }

  bool skipElements(int Depth) {
    ++At;
    skipSpace();
    if (Depth > MaxDepth)
      return false;
    if (take(']'))
      return true;
    do {
      if (!skipValue(Depth))
        return false;
      skipSpace();
    } while (take(','));
    return take(']');
  }

  std::string_view Text;
  size_t At;
  int MaxDepth;
};

// Length of the UTF-8 sequence that Text begins with; 0: it begins with none.
size_t utf8Length(std::string_view Text) {
  auto At = [Text](size_t I) {
    return I < Text.size() ? uint8_t(Text[I]) : uint8_t(0);
  };
  uint8_t First = At(0);
  if (First < 0x80)
    return 1;
  size_t Length = First < 0xC2 ? 0 : First < 0xE0 ? 2 : First < 0xF0 ? 3 : 4;
  // The second byte excludes overlong forms, surrogates and large numbers.
  uint8_t Least = First == 0xE0 ? 0xA0 : First == 0xF0 ? 0x90 : 0x80;
  uint8_t Most = First == 0xED ? 0x9F : First == 0xF4 ? 0x8F : 0xBF;
  if (Length == 0 || First > 0xF4 || At(1) < Least || At(1) > Most)
    return 0;
  for (size_t I = 2; I < Length; ++I)
    if (At(I) < 0x80 || At(I) > 0xBF)
      return 0;
  return Length;
}

// Position of the first byte that is not UTF-8; npos: there is none.
size_t findInvalidUtf8(std::string_view Text) {
  for (size_t I = 0; I < Text.size();) {
    size_t Length = utf8Length(Text.substr(I));
    if (Length == 0)
      return I;
    I += Length;
  }
  return std::string_view::npos;
}

} // namespace

absl::StatusOr<json> parseJson(std::string_view Text, std::string_view Source) {
  // The parser checks strings only. A comment matters as well: a document that
  // is not UTF-8 cannot be read back from a protobuf message.
  if (size_t At = findInvalidUtf8(Text); At != std::string_view::npos) {
    auto Line = 1 + std::count(Text.begin(), Text.begin() + long(At), '\n');
    return makeError(error_kind::BadRequest,
                     absl::StrCat(std::string(Source), ": line ", Line,
                                  ": not valid UTF-8"));
  }
  document_builder Builder(Text);
  bool Valid = json::sax_parse(Text, &Builder, json::input_format_t::json,
                               /*strict=*/true, /*ignore_comments=*/true);
  if (Valid)
    return std::move(Builder.root());
  return makeError(error_kind::BadRequest,
                   absl::StrCat(std::string(Source), ": ", Builder.error()));
}

json parseJsonOrNull(std::string_view Text) {
  auto Value = parseJson(Text, "");
  return Value.ok() ? *std::move(Value) : json();
}

std::string jsonText(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

size_t endOfJsonObject(std::string_view Text, size_t Start, int MaxDepth) {
  structure_scanner Scanner(Text, Start, MaxDepth);
  return Scanner.skipObject() ? Scanner.position() : std::string_view::npos;
}

} // namespace olivevalve
