// The settings template is that of the tree in which a program runs.
#include "gateway/settings_template.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>

using namespace ebonyvale;
namespace fs = std::filesystem;

namespace {

struct place_row {
  char Name[40];
  char Program[32]; ///< below the test's folder; empty: not known
  char Built[32];
  char Working[32];
  char Found[32]; ///< the tree whose template is used; empty: an error
};

/// Has trees with a template in it, and one without.
class test_trees {
public:
  test_trees() {
    char Name[] = "/tmp/settings-template-XXXXXX";
    cr_assert(mkdtemp(Name));
    Root = Name;
    for (const char *Tree : {"built", "moved"}) {
      fs::create_directories(Root / Tree / "deploy");
      std::ofstream(templateOf(Tree)) << Tree;
    }
    fs::create_directories(Root / "other/deploy");
  }
  ~test_trees() { fs::remove_all(Root); }
  test_trees(const test_trees &) = delete;
  test_trees &operator=(const test_trees &) = delete;

  fs::path templateOf(const char *Tree) const {
    return Root / Tree / "deploy/gateway.toml.template";
  }
  fs::path at(const char *Path) const {
    return *Path ? Root / Path : fs::path();
  }

private:
  fs::path Root;
};

} // namespace

ParameterizedTestParameters(settings_template, is_that_of_the_programs_tree) {
  static place_row Rows[] = {
      {"where it was built", "built/review/build/case", "built", "built",
       "built"},
      {"moved, the build is gone", "moved/review/build/case", "gone",
       "moved/review/2", "moved"},
      {"copied, the build is there", "moved/review/build/case", "built",
       "moved/review/2", "moved"},
      {"started from another tree", "moved/build/tests/case", "gone", "built",
       "moved"},
      {"built outside of its tree", "other/case", "built", "moved", "built"},
      {"the program is not known", "", "gone", "moved/review/2", "moved"},
      {"none", "other/build/case", "gone", "other", ""}};
  return criterion_test_params(Rows);
}

/// A program whose tree had been moved or copied elsewhere after the build read
/// no template, and its gateways ended at once for want of settings.
ParameterizedTest(place_row *Row, settings_template,
                  is_that_of_the_programs_tree) {
  const test_trees Trees;
  const template_places Places{Trees.at(Row->Program),
                               Trees.templateOf(Row->Built),
                               Trees.at(Row->Working)};
  if (*Row->Found) {
    const fs::path Found = findSettingsTemplate(Places);
    cr_assert(Found == Trees.templateOf(Row->Found), "%s: %s", Row->Name,
              Found.c_str());
    cr_assert(readSettingsTemplate(Found) == Row->Found);
    return;
  }
  try {
    findSettingsTemplate(Places);
    cr_assert(false, "%s: no error", Row->Name);
  } catch (const std::runtime_error &Error) {
    const std::string Text = Error.what();
    for (const fs::path &Path : {Places.Program, Places.Built, Places.Working})
      cr_assert(Text.find(Path.string()) != std::string::npos, "%s",
                Text.c_str());
  }
}

Test(settings_template, an_empty_one_is_an_error) {
  const test_trees Trees;
  const fs::path File = Trees.templateOf("built");
  std::ofstream(File, std::ios::trunc).flush();
  try {
    readSettingsTemplate(File);
    cr_assert(false, "no error");
  } catch (const std::runtime_error &Error) {
    cr_assert(std::string(Error.what()).find(File.string()) !=
              std::string::npos);
  }
}
