/// \file
/// Settings of a load test.
#ifndef EBONYVALE_LOAD_LOAD_TEST_SETTINGS_H
#define EBONYVALE_LOAD_LOAD_TEST_SETTINGS_H

#include "common/field_table.h"
#include "common/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// Settings of a load test with open-loop arrivals. Prompts consist of a
/// manual, a product's pages and a question, so that they share nested
/// prefixes.
struct load_test_settings {
  std::vector<std::string> Targets; ///< "address:port" of caller listeners
  std::vector<std::string> Keys;    ///< each of a different team
  std::string Model = "manuals";
  std::int64_t Seed = 1;
  std::int64_t Seconds = 10;
  std::int64_t WarmUpSeconds = 1;
  std::int64_t RequestsPerSecond = 50;
  std::int64_t FirstKeyFactor = 1; ///< relative to each other key
  std::int64_t BatchPercent = 0;

  std::int64_t Manuals = 12;
  std::int64_t Products = 4; ///< of each manual
  std::int64_t ManualPieces = 12;
  std::int64_t ProductPieces = 4;
  std::int64_t QuestionBytes = 400;
  std::int64_t SkewPercent = 100; ///< Zipf exponent times 100
  std::int64_t ShiftSeconds = 0;  ///< until the hot manuals change; 0: never
  std::int64_t ResponseTokens = 16;

  std::string JsonFile;
  std::string PlotFile;
};

/// Returns the table of settings.
std::span<const field<load_test_settings>> loadTestSettingFields();

} // namespace ebonyvale

#endif
