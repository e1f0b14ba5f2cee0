#include "gateway/process/gateway_task.h"

#include <random>

#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr span_ns StopTick = std::chrono::milliseconds(50);
/// Time in which the load balancer may still send new connections: it probes
/// readiness once a second and stops after two failures.
constexpr span_ns BalancerLag = std::chrono::milliseconds(2600);
/// Retry-After for callers of a stopping instance; other instances can serve
/// them at once.
constexpr span_ns DrainRetryAfter = std::chrono::milliseconds(20);
/// Time before the end of the grace period at which the remaining requests are
/// ended, and at which the process exits.
constexpr span_ns LastResponseMargin = std::chrono::milliseconds(300);
constexpr span_ns ForcedEndMargin = std::chrono::milliseconds(150);

/// Size of the headers that an instance adds to those of its caller.
constexpr std::size_t AttemptHeaderBytes = 8 * 1024;
/// Idle timeout of connections from peers; above what `relay_session` states.
constexpr span_ns RelayIdleTimeout = std::chrono::seconds(25);

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

/// Returns 256 random bits. The boot number does not serve as a secret, since
/// it is logged and stored.
std::string makeKeySecret() {
  return fmt::format("{:016x}{:016x}{:016x}{:016x}", randomNumber(),
                     randomNumber(), randomNumber(), randomNumber());
}

/// Returns \p Problem, if there is one, as that of the setting \p Name.
std::optional<failure> named(std::string_view Name,
                             std::optional<failure> Problem) {
  if (Problem)
    Problem->Detail = fmt::format("{}: {}", Name, Problem->Detail);
  return Problem;
}

endpoint endpointOf(const std::string &Text) {
  return parseEndpoint(Text).value_or(endpoint{});
}

} // namespace

gateway_task::gateway_task(event_base *Base, const gateway_settings &Settings,
                           const platform_protocols &Protocols,
                           const store_factory &MakeStore)
    : Base(Base),
      Core(Base, Settings, Protocols, randomNumber(), makeKeySecret()),
      Store(MakeStore(Core.links(), endpointOf(Settings.StoreEndpoint),
                      std::chrono::milliseconds(Settings.StoreCallTimeoutMs))),
      Membership(Core, *Store), Weights(Core, *Store), Releases(Core, *Store),
      Follower(Core, *Store, std::string(FleetItemsPrefix), *this),
      Barrier(Core, *Store, Follower), Origins(Core), Verifier(Core),
      Ends(Core), Gossip(Core), Refusals(Core, *Store),
      Operators(Core, Weights, Refusals), Relays(Core), Prober(Core),
      Callers(Base, *this), RelayLinks(Base, Relays),
      ReadyLinks(Base, Operators), MetricsLinks(Base, Operators),
      StopTimer(Base, [this] { onStopTick(); }) {
  Callers.setMemory(Core.callerMemory(), /*Internal=*/false);
  for (connection_listener *Links : {&RelayLinks, &ReadyLinks, &MetricsLinks})
    Links->setMemory(Core.callerMemory(), /*Internal=*/true);
}

gateway_task::~gateway_task() = default;

std::optional<failure> gateway_task::listen(connection_listener &Links,
                                            std::string_view Setting,
                                            const std::string &Text) {
  const auto Endpoint = parseEndpoint(Text);
  if (!Endpoint)
    return failure{
        error_kind::SettingsInvalid,
        fmt::format("{}: '{}' is not of the form IP:PORT", Setting, Text)};
  return named(Setting, Links.listen(Endpoint->Address, Endpoint->Port));
}

std::optional<failure> gateway_task::start() {
  const gateway_settings &Settings = Core.settings();
  if (!parseEndpoint(Settings.StoreEndpoint))
    return failure{error_kind::SettingsInvalid,
                   "store.endpoint must have the form IP:PORT"};
  if (auto Problem = listen(Callers, "listen.callers", Settings.CallerEndpoint))
    return Problem;
  if (auto Problem = listen(ReadyLinks, "listen.ready", Settings.ReadyEndpoint))
    return Problem;
  if (!Settings.MetricsEndpoint.empty())
    if (auto Problem =
            listen(MetricsLinks, "listen.metrics", Settings.MetricsEndpoint))
      return Problem;
  if (auto Problem = named("listen.peers", Gossip.listen()))
    return Problem;
  if (auto Problem = listen(RelayLinks, "listen.peers", Settings.PeerEndpoint))
    return Problem;
  Core.setRelayPort(RelayLinks.port());
  Core.setRoutingObserver(this);
  Core.log().info(event_category::Process, "started",
                  {{"instance", Settings.InstanceName},
                   {"domain", Settings.Domain},
                   {"boot", fmt::format("{:016x}", Core.boot())},
                   {"callers", Settings.CallerEndpoint},
                   {"store", Settings.StoreEndpoint}});
  Store->observeUnknownFields([this](std::string_view Name) {
    const std::string Field(Name);
    Core.onUnknownFields("store", {&Field, 1});
  });
  Follower.start();
  Membership.start();
  Weights.start();
  Refusals.start();
  Origins.start();
  Prober.start();
  return std::nullopt;
}

void gateway_task::writePorts(std::ostream &Out) const {
  Out << "caller " << Callers.port() << "\nready " << ReadyLinks.port()
      << "\nmetrics " << MetricsLinks.port() << "\n";
}

void gateway_task::onRequest(const std::shared_ptr<server_connection> &Link,
                             http_request Request) {
  // The load balancer has stopped sending connections by then, and a later
  // request may not complete before the process must exit.
  if (StopRequested && readBootClock() - *StopRequested >= BalancerLag)
    return refuse(*Link, error_kind::Draining, DrainRetryAfter);
  std::make_shared<forward_session>(Core, *this, Link, std::move(Request))
      ->begin();
}

void gateway_task::onRoutingChanged(const routing_table &Table, instant Now) {
  const caller_bounds &Limits = Table.Bounds;
  connection_bounds Bounds;
  Bounds.HeadBytes = Limits.HeaderBytes;
  Bounds.BodyBytes = Limits.BodyBytes;
  Bounds.HeadTimeout = Limits.HeaderTimeout;
  Bounds.IdleTimeout = Limits.IdleTimeout;
  Bounds.IdleNotice = Core.freshnessOptions().MaxApplyDelay;
  Callers.setBounds(Bounds, Now);
  Bounds.HeadBytes += AttemptHeaderBytes;
  Bounds.IdleTimeout = RelayIdleTimeout;
  RelayLinks.setBounds(Bounds, Now);
}

void gateway_task::onRequestError(server_connection &Link,
                                  request_error Reason) {
  if (Reason == request_error::NoMemory) {
    Core.onMemoryRefusal();
    return refuse(Link, error_kind::QueueFull, NoMemoryRetryAfter,
                  "connections hold too much memory");
  }
  error_kind Kind = error_kind::BodyMalformed;
  if (Reason == request_error::HeadTooLarge)
    Kind = error_kind::HeadersTooLarge;
  else if (Reason == request_error::BodyTooLarge)
    Kind = error_kind::BodyTooLarge;
  else if (Reason == request_error::TimedOut)
    Kind = error_kind::HeaderTimeout;
  refuse(Link, Kind, span_ns(0));
}

void gateway_task::onConnectionShed(std::string_view Reason) {
  Core.onConnectionShed(Reason);
}

void gateway_task::onIdleClosed() {
  Core.counters().IdleConnectionsClosed.Increment();
}

void gateway_task::refuse(server_connection &Link, error_kind Kind,
                          span_ns RetryAfter, std::string Detail) {
  const caller_protocol &Protocol = Core.protocols().Callers;
  const int Status = Protocol.refusalStatus(Kind, false);
  refusal Record;
  Record.Kind = Kind;
  Record.Detail = std::move(Detail);
  Core.recordRefusal(std::move(Record), "", Status, RetryAfter);
  Link.writeResponse(
      Status, Protocol.refusalHeaders(nullptr, RetryAfter),
      fmt::format(R"({{"error":"{}","ran":"no"}})", errorRow(Kind).Name));
}

void gateway_task::onUpstreamWeights(std::string_view Upstream,
                                     std::string_view Model,
                                     std::int64_t Version) {
  Weights.onWeights(Upstream, Model, Version);
}

void gateway_task::onFleetItem(const store_item &Item) {
  if (Item.Key == weights_task::claimKey())
    Weights.onClaim(&Item);
  else if (!Releases.onFleetItem(Item))
    Membership.onItem(Item);
}

void gateway_task::onFleetListing(const store_items &Items) {
  const store_item *Claim = nullptr;
  for (const store_item &Item : Items.Items)
    if (Item.Key == weights_task::claimKey())
      Claim = &Item;
  Weights.onClaim(Claim);
  Releases.onFleetListing(Items);
  Membership.onListing(Items);
}

void gateway_task::onWeightsTarget(const weights_target &Target) {
  Weights.setTarget(Target);
}

void gateway_task::onReleaseOrder(std::string_view Service,
                                  const std::optional<release_order> &Order,
                                  std::int64_t Revision, bool AtStart) {
  Releases.onOrder(Service, Order, Revision, AtStart);
}

bool gateway_task::isListed(instant Now) const {
  return Membership.lease(Now) != 0;
}

void gateway_task::onStoreRestored() { Membership.onStoreRestored(); }

void gateway_task::onUpstreamsChanged() {
  Weights.onUpstreamsChanged();
  Releases.onUpstreamsChanged();
}

void gateway_task::stop() {
  if (StopRequested)
    return Core.log().info(event_category::Process, "stopping_already",
                           {{"open_requests", Core.openRequests()}});
  StopRequested = readBootClock();
  Core.setLeaving();
  Callers.closeAfterResponses();
  RelayLinks.closeAfterResponses();
  Core.log().info(event_category::Process, "stopping",
                  {{"open_requests", Core.openRequests()}});
  Refusals.stop();
  Membership.leave();
  Weights.leave();
  Releases.leave();
  StopTimer.startPeriodic(StopTick);
}

void gateway_task::stopNow() {
  Core.log().warn(event_category::Process, "stopped_at_once",
                  {{"open_requests", Core.openRequests()}});
  event_base_loopbreak(Base);
}

void gateway_task::onStopTick() {
  const span_ns Waited = readBootClock() - *StopRequested;
  const span_ns Grace = fromSeconds(Core.settings().StopGraceSeconds);
  if (Waited >= Grace - LastResponseMargin && Core.openRequests() > 0) {
    Core.log().warn(event_category::Process, "grace_period_over",
                    {{"open_requests", Core.openRequests()}});
    Core.endOpenRequests();
  }
  if (Waited < BalancerLag)
    return;
  Callers.stopListening();
  Callers.closeIdle();
  RelayLinks.closeIdle();
  if (Callers.size() + Core.openRelays() + RelayLinks.unsentCount() > 0 &&
      Waited < Grace - ForcedEndMargin)
    return;
  Core.log().info(
      event_category::Process, "stopped",
      {{"open_requests", Core.openRequests()}, {"after_ms", Waited}});
  event_base_loopbreak(Base);
}

} // namespace ebonyvale
