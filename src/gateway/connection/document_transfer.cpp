#include "gateway/connection/document_transfer.h"

#include "decisions/version/document_encoding.h"
#include "net/query_parameters.h"

#include <charconv>
#include <cstdlib>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr std::string_view DocumentsPath = "/documents";
constexpr std::string_view ChangesPath = "/changes";
constexpr std::string_view RevisionHeader = "Document-Revision";
/// Revision of the version that the receiver needs; 0: none.
constexpr std::string_view BaseHeader = "Document-Base";
/// Below the idle timeout of the listener.
constexpr std::string_view KeepAlive = "timeout=20";

std::string percentEncode(std::string_view Text) {
  char *Encoded =
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0);
  std::string Result(Encoded ? Encoded : "");
  free(Encoded);
  return Result;
}

std::int64_t numberOf(std::string_view Text) {
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

std::optional<encoded_document> find(document_provider &Provider,
                                     std::string_view Target) {
  const query_parameters Query(targetQuery(Target));
  if (targetPath(Target) == ChangesPath)
    return Provider.changesAfter(numberOf(Query.text("after")));
  if (targetPath(Target) == DocumentsPath)
    return Provider.documentFor(Query.text("key"),
                                numberOf(Query.text("known")));
  return std::nullopt;
}

} // namespace

std::string documentTarget(std::string_view Key, std::int64_t Known) {
  return fmt::format("{}?key={}&known={}", DocumentsPath, percentEncode(Key),
                     Known);
}

std::string changesTarget(std::int64_t Revision) {
  return fmt::format("{}?after={}", ChangesPath, Revision);
}

void respondToFetch(server_connection &Peer, const http_request &Request,
                    document_provider *Provider) {
  header_list Headers;
  Headers.add("Keep-Alive", KeepAlive);
  const auto Found =
      Provider ? find(*Provider, Request.Head.Target) : std::nullopt;
  if (!Found)
    return Peer.writeResponse(StatusNotFound, Headers, "");
  Headers.add(RevisionHeader, std::to_string(Found->Revision));
  Headers.add(BaseHeader, std::to_string(Found->Base));
  const std::unique_ptr<evbuffer, releaser<evbuffer_free>> Body(evbuffer_new());
  // The bytes are shared by all responses.
  evbuffer_add_reference(Body.get(), Found->Bytes->data(), Found->Bytes->size(),
                         nullptr, nullptr);
  Peer.writeResponse(StatusOk, Headers, *Body, Found->Bytes);
}

document_fetch::document_fetch(client_connection_pool &Links, callback Done)
    : Links(Links), Done(std::move(Done)),
      Deadline(Links.base(), [this] { finish(std::nullopt); }) {}

document_fetch::~document_fetch() {
  if (Link)
    Link->cancel();
}

void document_fetch::start(const endpoint &Peer, std::string Target,
                           span_ns Silence) {
  client_request Request;
  Request.Server = Peer;
  Request.Target = std::move(Target);
  Link = Links.start(Request, *this);
  Deadline.start(Silence, Silence);
}

response_action document_fetch::onResponseHead(const http_head &Head, bool) {
  Deadline.onProgress(readBootClock());
  // Builds that know no such request respond with another status.
  if (Head.Status == StatusOk) {
    Received.Revision = Head.Headers.number(RevisionHeader).value_or(0);
    Received.Base = Head.Headers.number(BaseHeader).value_or(0);
  }
  return response_action::Take;
}

void document_fetch::onResponseBody(std::string_view Bytes) {
  if (Body.size() + Bytes.size() > MaxDocumentBytes)
    return finish(std::nullopt);
  Deadline.onProgress(readBootClock());
  Body += Bytes;
}

void document_fetch::onResponseEnd() {
  Link.reset();
  if (Received.Revision == 0)
    return finish(std::nullopt);
  Received.Bytes = std::make_shared<const std::string>(std::move(Body));
  finish(Received);
}

void document_fetch::onResponseLost(const exchange_loss &) {
  Link.reset();
  finish(std::nullopt);
}

void document_fetch::finish(std::optional<encoded_document> Result) {
  const auto Guard = shared_from_this();
  Deadline.stop();
  if (const auto Running = std::exchange(Link, nullptr))
    Running->cancel();
  if (const auto Callback = std::exchange(Done, nullptr))
    Callback(std::move(Result));
}

} // namespace ebonyvale
