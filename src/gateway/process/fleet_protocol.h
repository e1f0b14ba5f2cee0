/// \file
/// What an adapter to a platform translates: documents in its store, and the
/// messages of its callers and upstreams. Nothing here decides anything.
#ifndef EBONYVALE_GATEWAY_PROCESS_FLEET_PROTOCOL_H
#define EBONYVALE_GATEWAY_PROCESS_FLEET_PROTOCOL_H

#include "common/error_kind.h"
#include "common/result.h"
#include "decisions/process/upstream_directory.h"
#include "decisions/process/upstream_scheduler.h"
#include "decisions/request/caller_request.h"
#include "decisions/version/routing_table.h"
#include "net/client_connection.h"
#include "net/server_connection.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// What an item of the store is about.
enum class document_kind { Routing, Weights, Upstream, Other };

/// Weights that the operators want for a model.
struct weights_target {
  std::string Model;
  std::int64_t Version = 0;
};

/// Reads the documents that operators and upstreams keep in the store.
class document_reader {
public:
  virtual ~document_reader() = default;

  /// Prefixes under which documents lie.
  virtual std::string operatorPrefix() const = 0;
  virtual std::string upstreamPrefix() const = 0;

  virtual document_kind kindOf(std::string_view Key) const = 0;

  /// The routing document; keys are hashed under \p KeySecret. Fails with
  /// `NoteInvalid`.
  virtual result<routing_table>
  readRouting(std::string_view Value, std::string_view KeySecret) const = 0;

  virtual std::optional<weights_target>
  readWeights(std::string_view Value) const = 0;

  /// The id in an upstream's key.
  virtual std::string_view upstreamId(std::string_view Key) const = 0;

  /// Nothing for an entry that is malformed in any field.
  virtual std::optional<upstream_entry>
  readUpstream(std::string_view Id, std::string_view Value) const = 0;
};

/// Translates callers' messages.
class caller_protocol {
public:
  virtual ~caller_protocol() = default;

  /// Fails with `BodyMalformed` when a field cannot be read.
  virtual result<caller_request> describe(const http_head &Head) const = 0;

  /// Status and headers of a refusal. \p Ran says whether the request may have
  /// run; \p RetryAfter of zero gives no advice.
  virtual int refusalStatus(error_kind Kind, bool MayHaveRun) const = 0;
  virtual header_list refusalHeaders(const caller_request *Request,
                                     span_ns RetryAfter) const = 0;

  /// Headers of an upstream's answer as the caller gets them.
  virtual header_list answerHeaders(const header_list &Upstream) const = 0;

  /// Path at which the platform asks whether this instance is ready.
  virtual std::string_view readinessPath() const = 0;
};

/// What an attempt adds to a caller's request.
struct attempt_facts {
  std::string_view Upstream;
  std::string_view Team;
  std::string_view CacheScope; ///< cached prompts are shared inside it only
  span_ns TimeLeft{0};
  std::optional<int> Priority;
  std::optional<std::int64_t> ResumeAfter;
  std::optional<std::int64_t> Weights; ///< refuse to run on any other
  std::string_view FetchFrom;          ///< "IP:PORT" that has cached parts
  std::string_view SaveTo; ///< "IP:PORT" of a store for the parts read
};

/// What the head of an upstream's answer says.
struct answer_facts {
  std::string RequestId; ///< empty where none is named
  bool NotRun = false;   ///< proof that the request did not run and never will
  bool OtherProcess = false; ///< another process has the address
  bool OtherWeights = false; ///< refused for weights that were not expected
  std::optional<reported_load> Load;
  std::optional<std::int64_t> Weights;
};

/// An order to an upstream to take new weights.
struct weights_order {
  std::string Model;
  std::int64_t Version = 0;
  std::string Issuer;
  std::int64_t Fence = 0;
  std::int64_t ExpectedOrders = 0; ///< accepted by the upstream before it
};

/// What an upstream answered to an order.
enum class order_answer { Accepted, AlreadyHolds, Conflict, Rejected, Unknown };

/// What an upstream reports of itself.
struct upstream_report {
  bool Busy = false; ///< an order is being carried out
  std::int64_t AcceptedOrders = 0;
  std::int64_t Born = 0;
  std::map<std::string, std::int64_t, std::less<>> Models;
};

/// Translates messages to and from upstreams.
class upstream_protocol {
public:
  virtual ~upstream_protocol() = default;

  virtual header_list attemptHeaders(const header_list &Caller,
                                     const attempt_facts &Facts) const = 0;
  virtual answer_facts readAnswer(const http_head &Head,
                                  std::string_view Upstream) const = 0;

  /// The weights that an event of a stream switches to, if it does.
  virtual std::optional<std::int64_t>
  eventWeights(std::string_view Event) const = 0;

  /// Fills method, target and headers and returns the body.
  virtual std::string makeOrder(const weights_order &Order,
                                std::string_view Upstream,
                                client_request &Out) const = 0;
  virtual order_answer readOrderAnswer(int Status) const = 0;
  virtual void makeReportCall(std::string_view Upstream,
                              client_request &Out) const = 0;
  virtual std::optional<upstream_report>
  readReport(std::string_view Body) const = 0;
};

} // namespace ebonyvale

#endif
