#include "net/response_writer.h"

#include "daemon/loop_runner.h"
#include "net/socket_client.h"
#include "net/timer.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <thread>

#include <event2/event.h>
#include <sys/wait.h>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

class observer final : public response_writer_observer {
public:
  void onClientDisconnected() override {}
  void onDrained() override {}
};

/// Starts a stream for each request and leaves it open.
struct fixture {
  fixture() { cr_assert(!Server->listen("127.0.0.1", 0)); }
  /// Waits until the stream for \p Client has started and received its first
  /// chunk.
  void startStream(const socket_client &Client, std::string_view Request) {
    Client.send(Request);
    cr_assert(runLoopUntil(Base.get(), [&] { return Writer != nullptr; }));
    Writer->startStream();
    Writer->sendChunk("part");
    runLoopFor(Base.get(), 5ms);
  }
  std::string receiveAll(socket_client &Client) const {
    std::string Received;
    cr_assert(runLoopUntil(Base.get(), [&] {
      Received += Client.receive();
      return Client.Closed || Client.Reset;
    }));
    return Received;
  }
  event_base_ptr Base{event_base_new()};
  observer Observer;
  std::unique_ptr<response_writer> Writer;
  std::unique_ptr<http_server> Server = std::make_unique<http_server>(
      Base.get(), http_bounds{}, [this](evhttp_request *Request) {
        Writer = std::make_unique<response_writer>(Request, Observer);
      });
};

struct complete_row {
  char Request[60];
  bool HasBody;
};

struct version_row {
  char Request[60];
};

} // namespace

Test(response_writer, a_dropped_stream_does_not_look_complete) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  Fixture.Writer.reset();
  const std::string Received = Fixture.receiveAll(Client);
  cr_assert(Received.ends_with("4\r\npart\r\n"), "%s", Received.c_str());
}

ParameterizedTestParameters(
    response_writer, a_dropped_stream_does_not_look_complete_to_http_1_0) {
  static version_row Rows[] = {
      {"GET / HTTP/1.0\r\n\r\n"},
      {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"}};
  return criterion_test_params(Rows);
}

ParameterizedTest(version_row *Row, response_writer,
                  a_dropped_stream_does_not_look_complete_to_http_1_0) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, Row->Request);
  Fixture.Writer.reset();
  Fixture.receiveAll(Client);
  cr_assert(Client.Reset);
}

ParameterizedTestParameters(response_writer,
                            an_http_1_0_client_reads_a_stream_until_its_close) {
  static version_row Rows[] = {
      {"GET / HTTP/1.0\r\n\r\n"},
      {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"}};
  return criterion_test_params(Rows);
}

ParameterizedTest(version_row *Row, response_writer,
                  an_http_1_0_client_reads_a_stream_until_its_close) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, Row->Request);
  Fixture.Writer->sendChunk("rest");
  Fixture.Writer->endStream();
  const std::string Received = Fixture.receiveAll(Client);
  cr_assert(!Client.Reset);
  cr_assert(Received.find("Content-Length") == std::string::npos, "%s",
            Received.c_str());
  cr_assert(Received.ends_with("\r\n\r\npartrest"), "%s", Received.c_str());
}

Test(response_writer, a_stream_in_response_to_head_has_no_body) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, "HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n");
  Fixture.Writer->endStream();
  const std::string Received = Fixture.receiveAll(Client);
  cr_assert(Received.ends_with("\r\n\r\n"), "%s", Received.c_str());
  cr_assert(Received.find("part") == std::string::npos);
}

Test(response_writer,
     a_stream_of_a_destroyed_server_does_not_look_complete_to_http_1_0) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, "GET / HTTP/1.0\r\n\r\n");
  Fixture.Server.reset();
  Fixture.receiveAll(Client);
  cr_assert(Client.Reset);
}

Test(response_writer, a_long_stream_reaches_an_http_1_0_client_whole) {
  constexpr std::size_t LongBytes = 16'000'000;
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, "GET / HTTP/1.0\r\n\r\n");
  Fixture.Writer->sendChunk(std::string(LongBytes, 'x'));
  Fixture.Writer->endStream();
  const std::string Received = Fixture.receiveAll(Client);
  cr_assert(!Client.Reset);
  const std::size_t BodyBegin = Received.find("\r\n\r\npart") + 8;
  cr_assert(Received.size() - BodyBegin == LongBytes);
}

Test(response_writer,
     an_unsent_end_of_a_destroyed_server_does_not_look_complete_to_http_1_0) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Fixture.startStream(Client, "GET / HTTP/1.0\r\n\r\n");
  Fixture.Writer->sendChunk(std::string(16'000'000, 'x'));
  Fixture.Writer->endStream();
  Fixture.Server.reset();
  Fixture.receiveAll(Client);
  cr_assert(Client.Reset);
}

Test(response_writer,
     a_stream_of_a_killed_process_does_not_look_complete_to_http_1_0) {
  fixture Fixture;
  const std::uint16_t Port = Fixture.Server->port();
  const pid_t Process = fork();
  if (Process == 0) {
    event_reinit(Fixture.Base.get());
    runLoopUntil(Fixture.Base.get(), [&] { return Fixture.Writer != nullptr; });
    Fixture.Writer->startStream();
    Fixture.Writer->sendChunk("part");
    runLoopFor(Fixture.Base.get(), 20ms);
    kill(getpid(), SIGKILL);
    abort();
  }
  Fixture.Server.reset();
  socket_client Client(Port);
  Client.send("GET / HTTP/1.0\r\n\r\n");
  for (int Pause = 0; Pause < 500 && !Client.Closed && !Client.Reset; ++Pause) {
    std::this_thread::sleep_for(10ms);
    Client.receive();
  }
  waitpid(Process, nullptr, 0);
  cr_assert(!Client.Closed);
  cr_assert(Client.Reset);
}

ParameterizedTestParameters(response_writer,
                            a_complete_response_announces_its_length) {
  static complete_row Rows[] = {
      {"GET / HTTP/1.0\r\n\r\n", true},
      {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true},
      {"GET / HTTP/1.1\r\n\r\n", true},
      {"HEAD / HTTP/1.0\r\n\r\n", false},
      {"HEAD / HTTP/1.1\r\n\r\n", false}};
  return criterion_test_params(Rows);
}

ParameterizedTest(complete_row *Row, response_writer,
                  a_complete_response_announces_its_length) {
  fixture Fixture;
  socket_client Client(Fixture.Server->port());
  Client.send(Row->Request);
  cr_assert(runLoopUntil(Fixture.Base.get(),
                         [&] { return Fixture.Writer != nullptr; }));
  Fixture.Writer->sendComplete(200, "text/plain", "whole");
  std::string Received;
  cr_assert(runLoopUntil(Fixture.Base.get(), [&] {
    Received += Client.receive();
    return Received.find("\r\n\r\n") != std::string::npos;
  }));
  runLoopFor(Fixture.Base.get(), 10ms);
  Received += Client.receive();
  cr_assert(Received.ends_with("\r\n\r\nwhole") == Row->HasBody, "%s",
            Received.c_str());
  cr_assert(Received.find("Content-Length: 5\r\n") != std::string::npos, "%s",
            Received.c_str());
}
