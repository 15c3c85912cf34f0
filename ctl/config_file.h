//===- config_file.h - Configuration files ----------------------*- C++ -*-===//
//
// A configuration file is JSON with comments. Its top-level members are object
// kinds in the plural ("models", "templates", "accounts", "upstreams",
// "services", "nodes"), each an object that maps names to documents.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CTL_CONFIG_FILE_H
#define OLIVEVALVE_CTL_CONFIG_FILE_H

#include "absl/status/statusor.h"
#include "base/fields.h"
#include "catalog/catalog.h"

namespace olivevalve {

/// One object of a configuration file, not validated yet.
struct file_object {
  object_key Key;
  json Document;
};

/// A parsed configuration file.
struct config_file {
  std::string Path;
  std::vector<file_object> Objects;
  field_lines Lines; ///< Line of each field, for error messages.
};

/// Reads and parses a file without checking its documents; an error names file,
/// line and field.
absl::StatusOr<config_file> loadConfigFile(const std::string &Path);

/// Validates all documents, and the references between them, without contacting
/// control; an error names file, line and field.
absl::Status checkConfig(const config_file &File);

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_CONFIG_FILE_H
