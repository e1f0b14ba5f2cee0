#include "daemon/process/etcd_store.h"

#include "net/base64.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr span_ns CallTimeout = std::chrono::seconds(2);
/// Read timeout of a watch, which receives no data while nothing changes.
constexpr span_ns WatchTimeout = std::chrono::hours(1);
constexpr int StatusOk = 200;

std::int64_t readInteger(const json &Body, const char *Name) {
  const std::string Text = Body.value(Name, "0");
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::optional<store_entry> readEntry(const json &Body) {
  if (!Body.is_object())
    return std::nullopt;
  const auto Key = fromBase64(Body.value("key", ""));
  const auto Value = fromBase64(Body.value("value", ""));
  if (!Key || !Value)
    return std::nullopt;
  return store_entry{*Key, *Value, readInteger(Body, "mod_revision")};
}

failure unavailable(std::string Detail) {
  return {error_kind::PlatformUnavailable, std::move(Detail)};
}

outgoing_request makeRequest(const endpoint &Server, const std::string &Path,
                             std::string_view Body, span_ns Timeout) {
  outgoing_request Request;
  Request.Server = Server;
  Request.Target = Path;
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body = {Body};
  Request.ReadTimeout = Timeout;
  return Request;
}

/// A single call to etcd. Deletes itself after calling its callback.
class etcd_call final : public exchange_observer {
public:
  using callback = std::function<void(const result<json> &)>;

  static void start(evhttp_connection_pool &Pool,
                    const outgoing_request &Request, callback Done) {
    auto *Call = new etcd_call(std::move(Done)); // NOLINT: owns itself
    upstream_exchange::start(Pool, Request, *Call);
  }

  void onHead(const response_head &Head) override { Status = Head.status(); }
  void onBody(std::string_view Bytes) override { Body += Bytes; }
  void onComplete() override {
    const json Parsed = json::parse(Body, nullptr, false);
    if (Status != StatusOk || !Parsed.is_object())
      finish(unavailable("the store rejected the request"));
    else
      finish(Parsed);
  }
  void onLost(exchange_stage) override {
    finish(unavailable("the store did not respond"));
  }

private:
  explicit etcd_call(callback Done) : Done(std::move(Done)) {}

  void finish(const result<json> &Outcome) {
    const std::unique_ptr<etcd_call> Owner(this);
    Done(Outcome);
  }

  callback Done;
  int Status = 0;
  std::string Body;
};

/// An open watch. Each line of the response is a JSON object.
class etcd_watch final : public store_watch, public exchange_observer {
public:
  etcd_watch(evhttp_connection_pool &Pool, const outgoing_request &Request,
             store_watch_observer &Observer)
      : Observer(Observer),
        Exchange(upstream_exchange::start(Pool, Request, *this)) {}
  ~etcd_watch() override {
    if (Exchange)
      Exchange->cancel();
  }

  void onHead(const response_head &) override {}
  void onBody(std::string_view Bytes) override {
    Buffer += Bytes;
    std::size_t End = Buffer.find('\n');
    while (End != std::string::npos) {
      const std::string Line = Buffer.substr(0, End);
      Buffer.erase(0, End + 1);
      readLine(Line);
      End = Buffer.find('\n');
    }
  }
  void onComplete() override { onLost(exchange_stage::Responding); }
  void onLost(exchange_stage) override {
    Exchange.reset();
    Observer.onWatchLost();
  }

private:
  void readLine(const std::string &Line) {
    const json Message = json::parse(Line, nullptr, false);
    if (!Message.is_object() || !Message.contains("result"))
      return;
    const json &Result = Message["result"];
    for (const json &Event : Result.value("events", json::array())) {
      if (Event.value("type", "PUT") != "PUT")
        continue;
      if (const auto Entry = readEntry(Event.value("kv", json::object())))
        Observer.onStoreChange(*Entry);
    }
  }

  store_watch_observer &Observer;
  std::string Buffer;
  std::shared_ptr<upstream_exchange> Exchange;
};

} // namespace

std::string prefixEnd(std::string Prefix) {
  constexpr unsigned char LastByte = 0xff;
  while (!Prefix.empty() &&
         static_cast<unsigned char>(Prefix.back()) == LastByte)
    Prefix.pop_back();
  if (!Prefix.empty())
    ++Prefix.back();
  return Prefix;
}

void etcd_store::list(const std::string &Prefix, const std::string &From,
                      callback<store_range> Done) {
  const json Body{{"key", toBase64(std::max(Prefix, From))},
                  {"range_end", toBase64(prefixEnd(Prefix))}};
  call("/v3/kv/range", Body, [Done = std::move(Done)](const auto &Response) {
    if (!Response) {
      Done(Response.error());
      return;
    }
    store_range Range;
    Range.Revision =
        readInteger(Response->value("header", json::object()), "revision");
    for (const json &Item : Response->value("kvs", json::array()))
      if (auto Entry = readEntry(Item))
        Range.Entries.push_back(std::move(*Entry));
    Done(Range);
  });
}

void etcd_store::create(const std::string &Key, std::string_view Value,
                        callback<bool> Done) {
  const std::string Name = toBase64(Key);
  const json Body{
      {"compare",
       {{{"key", Name},
         {"target", "CREATE"},
         {"result", "EQUAL"},
         {"create_revision", "0"}}}},
      {"success",
       {{{"request_put", {{"key", Name}, {"value", toBase64(Value)}}}}}}};
  call("/v3/kv/txn", Body, [Done = std::move(Done)](const auto &Response) {
    if (Response)
      Done(Response->value("succeeded", false));
    else
      Done(Response.error());
  });
}

void etcd_store::put(const std::string &Key, std::string_view Value,
                     callback<bool> Done) {
  const json Body{{"key", toBase64(Key)}, {"value", toBase64(Value)}};
  call("/v3/kv/put", Body, [Done = std::move(Done)](const auto &Response) {
    if (Response)
      Done(true);
    else
      Done(Response.error());
  });
}

void etcd_store::erase(const std::string &From, const std::string &To,
                       callback<bool> Done) {
  const json Body{{"key", toBase64(From)}, {"range_end", toBase64(To)}};
  call("/v3/kv/deleterange", Body,
       [Done = std::move(Done)](const auto &Response) {
         if (Response)
           Done(true);
         else
           Done(Response.error());
       });
}

std::unique_ptr<store_watch> etcd_store::watch(const std::string &Prefix,
                                               std::int64_t Revision,
                                               store_watch_observer &Observer) {
  const std::string Body =
      json{{"create_request",
            {{"key", toBase64(Prefix)},
             {"range_end", toBase64(prefixEnd(Prefix))},
             {"start_revision", std::to_string(Revision)}}}}
          .dump();
  return std::make_unique<etcd_watch>(
      Pool, makeRequest(Server, "/v3/watch", Body, WatchTimeout), Observer);
}

void etcd_store::call(const std::string &Path, const json &Body,
                      json_callback Done) {
  const std::string Text = Body.dump();
  etcd_call::start(Pool, makeRequest(Server, Path, Text, CallTimeout),
                   std::move(Done));
}

} // namespace ebonyvale
