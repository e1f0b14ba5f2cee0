/// \file
/// Fake upstream in the platform's format, for tests of the gateway. It counts
/// the requests that it runs.
#ifndef EBONYVALE_TESTS_PLATFORM_FAKE_UPSTREAM_H
#define EBONYVALE_TESTS_PLATFORM_FAKE_UPSTREAM_H

#include "net/server_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebonyvale {

/// How the upstream handles a request.
enum class upstream_behavior {
  Respond,           ///< runs it; 200 with a body or a stream of all events
  Error,             ///< runs it and responds with 500
  Full,              ///< responds with 503 and states that it did not run
  DropResponse,      ///< runs it and closes the connection without a response
  TruncateStream,    ///< runs it, streams two and a half events and closes
  Hold,              ///< runs it and leaves the connection open
  OversizedResponse, ///< runs it; the body exceeds the gateway's buffer
  OtherProcess,      ///< refuses as a different process at the same address
};

/// An upstream process that listens on a port of the loopback interface.
class fake_upstream final : public request_handler {
public:
  /// Listens on \p Port, or on a free port if that is 0 or in use.
  fake_upstream(event_base *Base, std::string Id, std::uint16_t Port = 0);
  ~fake_upstream() override;

  /// Returns the upstream's store entry for \p Service.
  std::string entry(std::string_view Service, bool Draining = false) const {
    return entryAt(Links.port(), Service, Draining);
  }
  /// Returns the entry with \p Port, that of a proxy in front of the upstream.
  std::string entryAt(std::uint16_t Port, std::string_view Service,
                      bool Draining) const;
  std::string key() const { return "servers/" + Id; }
  const std::string &id() const { return Id; }
  /// Continues as a new process at the same address.
  void restartAs(std::string NewId) { Id = std::move(NewId); }

  void onRequest(const std::shared_ptr<server_connection> &Link,
                 http_request Request) override;
  void onRequestError(server_connection &Link, request_error Reason) override;

  upstream_behavior Behavior = upstream_behavior::Respond;
  std::int64_t Weights = 1;
  std::string Software = "v1"; ///< version, as its entry states it
  /// Start time in Unix milliseconds, as its entry and report state it; 0:
  /// stated nowhere.
  std::int64_t Born = 0;
  bool EventsNameSoftware = false; ///< whether each event states its version
  bool EventsNameProcess = false;  ///< whether each event states its id
  std::map<std::string, int> Runs; ///< executions by request id
  std::vector<http_request> ReceivedRequests; ///< including refused ones
  /// Connections of requests handled with `Hold`.
  std::vector<std::shared_ptr<server_connection>> Held;

  /// Number of orders with a wrong count of accepted orders.
  std::size_t Conflicts = 0;
  /// Fencing tokens of the orders, in the order of their arrival.
  std::vector<std::int64_t> Fences;
  bool FailsOrders = false; ///< responds to orders with 500
  /// Time from the arrival of a request to its run; it does not run if its
  /// connection is closed before.
  span_ns QueueTime{0};
  /// Time from running a request to its response.
  span_ns Delay{0};
  /// Name of a prompt segment on which the upstream crashes when it begins to
  /// respond; empty: none.
  std::string CrashingSegment;
  std::size_t Crashes = 0; ///< on that segment
  /// Time between two events of a stream, or between the halves of a body that
  /// is delimited by the close of its connection; 0 sends all at once.
  span_ns EventInterval{0};
  /// One response with a body in so many is delimited by the close of its
  /// connection; 0: none.
  unsigned CloseDelimitedEvery = 0;
  /// Time between the halves of an event of a stream with an `EventInterval`;
  /// 0: in one write.
  span_ns EventSplit{0};
  /// One response with a body in so many is broken off within an event, or
  /// after half of its body, if it goes on for an `EventInterval`; 0: none.
  unsigned ResetEvery = 0;
  /// One response with a body in so many, in turn at other places among them,
  /// is ended early by an orderly close, a stream between two events and a body
  /// after half of it, if it goes on for an `EventInterval`; 0: none.
  unsigned TruncateEvery = 0;
  /// After one whole response with chunks or a length in so many more bytes
  /// follow on its connection: in turn text, another response, or that 30 ms
  /// later unless the next request runs; 0: none.
  unsigned ExtraEvery = 0;
  /// One request in so many is refused as with `Full`, and a copy of the
  /// refusal follows on its connection: in turn when the next request arrives,
  /// 30 ms later if none runs then, or both; 0: none.
  unsigned RefuseEvery = 0;
  /// Requests per second that it takes from all instances together, as stated
  /// in its responses; nothing: it names no limit.
  std::optional<double> Limit;
  bool LimitInRefusals = true; ///< whether refusals state the limit, too
  bool Leaving = false;        ///< as stated in all its responses
  /// Refuses all requests and states this time in Retry-After; nothing: it
  /// asks for no pause.
  std::optional<span_ns> Pause;
  /// Header by which all responses state that it leaves; empty: it stays.
  std::string LeavingHeader;
  /// Values of the header by which refusals with `Full` ask for a pause.
  std::vector<std::string> RetryAfter;
  std::vector<http_header> ExtraHeaders; ///< of all responses
  /// Called with each request that arrives, also one that is refused.
  std::function<void(const http_request &)> OnArrival;
  /// Called with each request that arrives for this process and its weights.
  std::function<void(const http_request &)> OnAccepted;
  /// Called with each request whose response states that it leaves.
  std::function<void(const http_request &)> OnLeavingResponse;
  /// Called with each request that it refuses with a Retry-After.
  std::function<void(const http_request &)> OnPause;
  /// Called with each request that runs.
  std::function<void(const http_request &)> OnRun;
  /// Called with the id of each request whose run ends: its response is
  /// complete, or its connection has been closed before.
  std::function<void(std::string_view Id, bool Complete)> OnRunEnd;
  /// Called with the id of each request whose response it breaks off.
  std::function<void(std::string_view Id)> OnReset;
  /// Called with the id of each request whose response is delimited by the
  /// close of its connection.
  std::function<void(std::string_view Id)> OnCloseDelimited;
  /// Called with the id of each request whose response it truncates.
  std::function<void(std::string_view Id)> OnTruncate;
  /// Called with the id of each request after whose response it sends more.
  std::function<void(std::string_view Id)> OnExtra;
  /// Called with the id of each refusal of which it sends a copy.
  std::function<void(std::string_view Id)> OnCopy;

  /// Returns the number of executions.
  int runs() const;
  std::uint16_t port() const { return Links.port(); }
  /// Accepts no more connections and closes each one as soon as it is idle.
  void beginStop() {
    Links.stopListening();
    Links.closeIdle();
  }
  /// Returns whether all connections have been closed.
  bool stopped() const { return Links.size() == 0; }
  /// Returns the number of held requests whose connection is still open.
  std::size_t openHeldRequests() const;

  /// Between the id and the version in events that state both.
  static constexpr char WriterSeparator = '@';
  /// Begins the value of the header that only upstreams add; the id follows.
  static constexpr std::string_view Seal = "seal-";
  static constexpr int Events = 6; ///< of a complete stream
  /// Returns the bytes of the events after \p After up to \p Last. Each states
  /// \p Writer, a version of the software, unless it is empty.
  static std::string events(int After, int Last = Events,
                            std::string_view Writer = {});

private:
  void run(const std::shared_ptr<server_connection> &Link, http_request Request,
           header_list Headers);
  void respond(const std::shared_ptr<server_connection> &Link,
               const http_request &Request, header_list Headers);
  void respondStream(const std::shared_ptr<server_connection> &Link,
                     const http_request &Request, bool Broken,
                     stream_framing Framing);
  /// How the end of a response is marked.
  enum class end_mark { Chunk, Length, Close };
  /// A stream, whose event \c Broken is broken off, or 0.
  struct stream_plan {
    std::string Request;
    end_mark Mark = end_mark::Chunk;
    int Broken = 0;
    int Last = Events; ///< if it is not that of a whole stream, truncated there
  };
  void streamWithGaps(const std::shared_ptr<server_connection> &Link, int After,
                      const stream_plan &Plan);
  /// Breaks off the response on \p Link after an `EventInterval`.
  void breakOff(const std::shared_ptr<server_connection> &Link);
  /// Returns whether to break off the present response.
  bool breaksOff() const { return ResetEvery != 0 && Bodies % ResetEvery == 0; }
  /// Ends the response on \p Link early by an orderly close.
  void truncate(const std::shared_ptr<server_connection> &Link, end_mark Mark);
  /// Returns whether to truncate the present response.
  bool truncates() const;
  /// Sends more bytes after the whole response to \p Request, if it is its
  /// turn.
  void followWithExtra(const std::shared_ptr<server_connection> &Link,
                       const std::string &Request);
  /// Refuses the request \p Id if it is its turn, see `RefuseEvery`.
  bool refusesInTurn(const std::shared_ptr<server_connection> &Link,
                     const std::string &Id);
  /// Sends the copies that are due on \p Link.
  void sendCopies(server_connection &Link);
  void respondInHalves(const std::shared_ptr<server_connection> &Link,
                       header_list Headers, const std::string &Body,
                       end_mark Mark);
  stream_framing nextFraming();
  std::string ownEvents(int After, int Last) const;
  class active_run;
  /// Reports the end of the run on \p Link, if there is one.
  void endRun(const server_connection &Link, bool Complete);
  /// Adds the header of an upstream that leaves, if it does.
  void stateLeaving(const http_request &Request, header_list &Headers) const;
  void handleOrder(server_connection &Link, const http_request &Request);

  std::string Id;
  connection_listener Links;
  std::int64_t Orders = 0; ///< accepted so far
  unsigned Bodies = 0;     ///< responses with a body so far
  unsigned Arrivals = 0;   ///< requests so far
  /// Refusals to copy when the next request arrives on their connections.
  std::vector<std::pair<std::weak_ptr<server_connection>, std::string>>
      DueCopies;
  unsigned Framed = 0; ///< whole responses with chunks or a length so far
  std::map<const server_connection *, std::shared_ptr<active_run>> ActiveRuns;
};

} // namespace ebonyvale

#endif
