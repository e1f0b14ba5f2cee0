// What a follower gets from its peer because it is too large for a message.
#include "decisions/version/document_encoding.h"
#include "gateway/connection/peer_messages.h"
#include "gateway/process/store_follower.h"

#include <utility>

namespace ebonyvale {
namespace {

/// Size of the changes that a peer can fetch at a time, unless a single one is
/// larger.
constexpr std::size_t MaxFetchedBytes = 1024 * 1024;
/// Time for which a peer is not asked for documents after it had none.
constexpr span_ns FetchAvoidTime = std::chrono::seconds(5);

/// Returns the changes in a peer's message; nothing if it is malformed.
std::optional<change_batch> readChanges(std::string_view Bytes) {
  const auto Message = parseMessage(Bytes);
  if (!Message)
    return std::nullopt;
  try {
    return decodeChanges(*Message).Changes;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::optional<encoded_document>
store_follower::documentFor(std::string_view Key, std::int64_t Known) {
  return Copies.encodeFor(Key, Known);
}

void store_follower::fetchNewer(const std::string &Peer,
                                const operator_document &Document) {
  if (Fetch)
    return; // the next poll asks again
  const instant Now = readBootClock();
  const auto Endpoint = Core.relayEndpoint(Peer);
  const auto Avoided = FetchAvoidUntil.find(Peer);
  if (!Endpoint ||
      (Avoided != FetchAvoidUntil.end() && Now < Avoided->second)) {
    // The back-off of a failed read applies.
    if (ReadFailures == 0)
      readOperators();
    return;
  }
  FetchStarted = Now;
  Fetch = std::make_shared<document_fetch>(
      Core.links(), [this, Peer, Key = Document.Key](
                        const std::optional<encoded_document> &Received) {
        onFetched(Peer, Key, Received);
      });
  Fetch->start(
      *Endpoint,
      documentTarget(Document.Key, OperatorStates[Document.Key].Revision),
      std::chrono::milliseconds(Core.settings().StoreCallTimeoutMs));
}

void store_follower::onFetched(
    const std::string &Peer, const std::string &Key,
    const std::optional<encoded_document> &Received) {
  Fetch.reset();
  const instant Now = readBootClock();
  auto Value = Received ? Copies.decode(Key, *Received) : std::nullopt;
  Core.log().info(event_category::Store,
                  Value ? "document_fetched" : "document_not_fetched",
                  {{"key", Key},
                   {"peer", Peer},
                   {"revision", Received ? Received->Revision : 0},
                   {"base", Received ? Received->Base : 0},
                   {"bytes", Received ? Received->Bytes->size() : 0},
                   {"size", Value ? Value->size() : 0},
                   {"after_ms", Now - FetchStarted}});
  if (Value) {
    Core.counters().DocumentBytesFetched.Increment(
        static_cast<double>(Received->Bytes->size()));
    return handleOperatorItem(
        {Key, std::move(*Value), Received->Revision, false});
  }
  std::erase_if(FetchAvoidUntil,
                [Now](const auto &Entry) { return Now >= Entry.second; });
  FetchAvoidUntil.insert_or_assign(Peer, Now + FetchAvoidTime);
  if (ReadFailures == 0)
    readOperators();
}

std::optional<encoded_document>
store_follower::changesAfter(std::int64_t After) {
  change_response Response;
  Response.Changes = Relay.log().since(After, MaxFetchedBytes);
  if (Response.Changes.HasGap)
    return std::nullopt;
  const auto Message = nlohmann::json::to_msgpack(encodeChanges(Response));
  auto Encoded = encodeDocument(
      {reinterpret_cast<const char *>(Message.data()), Message.size()}, {});
  if (!Encoded)
    return std::nullopt;
  return encoded_document{
      Response.Changes.Revision, 0,
      std::make_shared<const std::string>(std::move(*Encoded))};
}

void store_follower::fetchChanges(const std::string &Peer) {
  const auto Endpoint = Core.relayEndpoint(Peer);
  if (!Endpoint)
    return listAfterGap(listing_kind::Continuous);
  ChangesFetch = std::make_shared<document_fetch>(
      Core.links(), [this](const std::optional<encoded_document> &Received) {
        onChangesFetched(Received);
      });
  ChangesFetch->start(
      *Endpoint, changesTarget(Revision),
      std::chrono::milliseconds(Core.settings().StoreCallTimeoutMs));
}

void store_follower::onChangesFetched(
    const std::optional<encoded_document> &Received) {
  ChangesFetch.reset();
  const auto Bytes =
      Received ? decodeDocument(*Received->Bytes, {}) : std::nullopt;
  const auto Changes = Bytes ? readChanges(*Bytes) : std::nullopt;
  Core.log().info(event_category::Store,
                  Changes ? "changes_fetched" : "changes_not_fetched",
                  {{"after", Revision},
                   {"bytes", Received ? Received->Bytes->size() : 0},
                   {"items", Changes ? Changes->Items.size() : 0}});
  if (!Changes || Changes->HasGap)
    return listAfterGap(listing_kind::Continuous);
  applyChanges(Changes->Items, Changes->Revision);
  notifyOfDirectory();
  // The next poll shows how old the peer's state is.
  follow();
}

} // namespace ebonyvale
