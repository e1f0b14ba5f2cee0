#include "daemon/fleet_fixture.h"

#include "daemon/loop_runner.h"
#include "daemon/process/logging.h"

#include <criterion/criterion.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

daemon_settings instanceSettings(const std::string &Name,
                                 const std::string &Domain) {
  daemon_settings Settings;
  Settings.InstanceName = Name;
  Settings.Domain = Domain;
  Settings.Region = "region";
  Settings.PeerPort = 0;
  Settings.FleetSecret = "fleet-secret";
  // Leaves time to repeat the lend requests to the peers when their first round
  // times out on a busy machine.
  Settings.AdmissionWaitMs = 10000;
  return Settings;
}

} // namespace

fleet_instance::fleet_instance(event_base *Base, const std::string &Name,
                               const std::string &Domain,
                               std::uint16_t StorePort, std::uint64_t Boot)
    : Settings(instanceSettings(Name, Domain)), Core(Base, Settings, Boot),
      History(Core), Peers(Core, History),
      Store(Core.connections(), {"127.0.0.1", StorePort}), Archive(Core, Store),
      Source(Core, Store, History) {
  Core.setObserver(this);
  Peers.listen();
  Source.start();
}

fleet_fixture::fleet_fixture(const std::vector<std::string> &Domains) {
  startLogging("text", "off");
  Server.listen("127.0.0.1", 0);
  for (std::size_t Index = 0; Index < Domains.size(); ++Index)
    Instances.push_back(std::make_unique<fleet_instance>(
        Base.get(), fmt::format("i{}", Index), Domains[Index], Server.port(),
        Index + 1));
  publishMembers();
}

void fleet_fixture::publishMembers() {
  std::vector<member> Members;
  for (const auto &Instance : Instances)
    if (Instance)
      Members.push_back(Instance->Peers.self());
  for (const auto &Instance : Instances)
    if (Instance)
      Instance->Peers.setMembers(Members);
}

bool fleet_fixture::runUntil(const std::function<bool()> &Done) {
  return runLoopUntil(Base.get(), Done);
}

void fleet_fixture::runFor(span_ns Delay) { runLoopFor(Base.get(), Delay); }

result<accepted_note> fleet_fixture::apply(std::size_t Index,
                                           const std::string &Note) {
  std::optional<result<accepted_note>> Outcome;
  Instances[Index]->Source.apply(
      Note,
      [&Outcome](const result<accepted_note> &Applied) { Outcome = Applied; });
  cr_assert(runUntil([&Outcome] { return Outcome.has_value(); }));
  return *Outcome;
}

bool fleet_fixture::waitForVersion(std::uint64_t Version) {
  return runUntil([this, Version] {
    for (const auto &Instance : Instances)
      if (Instance && Instance->version() != Version)
        return false;
    return true;
  });
}

std::string teamNote(int Number, const std::string &Extra, int Rate,
                     int Burst) {
  return fmt::format("id = \"note-{0}\"\n{1}\n[[added.team]]\n"
                     "name = \"team-{0}\"\nrate = {2}\nburst = {3}\n",
                     Number, Extra, Rate, Burst);
}

} // namespace ebonyvale
