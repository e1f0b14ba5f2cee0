#include "gateway/process/fleet_store.h"

namespace ebonyvale {

std::string_view storeStatusName(store_status Status) {
  switch (Status) {
  case store_status::Ok:
    return "ok";
  case store_status::NotFound:
    return "not_found";
  case store_status::Conflict:
    return "conflict";
  case store_status::HistoryGone:
    return "history_gone";
  case store_status::Refused:
    return "refused";
  case store_status::NoAnswer:
    break;
  }
  return "no_answer";
}

} // namespace ebonyvale
