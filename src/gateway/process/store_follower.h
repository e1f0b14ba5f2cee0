/// \file
/// Tracks changes in the platform's store: the routing document, target
/// weights, upstreams and the fleet's items.
#ifndef EBONYVALE_GATEWAY_PROCESS_STORE_FOLLOWER_H
#define EBONYVALE_GATEWAY_PROCESS_STORE_FOLLOWER_H

#include "decisions/process/store_contact.h"
#include "gateway/connection/document_transfer.h"
#include "gateway/process/change_relay.h"
#include "gateway/process/fleet_store.h"
#include "gateway/process/gateway_core.h"
#include "gateway/process/store_barrier.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ebonyvale {

/// Receives changes that the follower does not handle itself.
class follower_observer {
public:
  virtual ~follower_observer() = default;
  /// An item of the fleet was written or removed.
  virtual void onFleetItem(const store_item &Item) = 0;
  /// All items of the fleet were read; those not in \p Items do not exist.
  virtual void onFleetListing(const store_items &Items) = 0;
  /// Operators have set the weights version of a model.
  virtual void onWeightsTarget(const weights_target &Target) = 0;
  /// Operators have ordered a release of the service \p Service, by an item of
  /// the store with \p Revision; nothing: they have withdrawn the order.
  /// \p AtStart: it was found before the first read of their documents was
  /// complete.
  virtual void onReleaseOrder(std::string_view Service,
                              const std::optional<release_order> &Order,
                              std::int64_t Revision, bool AtStart) = 0;
  /// Returns whether the store certainly lists this instance, so that the
  /// others count its quota share.
  virtual bool isListed(instant Now) const = 0;
  /// The store was restored from an older copy: items and leases of the fleet
  /// may be gone.
  virtual void onStoreRestored() = 0;
  /// The directory of upstreams has changed.
  virtual void onUpstreamsChanged() = 0;
};

/// Runs two loops: a watch over all keys, paused between calls to batch
/// changes, and reads of the operators' documents. Only reads refresh the
/// freshness of the configuration, since a watch may miss changes silently.
/// While a peer can be followed, polls of that peer replace both loops.
class store_follower final : public change_receiver,
                             public document_provider,
                             public routing_source {
public:
  store_follower(gateway_core &Core, fleet_store &Store,
                 std::string FleetPrefix, follower_observer &Observer);
  ~store_follower() override;

  /// Starts both loops. Failed calls are retried with exponential back-off.
  void start();

  /// Returns whether the last call got a response from the store.
  bool connected() const { return Connected; }

  // change_receiver
  std::vector<operator_document>
  operatorDocuments(std::span<const operator_document> Known) const override;
  std::vector<operator_document> operatorRevisions() const override;
  void onRelayed(const std::string &Peer, const change_response &Response,
                 instant ReadAt) override;
  void onPollFailed() override;

  // routing_source
  std::optional<std::int64_t> routingRevision() const override;

  // document_provider
  std::optional<encoded_document> documentFor(std::string_view Key,
                                              std::int64_t Known) override;
  std::optional<encoded_document> changesAfter(std::int64_t After) override;

private:
  /// A handled document of the operators.
  struct operator_state {
    std::int64_t Revision = 0;
    std::optional<std::string> Value; ///< absent if too large for a message
    bool Removed = false;             ///< an order that was withdrawn
  };

  /// A read of the operators' documents.
  struct operators_read {
    std::int64_t Revision = 0; ///< of the store
    instant SentAt;
  };

  /// Gets the next changes from the followed peer or from the store.
  void follow();
  /// Reads the operators' documents if the last read is too old.
  void checkReadAge();
  /// Returns the time from \p Now to the next read.
  span_ns nextRead(instant Now);
  /// Reads the operators' documents; a large one only if it has changed.
  void readOperators();
  void readAllOperators();
  /// Reads all but the routing document, and asks whether that one still has
  /// the revision \p Known.
  void confirmRouting(std::int64_t Known);
  void onRoutingConfirmed(const store_items &Others,
                          const store_result &Result);
  void onOperators(const store_items &Items);
  void listAll();
  void listUpstreams();
  /// Records that a peer has read \p Document, which is newer than the one that
  /// this instance has handled.
  void onNewer(const operator_document &Document);
  /// Gets \p Document, which \p Peer has, from it or else from the store.
  void fetchNewer(const std::string &Peer, const operator_document &Document);
  /// Gets changes that are too long for a message from \p Peer, else lists the
  /// store.
  void fetchChanges(const std::string &Peer);
  void onChangesFetched(const std::optional<encoded_document> &Received);
  /// Lists the store, since changes may be missing for the reason \p Kind.
  void listAfterGap(listing_kind Kind);
  /// Handles what \p Peer has sent for the request for \p Key.
  void onFetched(const std::string &Peer, const std::string &Key,
                 const std::optional<encoded_document> &Received);
  /// Records the versions of weights that a peer knows, which was polled at
  /// \p PolledAt.
  void recordAnnouncements(const change_response &Response, instant PolledAt);
  void onUpstreamListing(const store_items &Items);
  void onFleetListing(const store_items &Items);
  void watch();
  void onChanges(const store_items &Changes);
  /// Handles \p Items, which are all changes up to \p NewRevision.
  void applyChanges(std::span<const store_item> Items,
                    std::int64_t NewRevision);
  /// Confirms the list of upstreams by the last read of the operators'
  /// documents if all changes before it are known.
  void confirmByRead();
  void handleItem(const store_item &Item);
  void handleOperatorItem(const store_item &Item);
  void handleRelease(const store_item &Item);
  /// Withdraws the orders of releases that \p Items, a complete read of the
  /// operators' documents, lacks.
  void withdrawMissing(const store_items &Items);
  /// Ends the wait for operators after a restore if a configuration shows that
  /// they have written again. \p Before is the revision of the one known
  /// before.
  void onRoutingRead(std::uint64_t Version, std::int64_t Before,
                     std::int64_t Revision);
  void handleUpstream(const store_item &Item);
  /// Tells the other parts about changes of the directory. Each of them visits
  /// all upstreams, so this is done once for a sequence of batches.
  void notifyOfDirectory();

  /// Handles a restore from an older copy, which a later era in \p Items shows.
  void checkEra(const store_items &Items);

  /// Counts a call that ended at \p Now with \p Items, and logs when the store
  /// becomes reachable or unreachable. \p Failures counts the failed calls of
  /// the loop.
  void recordCall(std::string_view Call, const store_items &Items,
                  unsigned &Failures, instant Now);

  /// Returns the pause before the next call of a loop after \p Failures failed
  /// calls.
  span_ns backOff(unsigned Failures) const;

  gateway_core &Core;
  fleet_store &Store;
  std::string FleetPrefix;
  follower_observer &Observer;
  std::int64_t Revision = 0; ///< last revision received
  /// Of the store at the last read of the operators' documents.
  std::int64_t OperatorsRevision = 0;
  std::optional<std::int64_t> Era; ///< last era received
  /// Last era in which operators are known to have written.
  std::optional<std::int64_t> WrittenEra;
  bool Listed = false; ///< a complete listing precedes the watch
  bool Connected = false;
  bool AnyCallRecorded = false;
  store_contact Contact;
  /// What a restore, or the peer that has been followed, tells about the next
  /// listing.
  listing_kind SinceListing = listing_kind::Continuous;
  unsigned ReadFailures = 0;  ///< of the operators' documents, in a row
  unsigned WatchFailures = 0; ///< of listings and watches, in a row
  /// Generation of the directory of which the other parts know.
  std::uint64_t NotifiedGeneration = 0;
  /// The last read, until it has confirmed the list of upstreams.
  std::optional<operators_read> LastRead;
  bool Reading = false; ///< a read of the operators' documents is in flight
  bool ListAfterRead = false; ///< list the upstreams when it has ended
  std::map<std::string, operator_state> OperatorStates; ///< by key
  document_copies Copies;                ///< of the operators' documents
  std::shared_ptr<document_fetch> Fetch; ///< in flight
  instant FetchStarted;
  std::shared_ptr<document_fetch> ChangesFetch; ///< in flight
  /// Peers that had no document for this instance, with the time until which
  /// they are not asked again.
  std::map<std::string, instant> FetchAvoidUntil;
  change_relay Relay;
  timer ReadTimer;
  timer WatchTimer;
  timer ExpiryTimer;
};

} // namespace ebonyvale

#endif
