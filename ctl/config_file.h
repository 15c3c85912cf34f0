//===- config_file.h - Configuration files ----------------------*- C++ -*-===//
//
// A file of JSON with comments: "models", "templates", "accounts",
// "upstreams", "services", "nodes", each an object from name to document.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CTL_CONFIG_FILE_H
#define OLIVEVALVE_CTL_CONFIG_FILE_H

#include "absl/status/statusor.h"
#include "base/fields.h"
#include "catalog/catalog.h"

namespace olivevalve {

struct file_object {
  object_key Key;
  json Document;
};

struct config_file {
  std::string Path;
  std::vector<file_object> Objects;
  field_lines Lines;
};

/// Reads a file; an error names file, line and field.
absl::StatusOr<config_file> loadConfigFile(const std::string &Path);

/// Checks documents and references of all objects together; an error names
/// file, line and field.
absl::Status checkConfig(const config_file &File);

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_CONFIG_FILE_H
