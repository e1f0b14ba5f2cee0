#include "net/http_message.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace ebonyvale;

namespace {

class recorder final : public message_sink {
public:
  bool onMessageHead(http_head &NewHead) override {
    Head = NewHead;
    ++HeadCount;
    return true;
  }
  void onMessageBody(std::string_view Bytes) override { Body += Bytes; }

  http_head Head;
  std::string Body;
  int HeadCount = 0;
};

struct request_row {
  char Bytes[160];
  read_state State;
  char Body[16];
};

struct response_row {
  char Bytes[200];
  bool CompleteBeforeClose;
  bool CompleteAtClose;
  char Body[16];
};

} // namespace

ParameterizedTestParameters(http_message, requests) {
  static request_row Rows[] = {
      {"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", read_state::Complete, ""},
      {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", read_state::Complete,
       "abc"},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\n"
       "c\r\n0\r\n\r\n",
       read_state::Complete, "abc"},
      {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", read_state::Reading,
       "ab"},
      // With two lengths, or a length and chunked encoding, two parsers may
      // disagree on where the next request begins (request smuggling).
      {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
       read_state::Invalid, ""},
      {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"
       "\r\n\r\n0\r\n\r\n",
       read_state::Invalid, ""},
      {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n",
       read_state::Invalid, ""},
      {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", read_state::Invalid,
       ""},
      {"GET /a b HTTP/1.1\r\n\r\n", read_state::Invalid, ""},
      {"\x16\x03\x01\x02 hello", read_state::Invalid, ""},
      {"GET /a HTTP/1.1\r\nX : y\r\n\r\n", read_state::Invalid, ""},
      {"GET /a HTTP/1.1\r\nX: 0123456789012345678901234567890123456789012345678"
       "901234567890123456789012345678901234567890\r\n\r\n",
       read_state::TooLarge, ""},
  };
  return criterion_test_params(Rows);
}

/// The result must be the same for bytes fed one by one and all at once.
ParameterizedTest(request_row *Row, http_message, requests) {
  const std::string_view Bytes = Row->Bytes;
  for (const std::size_t Step : {std::size_t(1), Bytes.size()}) {
    recorder Sink;
    constexpr std::size_t MaxHeadBytes = 80;
    message_reader Reader(message_reader::side::Requests, Sink, MaxHeadBytes);
    for (std::size_t At = 0; At < Bytes.size(); At += Step)
      Reader.feed(Bytes.substr(At, Step));
    cr_assert(Reader.state() == Row->State, "%s: %d", Row->Bytes,
              static_cast<int>(Reader.state()));
    if (Row->State != read_state::Invalid)
      cr_assert(Sink.Body == Row->Body);
  }
}

ParameterizedTestParameters(http_message, responses) {
  static response_row Rows[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true, "ok"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false, "ok"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       false, false, "ok"},
      // A response without a length ends with its connection.
      {"HTTP/1.1 200 OK\r\n\r\nok", false, true, "ok"},
      {"HTTP/1.1 204 No Content\r\n\r\n", true, true, ""},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 16\r\n\r\n", true, true,
       ""},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
       "\r\nok",
       true, true, "ok"},
      {"HTTP/1.1 100 Continue\r\n\r\n", false, false, ""},
      {"HTTP/1.1 200 OK\r\nContent-Le", false, false, ""},
      {"garbage\r\n\r\n", false, false, ""},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(response_row *Row, http_message, responses) {
  recorder Sink;
  message_reader Reader(message_reader::side::Responses, Sink, 1024);
  Reader.feed(Row->Bytes);
  cr_assert((Reader.state() == read_state::Complete) ==
            Row->CompleteBeforeClose);
  cr_assert(Reader.finishAtClose() == Row->CompleteAtClose);
  cr_assert(Sink.Body == Row->Body);
}

Test(http_message, second_message_is_left_for_next_feed) {
  recorder Sink;
  message_reader Reader(message_reader::side::Requests, Sink, 1024);
  const std::string First = "POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\na";
  const std::string Second = "GET /2 HTTP/1.1\r\n\r\n";
  cr_assert(Reader.feed(First + Second) == First.size());
  cr_assert(Sink.Head.Target == "/1");
  Reader.reset();
  cr_assert(Reader.feed(Second) == Second.size());
  cr_assert(Sink.Head.Target == "/2" && Sink.HeadCount == 2);
}

Test(http_message, header_list_ignores_case_and_replaces_values) {
  header_list Headers;
  Headers.add("A", "1");
  Headers.add("b", "x");
  Headers.add("a", "2");
  cr_assert(Headers.find("a") == "1");
  cr_assert(Headers.number("A") == 1);
  cr_assert(!Headers.number("B"));
  Headers.set("A", "-3");
  cr_assert(!Headers.number("A"));
  cr_assert(Headers.all().size() == 2);
}

struct status_row {
  char Status[4];
  bool IsResponse;
};

ParameterizedTestParameters(http_message, a_status_is_of_a_known_class) {
  static status_row Rows[] = {{"000", false}, {"099", false}, {"200", true},
                              {"299", true},  {"599", true},  {"600", false},
                              {"999", false}};
  return criterion_test_params(Rows);
}

ParameterizedTest(status_row *Row, http_message, a_status_is_of_a_known_class) {
  for (const char *Framing :
       {"Content-Length: 2\r\n\r\nok", "\r\nok",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
    recorder Sink;
    message_reader Reader(message_reader::side::Responses, Sink, 1000);
    // A second response must not be taken for that of the first.
    Reader.feed(std::string("HTTP/1.1 ") + Row->Status + " x\r\n" + Framing +
                "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    Reader.finishAtClose();
    cr_assert((Reader.state() == read_state::Complete) == Row->IsResponse,
              "%s: %d", Row->Status, static_cast<int>(Reader.state()));
    cr_assert(Sink.HeadCount == (Row->IsResponse ? 1 : 0), "%s: %d",
              Row->Status, Sink.HeadCount);
    if (!Row->IsResponse)
      cr_assert(Sink.Body.empty(), "%s: '%s'", Row->Status, Sink.Body.c_str());
  }
}

Test(http_message, fields_are_limited_by_the_size_of_a_head) {
  const std::string Begin = "GET / HTTP/1.1\r\n";
  for (const std::size_t Fields : {20, 21}) {
    recorder Sink;
    message_reader Reader(message_reader::side::Requests, Sink, 80);
    Reader.feed(Begin);
    for (std::size_t Index = 0; Index < Fields; ++Index)
      Reader.feed("a:\r\n");
    Reader.feed("\r\n");
    cr_assert(Reader.state() ==
              (Fields == 20 ? read_state::Complete : read_state::TooLarge));
  }
}
