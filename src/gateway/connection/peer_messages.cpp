#include "gateway/connection/peer_messages.h"

#include <algorithm>
#include <array>

namespace ebonyvale {

using nlohmann::json;

namespace {

/// Values of the store are bytes, and a removed item has none.
json encodeItem(const store_item &Item) {
  if (Item.Removed)
    return {Item.Key, Item.Revision};
  return {Item.Key, Item.Revision,
          json::binary({Item.Value.begin(), Item.Value.end()})};
}

json encodeAnnouncedAges(std::span<const announced_age> Weights) {
  json Listed = json::array();
  for (const announced_age &Known : Weights) {
    json Entry{Known.Model, Known.Version};
    if (Known.Age)
      // Rounded up: a read must not seem newer than it is.
      Entry.push_back(toMillis(*Known.Age) + 1);
    Listed.push_back(std::move(Entry));
  }
  return Listed;
}

std::vector<announced_age> decodeAnnouncedAges(const json &Listed) {
  std::vector<announced_age> Weights;
  for (const json &Entry : Listed) {
    Weights.push_back({Entry.at(0), Entry.at(1), std::nullopt});
    if (Entry.size() > 2)
      Weights.back().Age =
          std::chrono::milliseconds(Entry.at(2).get<std::int64_t>());
  }
  return Weights;
}

/// Accepts values up to a depth of nesting.
class depth_check final : public nlohmann::json_sax<json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override { return ++Depth <= MaxDepth; }
  bool key(string_t &) override { return true; }
  bool end_object() override { return --Depth >= 0; }
  bool start_array(std::size_t) override { return ++Depth <= MaxDepth; }
  bool end_array() override { return --Depth >= 0; }
  bool parse_error(std::size_t, const std::string &,
                   const json::exception &) override {
    return false;
  }

private:
  static constexpr int MaxDepth = 16;
  int Depth = 0;
};

std::string decodeBytes(const json &Value) {
  const auto &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

/// Counters of one group; classes of latencies without a response are left out.
json encodeCounts(const response_counts &Counts) {
  json Listed{Counts.Responses, Counts.Failures};
  for (std::size_t Class = 0; Class < Counts.Latencies.size(); ++Class)
    if (Counts.Latencies[Class] > 0) {
      Listed.push_back(Class);
      Listed.push_back(Counts.Latencies[Class]);
    }
  return Listed;
}

response_counts decodeCounts(const json &Listed) {
  response_counts Counts;
  Counts.Responses = Listed.at(0);
  Counts.Failures = Listed.at(1);
  for (std::size_t Index = 2; Index + 1 < Listed.size(); Index += 2)
    if (const std::size_t Class = Listed.at(Index);
        Class < Counts.Latencies.size())
      Counts.Latencies[Class] = Listed.at(Index + 1);
  return Counts;
}

json encodeEvidence(const evidence_summary &Summary) {
  json Routes = json::array();
  for (const auto &[Route, Groups] : Summary.Routes) {
    json Entry = json::array({Route});
    for (const response_counts &Counts : Groups)
      Entry.push_back(encodeCounts(Counts));
    Routes.push_back(std::move(Entry));
  }
  return {Summary.Instances, std::move(Routes)};
}

evidence_summary decodeEvidence(const json &Listed, const release_news &News) {
  evidence_summary Summary;
  Summary.Service = News.Service;
  Summary.OrderRevision = News.OrderRevision;
  Summary.Instances = Listed.at(0);
  for (const json &Entry : Listed.at(1)) {
    if (Summary.Routes.size() > evidence_summary::MaxRoutes)
      break;
    route_counts &Groups = Summary.Routes[Entry.at(0)];
    for (std::size_t Group = 0; Group < Groups.size(); ++Group)
      Groups[Group] = decodeCounts(Entry.at(Group + 1));
  }
  return Summary;
}

/// States by their number in messages.
constexpr std::array ReleaseStates{
    release_state::Running, release_state::Finishing, release_state::Completed,
    release_state::RolledBack};

} // namespace

std::optional<json> parseMessage(std::string_view Bytes) {
  depth_check Check;
  if (!json::sax_parse(Bytes, &Check, json::input_format_t::msgpack))
    return std::nullopt;
  json Message = json::from_msgpack(Bytes, true, false);
  if (!Message.is_object())
    return std::nullopt;
  return Message;
}

std::int64_t toMillis(span_ns Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

json encodeLendRequest(const lend_request &Request) {
  return {{"k", "ask"},
          {"n", Request.LendRequestId},
          {"t", Request.Team},
          {"w", Request.Tokens},
          {"p", Request.Purpose == lend_purpose::Rebalance},
          {"l", Request.Level},
          {"b", Request.Burst}};
}

lend_request decodeLendRequest(const json &Message) {
  return {Message.at("n"),
          Message.at("t"),
          Message.at("w"),
          Message.at("p").get<bool>() ? lend_purpose::Rebalance
                                      : lend_purpose::Need,
          Message.at("l"),
          Message.at("b")};
}

json encodeLendResponse(const lend_response &Response) {
  return {{"k", "reply"},
          {"n", Response.LendRequestId},
          {"t", Response.Team},
          {"w", Response.Lent},
          {"l", Response.Level},
          {"r", Response.Rate},
          {"m", Response.Outstanding}};
}

lend_response decodeLendResponse(const json &Message) {
  return {Message.at("n"), Message.at("t"), Message.at("w"),
          Message.at("l"), Message.at("r"), Message.at("m")};
}

json encodeLosses(std::span<const segment_loss> Losses) {
  json Listed = json::array();
  for (const segment_loss &Loss : Losses)
    Listed.push_back({Loss.Segment, Loss.Chance});
  return Listed;
}

std::vector<segment_loss> decodeLosses(const json &Listed) {
  std::vector<segment_loss> Losses;
  for (const json &Loss : Listed)
    Losses.push_back({Loss.at(0), Loss.at(1)});
  return Losses;
}

json encodeQuarantined(std::span<const quarantined_segment> Segments) {
  json Listed = json::array();
  for (const quarantined_segment &Segment : Segments)
    Listed.push_back({Segment.Segment, toMillis(Segment.Left)});
  return Listed;
}

json encodeLimits(std::span<const named_limit> Limits, instant Now) {
  json Listed = json::array();
  for (const named_limit &Limit : Limits)
    Listed.push_back({Limit.Upstream,
                      Limit.PerSecond ? json(*Limit.PerSecond) : json(),
                      toMillis(Now - Limit.At)});
  return Listed;
}

json encodeProcesses(std::span<const upstream_process> Processes) {
  json Listed = json::array();
  for (const upstream_process &Process : Processes)
    Listed.push_back({Process.Id, Process.Born, Process.Address, Process.Port});
  return Listed;
}

std::vector<upstream_process> decodeProcesses(const json &Listed) {
  std::vector<upstream_process> Processes;
  for (const json &Entry : Listed)
    Processes.push_back({Entry.at(0), Entry.at(1), Entry.at(2), Entry.at(3)});
  return Processes;
}

json encodeHints(std::span<const segment_hint> Hints) {
  json Listed = json::array();
  for (const segment_hint &Hint : Hints)
    Listed.push_back({Hint.Upstream, Hint.Chain});
  return Listed;
}

std::vector<segment_hint> decodeHints(const json &Listed) {
  std::vector<segment_hint> Hints;
  for (const json &Hint : Listed)
    Hints.push_back({Hint.at(0), Hint.at(1)});
  return Hints;
}

json encodeLoads(std::span<const peer_load> Loads) {
  json Listed = json::array();
  for (const peer_load &Load : Loads) {
    json Entry{Load.Upstream, Load.InFlight,
               static_cast<std::int64_t>(Load.SentPrefillMs),
               static_cast<std::int64_t>(Load.HeldTokens),
               static_cast<std::int64_t>(Load.InsertedTokens)};
    if (Load.RestMs)
      Entry.push_back(static_cast<std::int64_t>(*Load.RestMs));
    Listed.push_back(std::move(Entry));
  }
  return Listed;
}

std::vector<peer_load> decodeLoads(const json &Listed) {
  // Longer rests are no service times.
  constexpr double MaxRestMs = 1e9;
  std::vector<peer_load> Loads;
  for (const json &Entry : Listed) {
    Loads.push_back({Entry.at(0), Entry.at(1), Entry.at(2), Entry.at(3),
                     Entry.at(4), std::nullopt});
    // Absent in messages of instances that run an earlier release.
    if (Entry.size() > 5)
      Loads.back().RestMs =
          std::clamp(Entry.at(5).get<double>(), 0.0, MaxRestMs);
  }
  return Loads;
}

json encodeReports(std::span<const upstream_load_report> Reports, instant Now) {
  json Listed = json::array();
  for (const upstream_load_report &Report : Reports) {
    json Entry{Report.Upstream, Report.Load.Running, Report.Load.Waiting,
               Report.Load.Slots, toMillis(Now - Report.At)};
    if (Report.Load.SlownessPercent != reported_load::UsualSlownessPercent)
      Entry.push_back(Report.Load.SlownessPercent);
    Listed.push_back(std::move(Entry));
  }
  return Listed;
}

std::vector<upstream_load_report> decodeReports(const json &Listed,
                                                instant Now) {
  std::vector<upstream_load_report> Reports;
  for (const json &Entry : Listed) {
    upstream_load_report Report;
    Report.Upstream = Entry.at(0);
    Report.Load.Running = Entry.at(1);
    Report.Load.Waiting = Entry.at(2);
    Report.Load.Slots = Entry.at(3);
    Report.At =
        Now - std::chrono::milliseconds(Entry.at(4).get<std::int64_t>());
    if (Entry.size() > 5)
      Report.Load.SlownessPercent = Entry.at(5);
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

json encodeCosts(std::span<const cost_summary> Costs) {
  json Listed = json::array();
  for (const cost_summary &Known : Costs)
    Listed.push_back({Known.Service, Known.Route,
                      static_cast<float>(Known.Cost.Weight),
                      static_cast<float>(Known.Cost.MeanMs),
                      static_cast<float>(Known.Cost.MedianMs),
                      static_cast<float>(Known.Cost.HighMs)});
  return Listed;
}

std::vector<cost_summary> decodeCosts(const json &Listed) {
  std::vector<cost_summary> Costs;
  for (const json &Entry : Listed)
    Costs.push_back({Entry.at(0),
                     Entry.at(1),
                     {Entry.at(3), Entry.at(4), Entry.at(5), Entry.at(2)}});
  return Costs;
}

json encodeRates(std::span<const service_rates> Rates) {
  json Listed = json::array();
  for (const service_rates &Known : Rates)
    Listed.push_back({Known.Service,
                      static_cast<float>(Known.Rates.PrefillTokensPerMs),
                      static_cast<float>(Known.Rates.FirstTokenMs)});
  return Listed;
}

std::vector<service_rates> decodeRates(const json &Listed) {
  std::vector<service_rates> Rates;
  for (const json &Entry : Listed)
    Rates.push_back({Entry.at(0), {Entry.at(1), Entry.at(2)}, 0});
  return Rates;
}

json encodeDocuments(std::span<const operator_document> Documents) {
  json Listed = json::array();
  for (const operator_document &Document : Documents) {
    json Entry{Document.Key, Document.Revision};
    if (Document.Value)
      Entry.push_back(
          json::binary({Document.Value->begin(), Document.Value->end()}));
    Listed.push_back(std::move(Entry));
  }
  return Listed;
}

std::vector<operator_document> decodeDocuments(const json &Listed) {
  std::vector<operator_document> Documents;
  for (const json &Entry : Listed) {
    Documents.push_back({Entry.at(0), Entry.at(1), std::nullopt});
    if (Entry.size() > 2)
      Documents.back().Value = decodeBytes(Entry.at(2));
  }
  return Documents;
}

json encodeChanges(const change_response &Response) {
  json Message{{"k", "changes"},
               {"n", Response.Number},
               {"o", encodeDocuments(Response.Documents)}};
  if (Response.ReadAge) {
    // Rounded up: a read must not seem newer than it is.
    Message["a"] = toMillis(*Response.ReadAge) + 1;
  }
  if (Response.UpstreamsAge)
    Message["u"] = toMillis(*Response.UpstreamsAge) + 1; // likewise
  if (!Response.Weights.empty())
    Message["w"] = encodeAnnouncedAges(Response.Weights);
  const change_batch &Changes = Response.Changes;
  if (Changes.HasGap) {
    Message["g"] = Changes.GapKind != listing_kind::Continuous;
    Message["e"] = Changes.GapKind == listing_kind::AfterRestore;
    if (Changes.IsTooLong)
      Message["z"] = true;
    return Message;
  }
  json Items = json::array();
  for (const store_item &Item : Changes.Items)
    Items.push_back(encodeItem(Item));
  Message["i"] = std::move(Items);
  Message["r"] = Changes.Revision;
  Message["m"] = Changes.HasMore;
  return Message;
}

change_response decodeChanges(const json &Message) {
  change_response Response;
  Response.Number = Message.at("n");
  if (const auto Age = Message.find("a"); Age != Message.end())
    Response.ReadAge = std::chrono::milliseconds(Age->get<std::int64_t>());
  // Absent in messages of instances that run an earlier release.
  if (const auto Age = Message.find("u"); Age != Message.end())
    Response.UpstreamsAge = std::chrono::milliseconds(Age->get<std::int64_t>());
  Response.Documents = decodeDocuments(Message.at("o"));
  // Absent in messages of instances that run an earlier release.
  if (const auto Weights = Message.find("w"); Weights != Message.end())
    Response.Weights = decodeAnnouncedAges(*Weights);
  change_batch &Changes = Response.Changes;
  if (const auto Gap = Message.find("g"); Gap != Message.end()) {
    Changes.HasGap = true;
    Changes.GapKind =
        Gap->get<bool>() ? listing_kind::AfterOutage : listing_kind::Continuous;
    // Absent in messages of instances that run an earlier release.
    if (Message.value("e", false))
      Changes.GapKind = listing_kind::AfterRestore;
    Changes.IsTooLong = Message.value("z", false);
    return Response;
  }
  for (const json &Entry : Message.at("i")) {
    const bool Removed = Entry.size() <= 2;
    Changes.Items.push_back({Entry.at(0),
                             Removed ? "" : decodeBytes(Entry.at(2)),
                             Entry.at(1), Removed});
  }
  Changes.Revision = Message.at("r");
  Changes.HasMore = Message.at("m");
  return Response;
}

std::vector<quarantined_segment> decodeQuarantined(const json &Listed) {
  std::vector<quarantined_segment> Segments;
  for (const json &Entry : Listed)
    Segments.push_back({Entry.at(0), std::chrono::milliseconds(
                                         Entry.at(1).get<std::int64_t>())});
  return Segments;
}

std::vector<named_limit> decodeLimits(const json &Listed, instant Now) {
  std::vector<named_limit> Limits;
  for (const json &Entry : Listed) {
    named_limit Limit{
        Entry.at(0), std::nullopt,
        Now - std::chrono::milliseconds(Entry.at(2).get<std::int64_t>())};
    if (!Entry.at(1).is_null())
      Limit.PerSecond = std::max(0.0, Entry.at(1).get<double>());
    Limits.push_back(std::move(Limit));
  }
  return Limits;
}

json encodeRelease(const release_message &Message) {
  // Leaves room for names in a datagram of 32 KB.
  constexpr std::size_t MaxEvidenceBytes = 24 * 1024;
  const release_news &News = Message.News;
  json Out{{"k", "release"},          {"s", News.Service},
           {"w", News.Software},      {"n", News.OrderRevision},
           {"a", toMillis(News.Age)}, {"b", News.Barred}};
  if (Message.Status) {
    const auto State = std::ranges::find(ReleaseStates, Message.Status->State);
    Out["t"] = {State - ReleaseStates.begin(), Message.StatusRevision};
  }
  if (!Message.Evidence)
    return Out;
  json Evidence = encodeEvidence(*Message.Evidence);
  if (json::to_msgpack(Evidence).size() > MaxEvidenceBytes)
    return Out;
  Out["e"] = std::move(Evidence);
  Out["o"] = {Message.Source.Name, Message.Source.Boot,
              Message.Source.IsDomain};
  return Out;
}

release_message decodeRelease(const json &Message) {
  release_message Release;
  Release.News = {
      Message.at("s"), Message.at("w"), Message.at("n"),
      std::chrono::milliseconds(std::max<std::int64_t>(0, Message.at("a"))),
      Message.at("b")};
  if (const auto Status = Message.find("t"); Status != Message.end()) {
    const std::size_t State = Status->at(0);
    // A state of a later build is not known here.
    if (State < ReleaseStates.size()) {
      Release.Status = {ReleaseStates[State], Release.News.Software,
                        Release.News.OrderRevision};
      Release.StatusRevision = Status->at(1);
      Release.News.State = ReleaseStates[State];
    }
  }
  if (const auto Evidence = Message.find("e"); Evidence != Message.end()) {
    const json &Source = Message.at("o");
    Release.Source = {Source.at(0), Source.at(1), Source.at(2)};
    Release.Evidence = decodeEvidence(*Evidence, Release.News);
  }
  return Release;
}

} // namespace ebonyvale
