#include "fakes/key_value_server.h"

#include "net/base64.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <charconv>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr span_ns ExpiryInterval = std::chrono::milliseconds(20);

/// Reads an integer given as a number or a string: the etcd JSON gateway writes
/// 64-bit integers as strings.
std::int64_t readInteger(const json &Body, const char *Name) {
  const auto Found = Body.find(Name);
  if (Found == Body.end())
    return 0;
  if (Found->is_number_integer())
    return Found->get<std::int64_t>();
  std::int64_t Value = 0;
  if (Found->is_string()) {
    const std::string &Text = Found->get_ref<const std::string &>();
    std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  }
  return Value;
}

std::string readBytes(const json &Body, const char *Name) {
  return fromBase64(Body.value(Name, "")).value_or("");
}

/// Formats an integer as the etcd JSON gateway does.
std::string formatInteger(std::int64_t Value) {
  return fmt::format("{}", Value);
}

json header(const key_value_model &Model) {
  return {{"revision", formatInteger(Model.revision())}};
}

json entryJson(const key_value &Entry) {
  return {{"key", toBase64(Entry.Key)},
          {"value", toBase64(Entry.Value)},
          {"create_revision", formatInteger(Entry.CreateRevision)},
          {"mod_revision", formatInteger(Entry.ModRevision)},
          {"lease", formatInteger(Entry.Lease)}};
}

/// Returns the `range_end` of \p Body, or the end of the range that holds only
/// \p Key if there is none.
std::string rangeEnd(const json &Body, const std::string &Key) {
  const std::string End = readBytes(Body, "range_end");
  return End.empty() ? Key + '\0' : End;
}

} // namespace

/// A watch stream of one client.
class key_value_server::watcher final : public response_writer_observer {
public:
  watcher(key_value_server &Owner, evhttp_request *Request, std::string From,
          std::string To, std::int64_t Next)
      : Owner(Owner), Writer(Request, *this), From(std::move(From)),
        To(std::move(To)), Next(Next) {
    Writer.startStream();
    Writer.sendChunk(
        json{{"result", {{"header", header(Owner.Model)}, {"created", true}}}}
            .dump() +
        "\n");
  }

  /// Sends the changes since the last call.
  void send() {
    json Events = json::array();
    for (const key_change &Change : Owner.Model.changesSince(Next, From, To)) {
      json Event{{"kv", entryJson(Change.Entry)}};
      if (Change.Deleted)
        Event["type"] = "DELETE";
      Events.push_back(Event);
    }
    Next = Owner.Model.revision() + 1;
    if (Events.empty())
      return;
    Writer.sendChunk(
        json{{"result", {{"header", header(Owner.Model)}, {"events", Events}}}}
            .dump() +
        "\n");
  }

  void onClientDisconnected() override {
    key_value_server &Server = Owner;
    callLater(Server.Base, [&Server, this] {
      std::erase_if(Server.Watchers,
                    [this](const auto &Entry) { return Entry.get() == this; });
    });
  }
  void onDrained() override {}

private:
  key_value_server &Owner;
  response_writer Writer;
  std::string From;
  std::string To;
  std::int64_t Next;
};

key_value_server::key_value_server(event_base *Base)
    : Base(Base), ExpiryTimer(Base,
                              [this] {
                                Model.expire(readClock().Now);
                                notify();
                              }),
      Server(Base, http_bounds{},
             [this](evhttp_request *Request) { onRequest(Request); }) {}

key_value_server::~key_value_server() = default;

std::optional<failure> key_value_server::listen(const std::string &Address,
                                                std::uint16_t Port) {
  ExpiryTimer.startPeriodic(ExpiryInterval);
  return Server.listen(Address, Port);
}

void key_value_server::onRequest(evhttp_request *Request) {
  if (requestPath(Request) == "/control")
    return serveControl(Request);
  if (Faults.DropConnections)
    return breakConnection(Request);
  if (Faults.SlowMs == 0)
    return serve(Request);
  const auto Pending = std::make_shared<deferred_response>(Request);
  callAfter(Base, std::chrono::milliseconds(Faults.SlowMs), [this, Pending] {
    if (evhttp_request *Late = Pending->take())
      serve(Late);
  });
}

void key_value_server::serve(evhttp_request *Request) {
  const json Body = json::parse(inputBody(Request), nullptr, false);
  if (!Body.is_object()) {
    sendResponse(Request, 400, "application/json", "{}");
    return;
  }
  Model.expire(readClock().Now);
  const std::string_view Path = requestPath(Request);
  if (Path == "/v3/watch")
    return startWatch(Request, Body);
  json Response;
  if (!dispatch(Path, Body, Response)) {
    sendResponse(Request, 404, "application/json", "{}");
    return;
  }
  const bool IsWrite = Path != "/v3/kv/range";
  ++(IsWrite ? Writes : Reads);
  if (IsWrite && Faults.LoseReplies > 0) {
    --Faults.LoseReplies;
    breakConnection(Request);
  } else {
    sendResponse(Request, 200, "application/json", Response.dump());
  }
  notify();
}

bool key_value_server::dispatch(std::string_view Path, const json &Body,
                                json &Response) {
  if (Path == "/v3/kv/range")
    Response = runRange(Body);
  else if (Path == "/v3/kv/txn")
    Response = runTransaction(Body);
  else if (Path == "/v3/kv/put")
    Response = runOperation({{"request_put", Body}});
  else if (Path == "/v3/kv/deleterange")
    Response = runOperation({{"request_delete_range", Body}});
  else if (Path == "/v3/lease/grant")
    Response = {{"ID", formatInteger(Model.grantLease(
                           std::chrono::seconds(readInteger(Body, "TTL")),
                           readClock().Now))},
                {"TTL", formatInteger(readInteger(Body, "TTL"))}};
  else if (Path == "/v3/lease/keepalive")
    Response = {
        {"result",
         {{"ID", formatInteger(readInteger(Body, "ID"))},
          {"TTL", Model.renewLease(readInteger(Body, "ID"), readClock().Now)
                      ? "1"
                      : "0"}}}};
  else if (Path == "/v3/lease/revoke")
    Model.revokeLease(readInteger(Body, "ID"));
  else
    return false;
  Response["header"] = header(Model);
  return true;
}

json key_value_server::runRange(const json &Body) {
  const std::string Key = readBytes(Body, "key");
  std::vector<key_value> Found = Model.range(Key, rangeEnd(Body, Key));
  const auto Limit = static_cast<std::size_t>(readInteger(Body, "limit"));
  const bool More = Limit != 0 && Found.size() > Limit;
  if (More)
    Found.resize(Limit);
  json Entries = json::array();
  for (const key_value &Entry : Found)
    Entries.push_back(entryJson(Entry));
  return {{"kvs", Entries},
          {"count", formatInteger(static_cast<std::int64_t>(Found.size()))},
          {"more", More}};
}

json key_value_server::runOperation(const json &Operation) {
  if (const auto Put = Operation.find("request_put"); Put != Operation.end()) {
    Model.put(readBytes(*Put, "key"), readBytes(*Put, "value"),
              readInteger(*Put, "lease"));
    return {{"response_put", json::object()}};
  }
  if (const auto Range = Operation.find("request_range");
      Range != Operation.end())
    return {{"response_range", runRange(*Range)}};
  const auto Delete = Operation.find("request_delete_range");
  if (Delete == Operation.end())
    return json::object();
  const std::string Key = readBytes(*Delete, "key");
  const std::size_t Erased = Model.eraseRange(Key, rangeEnd(*Delete, Key));
  return {{"response_delete_range",
           {{"deleted", formatInteger(static_cast<std::int64_t>(Erased))}}}};
}

json key_value_server::runTransaction(const json &Body) {
  bool Succeeded = true;
  for (const json &Comparison : Body.value("compare", json::array()))
    Succeeded = Succeeded && matches(Comparison);
  json Responses = json::array();
  for (const json &Operation :
       Body.value(Succeeded ? "success" : "failure", json::array()))
    Responses.push_back(runOperation(Operation));
  return {{"succeeded", Succeeded}, {"responses", Responses}};
}

bool key_value_server::matches(const json &Comparison) const {
  const auto Entry = Model.get(readBytes(Comparison, "key"));
  const std::string Target = Comparison.value("target", "");
  if (Target == "CREATE")
    return (Entry ? Entry->CreateRevision : 0) ==
           readInteger(Comparison, "create_revision");
  if (Target == "MOD")
    return (Entry ? Entry->ModRevision : 0) ==
           readInteger(Comparison, "mod_revision");
  return Entry && Entry->Value == readBytes(Comparison, "value");
}

void key_value_server::startWatch(evhttp_request *Request, const json &Body) {
  ++Watches;
  const json Create = Body.value("create_request", json::object());
  const std::string Key = readBytes(Create, "key");
  const std::int64_t Start = readInteger(Create, "start_revision");
  Watchers.push_back(
      std::make_unique<watcher>(*this, Request, Key, rangeEnd(Create, Key),
                                Start == 0 ? Model.revision() + 1 : Start));
  Watchers.back()->send();
}

void key_value_server::notify() {
  if (Faults.DropConnections)
    return;
  for (const auto &Watcher : Watchers)
    Watcher->send();
}

void key_value_server::breakConnection(evhttp_request *Request) {
  evhttp_connection_free(evhttp_request_get_connection(Request));
}

void key_value_server::serveControl(evhttp_request *Request) {
  const json Body = json::parse(inputBody(Request), nullptr, false);
  if (Body.is_object()) {
    Faults.DropConnections = Body.value("out", Faults.DropConnections);
    Faults.SlowMs = Body.value("slow_ms", Faults.SlowMs);
    Faults.LoseReplies = Body.value("lose_replies", Faults.LoseReplies);
  }
  const json State{{"reads", Reads}, {"writes", Writes}, {"watches", Watches}};
  sendResponse(Request, 200, "application/json", State.dump());
  if (Faults.DropConnections)
    Watchers.clear();
}

} // namespace ebonyvale
