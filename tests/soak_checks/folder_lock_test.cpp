#include "soak/folder_lock.h"

#include <criterion/criterion.h>

#include <unistd.h>

using namespace ebonyvale;

Test(soak_folder, is_held_by_one_soak) {
  char Folder[] = "/tmp/soak-folder-XXXXXX";
  cr_assert(mkdtemp(Folder));
  {
    const folder_lock First(Folder);
    cr_assert(First.held());
    const folder_lock Second(Folder);
    cr_assert(!Second.held());
    cr_assert(Second.problem().find("another soak runs in") == 0, "%s",
              Second.problem().c_str());
  }
  cr_assert(folder_lock(Folder).held());
  std::filesystem::remove_all(Folder);
  const folder_lock Missing(Folder);
  cr_assert(Missing.problem().find("cannot be used") != std::string::npos, "%s",
            Missing.problem().c_str());
}
