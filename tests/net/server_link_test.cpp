#include "net/server_link.h"

#include "daemon/loop_runner.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

class handler final : public request_handler {
public:
  void onRequest(const std::shared_ptr<server_link> &Link,
                 http_request Request) override {
    Requests.push_back(std::move(Request));
    Links.push_back(Link);
  }
  void onUnreadable(server_link &Link, unreadable Reason) override {
    Unreadable.push_back(Reason);
    Link.answer(400, {}, "no");
  }
  std::vector<http_request> Requests;
  std::vector<std::shared_ptr<server_link>> Links;
  std::vector<unreadable> Unreadable;
};

class observer final : public client_observer {
public:
  void onClientGone() override { Gone = true; }
  void onClientDrained() override {}
  bool Gone = false;
};

/// A plain blocking client socket.
class client {
public:
  explicit client(std::uint16_t Port)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    Where.sin_port = htons(Port);
    Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert(connect(Socket, reinterpret_cast<sockaddr *>(&Where),
                      sizeof(Where)) == 0);
  }
  ~client() { close(Socket); }
  void send(std::string_view Bytes) const {
    cr_assert(write(Socket, Bytes.data(), Bytes.size()) ==
              static_cast<ssize_t>(Bytes.size()));
  }
  /// What has arrived so far; `Ended` when the server has closed.
  std::string receive() {
    std::string Text;
    char Buffer[4096];
    ssize_t Count = 0;
    while ((Count = recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT)) > 0)
      Text.append(Buffer, static_cast<std::size_t>(Count));
    Ended = Ended || Count == 0;
    return Text;
  }
  int Socket;
  bool Ended = false;
};

struct fixture {
  fixture() {
    link_bounds Bounds;
    Bounds.HeadBytes = 200;
    Bounds.BodyBytes = 10;
    Bounds.HeadTimeout = 50ms;
    Links.setBounds(Bounds);
    cr_assert(!Links.listen("127.0.0.1", 0));
  }
  event_base_ptr Base{event_base_new()};
  handler Handler;
  server_links Links{Base.get(), Handler};
};

struct bad_row {
  char Bytes[280];
  unreadable Reason;
};

} // namespace

Test(server_link, pipelined_requests_are_answered_one_after_another) {
  fixture Server;
  client Client(Server.Links.port());
  Client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return Server.Handler.Requests.size() == 1; }));
  runLoopFor(Server.Base.get(), 5ms);
  cr_assert(Server.Handler.Requests.size() == 1);
  Server.Handler.Links[0]->answer(200, {}, "one");
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return Server.Handler.Requests.size() == 2; }));
  cr_assert(Server.Handler.Requests[1].Head.Target == "/2");
  Server.Handler.Links[1]->answer(200, {}, "two");
  std::string Got;
  cr_assert(runLoopUntil(Server.Base.get(), [&] {
    Got += Client.receive();
    return Got.find("two") != std::string::npos;
  }));
  cr_assert(Got.find("one") < Got.find("two"));
  cr_assert(!Client.Ended);
}

ParameterizedTestParameters(server_link, unreadable_requests) {
  static bad_row Rows[] = {
      {"nonsense\r\n\r\n", unreadable::Malformed},
      {"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890",
       unreadable::BodyTooLarge},
      {"GET / HTTP/1.1\r\nX: 0123456789012345678901234567890123456789012345678"
       "9012345678901234567890123456789012345678901234567890123456789012345678"
       "9012345678901234567890123456789012345678901234567890123456789012345678"
       "9012345678901234567890\r\n\r\n",
       unreadable::HeadTooLarge},
      {"GET / HTTP/1.1\r\nX: ", unreadable::TooSlow},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(bad_row *Row, server_link, unreadable_requests) {
  fixture Server;
  client Client(Server.Links.port());
  Client.send(Row->Bytes);
  std::string Got;
  cr_assert(runLoopUntil(Server.Base.get(), [&] {
    Got += Client.receive();
    return Client.Ended;
  }));
  cr_assert(Server.Handler.Unreadable.size() == 1);
  cr_assert(Server.Handler.Unreadable[0] == Row->Reason);
  cr_assert(Server.Handler.Requests.empty());
  cr_assert(Got.starts_with("HTTP/1.1 400 "));
  cr_assert(Got.find("Connection: close") != std::string::npos);
}

Test(server_link, a_client_that_leaves_is_noticed_during_its_answer) {
  fixture Server;
  auto Client = std::make_unique<client>(Server.Links.port());
  Client->send("GET / HTTP/1.1\r\n\r\n");
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return !Server.Handler.Links.empty(); }));
  const auto Observer = std::make_shared<observer>();
  Server.Handler.Links[0]->observe(Observer);
  Server.Handler.Links[0]->beginStream(200, {});
  Client.reset();
  cr_assert(runLoopUntil(Server.Base.get(), [&] { return Observer->Gone; }));
  cr_assert(!Server.Handler.Links[0]->open());
}

Test(server_link, a_broken_stream_does_not_look_complete) {
  fixture Server;
  client Client(Server.Links.port());
  Client.send("GET / HTTP/1.1\r\n\r\n");
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return !Server.Handler.Links.empty(); }));
  Server.Handler.Links[0]->beginStream(200, {});
  Server.Handler.Links[0]->streamPart("part");
  Server.Handler.Links[0]->breakOff();
  std::string Got;
  cr_assert(runLoopUntil(Server.Base.get(), [&] {
    Got += Client.receive();
    return Client.Ended;
  }));
  cr_assert(Got.find("4\r\npart\r\n") != std::string::npos);
  cr_assert(Got.find("0\r\n\r\n") == std::string::npos);
}

/// A stream that began before the stop says nothing of closing, and its client
/// would go on using the connection.
Test(server_link, closing_idle_connections_holds_for_those_that_become_idle) {
  fixture Server;
  client Client(Server.Links.port());
  Client.send("GET / HTTP/1.1\r\n\r\n");
  cr_assert(runLoopUntil(Server.Base.get(),
                         [&] { return !Server.Handler.Links.empty(); }));
  Server.Handler.Links[0]->beginStream(200, {});
  Server.Links.closeAfterAnswers();
  Server.Links.closeIdle();
  Server.Handler.Links[0]->endStream();
  Client.send("GET /late HTTP/1.1\r\n\r\n");
  cr_assert(runLoopUntil(Server.Base.get(), [&] {
    Client.receive();
    return Client.Ended;
  }));
  cr_assert(Server.Handler.Requests.size() == 1);
}
