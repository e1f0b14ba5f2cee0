#include "load/load_settings.h"

#include <array>

namespace ebonyvale {
namespace {

using setting = field<load_settings>;

const std::array Fields{
    setting{
        {.Name = "targets", .Description = "Callers' listeners, address:port."},
        &load_settings::Targets},
    setting{{.Name = "keys", .Description = "Keys to use, one team each."},
            &load_settings::Keys},
    setting{{.Name = "model", .Description = "Model to ask for."},
            &load_settings::Model},
    setting{{.Name = "seed", .Description = "Seed of arrivals and prompts."},
            &load_settings::Seed},
    setting{{.Name = "seconds",
             .Description = "Length of the experiment.",
             .Unit = "s",
             .Min = 1,
             .Max = 3600},
            &load_settings::Seconds},
    setting{{.Name = "warm_up_seconds",
             .Description = "Time at the start that is not counted.",
             .Unit = "s",
             .Max = 3600},
            &load_settings::WarmUpSeconds},
    setting{{.Name = "requests_per_second",
             .Description = "Arrivals over all keys.",
             .Unit = "1/s",
             .Min = 1,
             .Max = 100000},
            &load_settings::RequestsPerSecond},
    setting{{.Name = "first_key_factor",
             .Description =
                 "Requests of the first key, relative to each other key.",
             .Min = 1,
             .Max = 100},
            &load_settings::FirstKeyFactor},
    setting{{.Name = "batch_percent",
             .Description = "Requests sent as batch work.",
             .Unit = "percent",
             .Max = 100},
            &load_settings::BatchPercent},
    setting{{.Name = "prompts.manuals",
             .Description = "Manuals, the first level.",
             .Min = 1,
             .Max = 100000},
            &load_settings::Manuals},
    setting{{.Name = "prompts.products",
             .Description = "Products of a manual, the second level.",
             .Min = 1,
             .Max = 100000},
            &load_settings::Products},
    setting{{.Name = "prompts.manual_pieces",
             .Description = "Length of a manual.",
             .Unit = "pieces",
             .Max = 1000},
            &load_settings::ManualPieces},
    setting{{.Name = "prompts.product_pieces",
             .Description = "Length of a product's pages.",
             .Unit = "pieces",
             .Max = 1000},
            &load_settings::ProductPieces},
    setting{{.Name = "prompts.question_bytes",
             .Description = "Length of a question.",
             .Unit = "bytes",
             .Min = 16,
             .Max = 100000},
            &load_settings::QuestionBytes},
    setting{{.Name = "prompts.skew_percent",
             .Description = "Exponent of the manuals' popularity, times 100.",
             .Max = 400},
            &load_settings::SkewPercent},
    setting{{.Name = "prompts.shift_seconds",
             .Description =
                 "Time after which other manuals become hot; 0 for never.",
             .Unit = "s",
             .Max = 3600},
            &load_settings::ShiftSeconds},
    setting{{.Name = "prompts.answer_tokens",
             .Description = "Length of an answer.",
             .Unit = "tokens",
             .Min = 1,
             .Max = 100000},
            &load_settings::AnswerTokens},
    setting{{.Name = "report.json",
             .Description = "File for the result; empty for none."},
            &load_settings::JsonFile},
    setting{{.Name = "report.plot",
             .Description = "SVG file for the distribution of the time to the "
                            "first token; empty for none."},
            &load_settings::PlotFile},
};

} // namespace

std::span<const field<load_settings>> loadSettingFields() { return Fields; }

} // namespace ebonyvale
