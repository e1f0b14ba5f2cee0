#include "common/settings_loader.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Reads the TOML file at \p Path into \p Fields and adds errors to
/// \p Problems.
void readFile(const std::string &Path, std::span<const bound_field> Fields,
              problem_list &Problems) {
  const toml::parse_result Parsed = toml::parse_file(Path);
  if (!Parsed) {
    Problems.push_back(
        {Parsed.error().source().begin.line, "",
         fmt::format("{}: {}", Path, Parsed.error().description())});
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
