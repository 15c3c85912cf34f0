//===- fields.h - Checked reading of JSON documents -------------*- C++ -*-===//
//
// Reads a JSON object field by field and collects every fault with its path,
// what was wrong and what is allowed. Used for settings files and for the
// documents that operators send.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_FIELDS_H
#define OLIVEVALVE_BASE_FIELDS_H

#include "absl/status/statusor.h"
#include "base/field_lines.h"
#include "nlohmann/json.hpp"
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

using json = nlohmann::json;

/// Faults found in one document; each names its field.
class fault_list {
public:
  void add(std::string_view Path, std::string_view What);
  bool empty() const { return Faults.empty(); }
  /// One line for each fault: "field: what".
  std::string text() const;
  /// The same for faults found in a file: "file: line N: field: what".
  std::string textOf(const std::string &File, const field_lines &Lines) const;

private:
  struct fault {
    std::string Path;
    std::string What;
  };
  std::vector<fault> Faults;
};

enum class presence : uint8_t { Optional, Required };

/// Inclusive limits of a number.
struct number_range {
  double Min;
  double Max;
};

/// Reads the fields of one object; finish() reports the fields nobody read.
class object_reader {
public:
  object_reader(const json &Value, std::string Path, fault_list &Faults);

  void text(std::string_view Key, std::string &Out,
            presence Presence = presence::Optional);
  void number(std::string_view Key, double &Out, number_range Range,
              presence Presence = presence::Optional);
  void integer(std::string_view Key, int64_t &Out, number_range Range,
               presence Presence = presence::Optional);
  void flag(std::string_view Key, bool &Out);
  void texts(std::string_view Key, std::vector<std::string> &Out);
  /// One of \p Names; \p Out is its place in the list.
  void choice(std::string_view Key, size_t &Out,
              const std::vector<std::string_view> &Names);
  /// Calls \p Each with name and value of every member of an object field.
  void members(std::string_view Key,
               const std::function<void(const std::string &, const json &,
                                        const std::string &Path)> &Each);
  /// Calls \p Each with every element of an array field.
  void elements(
      std::string_view Key,
      const std::function<void(const json &, const std::string &Path)> &Each);
  void object(std::string_view Key,
              const std::function<void(object_reader &)> &Each);
  bool has(std::string_view Key) const;
  /// The field as it stands, or null.
  const json *raw(std::string_view Key) {
    return find(Key, presence::Optional);
  }
  void fault(std::string_view Key, std::string_view What);
  void finish();

private:
  const json *find(std::string_view Key, presence Presence);
  std::string pathOf(std::string_view Key) const;

  const json &Value;
  std::string Path;
  fault_list &Faults;
  std::set<std::string, std::less<>> Known;
};

/// Parses JSON with comments; an error names \p Source, line and column.
/// Documents nested deeper than 64 levels are refused.
absl::StatusOr<json> parseJson(std::string_view Text, std::string_view Source);

/// Printable ASCII and spaces only: what may go into messages and headers.
bool isPrintable(std::string_view Text);

/// Reads a whole file; an error names the file and the cause.
absl::StatusOr<std::string> readFile(const std::string &Path);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_FIELDS_H
