// The store's server where it cannot listen.
#include "platform/store_server.h"

#include "fakes/fake_fleet_store.h"
#include "gateway/captured_output.h"
#include "net/event_handles.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

using namespace ebonyvale;

/// A case of the review that had no address for its store ended with exit code
/// 2 and printed nothing.
Test(store_server, says_why_it_cannot_listen) {
  const event_base_ptr Base(event_base_new());
  fake_fleet_store Store(Base.get());
  fake_fleet_store_client Client(Store, "i-1");
  captured_output Error(STDERR_FILENO);
  const int FirstFree = dup(STDERR_FILENO);
  close(FirstFree);
  rlimit Limit{};
  cr_assert(getrlimit(RLIMIT_NOFILE, &Limit) == 0);
  const rlimit Before = Limit;
  Limit.rlim_cur = static_cast<rlim_t>(FirstFree);
  cr_assert(setrlimit(RLIMIT_NOFILE, &Limit) == 0);
  const store_server Server(Base.get(), Client);
  cr_assert(setrlimit(RLIMIT_NOFILE, &Before) == 0);
  cr_assert(Server.port() == 0);
  cr_assert(Error.linesWith("cannot listen on 127.0.0.1:0: Too many open") ==
            1);
}
