/// \file
/// ebonyvale-fakes: runs fakes of the systems that the router talks to.
#include "common/command_line.h"
#include "fakes/fake_set.h"
#include "fakes/fakes_settings.h"

#include <csignal>
#include <iostream>
#include <sstream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

void onSignal(evutil_socket_t, short, void *Base) {
  event_base_loopbreak(static_cast<event_base *>(Base));
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Description(
      "ebonyvale-fakes runs fake engines and services for tests and demos.\n\n"
      "  ebonyvale-fakes --set engines.count=4 --ports ports.txt\n\n"
      "Options");
  addStandardOptions(Description);
  addPortsOption(Description);
  options::variables_map Values;
  if (const auto Exit = parseCommandLine("ebonyvale-fakes", Description, Count,
                                         Arguments, Values))
    return *Exit;
  const auto Settings =
      loadFakesSettings(settingsFile(Values), settingOverrides(Values));
  if (!Settings) {
    std::cerr << "ebonyvale-fakes: " << Settings.error().Detail << "\n";
    return ExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const event_base_ptr Base(event_base_new());
  fake_set Fakes(Base.get(), *Settings);
  if (const auto Problem = Fakes.listen()) {
    std::cerr << "ebonyvale-fakes: " << Problem->Detail << "\n";
    return ExitFailure;
  }
  std::ostringstream Ports;
  Fakes.writePorts(Ports);
  writePortsFile(Values, Ports.str());
  const event_ptr Terminate(
      evsignal_new(Base.get(), SIGTERM, &onSignal, Base.get()));
  event_add(Terminate.get(), nullptr);
  event_base_dispatch(Base.get());
  return 0;
}
