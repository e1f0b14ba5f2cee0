/// \file
/// Settings of one load experiment.
#ifndef EBONYVALE_LOAD_LOAD_SETTINGS_H
#define EBONYVALE_LOAD_LOAD_SETTINGS_H

#include "common/field_table.h"
#include "common/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// An experiment: open-loop arrivals of nested prompts.
struct load_settings {
  std::vector<std::string> Targets; ///< "address:port" of callers' listeners
  std::vector<std::string> Keys;    ///< one team each
  std::string Model = "manuals";
  std::int64_t Seed = 1;
  std::int64_t Seconds = 10;
  std::int64_t WarmUpSeconds = 1;
  std::int64_t RequestsPerSecond = 50;
  std::int64_t FirstKeyFactor = 1; ///< times the requests of the other keys
  std::int64_t BatchPercent = 0;

  std::int64_t Manuals = 12;
  std::int64_t Products = 4; ///< of each manual
  std::int64_t ManualPieces = 12;
  std::int64_t ProductPieces = 4;
  std::int64_t QuestionBytes = 400;
  std::int64_t SkewPercent = 100; ///< exponent of the popularity, times 100
  std::int64_t ShiftSeconds = 0;  ///< hot manuals change so often; 0 for never
  std::int64_t AnswerTokens = 16;

  std::string JsonFile;
  std::string PlotFile;
};

/// The table of settings.
std::span<const field<load_settings>> loadSettingFields();

} // namespace ebonyvale

#endif
