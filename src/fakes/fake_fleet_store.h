/// \file
/// An in-process fake of the platform's store for gateway tests: reads,
/// watches, conditional writes and leases, with injected faults.
#ifndef EBONYVALE_FAKES_FAKE_FLEET_STORE_H
#define EBONYVALE_FAKES_FAKE_FLEET_STORE_H

#include "fakes/key_value_model.h"
#include "gateway/process/fleet_store.h"
#include "net/timer.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebonyvale {

/// Faults that the store injects.
enum class store_fault {
  None,
  Down,                ///< no call gets a response
  Refuses,             ///< every call fails with `Refused`
  LosesWriteResponses, ///< writes are applied, but get no response
  DelayedWrites,       ///< writes get no response and are applied after
                       ///< `WriteDelay`, if their conditions hold then
  EmptyWatches,        ///< reads and writes work, but watches report no changes
  LateWatches          ///< watches end `WatchDelay` after their time and report
                       ///< what the store held at the call
};

/// The store that all instances of a test share.
class fake_fleet_store {
public:
  explicit fake_fleet_store(event_base *Base);

  key_value_model &model() { return Model; }

  /// Writes as operators or upstreams do, unaffected by faults; watches report
  /// the change.
  void put(const std::string &Key, std::string Value);
  void erase(const std::string &Key);

  /// Applies \p Fault to the calls of \p Instance. An empty \p Instance means
  /// all instances and replaces the faults set for single ones.
  void setFault(store_fault Fault, const std::string &Instance = "");
  store_fault faultFor(const std::string &Instance) const;

  /// Drops the change history: watches that start before the current revision
  /// end with `HistoryGone`.
  void compactHistory() { CompactRevision = Model.revision(); }

  /// Copies the content, for `restoreCopy`.
  void saveCopy();
  /// Returns to the copy: what was written since is gone, leases too, and
  /// revisions are given out again. What operators and upstreams had written
  /// since is written again \p After.
  void restoreCopy(span_ns After = span_ns(0));
  /// Returns the number of times that the store was restored.
  std::int64_t era() const { return Era; }
  std::int64_t revision() const { return storeRevision(Era, Model.revision()); }

  /// Time from a call to its write under `DelayedWrites`.
  static constexpr span_ns WriteDelay = std::chrono::milliseconds(120);

  /// Time by which watches are late under `LateWatches`.
  static constexpr span_ns WatchDelay = std::chrono::milliseconds(1500);

  /// Returns the number of successful list calls.
  std::size_t listCalls() const { return ListCalls; }
  /// Returns the number of commits of all instances.
  std::size_t commits() const { return Commits; }
  /// Returns the number of list and watch calls of \p Instance.
  std::size_t callsOf(const std::string &Instance) const {
    const auto Found = Calls.find(Instance);
    return Found == Calls.end() ? 0 : Found->second;
  }

private:
  friend class fake_fleet_store_client;
  struct pending_watch {
    std::string Instance;
    std::string Prefix;
    std::int64_t Revision;
    std::int64_t StoreRevision; ///< at the call
    instant SentAt;
    instant Deadline;
    fleet_store::items_callback Done;
  };

  void tick();
  /// Completes \p Watch if it has changes, has failed or is due at \p Now;
  /// returns whether it did.
  bool finishWatch(pending_watch &Watch, instant Now);
  /// Applies \p Commit if all conditions hold and all its leases exist.
  store_status execute(const store_commit &Commit);

  /// A write of operators or upstreams; without a value a removal.
  struct external_write {
    std::string Key;
    std::optional<std::string> Value;
  };

  event_base *Base;
  key_value_model Model;
  key_value_model Copy;
  std::vector<external_write> SinceCopy; ///< in the order of the writes
  std::int64_t Era = 0;
  std::map<std::string, store_fault> Faults;
  std::list<pending_watch> Watches;
  std::int64_t CompactRevision = 0;
  std::size_t ListCalls = 0;
  std::size_t Commits = 0;
  std::map<std::int64_t, span_ns> LeaseDurations; ///< by lease
  std::map<std::string, std::size_t> Calls;
  timer Tick;
};

/// The client of one instance. Calls still pending when the client is destroyed
/// never invoke their callback.
class fake_fleet_store_client final : public fleet_store {
public:
  fake_fleet_store_client(fake_fleet_store &Store, std::string Instance)
      : Store(Store), Instance(std::move(Instance)) {}

  void list(const std::string &Prefix, items_callback Done) override;
  void listAfter(const std::string &Prefix, const std::string &After,
                 items_callback Done) override;
  void watch(const std::string &Prefix, std::int64_t Revision, span_ns Wait,
             items_callback Done) override;
  void commit(const store_commit &Commit, result_callback Done) override;
  void grantLease(span_ns Duration, result_callback Done) override;
  void renewLease(std::int64_t Lease, result_callback Done) override;
  void endLease(std::int64_t Lease, result_callback Done) override;

  /// Texts that this instance sees replaced in the values that it reads, so
  /// that it reaches upstreams by other ports than the other instances.
  std::map<std::string, std::string> SeenAs;

private:
  /// Returns a callback that calls \p Done as `SeenAs` says.
  items_callback asSeen(items_callback Done) const;
  /// Passes \p Result to \p Done, as far as the instance's fault allows.
  void respond(store_result Result, bool IsWrite, result_callback Done);

  /// Returns a callback that calls \p Done unless this client has been
  /// destroyed.
  template <typename Result>
  std::function<void(const Result &)>
  whileAlive(std::function<void(const Result &)> Done) const {
    return [Alive = std::weak_ptr<const bool>(Alive),
            Done = std::move(Done)](const Result &Value) {
      if (!Alive.expired())
        Done(Value);
    };
  }

  fake_fleet_store &Store;
  std::string Instance;
  std::shared_ptr<const bool> Alive = std::make_shared<const bool>(true);
};

} // namespace ebonyvale

#endif
