#include "decisions/process/unknown_fields.h"

#include <algorithm>

namespace ebonyvale {

bool unknown_fields::add(std::string_view Source, std::string_view Name) {
  Name = Name.substr(0, MaxNameLength);
  const auto Known =
      std::ranges::find_if(Fields, [&](const unknown_field &Field) {
        return Field.Source == Source && Field.Name == Name;
      });
  if (Known != Fields.end()) {
    ++Known->Count;
    return false;
  }
  if (Fields.size() == MaxNames) {
    ++Others;
    return false;
  }
  Fields.push_back({std::string(Source), std::string(Name), 1});
  return true;
}

} // namespace ebonyvale
