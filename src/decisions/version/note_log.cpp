#include "decisions/version/note_log.h"

#include "decisions/version/release_note.h"

#include <charconv>
#include <map>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::string_view CompleteMarker = "complete";

std::optional<std::uint64_t> readVersion(std::string_view Digits) {
  std::uint64_t Version = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Version);
  if (Error != std::errc() || End != Digits.data() + Digits.size())
    return std::nullopt;
  return Version;
}

/// Pads to a fixed width, so that keys sort by version.
std::string padded(std::uint64_t Version) {
  return fmt::format("{:020}", Version);
}

/// The chunks of a snapshot found so far.
struct snapshot_chunks {
  std::string Text;
  std::size_t Chunks = 0;
  std::optional<std::uint64_t> Expected; ///< count in the completion marker
};

} // namespace

std::string note_log_keys::slot(std::uint64_t Version) const {
  return logPrefix() + padded(Version);
}

std::optional<std::uint64_t>
note_log_keys::slotVersion(std::string_view Key) const {
  if (!Key.starts_with(logPrefix()))
    return std::nullopt;
  return readVersion(Key.substr(logPrefix().size()));
}

std::string note_log_keys::snapshotKey(std::uint64_t Version) const {
  return snapshotPrefix() + padded(Version);
}

std::vector<store_record>
note_log_keys::snapshotRecords(const configuration &Value) const {
  const std::string Text = writeSnapshot(Value);
  const std::string Start = snapshotKey(Value.Version) + "/";
  std::vector<store_record> Records;
  for (std::size_t From = 0; From < Text.size(); From += SnapshotChunkBytes)
    Records.push_back({fmt::format("{}{:06}", Start, Records.size()),
                       Text.substr(From, SnapshotChunkBytes)});
  Records.push_back({fmt::format("{}{}", Start, CompleteMarker),
                     fmt::format("{}", Records.size())});
  return Records;
}

result<std::optional<configuration>>
readNewestSnapshot(const note_log_keys &Keys,
                   const std::vector<store_record> &Records) {
  std::map<std::string, snapshot_chunks, std::less<>> Snapshots;
  const std::size_t PrefixLength = Keys.snapshotPrefix().size();
  for (const store_record &Record : Records) {
    const std::string_view Rest =
        std::string_view(Record.Key).substr(PrefixLength);
    const std::size_t Slash = Rest.find('/');
    if (Slash == std::string_view::npos)
      continue;
    snapshot_chunks &Snapshot = Snapshots[std::string(Rest.substr(0, Slash))];
    if (Rest.substr(Slash + 1) == CompleteMarker) {
      Snapshot.Expected = readVersion(Record.Value);
      continue;
    }
    Snapshot.Text += Record.Value;
    ++Snapshot.Chunks;
  }
  for (auto Entry = Snapshots.rbegin(); Entry != Snapshots.rend(); ++Entry) {
    const snapshot_chunks &Snapshot = Entry->second;
    if (Snapshot.Expected != Snapshot.Chunks)
      continue;
    result<configuration> Value = readSnapshot(Snapshot.Text);
    if (!Value)
      return Value.error();
    return std::optional(std::move(*Value));
  }
  return std::optional<configuration>();
}

} // namespace ebonyvale
