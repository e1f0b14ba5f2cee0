/// \file
/// Renders the settings template of the deploy file as the platform does.
#ifndef EBONYVALE_TESTS_GATEWAY_SETTINGS_TEMPLATE_H
#define EBONYVALE_TESTS_GATEWAY_SETTINGS_TEMPLATE_H

#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Returns the text of deploy/gateway.toml.template in the tree that holds the
/// running program. Throws `std::runtime_error` if it cannot be read.
std::string readSettingsTemplate();

/// Where the template is looked for.
struct template_places {
  std::filesystem::path Program; ///< the running program; empty: not known
  std::filesystem::path Built;   ///< the template when the program was built
  std::filesystem::path Working; ///< the working folder
};

/// Returns the template above the program, or else that of the build, which may
/// have been moved, or else the one above the working folder. Throws
/// `std::runtime_error`, with the places, if there is none.
std::filesystem::path findSettingsTemplate(const template_places &Places);

/// Returns the text of the template \p File. Throws `std::runtime_error` if it
/// cannot be read or is empty.
std::string readSettingsTemplate(const std::filesystem::path &File);

/// Returns \p Template with its placeholders and sections replaced from
/// \p Fields. A section over a table or a list is rendered once for each entry,
/// and one over another value once if there is such a value and it is not
/// false.
std::string renderTemplate(std::string_view Template,
                           const nlohmann::json &Fields);

} // namespace ebonyvale

#endif
