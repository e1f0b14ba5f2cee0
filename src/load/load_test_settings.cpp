#include "load/load_test_settings.h"

#include <array>

namespace ebonyvale {
namespace {

using setting = field<load_test_settings>;

const std::array Fields{
    setting{{.Name = "targets",
             .Description = "Caller listeners of the daemons, address:port."},
            &load_test_settings::Targets},
    setting{{.Name = "keys",
             .Description = "Keys to use, each of a different team."},
            &load_test_settings::Keys},
    setting{{.Name = "model", .Description = "Model to request."},
            &load_test_settings::Model},
    setting{
        {.Name = "seed", .Description = "Random seed of arrivals and prompts."},
        &load_test_settings::Seed},
    setting{{.Name = "seconds",
             .Description = "Duration of the load test.",
             .Unit = "s",
             .Min = 1,
             .Max = 3600},
            &load_test_settings::Seconds},
    setting{{.Name = "warm_up_seconds",
             .Description = "Duration of the warm-up, which is not counted.",
             .Unit = "s",
             .Max = 3600},
            &load_test_settings::WarmUpSeconds},
    setting{{.Name = "requests_per_second",
             .Description = "Arrival rate over all keys.",
             .Unit = "1/s",
             .Min = 1,
             .Max = 100000},
            &load_test_settings::RequestsPerSecond},
    setting{{.Name = "first_key_factor",
             .Description =
                 "Request rate of the first key, relative to each other key.",
             .Min = 1,
             .Max = 100},
            &load_test_settings::FirstKeyFactor},
    setting{{.Name = "batch_percent",
             .Description = "Share of the requests that have batch priority.",
             .Unit = "percent",
             .Max = 100},
            &load_test_settings::BatchPercent},
    setting{
        {.Name = "prompts.manuals",
         .Description = "Number of manuals, the first level of the prompts.",
         .Min = 1,
         .Max = 100000},
        &load_test_settings::Manuals},
    setting{{.Name = "prompts.products",
             .Description = "Number of products of a manual, the second level.",
             .Min = 1,
             .Max = 100000},
            &load_test_settings::Products},
    setting{{.Name = "prompts.manual_pieces",
             .Description = "Length of a manual.",
             .Unit = "pieces",
             .Max = 1000},
            &load_test_settings::ManualPieces},
    setting{{.Name = "prompts.product_pieces",
             .Description = "Length of a product's pages.",
             .Unit = "pieces",
             .Max = 1000},
            &load_test_settings::ProductPieces},
    setting{{.Name = "prompts.question_bytes",
             .Description = "Length of a question.",
             .Unit = "bytes",
             .Min = 16,
             .Max = 100000},
            &load_test_settings::QuestionBytes},
    setting{
        {.Name = "prompts.skew_percent",
         .Description = "Zipf exponent of the manuals' popularity, times 100.",
         .Max = 400},
        &load_test_settings::SkewPercent},
    setting{{.Name = "prompts.shift_seconds",
             .Description =
                 "Interval after which other manuals become hot; 0 for never.",
             .Unit = "s",
             .Max = 3600},
            &load_test_settings::ShiftSeconds},
    setting{{.Name = "prompts.answer_tokens",
             .Description = "Length of a response.",
             .Unit = "tokens",
             .Min = 1,
             .Max = 100000},
            &load_test_settings::ResponseTokens},
    setting{{.Name = "report.json",
             .Description = "JSON file for the results; empty for none."},
            &load_test_settings::JsonFile},
    setting{{.Name = "report.plot",
             .Description = "SVG file for the distribution of the time to the "
                            "first token; empty for none."},
            &load_test_settings::PlotFile},
};

} // namespace

std::span<const field<load_test_settings>> loadTestSettingFields() {
  return Fields;
}

} // namespace ebonyvale
