//===- field_lines.h - Lines of fields in a JSON text -----------*- C++ -*-===//
//
// Tells on which line of a file a field stands, so that an error can name it.
// Reads text that the JSON parser has taken already.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_FIELD_LINES_H
#define OLIVEVALVE_BASE_FIELD_LINES_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace olivevalve {

class field_lines {
public:
  /// \p Text is valid JSON, with comments or without.
  explicit field_lines(std::string_view Text);
  /// Line, from 1, of the field at \p Path ("a.b[0].c"); of the nearest field
  /// around it if it is missing.
  size_t lineOf(std::string_view Path) const;

private:
  std::map<std::string, size_t, std::less<>> Lines;
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_FIELD_LINES_H
