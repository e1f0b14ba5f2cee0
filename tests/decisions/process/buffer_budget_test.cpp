// Division of the bytes that the process may buffer.
#include "decisions/process/buffer_budget.h"

#include <criterion/criterion.h>

#include <vector>

using namespace ebonyvale;

Test(buffer_budget, a_single_buffer_gets_half) {
  buffer_budget Budget(1000);
  buffer_lease Lease = Budget.lease();
  cr_assert(Lease.resize(500));
  cr_assert(!Lease.resize(501));
  cr_assert(Lease.size() == 500 && Budget.used() == 500);
}

Test(buffer_budget, bytes_return_at_the_end_of_a_lease) {
  buffer_budget Budget(1000);
  {
    buffer_lease Lease = Budget.lease();
    cr_assert(Lease.resize(400));
    const buffer_lease Moved = std::move(Lease);
    cr_assert(Budget.used() == 400);
  }
  cr_assert(Budget.used() == 0);
}

Test(buffer_budget, a_lease_outlives_the_budget) {
  auto Budget = std::make_unique<buffer_budget>(1000);
  buffer_lease Lease = Budget->lease();
  Budget.reset();
  cr_assert(Lease.resize(500));
  cr_assert(Lease.resize(0));
}

Test(buffer_budget, a_buffer_above_its_share_shrinks_but_does_not_grow) {
  buffer_budget Budget(1000);
  buffer_lease First = Budget.lease();
  buffer_lease Second = Budget.lease();
  cr_assert(First.resize(500));
  cr_assert(Second.resize(250));
  cr_assert(!First.resize(501));
  cr_assert(First.resize(499));
  cr_assert(!First.resize(500));
}

Test(buffer_budget, hundreds_that_grow_leave_room_for_a_small_one) {
  constexpr std::size_t Capacity = 24'000'000;
  constexpr std::size_t Step = 16'384;
  buffer_budget Budget(Capacity);
  std::vector<buffer_lease> Growing;
  for (int Index = 0; Index < 300; ++Index)
    Growing.push_back(Budget.lease());
  bool Grew = true;
  while (Grew) {
    Grew = false;
    for (buffer_lease &Lease : Growing)
      Grew = Lease.resize(Lease.size() + Step) || Grew;
  }
  cr_assert(Budget.used() <= Capacity);
  buffer_lease Small = Budget.lease();
  cr_assert(Small.resize(Step));
}
