#include "decisions/process/buffer_budget.h"

#include <utility>

namespace ebonyvale {

buffer_budget::buffer_budget(std::size_t CapacityBytes)
    : Account(std::make_shared<account>(account{CapacityBytes, 0})) {}

buffer_lease buffer_budget::lease() { return buffer_lease(Account); }

buffer_lease::buffer_lease(std::shared_ptr<buffer_budget::account> Account)
    : Account(std::move(Account)) {}

buffer_lease::buffer_lease(buffer_lease &&Other) noexcept
    : Account(std::move(Other.Account)), Held(std::exchange(Other.Held, 0)) {}

buffer_lease::~buffer_lease() {
  if (Account)
    Account->Used -= Held;
}

bool buffer_lease::resize(std::size_t Bytes) {
  const std::size_t Others = Account->Used - Held;
  // Others never exceed the capacity, since each growth leaves bytes free.
  if (Bytes > Held && Bytes > (Account->Capacity - Others) / 2)
    return false;
  Account->Used = Others + Bytes;
  Held = Bytes;
  return true;
}

} // namespace ebonyvale
