#include "soak/folder_lock.h"

#include <cerrno>
#include <system_error>

#include <fcntl.h>
#include <spdlog/fmt/fmt.h>
#include <sys/file.h>
#include <unistd.h>

namespace ebonyvale {

folder_lock::folder_lock(const std::filesystem::path &Folder) {
  constexpr mode_t Mode = 0644;
  File =
      open((Folder / "soak.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, Mode);
  if (File >= 0 && flock(File, LOCK_EX | LOCK_NB) == 0)
    return;
  Problem =
      File >= 0 && errno == EWOULDBLOCK
          ? fmt::format("another soak runs in {}; choose another --folder",
                        Folder.string())
          : fmt::format("{} cannot be used: {}", Folder.string(),
                        std::generic_category().message(errno));
}

folder_lock::~folder_lock() {
  if (File >= 0)
    close(File);
}

} // namespace ebonyvale
