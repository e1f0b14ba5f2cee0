#include "platform/store_server.h"

#include "net/base64.h"
#include "net/query_parameters.h"

#include <charconv>
#include <iostream>

#include <nlohmann/json.hpp>

namespace ebonyvale {
namespace {

using nlohmann::json;

constexpr int BadRequest = 400;
constexpr int NotFound = 404;

/// Returns the HTTP status, or 0 if the store does not respond.
int statusOf(store_status Status) {
  switch (Status) {
  case store_status::Ok:
    return 200;
  case store_status::NotFound:
    return NotFound;
  case store_status::Conflict:
    return 412;
  case store_status::HistoryGone:
    return 410;
  case store_status::Refused:
    return 503;
  case store_status::NoAnswer:
    break;
  }
  return 0;
}

std::int64_t numberOf(std::string_view Text) {
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// Returns the items as the array \p Name, with the store's revision.
json itemsOf(const store_items &Found, const char *Name) {
  json Listed = json::array();
  for (const store_item &Item : Found.Items) {
    json Entry{{"key", Item.Key}, {"revision", counterOf(Item.Revision)}};
    if (Item.Removed)
      Entry["tombstone"] = true;
    else
      Entry["value"] = toBase64(Item.Value);
    Listed.push_back(std::move(Entry));
  }
  return {{Name, Listed}, {"storeRevision", counterOf(Found.Revision)}};
}

} // namespace

store_server::store_server(event_base *Base, fleet_store &Store,
                           std::function<std::int64_t()> Era)
    : Store(Store), Era(std::move(Era)), Links(Base, *this) {
  if (const auto Problem = Links.listen("127.0.0.1", 0))
    std::cerr << "store server: " << Problem->Detail << "\n";
}

std::int64_t store_server::revisionOf(std::int64_t Counter) const {
  return storeRevision(Era ? Era() : 0, Counter);
}

void store_server::respond(server_connection &Link, store_status Status,
                           const std::string &Body) const {
  const int Code = statusOf(Status);
  if (Code == 0 || !Link.open())
    return;
  header_list Headers;
  if (Era)
    Headers.add("Store-Era", std::to_string(Era()));
  Link.writeResponse(Code, Headers, Body);
}

void store_server::onRequest(const std::shared_ptr<server_connection> &Link,
                             http_request Request) {
  const std::string_view Path = targetPath(Request.Head.Target);
  const std::string_view Query = targetQuery(Request.Head.Target);
  const std::string_view Last = Path.substr(Path.rfind('/') + 1);
  const auto RespondWithResult = [this, Link](const store_result &Result) {
    const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
        Result.LeaseDuration);
    respond(*Link, Result.Status,
            json{{"revision", counterOf(Result.Revision)},
                 {"lease", Result.Lease},
                 {"ttlMs", Millis.count()}}
                .dump());
  };
  if (Path == "/v1/kv-range")
    return list(Link, Query);
  if (Path == "/v1/kv-watch")
    return watch(Link, Query);
  if (Path == "/v1/kv-txn")
    return commit(Link, Request.Body);
  if (Path == "/v1/kv-lease") {
    const json Body = json::parse(Request.Body, nullptr, false);
    const std::int64_t Millis =
        Body.is_object() ? Body.value("ttlMs", std::int64_t{0}) : 0;
    return Store.grantLease(std::chrono::milliseconds(Millis),
                            RespondWithResult);
  }
  if (Path.starts_with("/v1/kv-keep/"))
    return Store.renewLease(numberOf(Last), RespondWithResult);
  if (Path.starts_with("/v1/kv-lease-end/"))
    return Store.endLease(numberOf(Last), RespondWithResult);
  Link->writeResponse(NotFound, {}, "");
}

void store_server::onRequestError(server_connection &Link, request_error) {
  Link.writeResponse(BadRequest, {}, "");
}

void store_server::list(const std::shared_ptr<server_connection> &Link,
                        std::string_view Query) {
  const query_parameters Parameters(Query);
  Store.listAfter(Parameters.text("prefix"), Parameters.text("after"),
                  [this, Link](const store_items &Found) {
                    respond(*Link, Found.Status,
                            itemsOf(Found, "items").dump());
                  });
}

void store_server::watch(const std::shared_ptr<server_connection> &Link,
                         std::string_view Query) {
  const query_parameters Parameters(Query);
  Store.watch(Parameters.text("prefix"),
              revisionOf(numberOf(Parameters.text("after"))),
              std::chrono::milliseconds(numberOf(Parameters.text("waitMs"))),
              [this, Link](const store_items &Found) {
                respond(*Link, Found.Status, itemsOf(Found, "events").dump());
              });
}

void store_server::commit(const std::shared_ptr<server_connection> &Link,
                          const std::string &Text) {
  const json Body = json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return Link->writeResponse(BadRequest, {}, "");
  store_commit Commit;
  for (const json &Entry : Body.at("expected")) {
    const std::int64_t Counter = Entry.at("revision");
    Commit.Conditions.push_back(
        {Entry.at("key"), Counter == 0 ? 0 : revisionOf(Counter)});
  }
  for (const json &Entry : Body.at("puts"))
    Commit.Puts.push_back(
        {Entry.at("key"),
         fromBase64(Entry.at("value").get<std::string>()).value_or(""),
         Entry.value("lease", std::int64_t{0})});
  for (const json &Key : Body.at("remove"))
    Commit.Removals.push_back(Key);
  Store.commit(Commit, [this, Link](const store_result &Result) {
    respond(*Link, Result.Status,
            json{{"revision", counterOf(Result.Revision)}}.dump());
  });
}

} // namespace ebonyvale
