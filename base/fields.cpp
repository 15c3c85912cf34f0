//===- fields.cpp - Validating reader for JSON documents ------------------===//

#include "base/fields.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <sstream>

namespace olivevalve {

namespace {

// Messages quote at most this much of a value.
constexpr size_t MaxQuotedBytes = 64;

std::string_view typeName(const json &Value) { return Value.type_name(); }

std::string wrongType(std::string_view Expected, const json &Value) {
  return absl::StrCat("is ", std::string(typeName(Value)), ", must be ",
                      std::string(Expected));
}

} // namespace

void fault_list::add(std::string_view Path, std::string_view What) {
  if (Faults.size() < MaxFaults)
    Faults.push_back({std::string(Path), std::string(What)});
  else
    ++Omitted;
}

std::string fault_list::text() const {
  std::string Text;
  for (const fault &Fault : Faults)
    absl::StrAppend(&Text, Text.empty() ? "" : "\n", Fault.Path, ": ",
                    Fault.What);
  return Text + omittedText();
}

std::string fault_list::textOf(const std::string &File,
                               const field_lines &Lines) const {
  std::string Text;
  for (const fault &Fault : Faults)
    absl::StrAppend(&Text, Text.empty() ? "" : "\n", File, ": line ",
                    Lines.lineOf(Fault.Path), ": ", Fault.Path, ": ",
                    Fault.What);
  return Text + omittedText();
}

std::string fault_list::omittedText() const {
  return Omitted ? absl::StrCat("\nand ", Omitted, " more errors") : "";
}

object_reader::object_reader(const json &Value, std::string Path,
                             fault_list &Faults)
    : Value(Value), Path(std::move(Path)), Faults(Faults) {
  if (!Value.is_object())
    Faults.add(this->Path.empty() ? "document" : this->Path,
               wrongType("an object", Value));
}

std::string object_reader::pathOf(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

bool object_reader::has(std::string_view Key) const {
  return Value.is_object() && Value.contains(Key);
}

void object_reader::fault(std::string_view Key, std::string_view What) {
  Faults.add(pathOf(Key), What);
}

const json *object_reader::find(std::string_view Key, presence Presence) {
  Known.insert(std::string(Key));
  if (!Value.is_object())
    return nullptr;
  auto It = Value.find(Key);
  if (It != Value.end())
    return &*It;
  if (Presence == presence::Required)
    fault(Key, "is missing and required");
  return nullptr;
}

void object_reader::text(std::string_view Key, std::string &Out,
                         presence Presence) {
  const json *Field = find(Key, Presence);
  if (!Field)
    return;
  if (!Field->is_string())
    return fault(Key, wrongType("a string", *Field));
  Out = Field->get<std::string>();
  if (Out.empty())
    fault(Key, "is empty, must be a non-empty string");
}

void object_reader::number(std::string_view Key, double &Out,
                           number_range Range, presence Presence) {
  const json *Field = find(Key, Presence);
  if (!Field)
    return;
  if (!Field->is_number())
    return fault(Key, wrongType("a number", *Field));
  double Number = Field->get<double>();
  if (!(Number >= Range.Min && Number <= Range.Max))
    return fault(Key, absl::StrCat("is ", Number, ", must be from ", Range.Min,
                                   " to ", Range.Max));
  Out = Number;
}

void object_reader::integer(std::string_view Key, int64_t &Out,
                            number_range Range, presence Presence) {
  double Number = double(Out);
  number(Key, Number, Range, Presence);
  if (Number != std::floor(Number))
    return fault(Key, "must be an integer");
  Out = int64_t(Number);
}

void object_reader::flag(std::string_view Key, bool &Out) {
  const json *Field = find(Key, presence::Optional);
  if (!Field)
    return;
  if (!Field->is_boolean())
    return fault(Key, wrongType("true or false", *Field));
  Out = Field->get<bool>();
}

void object_reader::texts(std::string_view Key, std::vector<std::string> &Out) {
  Out.clear();
  elements(Key, [&](const json &Element, const std::string &ElementPath) {
    if (Element.is_string() && !Element.get_ref<const std::string &>().empty())
      Out.push_back(Element.get<std::string>());
    else
      Faults.add(ElementPath, "must be a non-empty string");
  });
}

void object_reader::choice(std::string_view Key, size_t &Out,
                           const std::vector<std::string_view> &Names) {
  const json *Field = find(Key, presence::Optional);
  if (!Field)
    return;
  std::string Name = Field->is_string() ? Field->get<std::string>() : "";
  auto It = std::find(Names.begin(), Names.end(), Name);
  if (It != Names.end()) {
    Out = size_t(It - Names.begin());
    return;
  }
  std::string Allowed;
  for (std::string_view Each : Names)
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(Each);
  fault(Key, absl::StrCat("is ", jsonText(*Field).substr(0, MaxQuotedBytes),
                          ", must be one of ", Allowed));
}

void object_reader::members(
    std::string_view Key,
    const std::function<void(const std::string &, const json &,
                             const std::string &)> &Each) {
  const json *Field = find(Key, presence::Optional);
  if (!Field)
    return;
  if (!Field->is_object())
    return fault(Key, wrongType("an object", *Field));
  for (const auto &[Name, Member] : Field->items())
    Each(Name, Member, pathOf(Key) + "." + Name);
}

void object_reader::elements(
    std::string_view Key,
    const std::function<void(const json &, const std::string &)> &Each) {
  const json *Field = find(Key, presence::Optional);
  if (!Field)
    return;
  if (!Field->is_array())
    return fault(Key, wrongType("an array", *Field));
  size_t Index = 0;
  for (const json &Element : *Field)
    Each(Element, absl::StrCat(pathOf(Key), "[", Index++, "]"));
}

void object_reader::object(std::string_view Key,
                           const std::function<void(object_reader &)> &Each) {
  const json *Field = find(Key, presence::Optional);
  if (!Field)
    return;
  object_reader Reader(*Field, pathOf(Key), Faults);
  Each(Reader);
  Reader.finish();
}

void object_reader::finish() {
  if (!Value.is_object())
    return;
  std::string Allowed;
  for (const std::string &Name : Known)
    Allowed += (Allowed.empty() ? "" : ", ") + Name;
  for (const auto &[Name, Member] : Value.items())
    if (!Known.contains(Name))
      fault(Name, "is not a known field; allowed: " + Allowed);
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= ' ' && C <= '~'; });
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return makeError(error_kind::BadRequest,
                     Path + ": cannot be read: " + std::strerror(errno));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace olivevalve
