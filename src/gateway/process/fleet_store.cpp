#include "gateway/process/fleet_store.h"

#include <utility>

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

void fleet_store::listAfter(const std::string &Prefix, const std::string &After,
                            items_callback Done) {
  list(Prefix, [After, Done = std::move(Done)](const store_items &All) {
    store_items Later = All;
    std::erase_if(Later.Items,
                  [&](const store_item &Item) { return Item.Key <= After; });
    Done(Later);
  });
}

} // namespace ebonyvale
