/// \file
/// Encoding of the parts of messages between instances. Decoders throw
/// `nlohmann::json::exception` for a malformed part.
#ifndef EBONYVALE_GATEWAY_CONNECTION_PEER_MESSAGES_H
#define EBONYVALE_GATEWAY_CONNECTION_PEER_MESSAGES_H

#include "decisions/process/quota_ledger.h"
#include "decisions/process/segment_quarantine.h"
#include "decisions/process/upstream_limits.h"
#include "decisions/process/upstream_scheduler.h"
#include "gateway/process/change_exchange.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace ebonyvale {

/// Parses a message. Returns nothing if it is no object, or is nested more
/// deeply than any message is; its parser would need a stack of that depth.
std::optional<nlohmann::json> parseMessage(std::string_view Bytes);

/// Returns \p Span in whole milliseconds.
std::int64_t toMillis(span_ns Span);

nlohmann::json encodeLendRequest(const lend_request &Request);
lend_request decodeLendRequest(const nlohmann::json &Message);

nlohmann::json encodeLendResponse(const lend_response &Response);
lend_response decodeLendResponse(const nlohmann::json &Message);

nlohmann::json encodeLosses(std::span<const segment_loss> Losses);
std::vector<segment_loss> decodeLosses(const nlohmann::json &Listed);

nlohmann::json encodeQuarantined(std::span<const quarantined_segment> Segments);
std::vector<quarantined_segment>
decodeQuarantined(const nlohmann::json &Listed);

/// Instants are passed as ages at \p Now. A limit that has ended has no number.
nlohmann::json encodeLimits(std::span<const named_limit> Limits, instant Now);
std::vector<named_limit> decodeLimits(const nlohmann::json &Listed,
                                      instant Now);

nlohmann::json encodeProcesses(std::span<const upstream_process> Processes);
std::vector<upstream_process> decodeProcesses(const nlohmann::json &Listed);

nlohmann::json encodeHints(std::span<const segment_hint> Hints);
std::vector<segment_hint> decodeHints(const nlohmann::json &Listed);

/// A load ends with the expected rest where learned costs are used.
nlohmann::json encodeLoads(std::span<const peer_load> Loads);
std::vector<peer_load> decodeLoads(const nlohmann::json &Listed);

/// Instants are passed as ages at \p Now. A report ends with the slowness
/// unless that is as usual.
nlohmann::json encodeReports(std::span<const upstream_load_report> Reports,
                             instant Now);
std::vector<upstream_load_report> decodeReports(const nlohmann::json &Listed,
                                                instant Now);

nlohmann::json encodeCosts(std::span<const cost_summary> Costs);
std::vector<cost_summary> decodeCosts(const nlohmann::json &Listed);

nlohmann::json encodeRates(std::span<const service_rates> Rates);
std::vector<service_rates> decodeRates(const nlohmann::json &Listed);

nlohmann::json encodeDocuments(std::span<const operator_document> Documents);
std::vector<operator_document> decodeDocuments(const nlohmann::json &Listed);

nlohmann::json encodeChanges(const change_response &Response);
change_response decodeChanges(const nlohmann::json &Message);

} // namespace ebonyvale

#endif
