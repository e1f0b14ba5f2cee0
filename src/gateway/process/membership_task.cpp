#include "gateway/process/membership_task.h"

#include "gateway/process/store_revision.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr std::string_view EntriesPrefix = "ebonyvale/instances/";
constexpr std::string_view PresencePrefix = "ebonyvale/alive/";

constexpr span_ns RetryPause = std::chrono::milliseconds(300);
constexpr span_ns TickInterval = std::chrono::milliseconds(500);

/// Returns the text \p Name of \p Source, or nothing if it is no text.
std::optional<std::string> textMember(const nlohmann::json &Source,
                                      const char *Name) {
  const auto Found = Source.find(Name);
  if (Found == Source.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

/// Returns the port \p Name of \p Source, or nothing if it is none.
std::optional<std::uint16_t> readPort(const nlohmann::json &Source,
                                      const char *Name) {
  const auto Found = Source.find(Name);
  if (Found == Source.end() || !Found->is_number_unsigned())
    return std::nullopt;
  const auto Port = Found->get<std::uint64_t>();
  if (Port == 0 || Port > std::numeric_limits<std::uint16_t>::max())
    return std::nullopt;
  return static_cast<std::uint16_t>(Port);
}

/// Returns nothing if a member is missing or malformed.
std::optional<instance_endpoint> readEntry(std::string_view Text) {
  const auto Source = nlohmann::json::parse(Text, nullptr, false);
  if (!Source.is_object())
    return std::nullopt;
  const auto Address = textMember(Source, "address");
  const auto Domain = textMember(Source, "domain");
  const auto Port = readPort(Source, "port");
  in_addr Parsed{};
  if (!Address || !Domain || !Port ||
      inet_pton(AF_INET, Address->c_str(), &Parsed) != 1)
    return std::nullopt;
  // Absent in entries of earlier releases.
  const auto RelayPort = readPort(Source, "relay_port");
  return instance_endpoint{*Address, *Port, *Domain, RelayPort.value_or(0)};
}

} // namespace

membership_task::membership_task(gateway_core &Core, fleet_store &Store)
    : Core(Core), Store(Store),
      EntryKey(
          fmt::format("{}{}", EntriesPrefix, Core.settings().InstanceName)),
      PresenceKey(
          fmt::format("{}{}", PresencePrefix, Core.settings().InstanceName)),
      Lease(Core, Store,
            std::chrono::milliseconds(Core.settings().LeaseDurationMs),
            "presence",
            [this] {
              Announced = false;
              announce();
            }),
      AnnounceTimer(Core.base(), [this] { announce(); }),
      TickTimer(Core.base(), [this] { onTick(); }) {}

void membership_task::start() {
  Lease.start();
  TickTimer.startPeriodic(TickInterval);
}

void membership_task::leave() {
  AnnounceTimer.stop();
  Lease.stop();
}

std::int64_t membership_task::lease(instant Now) const {
  return Announced ? Lease.id(Now) : 0;
}

void membership_task::announce() {
  const std::int64_t Id = Lease.id(readBootClock());
  if (Id == 0)
    return;
  const auto Peer = parseEndpoint(Core.settings().PeerEndpoint);
  const std::string Entry = nlohmann::json{
      {"address", Peer ? Peer->Address : ""},
      {"port", Core.peerPort()},
      {"relay_port", Core.relayPort()},
      {"domain", Core.settings().Domain},
      {"boot", Core.boot()}}.dump();
  store_commit Commit;
  Commit.Puts = {{EntryKey, Entry, 0},
                 {PresenceKey, fmt::format("{}", Core.boot()), Id}};
  Store.commit(Commit, [this, Id](const store_result &Result) {
    Core.counters().onStoreCall("announce", storeStatusName(Result.Status));
    if (!Lease.isActive() || Id != Lease.id(readBootClock()))
      return;
    if (Result.Status == store_status::NotFound)
      return Lease.onExpired();
    Announced = Result.Status == store_status::Ok;
    if (!Announced)
      return AnnounceTimer.startOnce(RetryPause);
    Core.log().info(event_category::Peer, "instance_listed",
                    {{"lease", Id}, {"revision", Result.Revision}});
  });
}

void membership_task::onItem(const store_item &Item) {
  const instant Now = readBootClock();
  instance_roster &Roster = Core.roster();
  const std::string_view Key = Item.Key;
  if (Key.starts_with(EntriesPrefix)) {
    const std::string_view Name = Key.substr(EntriesPrefix.size());
    if (Item.Removed)
      Roster.removeEntry(Name);
    else if (const auto Entry = readEntry(Item.Value))
      Roster.putEntry(Name, *Entry, Now);
    else
      Core.log().warn(event_category::Peer, "instance_unreadable",
                      {{"instance", Name}, {"revision", Item.Revision}});
  } else if (Key.starts_with(PresencePrefix)) {
    const std::string_view Name = Key.substr(PresencePrefix.size());
    if (Item.Removed)
      Roster.removePresence(Name, Now);
    else
      Roster.putPresence(Name, Now);
  }
}

bool membership_task::isOwn(const store_item &Item) const {
  if (Item.Key == PresenceKey)
    return Item.Value == fmt::format("{}", Core.boot());
  if (Item.Key != EntryKey)
    return false;
  const auto Entry = nlohmann::json::parse(Item.Value, nullptr, false);
  return Entry.is_object() && Entry.contains("boot") &&
         Entry["boot"] == Core.boot();
}

void membership_task::onListing(const store_items &Items) {
  // The entry of an instance outlasts it, unless the store was restored.
  if (!std::exchange(HasListed, true) && eraOf(Items.Revision) == 0 &&
      std::ranges::all_of(
          Items.Items, [this](const store_item &Item) { return isOwn(Item); }))
    Core.onFirstInstance();
  std::set<std::string_view> Live;
  for (const store_item &Item : Items.Items) {
    onItem(Item);
    if (std::string_view(Item.Key).starts_with(PresencePrefix))
      Live.insert(std::string_view(Item.Key).substr(PresencePrefix.size()));
  }
  std::vector<std::string> Gone;
  for (const auto &[Name, Entry] : Core.roster().peers())
    if (!Live.contains(Name))
      Gone.push_back(Name);
  for (const std::string &Name : Gone)
    Core.roster().removePresence(Name, readBootClock());
  Core.onRosterKnown(readBootClock());
}

void membership_task::onTick() {
  const instant Now = readBootClock();
  Core.recordReadiness(Now);
  Core.updateShares(Now);
  Core.updateUpstreamLimits(Now);
  std::vector<std::string> Peers;
  for (const auto &[Name, Entry] : Core.roster().peers())
    Peers.push_back(Name);
  Core.shares().setPeers(Peers);
  Core.updateRelays();
  const auto Age = Core.configFreshness().age(Now);
  Core.counters().ConfigurationAgeSeconds.Set(Age ? toSeconds(*Age) : -1);
  Core.counters().ConfigurationBehindSeconds.Set(
      toSeconds(Core.configFreshness().behindFor(Now).value_or(span_ns(0))));
  // Only the first live instance by name removes entries of dead instances.
  const bool IsFirst =
      Peers.empty() || Core.settings().InstanceName < Peers.front();
  if (!IsFirst || lease(Now) == 0)
    return;
  for (const std::string &Name : Core.roster().staleEntries(Now)) {
    store_commit Commit;
    Commit.Conditions = {{fmt::format("{}{}", PresencePrefix, Name), 0}};
    Commit.Removals = {fmt::format("{}{}", EntriesPrefix, Name)};
    Core.roster().removeEntry(Name);
    Store.commit(Commit, [](const store_result &) {});
  }
}

} // namespace ebonyvale
