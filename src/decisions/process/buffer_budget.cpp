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
  if (Bytes > Held && !allows(Bytes))
    return false;
  Account->Used += Bytes - Held;
  Held = Bytes;
  return true;
}

bool buffer_lease::record(std::size_t Bytes) {
  const bool Fits = Bytes <= Held || allows(Bytes);
  Account->Used += Bytes - Held;
  Held = Bytes;
  return Fits;
}

bool buffer_lease::allows(std::size_t Bytes) const {
  const std::size_t Others = Account->Used - Held;
  return Others < Account->Capacity &&
         Bytes <= (Account->Capacity - Others) / 2;
}

} // namespace ebonyvale
