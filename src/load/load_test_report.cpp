#include "load/load_test_report.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr double MsPerSecond = 1000;
constexpr double Median = 0.5;
constexpr double P99 = 0.99;

double p99(std::vector<double> Values) {
  std::ranges::sort(Values);
  return quantile(Values, P99);
}

} // namespace

double quantile(const std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Sorted.size())));
  return Sorted[std::max<std::size_t>(Rank, 1) - 1];
}

void load_test_report::add(const request_outcome &Outcome) {
  ++Ended;
  if (!Outcome.Refusal.empty()) {
    ++Refusals[Outcome.Refusal];
    return;
  }
  ++(Outcome.Completed ? Completed : Failed);
  if (!Outcome.Completed)
    return;
  const double Ms = toSeconds(Outcome.FirstToken) * MsPerSecond;
  if (Outcome.Batch)
    BatchFirstTokens.push_back(Ms);
  else
    FirstTokens[Outcome.Key].push_back(Ms);
  PromptTokens += Outcome.PromptTokens;
  CachedTokens += Outcome.CachedTokens;
}

std::vector<double> load_test_report::interactiveMs() const {
  std::vector<double> All;
  for (const std::vector<double> &OfKey : FirstTokens)
    All.insert(All.end(), OfKey.begin(), OfKey.end());
  std::ranges::sort(All);
  return All;
}

nlohmann::json load_test_report::json() const {
  const std::vector<double> All = interactiveMs();
  std::vector<double> KeyP99s;
  for (const std::vector<double> &OfKey : FirstTokens)
    if (!OfKey.empty())
      KeyP99s.push_back(p99(OfKey));
  std::vector<double> Sorted = KeyP99s;
  std::ranges::sort(Sorted);
  return {{"ended", Ended},
          {"whole", Completed},
          {"broken", Failed},
          {"refusals", Refusals},
          {"hit_rate", PromptTokens > 0 ? CachedTokens / PromptTokens : 0.0},
          {"recomputed_tokens", PromptTokens - CachedTokens},
          {"first_token_ms_p50", quantile(All, Median)},
          {"first_token_ms_p99", quantile(All, P99)},
          {"batch_first_token_ms_p99", p99(BatchFirstTokens)},
          {"key_first_token_ms_p99", KeyP99s},
          {"worst_key_ms_p99", Sorted.empty() ? 0.0 : Sorted.back()},
          {"median_key_ms_p99", quantile(Sorted, Median)}};
}

void load_test_report::print(std::ostream &Out) const {
  const nlohmann::json Result = json();
  Out << fmt::format("responses complete   {}\nresponses failed     {}\n",
                     Completed, Failed);
  for (const auto &[Kind, Count] : Refusals)
    Out << fmt::format("refused {:<24} {}\n", Kind, Count);
  Out << fmt::format("prefix hit rate      {:.3f}\n"
                     "recomputed tokens    {:.0f}\n"
                     "first token p50      {:.1f} ms\n"
                     "first token p99      {:.1f} ms\n"
                     "worst team p99       {:.1f} ms\n",
                     Result["hit_rate"].get<double>(),
                     Result["recomputed_tokens"].get<double>(),
                     Result["first_token_ms_p50"].get<double>(),
                     Result["first_token_ms_p99"].get<double>(),
                     Result["worst_key_ms_p99"].get<double>());
}

std::string load_test_report::plot() const {
  constexpr double Width = 640;
  constexpr double Height = 320;
  constexpr double Margin = 40;
  const std::vector<double> All = interactiveMs();
  const double Longest = All.empty() ? 1 : std::max(1.0, All.back());
  std::string Points;
  for (std::size_t Index = 0; Index < All.size(); ++Index)
    Points +=
        fmt::format("{:.1f},{:.1f} ", Margin + All[Index] / Longest * Width,
                    Margin + Height -
                        static_cast<double>(Index + 1) /
                            static_cast<double>(All.size()) * Height);
  return fmt::format(
      R"(<svg xmlns="http://www.w3.org/2000/svg" width="{0}" height="{1}">)"
      R"(<rect x="{2}" y="{2}" width="{3}" height="{4}" fill="none" )"
      R"(stroke="black"/><polyline points="{5}" fill="none" stroke="blue"/>)"
      R"(<text x="{2}" y="{6}">0 ms</text><text x="{7}" y="{6}">{8:.0f} ms)"
      R"(</text><text x="{2}" y="25">fraction of responses whose first token )"
      R"(arrived within the time</text></svg>)",
      Width + 2 * Margin, Height + 2 * Margin, Margin, Width, Height, Points,
      Height + 2 * Margin - 15, Width - 20, Longest);
}

} // namespace ebonyvale
