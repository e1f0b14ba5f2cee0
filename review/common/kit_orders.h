/// \file
/// The configuration and the clients of a plain service with routes for orders
/// and for reading the stock.
#ifndef EBONYVALE_REVIEW_COMMON_KIT_ORDERS_H
#define EBONYVALE_REVIEW_COMMON_KIT_ORDERS_H

#include "common/deployment.h"

#include <string>

namespace ebonyvale {

inline constexpr std::string_view KitHost = "kits.example";

/// Returns a configuration without tenants: `unsafe` requests under /order/ and
/// `safe` ones under /stock/, both for the service "kit-orders".
std::string kitConfiguration(int TimeoutMs = 1200);

/// Returns a request of a client for \p Gateway.
client_request kitRequest(const stand_gateway &Gateway, std::string_view Id,
                          std::string_view Method, std::string_view Target,
                          std::string_view Body, int DeadlineMs = 1200);

} // namespace ebonyvale

#endif
