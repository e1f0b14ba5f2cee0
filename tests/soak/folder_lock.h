/// \file
/// Keeps a second soak out of a folder.
#ifndef EBONYVALE_TESTS_SOAK_FOLDER_LOCK_H
#define EBONYVALE_TESTS_SOAK_FOLDER_LOCK_H

#include <filesystem>
#include <string>

namespace ebonyvale {

/// Holds a folder for as long as the lock or its process lives.
class folder_lock {
public:
  explicit folder_lock(const std::filesystem::path &Folder);
  ~folder_lock();
  folder_lock(const folder_lock &) = delete;
  folder_lock &operator=(const folder_lock &) = delete;

  bool held() const { return Problem.empty(); }
  /// Returns why the folder is not held.
  const std::string &problem() const { return Problem; }

private:
  int File = -1;
  std::string Problem;
};

} // namespace ebonyvale

#endif
