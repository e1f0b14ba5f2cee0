#include "fakes/key_value_model.h"

namespace ebonyvale {
namespace {

/// Number of changes kept for watches that start at an earlier revision.
constexpr std::size_t MaxHistory = 100'000;

} // namespace

std::optional<key_value> key_value_model::get(std::string_view Key) const {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return std::nullopt;
  return Found->second;
}

std::vector<key_value> key_value_model::range(std::string_view From,
                                              std::string_view To) const {
  std::vector<key_value> Found;
  for (auto Entry = Entries.lower_bound(From);
       Entry != Entries.end() && Entry->first < To; ++Entry)
    Found.push_back(Entry->second);
  return Found;
}

void key_value_model::put(const std::string &Key, std::string Value,
                          std::int64_t Lease) {
  ++Revision;
  key_value &Entry = Entries[Key];
  if (Entry.CreateRevision == 0)
    Entry.CreateRevision = Revision;
  Entry.Key = Key;
  Entry.Value = std::move(Value);
  Entry.ModRevision = Revision;
  Entry.Lease = Lease;
  record(false, Entry);
}

std::size_t key_value_model::eraseRange(std::string_view From,
                                        std::string_view To) {
  const std::vector<key_value> Erased = range(From, To);
  if (!Erased.empty())
    ++Revision;
  for (const key_value &Entry : Erased) {
    Entries.erase(Entry.Key);
    record(true, Entry);
  }
  return Erased.size();
}

std::int64_t key_value_model::grantLease(span_ns Duration, instant Now) {
  Leases[++LastLease] = {Duration, Now + Duration};
  return LastLease;
}

bool key_value_model::renewLease(std::int64_t Lease, instant Now) {
  expire(Now);
  const auto Found = Leases.find(Lease);
  if (Found == Leases.end())
    return false;
  Found->second.ExpiresAt = Now + Found->second.Duration;
  return true;
}

void key_value_model::revokeLease(std::int64_t Lease) {
  Leases.erase(Lease);
  std::vector<std::string> Keys;
  for (const auto &[Key, Entry] : Entries)
    if (Entry.Lease == Lease)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    eraseRange(Key, Key + '\0');
}

void key_value_model::expire(instant Now) {
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Lease] : Leases)
    if (Lease.ExpiresAt <= Now)
      Expired.push_back(Id);
  for (const std::int64_t Id : Expired)
    revokeLease(Id);
}

std::vector<key_change>
key_value_model::changesSince(std::int64_t Since, std::string_view From,
                              std::string_view To) const {
  std::vector<key_change> Found;
  for (const key_change &Change : History)
    if (Change.Revision >= Since && Change.Entry.Key >= From &&
        Change.Entry.Key < To)
      Found.push_back(Change);
  return Found;
}

void key_value_model::record(bool Deleted, const key_value &Entry) {
  History.push_back({Revision, Deleted, Entry});
  if (History.size() > MaxHistory)
    History.pop_front();
}

} // namespace ebonyvale
