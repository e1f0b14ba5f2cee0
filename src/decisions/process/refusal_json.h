/// \file
/// Refusals as JSON, for operators and for the platform's store.
#ifndef EBONYVALE_DECISIONS_PROCESS_REFUSAL_JSON_H
#define EBONYVALE_DECISIONS_PROCESS_REFUSAL_JSON_H

#include "decisions/process/refusal_digest.h"
#include "decisions/process/refusal_ledger.h"

#include <nlohmann/json.hpp>

namespace ebonyvale {

/// All members of a refusal; the instant as RFC 3339.
nlohmann::json refusalJson(const refusal &Refusal);

/// All members of a count.
nlohmann::json refusalCountJson(const refusal_count &Count);

/// A batch as the store keeps it: "rows", each a refusal with its "count", and
/// "unlisted".
std::string refusalBatchText(const refusal_batch &Batch);

/// The rows of a batch that \p Query asks for, in the form of `refusalJson`;
/// an empty array where \p Text is no batch.
nlohmann::json matchingRows(std::string_view Text, const refusal_query &Query);

} // namespace ebonyvale

#endif
