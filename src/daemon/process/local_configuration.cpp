#include "daemon/process/local_configuration.h"

#include "decisions/version/release_note.h"

#include <fstream>
#include <iterator>

namespace ebonyvale {

std::optional<failure> local_configuration::load(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return failure{error_kind::SettingsInvalid, "cannot read " + Path};
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  std::optional<failure> Problem;
  apply(Text, [&Problem](const result<accepted_note> &Outcome) {
    if (!Outcome)
      Problem = Outcome.error();
  });
  return Problem;
}

void local_configuration::apply(std::string_view NoteText, note_callback Done) {
  const configuration_ptr Base = Core.currentConfig();
  const configuration Empty;
  const configuration &Head = Base ? *Base : Empty;
  const result<std::string> Id = readNoteId(NoteText);
  if (const auto Version = findAppliedVersion(Head, NoteText)) {
    Done(accepted_note{*Version, *Id, true});
    return;
  }
  const result<configuration> Next = applyNote(Head, NoteText);
  if (!Next) {
    Done(Next.error());
    return;
  }
  History.applyVersion(Next->Version, NoteText);
  Done(accepted_note{Next->Version, Next->NoteId, false});
}

} // namespace ebonyvale
