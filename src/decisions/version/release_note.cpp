#include "decisions/version/release_note.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

/// Format number of snapshots; no other is accepted.
constexpr std::int64_t SnapshotFormat = 1;

/// Number of notes kept to detect that a note is submitted again.
constexpr std::int64_t MaxAppliedNotes = 1000;

/// Maximum length of a note's id.
constexpr std::size_t MaxNoteIdBytes = 128;

/// Top-level tables of a note, named after what they do to entities.
constexpr std::string_view AddedTable = "added";
constexpr std::string_view ChangedTable = "changed";
constexpr std::string_view WithdrawnTable = "withdrawn";

/// An entry of a `withdrawn` table.
struct withdrawal {
  std::string Key;
  bool Cut = false;
};

failure invalidNote(const problem_list &Problems) {
  return {error_kind::NoteInvalid, describe(Problems)};
}

/// Author of a note. Only snapshots, which the router writes, contain the
/// history of applied notes.
enum class note_author { Operator, Router };

/// Calls \p Apply with each entity map that a note by \p Author may change.
template <typename Config, typename Function>
void forEachEntityMap(Config &Value, note_author Author, Function Apply) {
  if (Author == note_author::Router)
    Apply(Value.AppliedNotes);
  Apply(Value.Domains);
  Apply(Value.Teams);
  Apply(Value.Keys);
  Apply(Value.Models);
  Apply(Value.Upstreams);
  Apply(Value.Routes);
}

std::string entityPath(std::string_view Change, std::string_view Section,
                       std::string_view Key) {
  return fmt::format("{}.{}[{}].", Change, Section, Key);
}

/// Applies a note to a configuration and collects the problems found.
class note_reader {
public:
  note_reader(configuration &Target, note_author Author, problem_list &Problems)
      : Target(Target), Author(Author), Problems(Problems) {}

  void read(const toml::table &Note) {
    checkTopLevel(Note);
    for (const std::string_view Change :
         {AddedTable, ChangedTable, WithdrawnTable})
      readChanges(Note, Change);
  }

private:
  void checkTopLevel(const toml::table &Note) {
    constexpr std::array<std::string_view, 8> Known{
        "id",     "base",  "format",  "version",
        "digest", "added", "changed", "withdrawn"};
    for (const auto &[Key, Node] : Note)
      reportUnknown(Known, Key.str(), Node, "");
  }

  void reportUnknown(std::span<const std::string_view> Known,
                     std::string_view Name, const toml::node &Node,
                     std::string_view Where) {
    for (const std::string_view Candidate : Known)
      if (Candidate == Name)
        return;
    std::string Reason = "unknown field";
    const std::string_view Near = nearestName(Name, Known);
    if (!Near.empty())
      Reason += fmt::format("; did you mean '{}'?", Near);
    Problems.push_back(
        {Node.source().begin.line, fmt::format("{}{}", Where, Name), Reason});
  }

  void readChanges(const toml::table &Note, std::string_view Change) {
    const toml::node *Node = Note.get(Change);
    if (!Node)
      return;
    const toml::table *Sections = Node->as_table();
    if (!Sections) {
      Problems.push_back(
          {Node->source().begin.line, std::string(Change), "must be a table"});
      return;
    }
    std::vector<std::string_view> Known;
    forEachEntityMap(Target, Author,
                     [&]<typename Entity>(entity_map<Entity> &Map) {
                       Known.push_back(entity_traits<Entity>::Section);
                       readSection(*Sections, Change, Map);
                     });
    for (const auto &[Key, Section] : *Sections)
      reportUnknown(Known, Key.str(), Section, fmt::format("{}.", Change));
  }

  template <typename Entity>
  void readSection(const toml::table &Sections, std::string_view Change,
                   entity_map<Entity> &Map) {
    const std::string_view Section = entity_traits<Entity>::Section;
    const toml::node *Node = Sections.get(Section);
    if (!Node)
      return;
    const toml::array *Entries = Node->as_array();
    if (!Entries) {
      Problems.push_back({Node->source().begin.line,
                          fmt::format("{}.{}", Change, Section),
                          fmt::format("must be an array of tables, written "
                                      "[[{}.{}]]",
                                      Change, Section)});
      return;
    }
    for (const toml::node &Entry : *Entries)
      readEntry(Entry, Change, Map);
  }

  template <typename Entity>
  void readEntry(const toml::node &Entry, std::string_view Change,
                 entity_map<Entity> &Map) {
    using traits = entity_traits<Entity>;
    const std::uint32_t Line = Entry.source().begin.line;
    const toml::table *Table = Entry.as_table();
    const toml::value<std::string> *KeyNode =
        Table ? Table->get_as<std::string>(traits::Key) : nullptr;
    if (!KeyNode) {
      Problems.push_back({Line, fmt::format("{}.{}", Change, traits::Section),
                          fmt::format("needs a string '{}'", traits::Key)});
      return;
    }
    const std::string &Key = KeyNode->get();
    const std::string Where = entityPath(Change, traits::Section, Key);
    if (Change == AddedTable)
      addEntity(*Table, Key, Where, Map);
    else if (Change == ChangedTable)
      changeEntity(*Table, Key, Where, Map);
    else
      withdrawEntity(*Table, Key, Where, Map);
  }

  template <typename Entity>
  void addEntity(const toml::table &Table, const std::string &Key,
                 const std::string &Where, entity_map<Entity> &Map) {
    Entity Value;
    readFields(Table, bindFields(entity_traits<Entity>::fields(), Value),
               completeness::RequireAll, Where, Problems);
    if (!Map.emplace(Key, std::move(Value)).second)
      Problems.push_back(
          {Table.source().begin.line, Where, "already exists; use 'changed'"});
  }

  template <typename Entity>
  void changeEntity(const toml::table &Table, const std::string &Key,
                    const std::string &Where, entity_map<Entity> &Map) {
    const auto Found = Map.find(Key);
    if (Found == Map.end()) {
      Problems.push_back(
          {Table.source().begin.line, Where, "does not exist; use 'added'"});
      return;
    }
    readFields(Table,
               bindFields(entity_traits<Entity>::fields(), Found->second),
               completeness::AllowMissing, Where, Problems);
  }

  template <typename Entity>
  void withdrawEntity(const toml::table &Table, const std::string &Key,
                      const std::string &Where, entity_map<Entity> &Map) {
    withdrawal Withdrawal;
    const field<withdrawal> KeyField{{.Name = entity_traits<Entity>::Key,
                                      .Description = "Entity to withdraw."},
                                     &withdrawal::Key};
    const field<withdrawal> CutField{
        {.Name = "cut", .Description = "End running streams of the key."},
        &withdrawal::Cut};
    std::vector<field<withdrawal>> Fields{KeyField};
    if constexpr (std::is_same_v<Entity, key_entry>)
      Fields.push_back(CutField);
    readFields(
        Table,
        bindFields(std::span<const field<withdrawal>>(Fields), Withdrawal),
        completeness::RequireAll, Where, Problems);
    const auto Found = Map.find(Key);
    if (Found == Map.end()) {
      Problems.push_back({Table.source().begin.line, Where, "does not exist"});
      return;
    }
    // A withdrawn key stays listed, so that its callers get KeyWithdrawn.
    if constexpr (std::is_same_v<Entity, key_entry>) {
      Found->second.Withdrawn = true;
      Found->second.Cut = Withdrawal.Cut;
    } else {
      Map.erase(Found);
    }
  }

  configuration &Target;
  note_author Author;
  problem_list &Problems;
};

template <typename Entity>
void checkReference(const entity_map<Entity> &Map, std::string_view Name,
                    std::string_view Where, problem_list &Problems) {
  if (!Map.contains(Name))
    Problems.push_back({0, std::string(Where),
                        fmt::format("{} '{}' does not exist",
                                    entity_traits<Entity>::Section, Name)});
}

/// Drops withdrawn keys of teams that no longer exist, then checks all
/// references between entities.
void checkReferences(configuration &Config, problem_list &Problems) {
  std::erase_if(Config.Keys, [&Config](const auto &Entry) {
    return Entry.second.Withdrawn && !Config.Teams.contains(Entry.second.Team);
  });
  std::map<std::string_view, std::string_view> IdsByHash;
  for (const auto &[Id, Key] : Config.Keys) {
    const std::string Where = fmt::format("key[{}]", Id);
    checkReference(Config.Teams, Key.Team, Where, Problems);
    if (!digestFromHex(Key.Hash))
      Problems.push_back({0, Where, "hash must be 64 lower-case hex digits"});
    if (!IdsByHash.emplace(Key.Hash, Id).second)
      Problems.push_back({0, Where, "has the same hash as another key"});
  }
  for (const auto &[Name, Upstream] : Config.Upstreams) {
    const std::string Where = fmt::format("upstream[{}]", Name);
    checkReference(Config.Domains, Upstream.Domain, Where, Problems);
    for (const std::string &Model : Upstream.Models)
      checkReference(Config.Models, Model, Where, Problems);
    if (Upstream.Kind == "application" && Upstream.Group.empty())
      Problems.push_back({0, Where, "an application upstream needs a group"});
  }
  for (const auto &[Name, Route] : Config.Routes) {
    const std::string Where = fmt::format("route[{}]", Name);
    if (!Route.Prefix.starts_with('/'))
      Problems.push_back({0, Where, "prefix must start with '/'"});
    if (Config.groupMembers(Route.Group).empty())
      Problems.push_back(
          {0, Where,
           fmt::format("group '{}' has no application upstream", Route.Group)});
  }
}

result<toml::table> parseNote(std::string_view Text) {
  if (Text.size() > MaxNoteBytes)
    return failure{
        error_kind::NoteInvalid,
        fmt::format("the note is longer than {} bytes", MaxNoteBytes)};
  toml::parse_result Parsed = toml::parse(Text);
  if (!Parsed)
    return invalidNote({{Parsed.error().source().begin.line, "",
                         std::string(Parsed.error().description())}});
  return std::move(Parsed).table();
}

bool isNoteIdCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) || C == '-' || C == '_' ||
         C == '.';
}

result<std::string> noteId(const toml::table &Note) {
  const auto *Id = Note.get_as<std::string>("id");
  if (!Id || Id->get().empty() || Id->get().size() > MaxNoteIdBytes ||
      !std::ranges::all_of(Id->get(), isNoteIdCharacter))
    return invalidNote(
        {{1, "id",
          fmt::format("a note needs a string 'id' of 1 to {} letters, digits, "
                      "'-', '_' and '.'",
                      MaxNoteIdBytes)}});
  return Id->get();
}

/// Applies a parsed note but keeps the version and digest of \p Base.
result<configuration> applyTable(const configuration &Base,
                                 const toml::table &Note, note_author Author) {
  result<std::string> Id = noteId(Note);
  if (!Id)
    return Id.error();
  configuration Next = Base;
  Next.NoteId = *Id;
  problem_list Problems;
  note_reader(Next, Author, Problems).read(Note);
  if (Problems.empty())
    checkReferences(Next, Problems);
  if (!Problems.empty())
    return invalidNote(Problems);
  Next.rebuildIndexes();
  return Next;
}

/// Adds the note that created \p Value to its history and drops the oldest
/// notes.
void recordAppliedNote(configuration &Value, std::string_view NoteText) {
  const auto Version = static_cast<std::int64_t>(Value.Version);
  Value.AppliedNotes[Value.NoteId] = {Value.NoteId, Version,
                                      toHex(hashText(NoteText))};
  std::erase_if(Value.AppliedNotes, [Version](const auto &Entry) {
    return Entry.second.Version + MaxAppliedNotes <= Version;
  });
}

} // namespace

result<std::string> readNoteId(std::string_view NoteText) {
  const result<toml::table> Note = parseNote(NoteText);
  if (!Note)
    return Note.error();
  return noteId(*Note);
}

std::optional<std::uint64_t> findAppliedVersion(const configuration &Value,
                                                std::string_view NoteText) {
  const result<std::string> Id = readNoteId(NoteText);
  if (!Id)
    return std::nullopt;
  const auto Known = Value.AppliedNotes.find(*Id);
  if (Known == Value.AppliedNotes.end() ||
      Known->second.Digest != toHex(hashText(NoteText)))
    return std::nullopt;
  return static_cast<std::uint64_t>(Known->second.Version);
}

result<configuration> applyNote(const configuration &Base,
                                std::string_view NoteText) {
  const result<toml::table> Note = parseNote(NoteText);
  if (!Note)
    return Note.error();
  const toml::node *BaseNode = Note->get("base");
  if (BaseNode && !BaseNode->is_integer())
    return invalidNote(
        {{BaseNode->source().begin.line, "base", "must be an integer"}});
  const auto Expected = Note->get_as<std::int64_t>("base");
  if (Expected && Expected->get() != static_cast<std::int64_t>(Base.Version))
    return failure{
        error_kind::NoteConflict,
        fmt::format("the note was written for version {}; version {} is in "
                    "force, created by note '{}'",
                    Expected->get(), Base.Version, Base.NoteId)};
  result<configuration> Next = applyTable(Base, *Note, note_author::Operator);
  if (!Next)
    return Next;
  const auto Known = Base.AppliedNotes.find(Next->NoteId);
  if (Known != Base.AppliedNotes.end())
    return failure{error_kind::NoteConflict,
                   fmt::format("note '{}' has already created version {}",
                               Next->NoteId, Known->second.Version)};
  Next->Version = Base.Version + 1;
  Next->Digest = chainDigest(Base.Digest, NoteText);
  recordAppliedNote(*Next, NoteText);
  return Next;
}

std::string writeSnapshot(const configuration &Value) {
  std::string Out = fmt::format(
      "format = {}\nid = \"{}\"\nversion = {}\ndigest = \"{}\"\n",
      SnapshotFormat, Value.NoteId, Value.Version, toHex(Value.Digest));
  configuration Copy = Value;
  forEachEntityMap(
      Copy, note_author::Router,
      [&Out]<typename Entity>(entity_map<Entity> &Map) {
        for (auto &[Key, Entry] : Map)
          Out += fmt::format(
              "\n[[added.{}]]\n{}", entity_traits<Entity>::Section,
              writeFields(bindFields(entity_traits<Entity>::fields(), Entry),
                          /*WithSecrets=*/true));
      });
  return Out;
}

result<configuration> readSnapshot(std::string_view Text) {
  toml::parse_result Parsed = toml::parse(Text);
  if (!Parsed)
    return failure{error_kind::FormatUnsupported,
                   std::string(Parsed.error().description())};
  const toml::table &Note = Parsed.table();
  const auto Format = Note["format"].value<std::int64_t>();
  if (Format != SnapshotFormat)
    return failure{error_kind::FormatUnsupported,
                   fmt::format("snapshot format {} is not {}",
                               Format.value_or(0), SnapshotFormat)};
  const auto Version = Note["version"].value<std::int64_t>();
  const auto Hex = Note["digest"].value<std::string>();
  const auto Digest = Hex ? digestFromHex(*Hex) : std::nullopt;
  if (!Version || *Version < 0 || !Digest)
    return failure{error_kind::FormatUnsupported,
                   "the snapshot lacks a valid version or digest"};
  result<configuration> Value =
      applyTable(configuration{}, Note, note_author::Router);
  if (!Value)
    return Value;
  Value->Version = static_cast<std::uint64_t>(*Version);
  Value->Digest = *Digest;
  return Value;
}

} // namespace ebonyvale
