#include "gateway/connection/peer_gossip.h"

#include "gateway/connection/peer_messages.h"
#include "gateway/process/origin_task.h"
#include "net/socket_options.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace ebonyvale {
namespace {

using nlohmann::json;

/// Protocol version; messages with another version are dropped.
constexpr int GossipVersion = 1;
/// Receive buffer size; holds the load of some hundred upstreams.
constexpr std::size_t MaxDatagramBytes = 32 * 1024;
/// Rounds of load messages between two messages of hints to other domains.
constexpr std::size_t DomainHintsInterval = 4;
/// Rounds between two messages with learned costs; they change slowly.
constexpr std::size_t CostsInterval = 64;

} // namespace

peer_gossip::peer_gossip(gateway_core &Core)
    : Core(Core), LoadTimer(Core.base(), [this] { sendLoad(); }),
      Schedule(Core.settings().Domain),
      Hints(Core.settings().InstanceName, Core.settings().Domain) {
  Core.setMessenger(this);
}

peer_gossip::~peer_gossip() {
  Core.setMessenger(nullptr);
  Readable.reset();
  if (Socket >= 0)
    evutil_closesocket(Socket);
}

std::optional<failure> peer_gossip::listen() {
  const std::string &Text = Core.settings().PeerEndpoint;
  const auto Endpoint = parseEndpoint(Text);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Endpoint ? Endpoint->Port : 0);
  const bool Parsed = Endpoint && inet_pton(AF_INET, Endpoint->Address.c_str(),
                                            &Address.sin_addr) == 1;
  Socket = Parsed ? socket(AF_INET, SOCK_DGRAM, 0) : -1;
  const bool Bound =
      Socket >= 0 && evutil_make_socket_nonblocking(Socket) == 0 &&
      bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
          0;
  if (!Bound)
    return listenFailure(Text, Parsed ? EVUTIL_SOCKET_ERROR() : 0);
  socklen_t Length = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  Core.setPeerPort(ntohs(Address.sin_port));
  Readable.reset(event_new(Core.base(), Socket, EV_READ | EV_PERSIST,
                           &peer_gossip::onReadable, this));
  event_add(Readable.get(), nullptr);
  LoadTimer.startPeriodic(
      std::chrono::milliseconds(Core.settings().PeerIntervalMs));
  return std::nullopt;
}

std::vector<std::uint8_t> peer_gossip::encode(json Message) const {
  Message["v"] = GossipVersion;
  Message["f"] = Core.settings().InstanceName;
  return json::to_msgpack(Message);
}

void peer_gossip::sendBytes(const instance_endpoint &Peer,
                            std::span<const std::uint8_t> Bytes) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  if (inet_pton(AF_INET, Peer.Address.c_str(), &Address.sin_addr) != 1)
    return;
  // Send errors are ignored: the datagram counts as lost.
  sendto(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
}

void peer_gossip::sendTo(const std::string &Peer, const json &Message) {
  const auto &Peers = Core.roster().peers();
  if (const auto Found = Peers.find(Peer); Found != Peers.end())
    sendBytes(Found->second, encode(Message));
}

void peer_gossip::sendToAll(const json &Message) {
  const std::vector<std::uint8_t> Bytes = encode(Message);
  for (const auto &[Name, Entry] : Core.roster().peers())
    sendBytes(Entry, Bytes);
}

void peer_gossip::sendLendRequest(const std::string &Peer,
                                  const lend_request &Request) {
  sendTo(Peer, encodeLendRequest(Request));
}

void peer_gossip::sendLendReturn(const std::string &Peer,
                                 const lend_return &Return) {
  sendTo(Peer, {{"k", "return"},
                {"n", Return.LendRequestId},
                {"t", Return.Team},
                {"w", Return.Tokens},
                {"c", Return.Closed}});
}

void peer_gossip::sendLoss(request_fingerprint Request, lost_process Upstream,
                           std::span<const segment_loss> Losses) {
  json Message{{"k", "loss"}, {"q", Request}, {"u", Upstream.Upstream}};
  if (Upstream.Born != 0)
    Message["b"] = Upstream.Born;
  if (Upstream.Inferred)
    Message["i"] = true;
  if (!Losses.empty())
    Message["s"] = encodeLosses(Losses);
  sendToAll(Message);
}

void peer_gossip::sendEnded(const lost_process &Upstream) {
  sendToAll({{"k", "ended"}, {"u", Upstream.Upstream}, {"b", Upstream.Born}});
}

void peer_gossip::sendSound(std::optional<request_fingerprint> Request,
                            std::span<const segment_id> Segments) {
  json Message{{"k", "sound"}, {"s", Segments}};
  if (Request)
    Message["q"] = *Request;
  sendToAll(Message);
}

void peer_gossip::sendPause(const std::string &Upstream, span_ns For) {
  sendToAll({{"k", "pause"}, {"u", Upstream}, {"ms", toMillis(For)}});
}

void peer_gossip::sendChangePoll(const std::string &Peer,
                                 const change_poll &Poll) {
  sendTo(Peer, {{"k", "poll"},
                {"n", Poll.Number},
                {"r", Poll.Revision},
                {"o", encodeDocuments(Poll.Documents)}});
}

void peer_gossip::sendChanges(const std::string &Peer,
                              const change_response &Response) {
  sendTo(Peer, encodeChanges(Response));
}

void peer_gossip::sendWeights(const std::string &Upstream,
                              const std::string &Model, std::int64_t Version) {
  sendToAll({{"k", "weights"}, {"u", Upstream}, {"m", Model}, {"n", Version}});
}

void peer_gossip::sendLimit(const named_limit &Limit) {
  sendToAll(
      {{"k", "limit"}, {"c", encodeLimits({&Limit, 1}, readBootClock())}});
}

void peer_gossip::sendOrigins(const std::string &Peer,
                              std::string_view Origins) {
  sendTo(Peer, {{"k", "origins"},
                {"o", json::binary({Origins.begin(), Origins.end()})}});
}

void peer_gossip::sendOriginQuestion(const std::string &Peer,
                                     std::uint64_t Stream) {
  sendTo(Peer, {{"k", "origin_query"}, {"s", Stream}});
}

void peer_gossip::sendOriginAnswer(std::uint64_t Stream,
                                   std::optional<std::string_view> Software) {
  json Message{{"k", "origin_reply"}, {"s", Stream}};
  if (Software)
    Message["w"] = *Software;
  reply(Message);
}

void peer_gossip::sendHistoryQuestion(const std::string &Peer,
                                      std::uint64_t Number,
                                      std::uint64_t Version) {
  sendTo(Peer, {{"k", "origin_history_query"}, {"q", Number}, {"n", Version}});
}

void peer_gossip::sendHistoryAnswer(std::uint64_t Number,
                                    const stream_history &Known) {
  const instant Now = readBootClock();
  const auto AgeOf = [Now](instant Since) -> json {
    return Since == instant::min() ? json() : json(toMillis(Now - Since));
  };
  json Message{{"k", "origin_history"},
               {"q", Number},
               {"n", Known.Version},
               {"s", json::array()}};
  if (Known.NoneBefore)
    Message["a"] = AgeOf(*Known.NoneBefore);
  for (const auto &Sole : Known.Software)
    Message["s"].push_back(
        json::array({Sole.Service, Sole.Version, AgeOf(Sole.Since)}));
  reply(Message);
}

void peer_gossip::reply(const json &Message) {
  // A peer that leaves, or has just started, may not be listed.
  const std::vector<std::uint8_t> Bytes = encode(Message);
  sendto(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr *>(&Sender), sizeof(Sender));
}

void peer_gossip::sendBrittleRefusal(const brittle_refusal &Refusal) {
  sendToAll(
      {{"k", "brittle"}, {"u", Refusal.Upstream}, {"n", Refusal.Tolerated}});
}

void peer_gossip::sendLeaving(const upstream_process &Upstream) {
  sendToAll({{"k", "leaving"}, {"d", encodeProcesses({&Upstream, 1})}});
}

void peer_gossip::sendRelease(std::span<const std::string_view> Peers,
                              const release_message &Message) {
  if (Peers.empty())
    return;
  const std::vector<std::uint8_t> Bytes = encode(encodeRelease(Message));
  for (const std::string_view Name : Peers)
    sendBytes(Core.roster().peers().find(Name)->second, Bytes);
}

void peer_gossip::sendDomainHints() {
  const auto &Peers = Core.roster().peers();
  const auto Receivers = Hints.otherDomains(Peers);
  if (Receivers.empty())
    return;
  const auto Taken = Hints.takeForOtherDomains();
  if (Taken.empty())
    return;
  const std::vector<std::uint8_t> Bytes =
      encode({{"k", "hints"}, {"h", encodeHints(Taken)}});
  for (const std::string_view Name : Receivers)
    sendBytes(Peers.find(Name)->second, Bytes);
}

void peer_gossip::addCosts(json &Message) {
  learned_costs &Costs = Core.scheduler().costs();
  if (const auto Summaries = Costs.takeSummaries(); !Summaries.empty())
    Message["t"] = encodeCosts(Summaries);
  if (const auto Rates = Costs.ownRates(); !Rates.empty())
    Message["m"] = encodeRates(Rates);
}

void peer_gossip::sendLoad() {
  const auto &Peers = Core.roster().peers();
  if (Peers.empty())
    return;
  Core.scheduler().setUnknownPeers(Peers.size() > gossip_schedule::FanOut);
  // Each change is sent to every peer twice, since a datagram may be lost.
  constexpr std::size_t SendsPerChange = 2;
  const instant Now = readBootClock();
  const instant Since =
      Now -
      std::chrono::milliseconds(Core.settings().PeerIntervalMs) *
          static_cast<std::int64_t>(SendsPerChange * Schedule.rounds(Peers));
  json Loads = encodeLoads(Core.scheduler().ownLoadsSince(Since, Now));
  json Reports = encodeReports(Core.scheduler().ownReportsSince(Since), Now);
  Hints.addOwn(Core.scheduler().takeHints());
  if (++Round % DomainHintsInterval == 0)
    sendDomainHints();
  const gossip_receivers Receivers = Schedule.next(Peers);
  json NewHints = encodeHints(Hints.takeFor(Receivers.Near));
  const auto Limits = Core.upstreamLimits().ownSince(Since);
  const auto Leaving = Core.directory().departures().knownSince(
      Now - std::chrono::milliseconds(Core.settings().PeerIntervalMs) *
                upstream_departures::RepeatRounds);
  const auto &Isolated = Core.upstreamPaths().isolatedServices();
  const bool IsIdle = Loads.empty() && Reports.empty() && NewHints.empty() &&
                      Limits.empty() && Leaving.empty() && Isolated.empty();
  if (IsIdle && std::exchange(IdleSent, true))
    return;
  IdleSent = IsIdle;
  json Weights = json::array();
  const announced_weights &Announced = Core.scheduler().announcedWeights();
  for (const weights_announcement &Known : Announced.recent(Now))
    Weights.push_back({Known.Model, Known.Version,
                       toMillis(Announced.age(Known, Now)),
                       !Known.NotBefore.has_value()});
  json Message{{"k", "load"},
               {"l", std::move(Loads)},
               {"r", std::move(Reports)},
               {"h", std::move(NewHints)},
               {"w", std::move(Weights)}};
  if (const auto Quarantined = Core.segmentQuarantine().quarantined(Now);
      !Quarantined.empty())
    Message["x"] = encodeQuarantined(Quarantined);
  if (!Limits.empty())
    Message["c"] = encodeLimits(Limits, Now);
  if (!Isolated.empty())
    Message["i"] = Isolated;
  if (!Leaving.empty())
    Message["d"] = encodeProcesses(Leaving);
  if (Round % CostsInterval == 0)
    addCosts(Message);
  const auto SendTo = [&](std::span<const std::string_view> Names) {
    if (Names.empty())
      return;
    const std::vector<std::uint8_t> Bytes = encode(Message);
    for (const std::string_view Name : Names)
      sendBytes(Peers.find(Name)->second, Bytes);
  };
  SendTo(Receivers.Near);
  // Hints reach other domains by `sendDomainHints`.
  Message["h"] = json::array();
  SendTo(Receivers.OtherDomains);
}

void peer_gossip::onReadable(evutil_socket_t Socket, short, void *Self) {
  std::array<char, MaxDatagramBytes> Buffer;
  while (true) {
    auto *Gossip = static_cast<peer_gossip *>(Self);
    socklen_t AddressLength = sizeof(Gossip->Sender);
    const ssize_t Length =
        recvfrom(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr *>(&Gossip->Sender), &AddressLength);
    if (Length <= 0)
      return;
    Gossip->onDatagram({Buffer.data(), static_cast<std::size_t>(Length)});
  }
}

void peer_gossip::onDatagram(std::string_view Bytes) {
  const auto Message = parseMessage(Bytes);
  if (!Message) {
    Core.log().warn(event_category::Peer, "datagram_unreadable",
                    {{"bytes", Bytes.size()}});
    return;
  }
  const auto Version = Message->find("v");
  if (Version == Message->end() || *Version != GossipVersion)
    return onOtherVersion(*Message);
  try {
    handleMessage(Message->at("f"), *Message);
  } catch (const json::exception &Problem) {
    Core.log().warn(event_category::Peer, "datagram_unreadable",
                    {{"reason", Problem.what()}});
  }
}

/// Logs the first message of each listed peer and version. A peer repeats its
/// messages, and others could state any name.
void peer_gossip::onOtherVersion(const json &Message) {
  const auto &Peers = Core.roster().peers();
  const auto From = Message.find("f");
  const auto Version = Message.find("v");
  if (From == Message.end() || !From->is_string())
    return;
  const std::string Peer = From->get<std::string>();
  if (!Peers.contains(Peer))
    return;
  const bool IsNumber =
      Version != Message.end() && Version->is_number_integer();
  const std::string Theirs = IsNumber ? Version->dump() : "unreadable";
  std::erase_if(OtherVersions, [&Peers](const auto &Known) {
    return !Peers.contains(Known.first);
  });
  if (std::exchange(OtherVersions[Peer], Theirs) == Theirs)
    return;
  Core.log().warn(event_category::Peer, "gossip_version_unknown",
                  {{"peer", Peer},
                   {"peer_version", Theirs},
                   {"own_version", GossipVersion}});
}

void peer_gossip::handleHints(const std::string &From, const json &Message) {
  const auto Received = decodeHints(Message.at("h"));
  for (const segment_hint &Hint : Received)
    Core.scheduler().onPeerHint(Hint);
  Hints.onPeerHints(From, Received, Core.roster().peers());
}

void peer_gossip::handleLimits(const json &Listed, instant Now) {
  for (const named_limit &Limit : decodeLimits(Listed, Now))
    Core.onPeerLimit(Limit, Now);
}

void peer_gossip::handleLeaving(const json &Listed, instant Now) {
  for (const upstream_process &Upstream : decodeProcesses(Listed))
    Core.onPeerLeaving(Upstream, Now);
}

void peer_gossip::handleQuarantined(const std::string &From,
                                    const json &Listed) {
  const auto Sound = Core.segmentQuarantine().onPeerQuarantine(
      decodeQuarantined(Listed), readBootClock());
  Core.logQuarantinedSegments();
  if (!Sound.empty())
    sendTo(From, {{"k", "sound"}, {"s", Sound}});
}

bool peer_gossip::handleOrigins(const std::string &From, std::string_view Kind,
                                const json &Message) {
  origin_task *Origins = Core.origins();
  if (!Kind.starts_with("origin") || !Origins)
    return false;
  if (Kind == "origins") {
    const auto &Bytes = Message.at("o").get_binary();
    const std::string Text(Bytes.begin(), Bytes.end());
    Origins->onPeerRecords(From, Text);
  } else if (Kind == "origin_query") {
    Origins->onPeerQuestion(Message.at("s"));
  } else if (Kind == "origin_reply") {
    std::optional<std::string> Software;
    if (const auto Known = Message.find("w"); Known != Message.end())
      Software = Known->get<std::string>();
    Origins->onPeerAnswer(From, Message.at("s"), Software);
  } else if (Kind == "origin_history_query") {
    sendHistoryAnswer(Message.at("q"),
                      Core.historySince(Message.at("n"), readBootClock()));
  } else if (Kind == "origin_history") {
    const instant Now = readBootClock();
    const auto SinceOf = [Now](const json &Age) {
      return Age.is_null()
                 ? instant::min()
                 : Now - std::chrono::milliseconds(Age.get<std::int64_t>());
    };
    stream_history Known;
    Known.Version = Message.at("n");
    if (const auto Age = Message.find("a"); Age != Message.end())
      Known.NoneBefore = SinceOf(*Age);
    for (const json &Sole : Message.at("s"))
      Known.Software.push_back({Sole.at(0), Sole.at(1), SinceOf(Sole.at(2))});
    Origins->onPeerHistory(Message.at("q"), Known);
  }
  return true;
}

void peer_gossip::handleMessage(const std::string &From, const json &Message) {
  const std::string Kind = Message.at("k");
  const instant Now = readBootClock();
  if (handleOrigins(From, Kind, Message))
    return;
  if (Kind == "load") {
    Core.scheduler().onPeerLoad(From, decodeLoads(Message.at("l")), Now);
    // Absent in messages of instances that run an earlier release.
    for (const upstream_load_report &Report :
         decodeReports(Message.value("r", json::array()), Now)) {
      Core.scheduler().onPeerReport(Report);
      Core.onUpstreamLoad(Report.Upstream, Report.Load, Report.At);
    }
    // The ages are for earlier releases. A message may have waited while this
    // process was suspended, so only the responses to polls give ages.
    for (const json &Known : Message.at("w"))
      Core.scheduler().announcedWeights().onPeer(
          Known.at(0).get<std::string>(), Known.at(1), std::nullopt, Now);
    handleHints(From, Message);
    if (const auto Listed = Message.find("x"); Listed != Message.end())
      handleQuarantined(From, *Listed);
    if (const auto Listed = Message.find("c"); Listed != Message.end())
      handleLimits(*Listed, Now);
    if (const auto Listed = Message.find("d"); Listed != Message.end())
      handleLeaving(*Listed, Now);
    // Absent in most messages, and in those of earlier releases.
    if (const auto Listed = Message.find("t"); Listed != Message.end())
      for (const cost_summary &Known : decodeCosts(*Listed))
        Core.scheduler().costs().onPeerSummary(Known);
    if (const auto Listed = Message.find("m"); Listed != Message.end())
      for (const service_rates &Known : decodeRates(*Listed))
        Core.scheduler().costs().onPeerRates(Known);
    // Absent if the peer reaches an upstream of each service.
    Core.upstreamPaths().onPeerIsolated(
        From, Message.value("i", std::vector<std::string>()), Now);
  } else if (Kind == "limit") {
    handleLimits(Message.at("c"), Now);
  } else if (Kind == "leaving") {
    handleLeaving(Message.at("d"), Now);
  } else if (Kind == "brittle") {
    Core.onPeerRefused({Message.at("u"), Message.at("n")}, Now);
  } else if (Kind == "release") {
    if (Core.releaseExchange())
      Core.releaseExchange()->onPeerRelease(decodeRelease(Message));
  } else if (Kind == "hints") {
    handleHints(From, Message);
  } else if (Kind == "poll") {
    if (Core.changeExchange())
      Core.changeExchange()->onChangePoll(
          From,
          {Message.at("n"), Message.at("r"), decodeDocuments(Message.at("o"))});
  } else if (Kind == "changes") {
    if (Core.changeExchange())
      Core.changeExchange()->onChangeResponse(From, decodeChanges(Message));
  } else if (Kind == "ask") {
    sendTo(From, encodeLendResponse(Core.shares().onLendRequest(
                     From, decodeLendRequest(Message), Now)));
  } else if (Kind == "reply") {
    Core.onLendResponse(From, decodeLendResponse(Message));
  } else if (Kind == "return") {
    Core.shares().onLendReturn(
        From,
        {Message.at("n"), Message.at("t"), Message.at("w"), Message.at("c")},
        Now);
  } else if (Kind == "loss") {
    // Absent in messages of earlier releases.
    const lost_process Lost{Message.at("u"),
                            Message.value("b", std::int64_t{0}),
                            Message.value("i", false)};
    Core.crashes().onLost(Message.at("q"), Lost, Now);
    Core.onPeerLoss(Message.at("u"), Now);
    // Absent in messages of earlier releases and if the response had begun.
    if (const auto Losses = Message.find("s"); Losses != Message.end()) {
      Core.segmentQuarantine().onPeerLost(decodeLosses(*Losses),
                                          Message.at("u"), Now);
      Core.logQuarantinedSegments();
    }
  } else if (Kind == "ended") {
    Core.lossInquiries().onPeerEnded({Message.at("u"), Message.at("b")}, Now);
  } else if (Kind == "sound") {
    Core.segmentQuarantine().onPeerCompleted(
        Message.at("s").get<std::vector<segment_id>>(), Now);
    // Absent in messages of earlier releases.
    if (const auto Request = Message.find("q"); Request != Message.end())
      Core.crashes().onCompleted(Request->get<request_fingerprint>());
  } else if (Kind == "weights") {
    Core.scheduler().onWeights(Message.at("u").get<std::string>(),
                               Message.at("m").get<std::string>(),
                               Message.at("n"));
  } else if (Kind == "pause") {
    Core.scheduler().pause(
        Message.at("u").get<std::string>(),
        Now + std::chrono::milliseconds(Message.at("ms").get<std::int64_t>()));
  }
}

} // namespace ebonyvale
