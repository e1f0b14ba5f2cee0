#include "gateway/settings_template.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include <spdlog/fmt/fmt.h>

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

constexpr const char *TemplateName = "deploy/gateway.toml.template";

bool isFile(const std::filesystem::path &Path) {
  std::error_code Ignored;
  return std::filesystem::is_regular_file(Path, Ignored);
}

/// Returns the template in the innermost of \p Folder and the folders around
/// it that has one; empty if none has.
std::filesystem::path templateAbove(std::filesystem::path Folder) {
  while (!Folder.empty()) {
    if (isFile(Folder / TemplateName))
      return Folder / TemplateName;
    if (Folder == Folder.parent_path())
      break;
    Folder = Folder.parent_path();
  }
  return {};
}

} // namespace

std::filesystem::path findSettingsTemplate(const template_places &Places) {
  if (auto Found = templateAbove(Places.Program.parent_path()); !Found.empty())
    return Found;
  if (isFile(Places.Built))
    return Places.Built;
  if (auto Found = templateAbove(Places.Working); !Found.empty())
    return Found;
  throw std::runtime_error(
      fmt::format("no settings template: there is no {} above the program {} "
                  "or the working folder {}, and no {}, where it was built",
                  TemplateName, Places.Program.string(),
                  Places.Working.string(), Places.Built.string()));
}

std::string readSettingsTemplate(const std::filesystem::path &File) {
  std::ostringstream Text;
  Text << std::ifstream(File).rdbuf();
  if (Text.view().empty())
    throw std::runtime_error(fmt::format(
        "the settings template {} is empty or cannot be read", File.string()));
  return Text.str();
}

std::string readSettingsTemplate() {
  std::error_code Ignored;
  template_places Places;
  Places.Program = std::filesystem::read_symlink("/proc/self/exe", Ignored);
  Places.Built = EBONYVALE_SETTINGS_TEMPLATE;
  Places.Working = std::filesystem::current_path(Ignored);
  return readSettingsTemplate(findSettingsTemplate(Places));
}

std::string renderTemplate(std::string_view Template,
                           const nlohmann::json &Fields) {
  return render(Template, Fields, nullptr);
}

} // namespace ebonyvale
