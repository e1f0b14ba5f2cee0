#include "gateway/settings_template.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace ebonyvale {
namespace {

using nlohmann::json;

/// Returns the value at the dotted path \p Name, or null if there is none.
const json *valueAt(const json &Fields, std::string_view Name) {
  const json *Value = &Fields;
  while (!Name.empty()) {
    const std::size_t Dot = Name.find('.');
    const auto Found = Value->find(std::string(Name.substr(0, Dot)));
    if (!Value->is_object() || Found == Value->end())
      return nullptr;
    Value = &*Found;
    Name = Dot == std::string_view::npos ? "" : Name.substr(Dot + 1);
  }
  return Value;
}

std::string textOf(const json *Value) {
  if (!Value || Value->is_null())
    return {};
  return Value->is_string() ? Value->get<std::string>() : Value->dump();
}

/// An entry of the table or list that a section iterates over.
struct section_entry {
  std::string Key;
  const json *Value = nullptr;
  bool IsLast = false;
};

std::string render(std::string_view Template, const json &Fields,
                   const section_entry *Entry);

std::string renderSection(std::string_view Body, const json *Value,
                          const json &Fields) {
  if (!Value || Value->is_null() || (Value->is_boolean() && !*Value))
    return {};
  if (!Value->is_structured())
    return render(Body, Fields, nullptr);
  std::string Out;
  std::size_t Index = 0;
  for (const auto &[Key, Element] : Value->items()) {
    const section_entry Entry{Key, &Element, ++Index == Value->size()};
    Out += render(Body, Fields, &Entry);
  }
  return Out;
}

std::string render(std::string_view Template, const json &Fields,
                   const section_entry *Entry) {
  std::string Out;
  while (true) {
    const std::size_t Open = Template.find("{{");
    Out += Template.substr(0, Open);
    if (Open == std::string_view::npos)
      return Out;
    const std::size_t Close = Template.find("}}", Open);
    const std::string Name(Template.substr(Open + 2, Close - Open - 2));
    Template.remove_prefix(Close + 2);
    if (Name == "@") {
      Out += Entry->Key;
    } else if (Name == ".") {
      Out += textOf(Entry->Value);
    } else if (Name == ",") {
      Out += Entry->IsLast ? "" : ",";
    } else if (Name.starts_with('#')) {
      const std::string End = "{{/" + Name.substr(1) + "}}";
      const std::size_t Stop = Template.find(End);
      if (Stop == std::string_view::npos)
        throw std::runtime_error("section " + Name + " has no end");
      Out += renderSection(Template.substr(0, Stop),
                           valueAt(Fields, Name.substr(1)), Fields);
      Template.remove_prefix(Stop + End.size());
    } else {
      Out += textOf(valueAt(Fields, Name));
    }
  }
}

} // namespace

std::string readSettingsTemplate() {
  const std::ifstream File(EBONYVALE_SETTINGS_TEMPLATE);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string renderTemplate(std::string_view Template,
                           const nlohmann::json &Fields) {
  return render(Template, Fields, nullptr);
}

} // namespace ebonyvale
