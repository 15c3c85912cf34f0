//===- config_file.h - Configuration files ----------------------*- C++ -*-===//
//
// A file of JSON with comments: "models", "templates", "accounts",
// "upstreams", "services", each an object from name to document.
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

/// Reads a file; an error names file, line or field.
absl::StatusOr<std::vector<file_object>>
loadConfigFile(const std::string &Path);

/// Checks documents and references of all objects together.
absl::Status checkObjects(const std::vector<file_object> &Objects);

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_CONFIG_FILE_H
