//===- field_lines.h - Line numbers of JSON fields --------------*- C++ -*-===//
//
// Finds the line on which a field of a JSON file begins, for error messages.
// Only for text that the JSON parser has already accepted.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_FIELD_LINES_H
#define OLIVEVALVE_BASE_FIELD_LINES_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace olivevalve {

/// The line number of each field in a JSON text.
class field_lines {
public:
  /// \p Text must be valid JSON; comments are allowed.
  explicit field_lines(std::string_view Text);
  /// The line, counted from 1, of the field at \p Path ("a.b[0].c"). If the
  /// field is missing, the line of the innermost enclosing field that exists.
  size_t lineOf(std::string_view Path) const;

private:
  std::map<std::string, size_t, std::less<>> Lines;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_FIELD_LINES_H
