#include "net/client_connection.h"

#include "daemon/loop_runner.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <cerrno>
#include <optional>
#include <string>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// Takes the response with the header "Id: 1" and skips all others.
class recording_observer final : public response_observer {
public:
  response_action onResponseHead(const http_head &Head, bool) override {
    if (Head.Headers.find("Id").value_or("") != Id)
      return response_action::Skip;
    Status = Head.Status;
    return response_action::Take;
  }
  void onResponseBody(std::string_view Bytes) override { Body += Bytes; }
  void onResponseEnd() override { Ended = true; }
  void onResponseLost(const exchange_loss &NewLoss) override { Loss = NewLoss; }

  bool over() const { return Ended || Loss.has_value(); }

  std::string Id = "1";
  int Status = 0;
  std::string Body;
  bool Ended = false;
  std::optional<exchange_loss> Loss;
};

/// Pauses reading when it has received a part of the body.
class pausing_observer final : public response_observer {
public:
  response_action onResponseHead(const http_head &, bool) override {
    return response_action::Take;
  }
  void onResponseBody(std::string_view) override { Connection->pauseReading(); }
  void onResponseEnd() override { Ended = true; }
  void onResponseLost(const exchange_loss &) override {}

  std::shared_ptr<client_connection> Connection;
  bool Ended = false;
};

enum class server_action { None, Close, Reset };

struct response_row {
  char Response[200];
  server_action Action;
  bool Complete;
  char Body[16];
  bool Reused; ///< the second request uses the same connection
};

client_request requestTo(const scripted_server &Server) {
  client_request Request;
  Request.Server = Server.address();
  Request.Method = "POST";
  Request.Body = "x";
  return Request;
}

/// A listener whose process does nothing: the system accepts connections and
/// takes bytes until its buffers are full.
class stopped_server {
public:
  stopped_server() : Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int BufferBytes = 4096;
    constexpr int Backlog = 8;
    setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &BufferBytes,
               sizeof(BufferBytes));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Name = reinterpret_cast<sockaddr *>(&Address);
    cr_assert(bind(Listener, Name, Length) == 0);
    cr_assert(listen(Listener, Backlog) == 0);
    cr_assert(getsockname(Listener, Name, &Length) == 0);
    Port = ntohs(Address.sin_port);
  }
  ~stopped_server() { close(Listener); }
  stopped_server(const stopped_server &) = delete;
  stopped_server &operator=(const stopped_server &) = delete;

  endpoint address() const { return {"127.0.0.1", Port}; }

  /// Accepts a connection and reads it to its end. Returns the bytes and the
  /// error that ended them, 0 for an orderly close.
  std::pair<std::string, int> readToEnd() const {
    const int Socket = accept(Listener, nullptr, nullptr);
    const timeval Timeout{.tv_sec = 10, .tv_usec = 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
    std::string Received;
    std::array<char, 4096> Part{};
    ssize_t Length = 0;
    while ((Length = recv(Socket, Part.data(), Part.size(), 0)) > 0)
      Received.append(Part.data(), static_cast<std::size_t>(Length));
    const int Error = Length == 0 ? 0 : errno;
    close(Socket);
    return {Received, Error};
  }

private:
  int Listener;
  std::uint16_t Port = 0;
};

/// Returns a loopback port without a listener.
endpoint unusedEndpoint(event_base *Base) {
  const scripted_server Closed(Base, [](auto &) {});
  return Closed.address();
}

} // namespace

ParameterizedTestParameters(client_connection,
                            completion_and_connection_reuse) {
  static response_row Rows[] = {
      {"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: "
       "2\r\n\r\nok",
       server_action::None, true, "ok", true},
      // Without a Keep-Alive timeout the server may close at any time. The
      // connection is reused within the default idle timeout.
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
       server_action::None, true, "ok", true},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n"
       "\r\nok",
       server_action::None, true, "ok", false},
      // Unsolicited bytes after a complete response.
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nokjunk",
       server_action::None, true, "ok", false},
      // A late response to another request arrives first.
      {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 "
       "OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
       server_action::None, true, "ok", false},
      {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold",
       server_action::Close, false, "", false},
      // A response without a length is completed by a close, but not by a
      // reset.
      {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", server_action::Close, true, "ok",
       false},
      {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", server_action::Reset, false, "",
       false},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
       server_action::Close, false, "", false},
      {"nonsense\r\n\r\n", server_action::None, false, "", false},
      {"", server_action::Close, false, "", false},
      {"", server_action::Reset, false, "", false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(response_row *Row, client_connection,
                  completion_and_connection_reuse) {
  const event_base_ptr Base(event_base_new());
  // Long enough that a slow test run does not expire reusable connections.
  client_pool_options Options;
  Options.DefaultIdleTimeout = 20s;
  client_connection_pool Pool(Base.get(), Options);
  scripted_server Server(Base.get(), [Row](scripted_server::peer &Peer) {
    Peer.send(Row->Response);
    if (Row->Action == server_action::Close)
      Peer.close();
    if (Row->Action == server_action::Reset)
      Peer.reset();
  });
  recording_observer First;
  const auto Connection = Pool.start(requestTo(Server), First);
  cr_assert(runLoopUntil(Base.get(), [&] { return First.over(); }));
  cr_assert(First.Ended == Row->Complete, "%s", Row->Response);
  if (Row->Complete)
    cr_assert(First.Body == Row->Body);
  else
    cr_assert(First.Loss->Stage != exchange_stage::NotSent);
  recording_observer Second;
  const auto Next = Pool.start(requestTo(Server), Second);
  runLoopUntil(Base.get(), [&] { return Second.over(); });
  cr_assert(Pool.opened() == (Row->Reused ? 1 : 2), "%s", Row->Response);
}

Test(client_connection, refused_connection_is_reported_as_not_sent) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  client_request Request;
  Request.Server = unusedEndpoint(Base.get());
  recording_observer Observer;
  const auto Connection = Pool.start(Request, Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return Observer.over(); }));
  cr_assert(Observer.Loss->Stage == exchange_stage::NotSent);
  cr_assert(Observer.Loss->Reason == loss_reason::ConnectFailed);
}

struct connect_row {
  char Address[16];
  bool Listens;
  bool Refused;
};

ParameterizedTestParameters(client_connection,
                            only_a_refusal_shows_that_nobody_listens) {
  static connect_row Rows[] = {
      {"127.0.0.1", false, true},
      {"127.0.0.1", true, false}, // reset once it is open
      {"no address", false, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(connect_row *Row, client_connection,
                  only_a_refusal_shows_that_nobody_listens) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  scripted_server Server(Base.get(),
                         [](scripted_server::peer &Peer) { Peer.reset(); });
  client_request Request = requestTo(Server);
  Request.Server.Address = Row->Address;
  if (!Row->Listens)
    Server.stopListening();
  recording_observer Observer;
  Pool.start(Request, Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return Observer.over(); }));
  cr_assert(Observer.Loss && Observer.Loss->Refused == Row->Refused, "%s",
            Row->Address);
}

/// The server responds before it has read the long body and never reads the
/// rest. The response must be delivered although the request cannot be written.
Test(client_connection, early_response_is_delivered_and_connection_not_reused) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  scripted_server Server(Base.get(), [](auto &) {});
  Server.ReadNothing = true;
  const std::string Body(16 * 1024 * 1024, 'x');
  client_request Request = requestTo(Server);
  Request.Body = Body;
  recording_observer Observer;
  const auto Connection = Pool.start(Request, Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return !Server.Peers.empty(); }));
  Server.Peers[0]->send(
      "HTTP/1.1 413 No\r\nId: 1\r\nContent-Length: 2\r\n\r\nno");
  cr_assert(runLoopUntil(Base.get(), [&] { return Observer.over(); }));
  cr_assert(Observer.Ended && Observer.Status == 413);
  recording_observer Second;
  const auto Next = Pool.start(requestTo(Server), Second);
  cr_assert(runLoopUntil(Base.get(), [&] { return Server.Peers.size() == 2; }));
  cr_assert(Pool.opened() == 2);
}

Test(client_connection,
     idle_connection_is_not_reused_after_keep_alive_timeout) {
  const event_base_ptr Base(event_base_new());
  client_pool_options Options;
  // The margin of 1 s cancels the server's timeout of 1 s.
  Options.KeepAliveMargin = 1s;
  client_connection_pool Pool(Base.get(), Options);
  scripted_server Server(Base.get(), [](scripted_server::peer &Peer) {
    Peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\n"
              "Content-Length: 0\r\n\r\n");
  });
  for (int Index = 0; Index < 2; ++Index) {
    recording_observer Observer;
    const auto Connection = Pool.start(requestTo(Server), Observer);
    cr_assert(runLoopUntil(Base.get(), [&] { return Observer.Ended; }));
  }
  cr_assert(Pool.opened() == 2);
}

Test(client_connection, cancelled_exchange_does_not_call_its_observer) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  bool Received = false;
  scripted_server Server(Base.get(), [&](auto &) { Received = true; });
  recording_observer Observer;
  const auto Connection = Pool.start(requestTo(Server), Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return Received; }));
  Connection->cancel();
  runLoopFor(Base.get(), 10ms);
  cr_assert(!Observer.over());
}

struct abandoned_row {
  std::size_t BodyBytes;
  bool Whole; ///< the system of the server took the whole request
};

ParameterizedTestParameters(client_connection,
                            an_abandoned_request_does_not_arrive_later) {
  static abandoned_row Rows[] = {{10, true}, {100'000, false}};
  return criterion_test_params(Rows);
}

/// What the server's system has taken can't be recalled, but its end shows that
/// no one waits for the response.
ParameterizedTest(abandoned_row *Row, client_connection,
                  an_abandoned_request_does_not_arrive_later) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  const stopped_server Server;
  const std::string Body = std::string(Row->BodyBytes - 1, 'x') + '!';
  client_request Request;
  Request.Server = Server.address();
  Request.Method = "POST";
  Request.Body = Body;
  recording_observer Observer;
  const auto Connection = Pool.start(Request, Observer);
  runLoopFor(Base.get(), 100ms);
  Connection->cancel();
  runLoopFor(Base.get(), 10ms);
  const auto [Received, Error] = Server.readToEnd();
  cr_assert(Received.starts_with("POST"));
  cr_assert(Received.ends_with("!") == Row->Whole, "%zu bytes",
            Received.size());
  cr_assert(Error == ECONNRESET, "%d", Error);
}

struct idle_row {
  char Unsolicited[8];
  bool Closes;
};

ParameterizedTestParameters(client_connection,
                            a_connection_that_ended_unnoticed_is_not_reused) {
  static idle_row Rows[] = {
      {"", true},
      {"junk", false},
      {"junk", true},
  };
  return criterion_test_params(Rows);
}

/// The event loop has not run since.
ParameterizedTest(idle_row *Row, client_connection,
                  a_connection_that_ended_unnoticed_is_not_reused) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  scripted_server Server(Base.get(), [](scripted_server::peer &Peer) {
    Peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=9\r\n"
              "Content-Length: 0\r\n\r\n");
  });
  recording_observer First;
  Pool.start(requestTo(Server), First);
  cr_assert(runLoopUntil(Base.get(), [&] { return First.Ended; }));
  Server.Peers[0]->send(Row->Unsolicited);
  if (Row->Closes)
    Server.Peers[0]->close();
  recording_observer Second;
  Pool.start(requestTo(Server), Second);
  cr_assert(runLoopUntil(Base.get(), [&] { return Second.over(); }));
  cr_assert(Second.Ended);
  cr_assert(Pool.opened() == 2);
}

Test(client_connection, an_established_connection_is_not_timed_out_unseen) {
  const event_base_ptr Base(event_base_new());
  // More events than the loop handles between two looks at its timers.
  constexpr std::size_t ReadyEvents = 64;
  std::array<std::array<int, 2>, ReadyEvents> Pipes{};
  std::array<event_ptr, ReadyEvents> Events;
  for (std::size_t Index = 0; Index < ReadyEvents; ++Index) {
    cr_assert(pipe(Pipes[Index].data()) == 0);
    cr_assert(write(Pipes[Index][1], "x", 1) == 1);
    Events[Index].reset(event_new(
        Base.get(), Pipes[Index][0], EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *) {}, nullptr));
    event_add(Events[Index].get(), nullptr);
  }
  client_pool_options Options;
  Options.ConnectTimeout = span_ns(0);
  client_connection_pool Pool(Base.get(), Options);
  scripted_server Server(Base.get(), [](scripted_server::peer &Peer) {
    Peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
  });
  recording_observer Observer;
  Pool.start(requestTo(Server), Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return Observer.over(); }));
  cr_assert(Observer.Ended);
  for (const auto &Pipe : Pipes) {
    close(Pipe[0]);
    close(Pipe[1]);
  }
}

Test(client_connection, an_idle_connection_notices_its_end_after_a_pause) {
  const event_base_ptr Base(event_base_new());
  client_connection_pool Pool(Base.get(), {});
  bool Noticed = false;
  Pool.observeIdleLosses([&](const endpoint &) { Noticed = true; });
  scripted_server Server(Base.get(), [](scripted_server::peer &Peer) {
    Peer.send("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=9\r\n"
              "Content-Length: 2\r\n\r\nok");
  });
  pausing_observer Observer;
  Observer.Connection = Pool.start(requestTo(Server), Observer);
  cr_assert(runLoopUntil(Base.get(), [&] { return Observer.Ended; }));
  Server.Peers[0]->close();
  cr_assert(runLoopUntil(Base.get(), [&] { return Noticed; }));
}

struct head_row {
  char Response[160];
  server_action Action;
};

ParameterizedTestParameters(client_connection, a_head_broken_off_is_lost) {
  static head_row Rows[] = {
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
       server_action::Close},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       server_action::Close},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n",
       server_action::Close},
      {"HTTP/1.0 200 OK\nId: 1\n\n", server_action::Close},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
       server_action::Close},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
       server_action::Reset},
  };
  return criterion_test_params(Rows);
}

/// Wherever the server stops within the head.
ParameterizedTest(head_row *Row, client_connection, a_head_broken_off_is_lost) {
  const event_base_ptr Base(event_base_new());
  const std::string_view Whole = Row->Response;
  for (std::size_t Length = 0; Length < Whole.size(); ++Length) {
    scripted_server Server(Base.get(), [&](scripted_server::peer &Peer) {
      if (!Peer.Received.ends_with("x"))
        return;
      Peer.send(Whole.substr(0, Length));
      if (Row->Action == server_action::Close)
        Peer.close();
      else
        Peer.reset();
    });
    client_connection_pool Pool(Base.get(), {});
    recording_observer Observer;
    Pool.start(requestTo(Server), Observer);
    cr_assert(runLoopUntil(Base.get(), [&] { return Observer.over(); }));
    cr_assert(!Observer.Ended, "passed as complete after %zu bytes", Length);
  }
}

struct refused_row {
  char Name[24];
  char NextId[8]; ///< of the request that follows the refused one
  int Refusals;   ///< before it
  bool Reused;
};

ParameterizedTestParameters(client_connection, a_refusal_bars_its_repetition) {
  static refused_row Rows[] = {
      {"same", "r-0", 1, false},         {"another", "next", 1, true},
      {"without id", "", 1, true},       {"an earlier one", "r-0", 5, false},
      {"after many", "next", 32, false},
  };
  return criterion_test_params(Rows);
}

/// A late copy of the refusal could not be told from a response to the same
/// request on that connection.
ParameterizedTest(refused_row *Row, client_connection,
                  a_refusal_bars_its_repetition) {
  const event_base_ptr Base(event_base_new());
  scripted_server Server(Base.get(), [](scripted_server::peer &Peer) {
    Peer.send("HTTP/1.1 503 x\r\nId: 1\r\nKeep-Alive: timeout=5\r\n"
              "Content-Length: 0\r\n\r\n");
  });
  client_connection_pool Pool(Base.get(), {});
  const auto Send = [&](const std::string &Id, bool IsRefused) {
    recording_observer Observer;
    client_request Request = requestTo(Server);
    Request.Id = Id;
    const auto Exchange = Pool.start(Request, Observer);
    if (IsRefused)
      Exchange->setRefused();
    cr_assert(runLoopUntil(Base.get(), [&] { return Observer.over(); }));
    cr_assert(Observer.Ended);
  };
  for (int Index = 0; Index < Row->Refusals; ++Index)
    Send("r-" + std::to_string(Index), true);
  cr_assert(Pool.opened() == 1, "%s", Row->Name);
  Send(Row->NextId, false);
  cr_assert((Pool.opened() == 1) == Row->Reused, "%s", Row->Name);
}
