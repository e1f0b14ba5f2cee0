#include "net/arrival_deadline.h"

#include "net/machine_limits.h"
#include "net/socket_options.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace ebonyvale {
namespace {

/// Time to flush the response before the connection is closed.
constexpr span_ns FlushTimeout = std::chrono::milliseconds(200);

/// Time after which the memory of a connection that evhttp has freed is no
/// longer counted.
constexpr span_ns PollInterval = std::chrono::milliseconds(50);

/// Memory of a connection and of a header field in evhttp, besides the bytes.
constexpr std::size_t ConnectionBytes = 4096;
constexpr std::size_t FieldBytes = 192;

/// Most header fields of a request, as many as 16 KB of the shortest ones.
constexpr std::size_t MaxFields = 4096;

/// Returns \p Bytes with the unused parts of the blocks that hold them.
std::size_t inBlocks(std::size_t Bytes) { return Bytes + Bytes / 4; }

} // namespace

/// A connection. Holds a reference to the bufferevent, since evhttp does not
/// report when it frees it.
struct arrival_deadline::arrival final : memory_holder {
  arrival(arrival_deadline &Owner, bufferevent *Socket)
      : Owner(Owner), Socket(Socket),
        Deadline(Owner.Base, [this, &Owner] { Owner.expire(*this); }),
        InputCallback(evbuffer_add_cb(bufferevent_get_input(Socket),
                                      &arrival::onInput, this)),
        OutputCallback(evbuffer_add_cb(bufferevent_get_output(Socket),
                                       &arrival::onOutput, this)) {
    bufferevent_incref(Socket);
    if (Owner.Memory) {
      Share.emplace(*Owner.Memory, *this, readBootClock());
      Share->record(ConnectionBytes);
    }
    Deadline.startOnce(Owner.Limit);
  }
  ~arrival() override {
    evbuffer_remove_cb_entry(bufferevent_get_input(Socket), InputCallback);
    evbuffer_remove_cb_entry(bufferevent_get_output(Socket), OutputCallback);
    bufferevent_decref(Socket);
  }
  arrival(const arrival &) = delete;
  arrival &operator=(const arrival &) = delete;

  static void onInput(evbuffer *Input, const evbuffer_cb_info *Info,
                      void *Self) {
    auto *Arrival = static_cast<arrival *>(Self);
    if (Info->n_added == 0)
      return;
    // A connection may be idle at first, so the deadline counts from the first
    // byte of the request.
    if (!std::exchange(Arrival->Started, true) && Arrival->First)
      Arrival->Deadline.startOnce(Arrival->Owner.Limit);
    if (Arrival->Share && !Arrival->Failure)
      Arrival->count(Input, Info->n_added);
  }
  static void onOutput(evbuffer *Output, const evbuffer_cb_info *Info,
                       void *Self) {
    auto *Arrival = static_cast<arrival *>(Self);
    if (!Arrival->Share)
      return;
    Arrival->OutputBytes = evbuffer_get_length(Output);
    Arrival->updateUse();
    if (Info->n_deleted > 0)
      Arrival->Share->onProgress(readBootClock());
    if (!Arrival->Share->record(Arrival->heldBytes()) && Info->n_added > 0 &&
        !Arrival->Failure) {
      Arrival->OverOutput = true;
      Arrival->Deadline.startOnce(span_ns(0));
    }
  }

  std::size_t heldBytes() const {
    return ConnectionBytes + FieldBytes * Fields + OutputBytes +
           inBlocks(std::min(Received, Owner.MaxRequestBytes));
  }
  void updateUse() {
    Share->setUse(Started || OutputBytes > 0 ? memory_use::Waiting
                  : First                    ? memory_use::Idle
                                             : memory_use::Working,
                  readBootClock());
  }
  /// Counts the last \p Added bytes of \p Input.
  void count(evbuffer *Input, std::size_t Added) {
    updateUse();
    Received += Added;
    if (!HeadDone)
      countFields(Input, Added);
    if (Fields <= MaxFields && Share->resize(heldBytes(), readBootClock()))
      return;
    // evhttp would parse it before the connection is closed.
    evbuffer_drain(Input, evbuffer_get_length(Input));
    fail(Fields > MaxFields ? arrival_failure::TooManyFields
                            : arrival_failure::NoMemory);
  }
  void countFields(evbuffer *Input, std::size_t Added) {
    constexpr int MaxParts = 16;
    ::evbuffer_ptr Begin{};
    evbuffer_ptr_set(Input, &Begin, evbuffer_get_length(Input) - Added,
                     EVBUFFER_PTR_SET);
    evbuffer_iovec Parts[MaxParts];
    const int Count = evbuffer_peek(Input, static_cast<ev_ssize_t>(Added),
                                    &Begin, Parts, MaxParts);
    for (int Index = 0; Index < std::min(Count, MaxParts); ++Index)
      for (const char Byte :
           std::string_view(static_cast<const char *>(Parts[Index].iov_base),
                            Parts[Index].iov_len)) {
        if (Byte == '\r')
          continue;
        if (Byte != '\n') {
          ++LineBytes;
          continue;
        }
        if (std::exchange(LineBytes, 0) == 0 && Fields > 0) {
          HeadDone = true;
          return;
        }
        ++Fields;
      }
  }
  /// Ends the connection from the loop, since evhttp may be using it.
  void fail(arrival_failure Reason) {
    Failure = Reason;
    Share->record(ConnectionBytes);
    Deadline.startOnce(span_ns(0));
  }
  void releaseMemory() override {
    if (!Failure)
      fail(arrival_failure::NoMemory);
  }

  arrival_deadline &Owner;
  bufferevent *Socket;
  timer Deadline;
  evbuffer_cb_entry *InputCallback;
  evbuffer_cb_entry *OutputCallback;
  std::optional<memory_share> Share;
  std::size_t Received = 0; ///< of the request that is being read
  std::size_t Fields = 0;
  std::size_t LineBytes = 0; ///< of the line of the head that is being read
  std::size_t OutputBytes = 0;
  bool HeadDone = false;
  bool First = true;    ///< no request has been complete
  bool Started = false; ///< a byte of the request has arrived
  bool ResponseSent = false;
  bool OverOutput = false; ///< unsent bytes are over the budget
  std::optional<arrival_failure> Failure;
};

arrival_deadline::arrival_deadline(event_base *Base, evhttp *Server,
                                   span_ns Limit, response_factory MakeResponse,
                                   caller_memory *Memory,
                                   std::size_t MaxRequestBytes)
    : Base(Base), Limit(Limit), MakeResponse(std::move(MakeResponse)),
      Memory(Memory), MaxRequestBytes(MaxRequestBytes),
      PollTimer(Base, [this] { onPoll(); }) {
  evhttp_set_bevcb(Server, &arrival_deadline::onConnection, this);
  if (Memory)
    PollTimer.startPeriodic(PollInterval);
}

arrival_deadline::~arrival_deadline() = default;

void arrival_deadline::onRequestComplete(evhttp_connection *Connection) {
  const auto Found =
      Arrivals.find(evhttp_connection_get_bufferevent(Connection));
  if (Found == Arrivals.end())
    return;
  arrival &Arrival = *Found->second;
  if (!Memory) {
    Arrivals.erase(Found);
    return;
  }
  Arrival.First = false;
  Arrival.Started = false;
  Arrival.HeadDone = false;
  // Further requests may have arrived behind it.
  Arrival.Received = evbuffer_get_length(bufferevent_get_input(Arrival.Socket));
  Arrival.Fields = 0;
  Arrival.LineBytes = 0;
  if (!Arrival.Failure)
    Arrival.Deadline.stop();
  Arrival.updateUse();
  Arrival.Share->record(Arrival.heldBytes());
}

bufferevent *arrival_deadline::onConnection(event_base *Base, void *Self) {
  auto *Owner = static_cast<arrival_deadline *>(Self);
  bufferevent *Socket = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (Socket)
    Owner->Arrivals[Socket] = std::make_unique<arrival>(*Owner, Socket);
  // evhttp cannot refuse a connection, so later ones wait in the system.
  if (Owner->Memory && Owner->Listener &&
      !Owner->Memory->admits(/*Internal=*/false, readBootClock())) {
    Owner->Paused = true;
    evconnlistener_disable(Owner->Listener);
  }
  return Socket;
}

void arrival_deadline::onPoll() {
  std::erase_if(Arrivals, [](const auto &Entry) {
    bufferevent_data_cb OnRead = nullptr;
    bufferevent_data_cb OnWrite = nullptr;
    bufferevent_event_cb OnEvent = nullptr;
    void *Argument = nullptr;
    bufferevent_getcb(Entry.first, &OnRead, &OnWrite, &OnEvent, &Argument);
    return !OnRead && !OnWrite && !OnEvent;
  });
  if (Memory->takeTrim())
    returnFreeMemory();
  if (Paused && Listener &&
      Memory->admits(/*Internal=*/false, readBootClock())) {
    Paused = false;
    evconnlistener_enable(Listener);
  }
}

void arrival_deadline::expire(arrival &Arrival) {
  bufferevent *Socket = Arrival.Socket;
  if (std::exchange(Arrival.OverOutput, false) && !Arrival.Failure &&
      Arrival.Share->resize(Arrival.heldBytes(), readBootClock()))
    return;
  // A connection without a request gets no response. It is closed, since one
  // that is no longer watched could send a request a byte at a time.
  if (!Arrival.First || !Arrival.Started ||
      std::exchange(Arrival.ResponseSent, true)) {
    if (Arrival.OutputBytes > 0 && !Arrival.ResponseSent) {
      // An orderly end could mark a response as complete.
      resetOnClose(Socket);
      resetNow(Socket);
    }
    // Makes evhttp read the end of the connection and free it.
    shutdown(bufferevent_getfd(Socket), SHUT_RDWR);
    bufferevent_enable(Socket, EV_READ);
    Arrivals.erase(Socket);
    return;
  }
  const std::string Response =
      MakeResponse(Arrival.Failure.value_or(arrival_failure::TimedOut));
  bufferevent_disable(Socket, EV_READ);
  bufferevent_enable(Socket, EV_WRITE);
  bufferevent_write(Socket, Response.data(), Response.size());
  Arrival.Deadline.startOnce(FlushTimeout);
}

} // namespace ebonyvale
