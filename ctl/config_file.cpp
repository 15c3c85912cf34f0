//===- config_file.cpp - Configuration files ------------------------------===//

#include "ctl/config_file.h"
#include "base/error.h"

namespace olivevalve {

absl::StatusOr<std::vector<file_object>>
loadConfigFile(const std::string &Path) {
  auto Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  auto Value = parseJson(*Text, Path);
  if (!Value.ok())
    return Value.status();
  fault_list Faults;
  std::vector<file_object> Objects;
  object_reader Reader(*Value, "", Faults);
  for (std::string_view Kind : KindNames)
    Reader.members(std::string(Kind) + "s",
                   [&](const std::string &Name, const json &Document,
                       const std::string &) {
                     Objects.push_back({{std::string(Kind), Name}, Document});
                   });
  Reader.finish();
  if (!Faults.empty())
    return makeError(error_kind::BadConfiguration, Path + ": " + Faults.text());
  return Objects;
}

absl::Status checkObjects(const std::vector<file_object> &Objects) {
  wire::change_set Changes;
  for (const file_object &Object : Objects) {
    wire::config_change *Change = Changes.add_changes();
    Change->set_kind(Object.Key.Kind);
    Change->set_name(Object.Key.Name);
    Change->set_document(Object.Document.dump());
  }
  catalog Catalog;
  return Catalog.applyChanges(Changes, 1);
}

} // namespace olivevalve
