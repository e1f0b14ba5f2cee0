#include "platform/fake_upstream.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace ebonyvale {
namespace {

constexpr std::size_t OversizedBytes = 9 * 1024 * 1024;
constexpr span_ns ExtraDelay = std::chrono::milliseconds(30);

/// Reads a private member of `server_connection`, which sends nothing between
/// two responses.
template <auto Member> struct socket_access {
  friend bufferevent *socketOf(server_connection &Link) {
    return (Link.*Member).get();
  }
};
bufferevent *socketOf(server_connection &Link);
template struct socket_access<&server_connection::Socket>;

} // namespace

/// Reports that the connection of a run has been closed.
class fake_upstream::active_run final : public client_observer {
public:
  active_run(fake_upstream &Owner, const server_connection &Link,
             std::string Id)
      : Id(std::move(Id)), Owner(Owner), Link(Link) {}

  void onClientDisconnected() override {
    Owner.endRun(Link, /*Complete=*/false);
  }
  void onClientDrained() override {}

  const std::string Id;

private:
  fake_upstream &Owner;
  const server_connection &Link;
};

fake_upstream::fake_upstream(event_base *Base, std::string Id,
                             std::uint16_t Port)
    : Id(std::move(Id)), Links(Base, *this) {
  // If listening fails, the port is 0, which gateway_fixture rejects.
  if (Port == 0 || Links.listen("127.0.0.1", Port))
    Links.listen("127.0.0.1", 0);
}

fake_upstream::~fake_upstream() = default;

std::string fake_upstream::entryAt(std::uint16_t Port, std::string_view Service,
                                   bool Draining) const {
  nlohmann::json Entry{{"backend", Service},
                       {"address", fmt::format("127.0.0.1:{}", Port)},
                       {"zone", "z"},
                       {"version", Software},
                       {"batchSlots", 8},
                       {"state", Draining ? "draining" : "ready"},
                       {"models", nlohmann::json::array(
                                      {{{"name", "m"}, {"version", Weights}}})},
                       {"sequence", 1}};
  if (Born != 0)
    Entry["born"] = Born;
  return Entry.dump();
}

std::string fake_upstream::events(int After, int Last,
                                  std::string_view Writer) {
  std::string Text;
  for (int Event = After + 1; Event <= Last; ++Event)
    Text += fmt::format("id: {}\ndata: piece {}{}{}\n\n", Event, Event,
                        Writer.empty() ? "" : " of ", Writer);
  return Text;
}

std::string fake_upstream::ownEvents(int After, int Last) const {
  std::string Writer = EventsNameProcess ? Id : "";
  if (EventsNameSoftware)
    Writer +=
        (Writer.empty() ? "" : std::string(1, WriterSeparator)) + Software;
  return events(After, Last, Writer);
}

void fake_upstream::endRun(const server_connection &Link, bool Complete) {
  const auto Found = ActiveRuns.find(&Link);
  if (Found == ActiveRuns.end())
    return;
  const auto Run = Found->second;
  ActiveRuns.erase(Found);
  OnRunEnd(Run->Id, Complete);
}

int fake_upstream::runs() const {
  int Sum = 0;
  for (const auto &[Request, Count] : Runs)
    Sum += Count;
  return Sum;
}

std::size_t fake_upstream::openHeldRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Held, [](const auto &Link) { return Link->open(); }));
}

void fake_upstream::onRequest(const std::shared_ptr<server_connection> &Link,
                              http_request Request) {
  const std::string_view Path = targetPath(Request.Head.Target);
  if (Path == "/v1/report" || Path == "/v1/order")
    return handleOrder(*Link, Request);
  const std::string RequestId(
      Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""));
  ReceivedRequests.push_back(Request);
  sendCopies(*Link);
  if (OnArrival)
    OnArrival(Request);
  header_list Headers;
  Headers.add("Ebonyvale-Request-Id", RequestId);
  const bool Refuses = Behavior == upstream_behavior::Full ||
                       Behavior == upstream_behavior::OtherProcess || Pause;
  if (Limit && (LimitInRefusals || !Refuses))
    Headers.add("Server-Limit", fmt::format("{}", *Limit));
  for (const http_header &Extra : ExtraHeaders)
    Headers.add(Extra.Name, Extra.Value);
  if (!LeavingHeader.empty())
    Headers.add(LeavingHeader, "1");
  const auto ExpectedWeights =
      Request.Head.Headers.find("Ebonyvale-Expect-Version");
  const bool OtherWeights =
      ExpectedWeights && *ExpectedWeights != std::to_string(Weights);
  const auto ExpectedId =
      Request.Head.Headers.find("Ebonyvale-Expect-Instance");
  const bool OtherProcess = ExpectedId && *ExpectedId != Id;
  if (Behavior == upstream_behavior::OtherProcess || OtherProcess ||
      OtherWeights) {
    Headers.add("Ebonyvale-Instance-Id",
                Behavior == upstream_behavior::OtherProcess ? "i-other" : Id);
    stateLeaving(Request, Headers);
    return Link->writeResponse(421, Headers, "");
  }
  if (OnAccepted)
    OnAccepted(Request);
  if (Behavior == upstream_behavior::Full || Pause) {
    Headers.add("Ebonyvale-Not-Executed", "1");
    stateLeaving(Request, Headers);
    if (Pause) {
      Headers.add("Retry-After", fmt::format("{:.3f}", toSeconds(*Pause)));
      if (OnPause)
        OnPause(Request);
    }
    for (const std::string &Value : RetryAfter)
      Headers.add("Retry-After", Value);
    return Link->writeResponse(503, Headers, "");
  }
  if (refusesInTurn(Link, RequestId))
    return;
  if (QueueTime == span_ns(0))
    return run(Link, std::move(Request), std::move(Headers));
  callAfter(Links.base(), QueueTime,
            [this, Link, Request = std::move(Request), Headers] {
              if (Link->open())
                run(Link, Request, Headers);
            });
}

void fake_upstream::run(const std::shared_ptr<server_connection> &Link,
                        http_request Request, header_list Headers) {
  ++Runs[std::string(Headers.find("Ebonyvale-Request-Id").value_or(""))];
  if (OnRun)
    OnRun(Request);
  if (OnRunEnd) {
    auto Run = std::make_shared<active_run>(
        *this, *Link,
        std::string(Headers.find("Ebonyvale-Request-Id").value_or("")));
    Link->observe(Run);
    ActiveRuns[Link.get()] = std::move(Run);
  }
  if (Delay == span_ns(0))
    return respond(Link, Request, std::move(Headers));
  callAfter(Links.base(), Delay,
            [this, Link, Request = std::move(Request), Headers] {
              if (Link->open())
                respond(Link, Request, Headers);
            });
}

void fake_upstream::stateLeaving(const http_request &Request,
                                 header_list &Headers) const {
  if (!Leaving)
    return;
  Headers.add("Server-Leaving", "1");
  if (OnLeavingResponse)
    OnLeavingResponse(Request);
}

void fake_upstream::respond(const std::shared_ptr<server_connection> &Link,
                            const http_request &Request, header_list Headers) {
  const std::string_view Path = targetPath(Request.Head.Target);
  Headers.add("Ebonyvale-Server-Seal", std::string(Seal) + Id);
  Headers.add("Ebonyvale-Weight-Versions", std::to_string(Weights));
  stateLeaving(Request, Headers);
  if (Behavior == upstream_behavior::Hold) {
    Held.push_back(Link);
    return;
  }
  const auto Segments =
      Request.Head.Headers.find("Ebonyvale-Prompt-Prefix").value_or("");
  if (!CrashingSegment.empty() &&
      Segments.find(CrashingSegment) != std::string_view::npos) {
    ++Crashes;
    Link->beginStream(200, Headers);
    return Link->abortResponse();
  }
  if (Behavior == upstream_behavior::DropResponse)
    return Link->abortResponse();
  if (Behavior == upstream_behavior::Error)
    return Link->writeResponse(500, Headers, "failed");
  if (Behavior == upstream_behavior::OversizedResponse)
    return Link->writeResponse(
        200, Headers, "data: " + std::string(OversizedBytes, 'x') + "\n\n");
  const stream_framing Framing = nextFraming();
  if (Framing == stream_framing::CloseDelimited && OnCloseDelimited)
    OnCloseDelimited(Headers.find("Ebonyvale-Request-Id").value_or(""));
  if (Path.find("stream") == std::string_view::npos) {
    const std::string Body =
        fmt::format("answer of {} to {}", Id,
                    Headers.find("Ebonyvale-Request-Id").value_or(""));
    const bool Close = Framing == stream_framing::CloseDelimited;
    if (Close || truncates())
      return respondInHalves(Link, Headers, Body,
                             Close ? end_mark::Close : end_mark::Length);
    Link->writeResponse(200, Headers, Body);
    endRun(*Link, /*Complete=*/true);
    return followWithExtra(
        Link, std::string(Headers.find("Ebonyvale-Request-Id").value_or("")));
  }
  Link->beginStream(200, Headers, Framing);
  respondStream(Link, Request, Behavior == upstream_behavior::TruncateStream,
                Framing);
}

stream_framing fake_upstream::nextFraming() {
  ++Bodies;
  return CloseDelimitedEvery != 0 && Bodies % CloseDelimitedEvery == 0
             ? stream_framing::CloseDelimited
             : stream_framing::Chunked;
}

bool fake_upstream::truncates() const {
  return TruncateEvery != 0 && Bodies >= TruncateEvery &&
         Bodies % TruncateEvery == Bodies / TruncateEvery % TruncateEvery;
}

void fake_upstream::respondInHalves(
    const std::shared_ptr<server_connection> &Link, header_list Headers,
    const std::string &Body, end_mark Mark) {
  const std::size_t Half = Body.size() / 2;
  if (Mark == end_mark::Length)
    Headers.add("Content-Length", std::to_string(Body.size()));
  Link->beginStream(200, Headers, stream_framing::CloseDelimited);
  Link->writeChunk(std::string_view(Body).substr(0, Half));
  if (breaksOff())
    return breakOff(Link);
  callAfter(
      Links.base(), EventInterval,
      [this, Link, Rest = Body.substr(Half), Mark, Truncated = truncates()] {
        if (!Link->open())
          return;
        if (Truncated)
          return truncate(Link, Mark);
        Link->writeChunk(Rest);
        Link->endStream();
        endRun(*Link, /*Complete=*/true);
      });
}

void fake_upstream::respondStream(
    const std::shared_ptr<server_connection> &Link, const http_request &Request,
    bool Broken, stream_framing Framing) {
  const auto After = static_cast<int>(
      Request.Head.Headers.number("Last-Event-Id").value_or(0));
  if (Broken) {
    const int Last = std::min(After + 2, Events);
    const std::string Half =
        ownEvents(Last, std::min(Last + 1, Events)).substr(0, 9);
    Link->writeChunk(ownEvents(After, Last) + Half);
    return Link->abortResponse();
  }
  if (EventInterval > span_ns(0)) {
    const int Left = std::max(1, Events - After);
    stream_plan Plan;
    Plan.Request = std::string(
        Request.Head.Headers.find("Ebonyvale-Request-Id").value_or(""));
    if (Framing == stream_framing::CloseDelimited)
      Plan.Mark = end_mark::Close;
    if (breaksOff())
      Plan.Broken = After + 1 + static_cast<int>(Bodies / ResetEvery) % Left;
    else if (truncates() && Left > 1)
      Plan.Last =
          After + 1 + static_cast<int>(Bodies / TruncateEvery) % (Left - 1);
    return streamWithGaps(Link, After, Plan);
  }
  Link->writeChunk(ownEvents(After, Events));
  Link->endStream();
}

void fake_upstream::streamWithGaps(
    const std::shared_ptr<server_connection> &Link, int After,
    const stream_plan &Plan) {
  if (!Link->open())
    return;
  if (After >= Plan.Last && Plan.Last != Events)
    return truncate(Link, Plan.Mark);
  if (After >= Events) {
    Link->endStream();
    endRun(*Link, /*Complete=*/true);
    if (Plan.Mark == end_mark::Chunk)
      followWithExtra(Link, Plan.Request);
    return;
  }
  const std::string Event = ownEvents(After, After + 1);
  const bool Broken = After + 1 == Plan.Broken;
  const std::size_t First =
      Broken || EventSplit > span_ns(0) ? Event.size() / 2 : Event.size();
  Link->writeChunk(std::string_view(Event).substr(0, First));
  if (Broken)
    return breakOff(Link);
  if (First < Event.size())
    callAfter(Links.base(), EventSplit, [Link, Rest = Event.substr(First)] {
      if (Link->open())
        Link->writeChunk(Rest);
    });
  callAfter(Links.base(), EventInterval, [this, Link, After, Plan] {
    streamWithGaps(Link, After + 1, Plan);
  });
}

void fake_upstream::breakOff(const std::shared_ptr<server_connection> &Link) {
  callAfter(Links.base(), EventInterval, [this, Link] {
    const auto Run = ActiveRuns.find(Link.get());
    if (!Link->open() || Run == ActiveRuns.end())
      return;
    if (OnReset)
      OnReset(Run->second->Id);
    Link->abortResponse();
    endRun(*Link, /*Complete=*/false);
  });
}

void fake_upstream::truncate(const std::shared_ptr<server_connection> &Link,
                             end_mark Mark) {
  const auto Run = ActiveRuns.find(Link.get());
  if (!Link->open() || Run == ActiveRuns.end())
    return;
  if (OnTruncate)
    OnTruncate(Run->second->Id);
  // With chunks, closes without the last one.
  if (Mark == end_mark::Chunk)
    Link->abortResponse();
  else
    Link->endStream();
  endRun(*Link, /*Complete=*/false);
}

void fake_upstream::followWithExtra(
    const std::shared_ptr<server_connection> &Link,
    const std::string &Request) {
  if (ExtraEvery == 0 || ++Framed % ExtraEvery != 0)
    return;
  constexpr unsigned Kinds = 3;
  const unsigned Kind = Framed / ExtraEvery % Kinds;
  const std::string Body = fmt::format("answer of {} to r-0", Id);
  const std::string Bytes =
      Kind == 0 ? "more text\r\n"
                : fmt::format("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: r-0\r\n"
                              "Ebonyvale-Server-Seal: {}{}\r\n"
                              "Content-Length: {}\r\n\r\n{}",
                              Seal, Id, Body.size(), Body);
  const auto Send = [this, Link, Request, Bytes] {
    if (!Link->open() || Links.closesIdle() || ActiveRuns.contains(Link.get()))
      return;
    if (OnExtra)
      OnExtra(Request);
    bufferevent_write(socketOf(*Link), Bytes.data(), Bytes.size());
  };
  if (Kind + 1 < Kinds)
    return Send();
  callAfter(Links.base(), ExtraDelay, Send);
}

bool fake_upstream::refusesInTurn(
    const std::shared_ptr<server_connection> &Link, const std::string &Id) {
  if (RefuseEvery == 0 || ++Arrivals % RefuseEvery != 0)
    return false;
  constexpr int Unavailable = 503;
  header_list Headers;
  Headers.add("Ebonyvale-Request-Id", Id);
  Headers.add("Ebonyvale-Not-Executed", "1");
  Link->writeResponse(Unavailable, Headers, "");
  constexpr unsigned Kinds = 3;
  const unsigned Kind = Arrivals / RefuseEvery % Kinds;
  if (Kind != 0)
    DueCopies.emplace_back(Link, Id);
  if (Kind != 1)
    callAfter(Links.base(), ExtraDelay, [this, Link, Id] {
      if (!Link->open() || Links.closesIdle() ||
          ActiveRuns.contains(Link.get()))
        return;
      DueCopies.emplace_back(Link, Id);
      sendCopies(*Link);
    });
  return true;
}

void fake_upstream::sendCopies(server_connection &Link) {
  std::erase_if(DueCopies, [&](const auto &Due) {
    const auto &[Weak, Id] = Due;
    const auto Known = Weak.lock();
    if (Known.get() != &Link)
      return !Known;
    const std::string Copy =
        fmt::format("HTTP/1.1 503 x\r\nEbonyvale-Request-Id: {}\r\n"
                    "Ebonyvale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    Id);
    if (OnCopy)
      OnCopy(Id);
    bufferevent_write(socketOf(Link), Copy.data(), Copy.size());
    return true;
  });
}

void fake_upstream::handleOrder(server_connection &Link,
                                const http_request &Request) {
  if (Request.Head.Method == "POST") {
    if (FailsOrders)
      return Link.writeResponse(500, {}, "");
    const auto Order = nlohmann::json::parse(Request.Body, nullptr, false);
    Fences.push_back(Order.value("fencingToken", std::int64_t{0}));
    constexpr int Conflict = 409;
    if (Order.value("expected", std::int64_t{-1}) != Orders) {
      ++Conflicts;
      return Link.writeResponse(Conflict, {}, "");
    }
    Weights = Order.at("version");
    ++Orders;
    return Link.writeResponse(202, {}, "");
  }
  nlohmann::json Report{
      {"models",
       nlohmann::json::array({{{"name", "m"}, {"version", Weights}}})},
      {"busy", false},
      {"sequence", Orders}};
  if (Born != 0)
    Report["born"] = Born;
  header_list Headers;
  for (const http_header &Extra : ExtraHeaders)
    Headers.add(Extra.Name, Extra.Value);
  Link.writeResponse(200, Headers, Report.dump());
}

void fake_upstream::onRequestError(server_connection &Link, request_error) {
  Link.writeResponse(400, {}, "");
}

} // namespace ebonyvale
