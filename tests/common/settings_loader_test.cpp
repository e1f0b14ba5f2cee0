// Settings files that cannot be read or hold nothing.
#include "common/settings_loader.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace ebonyvale;

namespace {

struct sample {
  std::string Name;
};

const std::array SampleFields{
    field<sample>{{.Name = "instance.name"}, &sample::Name}};

struct file_row {
  char Name[24];
  bool Exists;
  char Text[48];
  char Problem[40]; ///< after the path; empty: none
};

} // namespace

ParameterizedTestParameters(settings_loader, an_unusable_file_is_an_error) {
  static file_row Rows[] = {
      {"missing", false, "", " cannot be read: No such file"},
      {"folder", false, "/", " cannot be read: Is a directory"},
      {"empty", true, "", " holds no settings"},
      {"comments only", true, "# none\n\n", " holds no settings"},
      {"malformed", true, "[instance\n", ": "},
      {"settings", true, "[instance]\nname = \"a\"\n", ""}};
  return criterion_test_params(Rows);
}

/// A gateway whose settings file was empty or a folder complained of a setting
/// that it lacked, not of the file.
ParameterizedTest(file_row *Row, settings_loader,
                  an_unusable_file_is_an_error) {
  char Folder[] = "/tmp/settings-loader-XXXXXX";
  cr_assert(mkdtemp(Folder));
  std::string Path = std::string(Folder) + "/settings.toml";
  if (Row->Exists)
    std::ofstream(Path) << Row->Text;
  else if (Row->Text[0] == '/')
    Path = Folder;
  sample Settings;
  const auto Problem = loadSettings(
      Path, {},
      bindFields(std::span<const field<sample>>(SampleFields), Settings));
  std::filesystem::remove_all(Folder);
  if (Row->Problem[0] == 0) {
    cr_assert(!Problem && Settings.Name == "a");
    return;
  }
  cr_assert(Problem && Problem->kind() == error_kind::SettingsInvalid, "%s",
            Row->Name);
  cr_assert(Problem->Detail.find(Path + Row->Problem) != std::string::npos,
            "%s: %s", Row->Name, Problem->Detail.c_str());
}
