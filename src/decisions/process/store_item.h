/// \file
/// An item of the platform's store.
#ifndef EBONYVALE_DECISIONS_PROCESS_STORE_ITEM_H
#define EBONYVALE_DECISIONS_PROCESS_STORE_ITEM_H

#include <cstdint>
#include <string>

namespace ebonyvale {

/// A key with its value, or the removal of a key.
struct store_item {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0; ///< of the last change
  bool Removed = false;
};

} // namespace ebonyvale

#endif
