/// \file
/// Settings of ebonyvale-fakes.
#ifndef EBONYVALE_FAKES_FAKES_SETTINGS_H
#define EBONYVALE_FAKES_FAKES_SETTINGS_H

#include "common/field_table.h"
#include "common/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ebonyvale {

/// Selects the fakes to run and the speed of the fake engines. The field table
/// in the source file holds the descriptions and units.
struct fakes_settings {
  std::string Address = "127.0.0.1";
  std::int64_t Engines = 1;
  std::string Version = "v1";
  std::int64_t StepMs = 5;
  std::int64_t PieceMs = 20;
  std::int64_t CachePieces = 512;
  std::int64_t MaxRunning = 64;
  std::int64_t Applications = 0;
  bool Store = false;
};

/// Loads the settings from the file \p Path and applies \p Overrides, as
/// `loadSettings` does.
result<fakes_settings>
loadFakesSettings(const std::string &Path,
                  const std::vector<std::string> &Overrides);

} // namespace ebonyvale

#endif
