#include "fakes/fake_set.h"

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {

fake_set::fake_set(event_base *Base, const fakes_settings &Settings)
    : Address(Settings.Address) {
  const engine_speed Speed{static_cast<double>(Settings.StepMs),
                           static_cast<double>(Settings.PieceMs),
                           static_cast<std::size_t>(Settings.CachePieces),
                           static_cast<std::size_t>(Settings.MaxRunning)};
  for (std::int64_t Index = 1; Index <= Settings.Engines; ++Index)
    Engines.push_back(std::make_unique<engine_server>(
        Base, fmt::format("engine-{}", Index), Settings.Version, Speed));
  for (std::int64_t Index = 1; Index <= Settings.Applications; ++Index)
    Applications.push_back(std::make_unique<application_server>(Base));
  if (!Settings.Store)
    return;
  Store = std::make_unique<key_value_server>(Base);
  List = std::make_unique<instance_list_server>(Base);
}

std::optional<failure> fake_set::listen() {
  for (const auto &Engine : Engines)
    if (auto Problem = Engine->listen(Address, 0))
      return Problem;
  for (const auto &Application : Applications)
    if (auto Problem = Application->listen(Address, 0))
      return Problem;
  if (!Store)
    return std::nullopt;
  if (auto Problem = Store->listen(Address, 0))
    return Problem;
  return List->listen(Address, 0);
}

void fake_set::writePorts(std::ostream &Out) const {
  for (std::size_t Index = 0; Index < Engines.size(); ++Index)
    Out << fmt::format("engine-{} {}\n", Index + 1, Engines[Index]->port());
  for (std::size_t Index = 0; Index < Applications.size(); ++Index)
    Out << fmt::format("application-{} {}\n", Index + 1,
                       Applications[Index]->port());
  if (Store)
    Out << fmt::format("store {}\nlist {}\n", Store->port(), List->port());
}

} // namespace ebonyvale
