// Who gives way when the connections of clients hold too much together.
#include "decisions/process/caller_memory.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{1000s};

/// A connection that frees its memory when it is asked to.
struct connection final : memory_holder {
  explicit connection(caller_memory &Memory) : Share(Memory, *this, Start) {}
  void releaseMemory() override {
    Released = true;
    Share.record(0);
  }
  memory_share Share;
  bool Released = false;
};

} // namespace

Test(caller_memory, a_share_leaves_as_much_as_it_takes) {
  caller_memory Memory(1000, 10);
  connection First(Memory);
  connection Second(Memory);
  cr_assert(First.Share.resize(500, Start));
  cr_assert(!First.Share.resize(501, Start));
  cr_assert(Second.Share.resize(250, Start));
  cr_assert(!Second.Share.resize(251, Start));
  cr_assert(Memory.used() == 750);
}

Test(caller_memory, the_one_that_waits_longest_gives_way) {
  caller_memory Memory(1000, 10);
  connection Oldest(Memory);
  connection Working(Memory);
  connection Idle(Memory);
  connection Newer(Memory);
  for (connection *Each : {&Oldest, &Newer})
    Each->Share.setUse(memory_use::Waiting, Start);
  Working.Share.setUse(memory_use::Working, Start);
  Oldest.Share.resize(300, Start);
  Working.Share.resize(300, Start);
  Newer.Share.resize(100, Start + 500ms);
  connection Last(Memory);
  Last.Share.setUse(memory_use::Waiting, Start + 900ms);
  cr_assert(!Last.Share.resize(250, Start + 900ms), "none has waited enough");
  cr_assert(Last.Share.resize(250, Start + 1100ms));
  cr_assert(Oldest.Released && !Newer.Released && !Working.Released &&
            !Idle.Released);
  cr_assert(!Last.Share.resize(400, Start + 1200ms));
  cr_assert(Idle.Released && !Newer.Released && !Working.Released);
}

Test(caller_memory, connections_are_limited) {
  caller_memory Memory(1000, 16);
  std::vector<std::unique_ptr<connection>> Open;
  while (Memory.admits(/*Internal=*/false, Start))
    Open.push_back(std::make_unique<connection>(Memory));
  cr_assert(Open.size() == 16);
  cr_assert(Memory.admits(/*Internal=*/true, Start));
  cr_assert(!Memory.admits(/*Internal=*/false, Start + 2s));
  cr_assert(Open.front()->Released);
}
