// Upstreams that send a response twice or break one off, on connections that
// are used again.
#include "gateway/gateway_fixture.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>
#include <string>

using namespace ebonyvale;
using namespace std::chrono_literals;

namespace {

/// When the copy of the first response is sent.
enum class copy_time {
  WithResponse, ///< in one write with it
  WhileIdle,    ///< before the next request is sent
  BeforeNext,   ///< when the next request arrives, before its response
  BehindNext,   ///< in one write with the next response
};

struct copy_row {
  copy_time Time;
  bool Chunked;
  bool WithId; ///< the copy has the id of the request that it answers
};

std::string responseTo(const std::string &Id, bool Chunked, bool WithId) {
  std::string Head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n";
  if (WithId)
    Head += "Ebonyvale-Request-Id: " + Id + "\r\n";
  const std::string Body = "body of " + Id;
  if (!Chunked)
    return Head + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx", Body.size());
  return Head + "Transfer-Encoding: chunked\r\n\r\n" + Size + "\r\n" + Body +
         "\r\n0\r\n\r\n";
}

std::string idIn(const std::string &Request) {
  constexpr std::string_view Name = "Ebonyvale-Request-Id: ";
  const std::size_t At = Request.find(Name) + Name.size();
  return Request.substr(At, Request.find('\r', At) - At);
}

} // namespace

ParameterizedTestParameters(late_copy, never_answers_another_request) {
  static copy_row Rows[] = {
      {copy_time::WithResponse, false, true},
      {copy_time::WithResponse, true, true},
      {copy_time::WithResponse, false, false},
      {copy_time::WhileIdle, false, true},
      {copy_time::WhileIdle, true, false},
      {copy_time::BeforeNext, false, true},
      {copy_time::BeforeNext, true, true},
      {copy_time::BeforeNext, false, false},
      {copy_time::BehindNext, false, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(copy_row *Row, late_copy, never_answers_another_request) {
  gateway_fixture Gateway;
  std::size_t Requests = 0;
  const std::string Copy = responseTo("first", Row->Chunked, Row->WithId);
  scripted_server Server(Gateway.Base.get(), [&](scripted_server::peer &Peer) {
    if (!Peer.Received.ends_with("the body"))
      return;
    const std::string Response =
        responseTo(idIn(Peer.Received), Row->Chunked, true);
    Peer.Received.clear();
    ++Requests;
    if (Requests == 1 && Row->Time == copy_time::WithResponse)
      Peer.send(Response + Copy);
    else if (Requests == 2 && Row->Time == copy_time::BeforeNext)
      Peer.send(Copy + Response);
    else if (Requests == 2 && Row->Time == copy_time::BehindNext)
      Peer.send(Response + Copy);
    else
      Peer.send(Response);
  });
  Gateway.useOnlyUpstream(Server.address().Port);
  cr_assert(Gateway.sendRequest({.Path = "/order/1", .Id = "first"}).Body ==
            "body of first");
  if (Row->Time == copy_time::WhileIdle)
    Server.Peers.back()->send(Copy);
  for (const std::string Id : {"second", "third"}) {
    const caller_response Next =
        Gateway.sendRequest({.Path = "/order/1", .Id = Id});
    // A connection that closes under the request leaves its outcome unknown.
    const bool Unknown = Next.Status == 502;
    cr_assert(Unknown || (Next.Status == 200 && Next.Body == "body of " + Id),
              "%d %s", Next.Status, Next.Body.c_str());
    if (Row->Time != copy_time::WhileIdle)
      cr_assert(!Unknown);
  }
}

/// The head of a refusal proves that the request was not run.
Test(late_copy, a_refusal_that_breaks_off_is_still_a_refusal) {
  gateway_fixture Gateway;
  scripted_server Server(Gateway.Base.get(), [](scripted_server::peer &Peer) {
    if (!Peer.Received.ends_with("the body"))
      return;
    Peer.send("HTTP/1.1 503 x\r\nEbonyvale-Request-Id: id-1\r\n"
              "Ebonyvale-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nfull");
    Peer.reset();
  });
  Gateway.useOnlyUpstream(Server.address().Port);
  const caller_response Response = Gateway.sendRequest({.Path = "/order/1"});
  cr_assert(Response.Status == 503, "%d", Response.Status);
  cr_assert(Response.Headers.find("Retry-After"));
}

struct broken_row {
  char Name[24];
  char Response[128];
  bool Resets; ///< the connection ends with a reset
};

ParameterizedTestParameters(late_copy, a_broken_response_is_no_success) {
  static broken_row Rows[] = {
      {"short body", "Content-Length: 20\r\n\r\nabc", false},
      {"short body, reset", "Content-Length: 20\r\n\r\nabc", true},
      {"no last chunk", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
       false},
      {"half a chunk", "Transfer-Encoding: chunked\r\n\r\n9\r\nabc", false},
      {"head only", "Content-Length: 20\r\n\r\n", false},
      {"half a head", "Content-Len", false},
      {"no length, reset", "\r\nabc", true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(broken_row *Row, late_copy, a_broken_response_is_no_success) {
  gateway_fixture Gateway;
  std::size_t Requests = 0;
  scripted_server Server(Gateway.Base.get(), [&](scripted_server::peer &Peer) {
    if (!Peer.Received.ends_with("the body"))
      return;
    ++Requests;
    Peer.send(std::string("HTTP/1.1 200 OK\r\nEbonyvale-Request-Id: id-1\r\n") +
              Row->Response);
    if (Row->Resets)
      Peer.reset();
    else
      Peer.close();
  });
  Gateway.useOnlyUpstream(Server.address().Port);
  const caller_response Response = Gateway.sendRequest({.Path = "/order/1"});
  cr_assert(Response.Status == 502, "%s: %d", Row->Name, Response.Status);
  cr_assert(!Response.Headers.find("Retry-After"));
  cr_assert(Requests == 1, "%s: run again", Row->Name);
}
