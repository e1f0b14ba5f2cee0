// Responses to clients that speak HTTP/1.0 and cannot read chunks.
#include "net/server_fixture.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <thread>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

using client = socket_client;
using fixture = server_fixture;

/// Serves on its listener until it is killed, within a stream.
class killed_server {
public:
  killed_server() {
    cr_assert(pipe(Port) == 0);
    Process = fork();
    if (Process == 0)
      run();
  }
  ~killed_server() { waitpid(Process, nullptr, 0); }
  killed_server(const killed_server &) = delete;
  killed_server &operator=(const killed_server &) = delete;
  std::uint16_t port() const {
    std::uint16_t Value = 0;
    cr_assert(read(Port[0], &Value, sizeof(Value)) == sizeof(Value));
    return Value;
  }

private:
  [[noreturn]] void run() const {
    fixture Server;
    const std::uint16_t Value = Server.Listener.port();
    cr_assert(write(Port[1], &Value, sizeof(Value)) == sizeof(Value));
    runLoopUntil(Server.Base.get(),
                 [&] { return !Server.Handler.Connections.empty(); });
    Server.Handler.Connections[0]->beginStream(200, {});
    Server.Handler.Connections[0]->writeChunk("part");
    runLoopFor(Server.Base.get(), 20ms);
    kill(getpid(), SIGKILL);
    abort();
  }
  int Port[2]{};
  pid_t Process = 0;
};

struct version_row {
  char Request[60];
};

} // namespace

ParameterizedTestParameters(server_connection,
                            an_http_1_0_client_is_not_sent_chunks) {
  static version_row Rows[] = {
      {"GET / HTTP/1.0\r\n\r\n"},
      {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"}};
  return criterion_test_params(Rows);
}

ParameterizedTest(version_row *Row, server_connection,
                  an_http_1_0_client_is_not_sent_chunks) {
  fixture Server;
  client Client(Server.Listener.port());
  Client.send(Row->Request);
  Server.awaitRequest();
  Server.Handler.Connections[0]->beginStream(200, {});
  Server.Handler.Connections[0]->writeChunk("part");
  runLoopFor(Server.Base.get(), 5ms);
  Server.Handler.Connections[0]->writeChunk("rest");
  Server.Handler.Connections[0]->endStream();
  const std::string Received = Server.receiveAll(Client);
  cr_assert(!Client.Reset);
  cr_assert(Received.find("Connection: close\r\n") != std::string::npos);
  cr_assert(Received.ends_with("\r\n\r\npartrest"), "%s", Received.c_str());
}

Test(server_connection,
     an_aborted_stream_does_not_look_complete_to_an_http_1_0_client) {
  fixture Server;
  client Client(Server.Listener.port());
  Client.send("GET / HTTP/1.0\r\n\r\n");
  Server.awaitRequest();
  Server.Handler.Connections[0]->beginStream(200, {});
  Server.Handler.Connections[0]->writeChunk("part");
  runLoopFor(Server.Base.get(), 5ms);
  Server.Handler.Connections[0]->abortResponse();
  Server.receiveAll(Client);
  cr_assert(Client.Reset);
}

Test(server_connection,
     a_stream_given_up_for_a_stall_does_not_look_complete_to_http_1_0) {
  fixture Server;
  connection_bounds Bounds;
  Bounds.FlushStall = 200ms;
  Server.Listener.setBounds(Bounds, readBootClock());
  client Client(Server.Listener.port());
  Client.send("GET / HTTP/1.0\r\n\r\n");
  Server.awaitRequest();
  Server.Handler.Connections[0]->beginStream(200, {});
  Server.Handler.Connections[0]->writeChunk(std::string(LongBytes, 'x'));
  Server.Handler.Connections[0]->endStream();
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return Server.Listener.size() == 0; }));
  Server.receiveAll(Client);
  cr_assert(Client.Reset);
}

Test(server_connection,
     a_stream_of_a_killed_process_does_not_look_complete_to_http_1_0) {
  const killed_server Server;
  client Client(Server.port());
  Client.send("GET / HTTP/1.0\r\n\r\n");
  for (int Pause = 0; Pause < 500 && !Client.Closed && !Client.Reset; ++Pause) {
    std::this_thread::sleep_for(10ms);
    Client.receive();
  }
  cr_assert(!Client.Closed);
  cr_assert(Client.Reset);
}

Test(server_connection, an_http_1_0_client_receives_a_long_stream_whole) {
  fixture Server;
  client Client(Server.Listener.port());
  Client.send("GET / HTTP/1.0\r\n\r\n");
  Server.awaitRequest();
  Server.Handler.Connections[0]->beginStream(200, {});
  Server.Handler.Connections[0]->writeChunk(std::string(LongBytes, 'x'));
  Server.Handler.Connections[0]->endStream();
  const std::string Received = Server.receiveAll(Client);
  cr_assert(!Client.Reset);
  const std::size_t Head = Received.find("\r\n\r\n") + 4;
  cr_assert(Received.size() - Head == LongBytes, "%zu", Received.size() - Head);
}

Test(server_connection, an_http_1_0_client_that_keeps_alive_is_told_so) {
  fixture Server;
  client Client(Server.Listener.port());
  const std::string Request =
      "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
  Client.send(Request);
  Server.awaitRequest();
  Server.Handler.Connections[0]->writeResponse(200, {}, "one");
  std::string Received;
  cr_assert(runLoopUntil(Server.Base.get(), [&] {
    Received += Client.receive();
    return Received.ends_with("one");
  }));
  cr_assert(Received.find("Connection: keep-alive\r\n") != std::string::npos,
            "%s", Received.c_str());
  Client.send(Request);
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return Server.Handler.Requests.size() == 2; }));
}

Test(server_connection, an_http_1_0_client_gets_a_response_until_its_close) {
  fixture Server;
  client Client(Server.Listener.port());
  Client.send("GET / HTTP/1.0\r\n\r\n");
  Server.awaitRequest();
  Server.Handler.Connections[0]->writeResponse(200, {}, "one");
  std::string Received;
  cr_assert(runLoopUntil(Server.Base.get(), [&] {
    Received += Client.receive();
    return Client.Closed;
  }));
  cr_assert(Received.find("Content-Length: 3\r\n") != std::string::npos);
  cr_assert(Received.ends_with("\r\n\r\none"), "%s", Received.c_str());
}

Test(server_connection, an_http_1_0_client_gets_no_interim_response) {
  fixture Server;
  client Client(Server.Listener.port());
  Client.send("POST / HTTP/1.0\r\nExpect: 100-continue\r\n"
              "Content-Length: 1\r\n\r\n");
  runLoopFor(Server.Base.get(), 20ms);
  cr_assert(Client.receive().empty());
  Client.send("x");
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return !Server.Handler.Requests.empty(); }));
}
