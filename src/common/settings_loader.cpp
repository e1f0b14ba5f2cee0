#include "common/settings_loader.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Returns why the file at \p Path cannot be read, or else puts its content
/// into \p Text.
std::optional<std::string> readText(const std::string &Path,
                                    std::string &Text) {
  std::error_code Ignored;
  if (std::filesystem::is_directory(Path, Ignored))
    return std::strerror(EISDIR);
  errno = 0;
  const std::ifstream File(Path);
  std::ostringstream Content;
  Content << File.rdbuf();
  if (!File.is_open() || File.bad())
    return std::strerror(errno != 0 ? errno : EIO);
  Text = Content.str();
  return std::nullopt;
}

/// Reads the TOML file at \p Path into \p Fields and adds errors to
/// \p Problems.
void readFile(const std::string &Path, std::span<const bound_field> Fields,
              problem_list &Problems) {
  std::string Text;
  if (const auto Reason = readText(Path, Text)) {
    Problems.push_back(
        {0, "", fmt::format("{} cannot be read: {}", Path, *Reason)});
    return;
  }
  const toml::parse_result Parsed = toml::parse(Text, Path);
  if (!Parsed) {
    Problems.push_back(
        {Parsed.error().source().begin.line, "",
         fmt::format("{}: {}", Path, Parsed.error().description())});
    return;
  }
  if (Parsed.table().empty()) {
    Problems.push_back({0, "", fmt::format("{} holds no settings", Path)});
    return;
  }
  readFields(Parsed.table(), Fields, completeness::AllowMissing, "", Problems);
}

} // namespace

std::optional<failure> loadSettings(const std::string &Path,
                                    const std::vector<std::string> &Overrides,
                                    std::span<const bound_field> Fields) {
  problem_list Problems;
  if (!Path.empty())
    readFile(Path, Fields, Problems);
  for (const std::string &Override : Overrides) {
    const std::size_t Equals = Override.find('=');
    if (Equals == std::string::npos) {
      Problems.push_back({0, Override, "must have the form name=value"});
      continue;
    }
    readFieldText(Override.substr(0, Equals), Override.substr(Equals + 1),
                  Fields, Problems);
  }
  if (Problems.empty())
    return std::nullopt;
  return failure{error_kind::SettingsInvalid, describe(Problems)};
}

} // namespace ebonyvale
