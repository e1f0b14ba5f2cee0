#include "fakes/fakes_settings.h"

#include "common/settings_loader.h"

#include <array>

namespace ebonyvale {
namespace {

using setting = field<fakes_settings>;

constexpr std::int64_t MaxFakes = 1000;
constexpr std::int64_t MaxMs = 60000;

const std::array Fields{
    setting{{.Name = "address",
             .Description = "IP address that all fakes listen on."},
            &fakes_settings::Address},
    setting{
        {.Name = "engines.count", .Description = "Engines.", .Max = MaxFakes},
        &fakes_settings::Engines},
    setting{{.Name = "engines.version",
             .Description = "Version of the weights that engines serve."},
            &fakes_settings::Version},
    setting{{.Name = "engines.step_ms",
             .Description =
                 "Duration of a decode step: time between the tokens of a "
                 "response.",
             .Unit = "ms",
             .Min = 1,
             .Max = MaxMs},
            &fakes_settings::StepMs},
    setting{{.Name = "engines.piece_ms",
             .Description = "Prefill time per uncached piece.",
             .Unit = "ms",
             .Max = MaxMs},
            &fakes_settings::PieceMs},
    setting{{.Name = "engines.cache_pieces",
             .Description = "Capacity of the block cache.",
             .Unit = "pieces",
             .Min = 1},
            &fakes_settings::CachePieces},
    setting{{.Name = "engines.max_running",
             .Description = "Largest number of requests decoded concurrently.",
             .Unit = "requests",
             .Min = 1},
            &fakes_settings::MaxRunning},
    setting{{.Name = "applications.count",
             .Description = "Number of fake HTTP services.",
             .Max = MaxFakes},
            &fakes_settings::Applications},
    setting{
        {.Name = "store",
         .Description = "Run a fake key-value store and a fake instance list."},
        &fakes_settings::Store},
};

} // namespace

result<fakes_settings>
loadFakesSettings(const std::string &Path,
                  const std::vector<std::string> &Overrides) {
  fakes_settings Settings;
  const auto Bound =
      bindFields(std::span<const field<fakes_settings>>(Fields), Settings);
  if (auto Problem = loadSettings(Path, Overrides, Bound))
    return *Problem;
  return Settings;
}

} // namespace ebonyvale
