/// \file
/// A platform's store in this process, for tests of the gateway: plain reads,
/// watches, conditional writes and leases, and the ways in which it fails.
#ifndef EBONYVALE_FAKES_FLEET_STORE_STAND_IN_H
#define EBONYVALE_FAKES_FLEET_STORE_STAND_IN_H

#include "fakes/key_value_model.h"
#include "gateway/process/fleet_store.h"
#include "net/timer.h"

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>

namespace ebonyvale {

/// What goes wrong.
enum class store_fault {
  None,
  Down,        ///< no call is answered
  Refuses,     ///< every call is refused
  LosesWrites, ///< writes are done and not answered
  LateWrites,  ///< not answered, and done later if their conditions still hold
  DeafWatches  ///< reads and writes work; watches end without any change
};

/// One store for all instances of a test.
class fleet_store_stand_in {
public:
  explicit fleet_store_stand_in(event_base *Base);

  key_value_model &model() { return Model; }

  /// A write by operators or upstreams; wakes the watches.
  void put(const std::string &Key, std::string Value);
  void erase(const std::string &Key);

  /// \p Instance has this trouble; empty for all of them.
  void setFault(store_fault Fault, const std::string &Instance = "");
  store_fault faultFor(const std::string &Instance) const;

  /// Watches from before now end with their history gone.
  void forgetHistory() { OldestKept = Model.revision(); }

  /// How long after its call a late write is done.
  static constexpr span_ns LateBy = std::chrono::milliseconds(120);

  /// Calls answered with `Ok` or a conflict.
  std::size_t answered() const { return Answered; }

private:
  friend class fleet_store_client;
  struct waiting_watch {
    std::string Instance;
    std::string Prefix;
    std::int64_t Revision;
    instant Until;
    fleet_store::items_callback Done;
  };

  void tick();
  bool answerWatch(waiting_watch &Watch, instant Now);
  /// Writes if all conditions hold and the leases live.
  store_status execute(const store_commit &Commit);

  event_base *Base;
  key_value_model Model;
  std::map<std::string, store_fault> Faults;
  std::list<waiting_watch> Watches;
  std::int64_t OldestKept = 0;
  std::size_t Answered = 0;
  timer Tick;
};

/// The store as one instance sees it. Once the client is gone, none of its
/// calls is answered.
class fleet_store_client final : public fleet_store {
public:
  fleet_store_client(fleet_store_stand_in &Store, std::string Instance)
      : Store(Store), Instance(std::move(Instance)) {}

  void list(const std::string &Prefix, items_callback Done) override;
  void watch(const std::string &Prefix, std::int64_t Revision, span_ns Wait,
             items_callback Done) override;
  void commit(const store_commit &Commit, result_callback Done) override;
  void grantLease(span_ns LeaseDuration, result_callback Done) override;
  void renewLease(std::int64_t Lease, result_callback Done) override;
  void endLease(std::int64_t Lease, result_callback Done) override;

private:
  void answer(store_result Result, bool IsWrite, result_callback Done);

  /// \p Done while this client lives, and nothing afterwards.
  template <typename Result>
  std::function<void(const Result &)>
  whileAlive(std::function<void(const Result &)> Done) const {
    return [Alive = std::weak_ptr<const bool>(Alive),
            Done = std::move(Done)](const Result &Given) {
      if (!Alive.expired())
        Done(Given);
    };
  }

  fleet_store_stand_in &Store;
  std::string Instance;
  std::shared_ptr<const bool> Alive = std::make_shared<const bool>(true);
};

} // namespace ebonyvale

#endif
