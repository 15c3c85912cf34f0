//===- temporary_folder.h - A folder with the object's lifetime -*- C++ -*-===//

#ifndef OLIVEVALVE_TESTS_TEMPORARY_FOLDER_H
#define OLIVEVALVE_TESTS_TEMPORARY_FOLDER_H

#include <cstdlib>
#include <filesystem>
#include <string>

namespace olivevalve {

/// Creates a folder and removes it with its contents when destroyed.
class temporary_folder {
public:
  temporary_folder() {
    std::string Name =
        std::filesystem::temp_directory_path() / "olivevalve-test.XXXXXX";
    if (mkdtemp(Name.data()))
      Path = Name;
  }
  ~temporary_folder() {
    std::error_code Ignored;
    std::filesystem::remove_all(Path, Ignored);
  }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;
  /// Empty if the folder could not be created.
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_TEMPORARY_FOLDER_H
