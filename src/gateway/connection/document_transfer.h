/// \file
/// Transfer of what is too large for a message between instances, over HTTP on
/// the endpoint for peers: operators' documents and changes of the store.
#ifndef EBONYVALE_GATEWAY_CONNECTION_DOCUMENT_TRANSFER_H
#define EBONYVALE_GATEWAY_CONNECTION_DOCUMENT_TRANSFER_H

#include "decisions/process/document_copies.h"
#include "net/client_connection.h"
#include "net/server_connection.h"
#include "net/transfer_deadline.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ebonyvale {

/// Has documents and changes for peers.
class document_provider {
public:
  virtual ~document_provider() = default;
  /// See `document_copies::encodeFor`.
  virtual std::optional<encoded_document> documentFor(std::string_view Key,
                                                      std::int64_t Known) = 0;
  /// Returns the changes of the store after \p Revision, up to the revision of
  /// the result, as the message of a peer has them; nothing if some of them
  /// are not known any more.
  virtual std::optional<encoded_document>
  changesAfter(std::int64_t Revision) = 0;
};

/// Returns what a request for the version of \p Key after \p Known names.
std::string documentTarget(std::string_view Key, std::int64_t Known);
/// Returns what a request for the changes after \p Revision names.
std::string changesTarget(std::int64_t Revision);

/// Responds to the request of a `document_fetch`. \p Provider may be null.
void respondToFetch(server_connection &Peer, const http_request &Request,
                    document_provider *Provider);

/// Asks a peer for a document or for changes. Cancelled when it is destroyed.
class document_fetch final
    : public response_observer,
      public std::enable_shared_from_this<document_fetch> {
public:
  /// Receives what the peer has sent, or nothing. Called once, from the event
  /// loop.
  using callback = std::function<void(std::optional<encoded_document>)>;

  document_fetch(client_connection_pool &Links, callback Done);
  ~document_fetch() override;

  /// Asks \p Peer for \p Target. Gives up after \p Silence without progress.
  void start(const endpoint &Peer, std::string Target, span_ns Silence);

  // response_observer
  response_action onResponseHead(const http_head &Head,
                                 bool FirstOnConnection) override;
  void onResponseBody(std::string_view Bytes) override;
  void onResponseEnd() override;
  void onResponseLost(const exchange_loss &Loss) override;

private:
  void finish(std::optional<encoded_document> Result);

  client_connection_pool &Links;
  callback Done;
  transfer_deadline Deadline;
  std::shared_ptr<client_connection> Link;
  encoded_document Received; ///< its revision is 0 without a document
  std::string Body;
};

} // namespace ebonyvale

#endif
