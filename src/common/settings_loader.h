/// \file
/// Loads settings from a TOML file and command-line overrides.
#ifndef EBONYVALE_COMMON_SETTINGS_LOADER_H
#define EBONYVALE_COMMON_SETTINGS_LOADER_H

#include "common/field_table.h"
#include "common/result.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// Reads the file at \p Path, unless \p Path is empty, and then \p Overrides,
/// each "name=value", into \p Fields. Returns `SettingsInvalid` with a list of
/// all errors if any value is invalid, or if the file cannot be read or holds
/// no settings.
std::optional<failure> loadSettings(const std::string &Path,
                                    const std::vector<std::string> &Overrides,
                                    std::span<const bound_field> Fields);

} // namespace ebonyvale

#endif
