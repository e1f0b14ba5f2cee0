/// \file
/// JSON forms of refusals, for operators and for the platform's store.
#ifndef EBONYVALE_DECISIONS_PROCESS_REFUSAL_JSON_H
#define EBONYVALE_DECISIONS_PROCESS_REFUSAL_JSON_H

#include "decisions/process/refusal_aggregator.h"
#include "decisions/process/refusal_log.h"

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// Returns all members of \p Refusal, its time as RFC 3339.
nlohmann::json refusalJson(const refusal &Refusal);

/// Returns all members of \p Count.
nlohmann::json refusalCountJson(const refusal_count &Count);

/// Returns \p Batch in the form that the store keeps: "rows", each a refusal
/// with its "count" and "at_ms", and "unlisted".
std::string serializeRefusalBatch(const refusal_batch &Batch);

/// Returns the rows of the serialized batch \p Text that match \p Query, or an
/// empty array if \p Text is not a batch. Rows that cannot be read are skipped.
nlohmann::json matchingRows(std::string_view Text, const refusal_query &Query);

} // namespace ebonyvale

#endif
