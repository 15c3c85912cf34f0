//===- json_text.h - Parsing and writing of JSON text -----------*- C++ -*-===//
//
// The only place where bytes from outside become JSON values. No input makes
// these functions throw, and the values they return are safe for recursive
// code.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_JSON_TEXT_H
#define OLIVEVALVE_BASE_JSON_TEXT_H

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include <string>
#include <string_view>

namespace olivevalve {

using json = nlohmann::json;

/// Bounds the nesting of documents, which recursive code walks.
constexpr int MaxJsonDepth = 64;

/// Parses one document, in which comments are allowed. The error BadRequest
/// names \p Source, the line, the field and the cause. Documents that are not
/// UTF-8, also in a comment, documents nested deeper than MaxJsonDepth and
/// numbers beyond the range of a double are rejected.
absl::StatusOr<json> parseJson(std::string_view Text, std::string_view Source);

/// Like parseJson(), but returns null instead of an error.
json parseJsonOrNull(std::string_view Text);

/// \p Value as text on one line. Bytes that are not UTF-8 are replaced by
/// U+FFFD.
std::string jsonText(const json &Value);

/// Position after the object that begins at \p Start, without comments; npos if
/// there is none or it is nested deeper than \p MaxDepth. Checks the structure
/// only: values may still be unreadable, such as a number without a range. The
/// time is linear in the size of the object, or of the text up to the first
/// error.
size_t endOfJsonObject(std::string_view Text, size_t Start,
                       int MaxDepth = MaxJsonDepth);

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_JSON_TEXT_H
