/// \file
/// Renders the settings template of the deploy file as the platform does.
#ifndef EBONYVALE_TESTS_GATEWAY_SETTINGS_TEMPLATE_H
#define EBONYVALE_TESTS_GATEWAY_SETTINGS_TEMPLATE_H

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace ebonyvale {

/// Returns the text of deploy/gateway.toml.template.
std::string readSettingsTemplate();

/// Returns \p Template with its placeholders and sections replaced from
/// \p Fields. A section over a table or a list is rendered once for each entry,
/// and one over another value once if there is such a value and it is not
/// false.
std::string renderTemplate(std::string_view Template,
                           const nlohmann::json &Fields);

} // namespace ebonyvale

#endif
