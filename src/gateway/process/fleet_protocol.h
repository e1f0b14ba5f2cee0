/// \file
/// Interfaces of a platform adapter, which translates the documents in the
/// platform's store and the messages of its callers and upstreams. Adapters
/// make no decisions.
#ifndef EBONYVALE_GATEWAY_PROCESS_FLEET_PROTOCOL_H
#define EBONYVALE_GATEWAY_PROCESS_FLEET_PROTOCOL_H

#include "common/error_kind.h"
#include "common/result.h"
#include "decisions/process/upstream_directory.h"
#include "decisions/process/upstream_scheduler.h"
#include "decisions/request/caller_request.h"
#include "decisions/version/routing_table.h"
#include "decisions/version/software_release.h"
#include "net/client_connection.h"
#include "net/server_connection.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Kind of document that a store key names.
enum class document_kind { Routing, Weights, Release, Upstream, Other };

/// Weights version that operators have set for a model.
struct weights_target {
  std::string Model;
  std::int64_t Version = 0;
};

/// Parses the documents that operators and upstreams keep in the store.
class document_reader {
public:
  virtual ~document_reader() = default;

  /// Returns the key prefix of the operators' documents.
  virtual std::string operatorPrefix() const = 0;
  /// Returns the key of the routing document, the first one of the operators'
  /// documents that this instance reads.
  virtual std::string routingKey() const = 0;
  /// Returns the key prefix of upstream entries.
  virtual std::string upstreamPrefix() const = 0;

  /// Returns the kind of document that is stored under \p Key.
  virtual document_kind kindOf(std::string_view Key) const = 0;

  /// Parses the routing document and hashes its keys with \p KeySecret. Fails
  /// with `NoteInvalid`.
  virtual result<routing_table>
  readRouting(std::string_view Value, std::string_view KeySecret) const = 0;

  /// Returns nothing for a malformed document.
  virtual std::optional<weights_target>
  readWeights(std::string_view Value) const = 0;

  /// Returns the service that \p Key, of an order of a release, names.
  virtual std::string_view releaseService(std::string_view Key) const = 0;

  /// Parses the order for \p Service. Its revision is not set. Fails with
  /// `NoteInvalid`.
  virtual result<release_order> readRelease(std::string_view Service,
                                            std::string_view Value) const = 0;

  /// Returns the key of the order for \p Service.
  virtual std::string releaseOrderKey(std::string_view Service) const = 0;

  /// Returns the key under which operators read what became of an order for
  /// \p Service.
  virtual std::string releaseStatusKey(std::string_view Service) const = 0;

  /// Returns the document for that key.
  virtual std::string
  writeReleaseStatus(const release_status &Status) const = 0;

  /// Returns the upstream id in the store key \p Key.
  virtual std::string_view upstreamId(std::string_view Key) const = 0;

  /// Returns nothing when any field of the entry is malformed. Appends the
  /// names of the fields that are not known to \p UnknownFields.
  virtual std::optional<upstream_entry>
  readUpstream(std::string_view Id, std::string_view Value,
               std::vector<std::string> &UnknownFields) const = 0;
};

/// Translates requests from callers and responses to them.
class caller_protocol {
public:
  virtual ~caller_protocol() = default;

  /// Reads the request fields from \p Head. Fails with `BodyMalformed` when one
  /// cannot be read.
  virtual result<caller_request> parseHead(const http_head &Head) const = 0;

  /// Returns the status of a refusal; \p MayHaveRun tells whether an upstream
  /// may have executed the request.
  virtual int refusalStatus(error_kind Kind, bool MayHaveRun) const = 0;

  /// Returns whether a response with \p Status tells the caller that its
  /// request was not run.
  virtual bool promisesNotRun(int Status) const = 0;

  /// Returns the headers of a refusal. \p Request is null where none was read;
  /// a \p RetryAfter of zero omits the retry advice.
  virtual header_list refusalHeaders(const caller_request *Request,
                                     span_ns RetryAfter) const = 0;

  /// Returns the headers of an upstream's response that are passed on to the
  /// caller.
  virtual header_list responseHeaders(const header_list &Upstream) const = 0;

  /// Returns the path of the platform's readiness probe.
  virtual std::string_view readinessPath() const = 0;
};

/// Values that an attempt adds to the headers of a caller's request.
struct attempt_info {
  std::string_view Upstream;
  std::string_view Team;
  std::string_view CacheScope; ///< cached prompts are shared within it only
  span_ns TimeLeft{0};         ///< until the deadline
  std::optional<int> Priority;
  std::optional<std::int64_t> ResumeAfter; ///< last event that was received
  std::optional<std::int64_t> Weights; ///< required version; refused otherwise
  std::string_view FetchFrom; ///< "IP:PORT" that caches prompt segments
  std::string_view SaveTo;    ///< "IP:PORT" of a store for prefilled segments
};

/// Fields in the head of an upstream's response.
struct response_info {
  std::string RequestId;     ///< empty if absent
  bool NotRun = false;       ///< the request was not executed and will not be
  bool OtherProcess = false; ///< another process now uses the address
  bool OtherWeights = false; ///< refused: holds other weights than required
  std::optional<reported_load> Load;
  bool NamesLimit = false; ///< states a limit, `Limit` unless it is malformed
  /// Requests per second that the upstream takes from all instances together.
  std::optional<double> Limit;
  std::optional<std::int64_t> Weights;
  /// States how many requests in a second the upstream can turn away,
  /// `ToleratedRefusals` unless that is malformed.
  bool StatesBrittle = false;
  std::optional<std::int64_t> ToleratedRefusals;
  bool Leaving = false; ///< takes no new requests until its end
  /// Time for which the upstream, which turned the request away, wants no other
  /// one from this instance; the longest that it states.
  std::optional<span_ns> Pause;
  std::vector<std::string> UnknownHeaders;
  std::size_t PausesStated = 0;   ///< readable or not
  bool LeavingUnreadable = false; ///< states something else of its leaving
};

/// Order to an upstream to load new weights.
struct weights_order {
  std::string Model;
  std::int64_t Version = 0;
  std::string Issuer;
  std::int64_t FencingToken = 0;   ///< revision of the issuer's claim
  std::int64_t ExpectedOrders = 0; ///< orders that the upstream accepted before
};

/// Result of an order; `Unknown` if the upstream may still carry it out.
enum class order_result { Accepted, AlreadyHolds, Conflict, Rejected, Unknown };

/// Status report of an upstream.
struct upstream_report {
  bool Busy = false; ///< carrying out an order
  std::int64_t AcceptedOrders = 0;
  std::int64_t Born = 0; ///< start time in ms since the Unix epoch; 0: unknown
  std::map<std::string, std::int64_t, std::less<>> Models; ///< weights by model
  std::vector<std::string> UnknownFields;
};

/// Translates requests to upstreams and their responses.
class upstream_protocol {
public:
  virtual ~upstream_protocol() = default;

  /// Returns the headers of an attempt: those of \p Caller that are passed on,
  /// and those for \p Attempt.
  virtual header_list attemptHeaders(const header_list &Caller,
                                     const attempt_info &Attempt) const = 0;

  /// Reads \p Head, the response to a request sent to the id \p Upstream.
  virtual response_info readResponse(const http_head &Head,
                                     std::string_view Upstream) const = 0;

  /// Returns the weights version that a stream event switches to, if any.
  virtual std::optional<std::int64_t>
  eventWeights(std::string_view Event) const = 0;

  /// Fills method, target and headers of \p Out and returns the body.
  virtual std::string makeOrderRequest(const weights_order &Order,
                                       std::string_view Upstream,
                                       client_request &Out) const = 0;

  /// Maps the HTTP status of a response to an order.
  virtual order_result readOrderResponse(int Status) const = 0;

  /// Fills method, target and headers of a request for the status report.
  virtual void makeReportRequest(std::string_view Upstream,
                                 client_request &Out) const = 0;

  /// Returns nothing for a malformed report.
  virtual std::optional<upstream_report>
  readReport(std::string_view Body) const = 0;
};

} // namespace ebonyvale

#endif
