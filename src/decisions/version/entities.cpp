#include "decisions/version/entities.h"

#include <array>

namespace ebonyvale {
namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxTokensPerSecond = 1'000'000'000;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
constexpr std::int64_t MaxPieceBytes = 1 << 20;

const std::array TeamFields{
    field<team>{
        {.Name = "name", .Description = "Name of the team.", .Required = true},
        &team::Name},
    field<team>{{.Name = "rate",
                 .Description = "Token rate of the team, fleet-wide.",
                 .Unit = "tokens/s",
                 .Min = 1,
                 .Max = MaxTokensPerSecond,
                 .Required = true},
                &team::Rate},
    field<team>{{.Name = "burst",
                 .Description = "Largest burst of tokens, fleet-wide.",
                 .Unit = "tokens",
                 .Min = 1,
                 .Max = MaxTokensPerSecond,
                 .Required = true},
                &team::Burst},
    field<team>{{.Name = "weight",
                 .Description = "Relative share of contended upstreams.",
                 .Min = 1,
                 .Max = 1000},
                &team::Weight},
};

const std::array KeyFields{
    field<key_entry>{{.Name = "id",
                      .Description = "Public id of the key.",
                      .Required = true},
                     &key_entry::Id},
    field<key_entry>{{.Name = "team",
                      .Description = "Team that the key belongs to.",
                      .Required = true},
                     &key_entry::Team},
    field<key_entry>{{.Name = "hash",
                      .Description = "Keyed hash, as 'key new' prints it.",
                      .Required = true},
                     &key_entry::Hash},
    field<key_entry>{{.Name = "withdrawn",
                      .Description = "Set by withdrawal; the key is refused."},
                     &key_entry::Withdrawn},
    field<key_entry>{
        {.Name = "cut", .Description = "Withdrawal ends running streams."},
        &key_entry::Cut},
};

const std::array RouteFields{
    field<route>{
        {.Name = "name", .Description = "Name of the route.", .Required = true},
        &route::Name},
    field<route>{{.Name = "prefix",
                  .Description = "Path prefix; the longest match wins.",
                  .Required = true},
                 &route::Prefix},
    field<route>{{.Name = "methods",
                  .Description = "Methods that the route accepts.",
                  .Required = true},
                 &route::Methods},
    field<route>{{.Name = "group",
                  .Description = "Group of the upstreams that serve it.",
                  .Required = true},
                 &route::Group},
    field<route>{{.Name = "open", .Description = "Served without a key."},
                 &route::Open},
    field<route>{{.Name = "repeatable",
                  .Description = "A request may run more than once."},
                 &route::Repeatable},
    field<route>{{.Name = "deadline_ms",
                  .Description = "Longest time to a complete response.",
                  .Unit = "ms",
                  .Min = 1,
                  .Max = MaxDeadlineMs},
                 &route::DeadlineMs},
    field<route>{{.Name = "tokens",
                  .Description = "Tokens charged for a request.",
                  .Unit = "tokens"},
                 &route::Tokens},
};

const std::array ModelFields{
    field<model>{{.Name = "name",
                  .Description = "Name that callers use.",
                  .Required = true},
                 &model::Name},
    field<model>{{.Name = "version",
                  .Description = "Weights version that serves requests.",
                  .Required = true},
                 &model::Version},
    field<model>{{.Name = "piece_bytes",
                  .Description = "Prompt text in one cached piece.",
                  .Unit = "bytes",
                  .Min = 16,
                  .Max = MaxPieceBytes},
                 &model::PieceBytes},
    field<model>{{.Name = "token_bytes",
                  .Description = "Prompt text counted as one token when "
                                 "tokens are reserved.",
                  .Unit = "bytes",
                  .Min = 1,
                  .Max = 64},
                 &model::TokenBytes},
    field<model>{{.Name = "max_tokens",
                  .Description = "Response length if the caller sets none.",
                  .Unit = "tokens",
                  .Min = 1,
                  .Max = 1'000'000},
                 &model::MaxTokens},
    field<model>{{.Name = "piece_ms",
                  .Description = "Time in which an engine prefills a piece.",
                  .Unit = "ms",
                  .Max = MaxDeadlineMs},
                 &model::PieceMs},
    field<model>{{.Name = "deadline_ms",
                  .Description = "Longest time to a complete response.",
                  .Unit = "ms",
                  .Min = 1,
                  .Max = MaxDeadlineMs},
                 &model::DeadlineMs},
};

const std::array UpstreamFields{
    field<upstream>{{.Name = "name",
                     .Description = "Name of the upstream.",
                     .Required = true},
                    &upstream::Name},
    field<upstream>{
        {.Name = "address", .Description = "IP address.", .Required = true},
        &upstream::Address},
    field<upstream>{{.Name = "port",
                     .Description = "TCP port.",
                     .Min = 1,
                     .Max = MaxPort,
                     .Required = true},
                    &upstream::Port},
    field<upstream>{{.Name = "domain",
                     .Description = "Failure domain that it belongs to.",
                     .Required = true},
                    &upstream::Domain},
    field<upstream>{{.Name = "kind",
                     .Description = "Engine or application.",
                     .Choices = "engine|application"},
                    &upstream::Kind},
    field<upstream>{
        {.Name = "models", .Description = "Models that an engine serves."},
        &upstream::Models},
    field<upstream>{
        {.Name = "group", .Description = "Group of an application upstream."},
        &upstream::Group},
    field<upstream>{{.Name = "concurrency",
                     .Description = "Concurrent requests that one instance "
                                    "sends to it.",
                     .Unit = "requests",
                     .Min = 1,
                     .Max = 100'000},
                    &upstream::Concurrency},
    field<upstream>{{.Name = "checks_fencing",
                     .Description = "Rejects orders with an old fencing "
                                    "token."},
                    &upstream::ChecksFencing},
    field<upstream>{
        {.Name = "leaving", .Description = "Receives no new requests."},
        &upstream::Leaving},
};

const std::array DomainFields{
    field<failure_domain>{{.Name = "name",
                           .Description = "Name of the failure domain.",
                           .Required = true},
                          &failure_domain::Name},
    field<failure_domain>{{.Name = "region",
                           .Description = "Region that it belongs to.",
                           .Required = true},
                          &failure_domain::Region},
    field<failure_domain>{
        {.Name = "weight",
         .Description = "Relative share of every team's limits.",
         .Min = 1,
         .Max = 1'000'000},
        &failure_domain::Weight},
    field<failure_domain>{{.Name = "slots",
                           .Description = "Instances that divide the share.",
                           .Unit = "instances",
                           .Min = 1,
                           .Max = 1000},
                          &failure_domain::Slots},
};

const std::array AppliedNoteFields{
    field<applied_note>{{.Name = "id", .Description = "Id of the note."},
                        &applied_note::Id},
    field<applied_note>{
        {.Name = "version", .Description = "Version that it created."},
        &applied_note::Version},
    field<applied_note>{
        {.Name = "digest", .Description = "Digest of its text."},
        &applied_note::Digest},
};

} // namespace

std::span<const field<applied_note>> entity_traits<applied_note>::fields() {
  return AppliedNoteFields;
}
std::span<const field<team>> entity_traits<team>::fields() {
  return TeamFields;
}
std::span<const field<key_entry>> entity_traits<key_entry>::fields() {
  return KeyFields;
}
std::span<const field<route>> entity_traits<route>::fields() {
  return RouteFields;
}
std::span<const field<model>> entity_traits<model>::fields() {
  return ModelFields;
}
std::span<const field<upstream>> entity_traits<upstream>::fields() {
  return UpstreamFields;
}
std::span<const field<failure_domain>> entity_traits<failure_domain>::fields() {
  return DomainFields;
}

} // namespace ebonyvale
