//===- config_file.cpp - Configuration files ------------------------------===//

#include "ctl/config_file.h"
#include "base/error.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Converts a path of the catalog, "kind/name.field", to the path of the same
// field in a file, "kinds.name.field".
std::string pathInFile(std::string_view CatalogPath) {
  size_t Slash = CatalogPath.find('/');
  if (Slash == std::string_view::npos)
    return std::string(CatalogPath);
  return std::string(CatalogPath.substr(0, Slash)) + "s." +
         std::string(CatalogPath.substr(Slash + 1));
}

// Prefixes each line of \p Message, one fault, with the file and the line
// number of the field that it names.
std::string withLines(const config_file &File, std::string_view Message) {
  std::string Text;
  while (!Message.empty()) {
    std::string_view Fault = Message.substr(0, Message.find('\n'));
    Message.remove_prefix(std::min(Message.size(), Fault.size() + 1));
    std::string Path = pathInFile(Fault.substr(0, Fault.find(':')));
    Text += (Text.empty() ? "" : "\n") + File.Path + ": line " +
            std::to_string(File.Lines.lineOf(Path)) + ": " + std::string(Fault);
  }
  return Text;
}

} // namespace

absl::StatusOr<config_file> loadConfigFile(const std::string &Path) {
  auto Text = readFile(Path);
  if (!Text.ok())
    return Text.status();
  auto Value = parseJson(*Text, Path);
  if (!Value.ok())
    return Value.status();
  fault_list Faults;
  config_file File{Path, {}, field_lines(*Text)};
  object_reader Reader(*Value, "", Faults);
  for (std::string_view Kind : KindNames)
    Reader.members(std::string(Kind) + "s", [&](const std::string &Name,
                                                const json &Document,
                                                const std::string &) {
      File.Objects.push_back({{std::string(Kind), Name}, Document});
    });
  Reader.finish();
  if (!Faults.empty())
    return makeError(error_kind::BadConfiguration,
                     Faults.textOf(Path, File.Lines));
  return File;
}

absl::Status checkConfig(const config_file &File) {
  wire::change_set Changes;
  for (const file_object &Object : File.Objects) {
    wire::config_change *Change = Changes.add_changes();
    Change->set_kind(Object.Key.Kind);
    Change->set_name(Object.Key.Name);
    Change->set_document(jsonText(Object.Document));
  }
  catalog Catalog;
  absl::Status Status = Catalog.applyChanges(Changes, 1);
  if (Status.ok())
    return Status;
  return makeError(kindOf(Status), withLines(File, messageOf(Status)));
}

} // namespace olivevalve
