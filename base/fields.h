//===- fields.h - Validating reader for JSON documents ----------*- C++ -*-===//
//
// Reads a JSON object field by field and collects all errors, each with the
// path of the field, what is wrong and what is allowed. Used for settings files
// and for documents that operators send.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_FIELDS_H
#define OLIVEVALVE_BASE_FIELDS_H

#include "absl/status/statusor.h"
#include "base/field_lines.h"
#include "base/json_text.h"
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace olivevalve {

/// The errors found in one document. Keeps the first ones and counts the rest,
/// so that a long document of errors needs little memory.
class fault_list {
public:
  /// Adds an error in the field at \p Path ("a.b[0].c").
  void add(std::string_view Path, std::string_view What);
  bool empty() const { return Faults.empty(); }
  /// One line per error: "field: what".
  std::string text() const;
  /// One line per error in a file: "file: line N: field: what".
  std::string textOf(const std::string &File, const field_lines &Lines) const;

private:
  struct fault {
    std::string Path;
    std::string What;
  };
  static constexpr size_t MaxFaults = 50;
  std::string omittedText() const;

  std::vector<fault> Faults;
  size_t Omitted = 0;
};

enum class presence : uint8_t { Optional, Required };

/// Inclusive bounds of a number.
struct number_range {
  double Min;
  double Max;
};

/// Reads the fields of one object. A missing optional field or an invalid one
/// leaves the output unchanged; errors are added to the fault list. After all
/// fields were read, finish() reports the unknown ones.
class object_reader {
public:
  /// \p Path is the path of the object in the document, empty for the document
  /// itself. \p Value and \p Faults must outlive the reader.
  object_reader(const json &Value, std::string Path, fault_list &Faults);

  /// A string that must not be empty. Unlike other invalid values, an empty one
  /// is stored in \p Out.

  void text(std::string_view Key, std::string &Out,
            presence Presence = presence::Optional);
  void number(std::string_view Key, double &Out, number_range Range,
              presence Presence = presence::Optional);
  void integer(std::string_view Key, int64_t &Out, number_range Range,
               presence Presence = presence::Optional);
  void flag(std::string_view Key, bool &Out);
  /// An array of non-empty strings. Replaces the contents of \p Out, which is
  /// empty afterwards if the field is missing; invalid elements are left out.
  void texts(std::string_view Key, std::vector<std::string> &Out);
  /// One of \p Names; \p Out receives its index.
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
  /// Calls \p Each with a reader for an object field, then finishes that
  /// reader.
  void object(std::string_view Key,
              const std::function<void(object_reader &)> &Each);
  bool has(std::string_view Key) const;
  /// The unchecked value of a field, or null if it is missing. Like the
  /// functions above, marks the field as known.
  const json *raw(std::string_view Key) {
    return find(Key, presence::Optional);
  }
  /// Adds an error in field \p Key.
  void fault(std::string_view Key, std::string_view What);
  /// Adds an error for each field that was not read.
  void finish();

private:
  const json *find(std::string_view Key, presence Presence);
  std::string pathOf(std::string_view Key) const;

  const json &Value;
  std::string Path;
  fault_list &Faults;
  std::set<std::string, std::less<>> Known; ///< Fields that were read.
};

/// True if \p Text contains only printable ASCII characters and spaces, so that
/// it can be used in messages and headers.
bool isPrintable(std::string_view Text);

/// Reads a whole file. The error BadRequest names the file and the cause.
absl::StatusOr<std::string> readFile(const std::string &Path);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_FIELDS_H
