#include "decisions/request/caller_check.h"
#include "decisions/request/chat_request.h"
#include "decisions/request/prompt_pieces.h"
#include "decisions/request/sse_events.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>

using namespace ebonyvale;

namespace {

struct body_row {
  std::array<char, 160> Body;
  bool Valid;
};

struct query_row {
  std::array<char, 80> Query;
  std::array<char, 80> Kept;
};

std::string_view view(const auto &Text) { return Text.data(); }

} // namespace

ParameterizedTestParameters(chat_request, bodies) {
  static body_row Rows[] = {
      {{R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"}, true},
      {{R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})"},
       true},
      {{R"({"model":"m","messages":[{"role":"a","content":null}]})"}, true},
      {{R"({"model":"m","messages":[]})"}, false},
      {{R"({"model":"m","messages":[{"content":"hi"}]})"}, false},
      {{R"({"model":"","messages":[{"role":"user","content":"hi"}]})"}, false},
      {{R"({"messages":[{"role":"user","content":"hi"}]})"}, false},
      {{R"({"model":"m","stream":1,"messages":[{"role":"u","content":"h"}]})"},
       false},
      {{R"({"model":"m","max_tokens":-1,"messages":[{"role":"u"}]})"}, false},
      {{R"({"model":"m","max_tokens":0,"messages":[{"role":"user","content":"h"}]})"},
       false},
      {{R"({"model":"m","max_completion_tokens":0,"messages":[{"role":"user","content":"h"}]})"},
       false},
      {{R"({"model":"m","max_tokens":1,"messages":[{"role":"user","content":"h"}]})"},
       true},
      {{R"({"model":"m","max_tokens":null,"messages":[{"role":"user","content":"h"}]})"},
       true},
      {{"[1]"}, false},
      {{"{"}, false},
      {{""}, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(body_row *Row, chat_request, bodies) {
  const auto Parsed =
      parseChatRequest(chat_route::ChatCompletions, view(Row->Body));
  cr_assert(static_cast<bool>(Parsed) == Row->Valid, "%s", Row->Body.data());
  if (!Parsed)
    cr_assert(Parsed.error().kind() == error_kind::BodyMalformed);
}

Test(chat_request, reads_prompt_in_order) {
  const auto Parsed = parseChatRequest(
      chat_route::ChatCompletions,
      R"({"model":"m","max_tokens":5,"stream":true,"messages":[)"
      R"({"role":"system","content":"a"},{"role":"user","content":"b"}]})");
  cr_assert(Parsed->Prompt == "system\na\nuser\nb\n");
  cr_assert(Parsed->Stream && *Parsed->MaxTokens == 5);
  cr_assert(!usageOption(*Parsed).empty());
}

Test(prompt_pieces, chains_share_only_their_common_prefix) {
  const std::string Common(4 * 2048, 'c');
  const auto Left = chainPieces(7, Common + std::string(4096, 'l'), 2048);
  const auto Right = chainPieces(7, Common + std::string(4000, 'r'), 2048);
  cr_assert(Left.size() == 6 && Right.size() == 5);
  for (std::size_t Index = 0; Index < 5; ++Index)
    cr_assert((Left[Index] == Right[Index]) == (Index < 4));
}

Test(prompt_pieces, different_owners_share_no_pieces) {
  const std::string Prompt(2048, 'p');
  const chain_owner Base{"s", "team", "model", "v1"};
  const auto First = chainPieces(chainSeed(Base), Prompt, 2048);
  const chain_owner Others[] = {{"s", "team2", "model", "v1"},
                                {"s", "team", "model2", "v1"},
                                {"s", "team", "model", "v2"},
                                {"s2", "team", "model", "v1"},
                                {"s", "teamm", "odel", "v1"}};
  for (const chain_owner &Other : Others)
    cr_assert(chainPieces(chainSeed(Other), Prompt, 2048) != First);
}

Test(sse_splitter, finds_events_for_every_split_of_the_stream) {
  const std::string Stream =
      "id: a:1\ndata: one\n\n: comment\n\ndata: two\r\n\r\ndata: last\n\n";
  for (std::size_t Split = 0; Split <= Stream.size(); ++Split) {
    sse_splitter Splitter;
    std::string Seen;
    for (const std::string_view Chunk :
         {std::string_view(Stream).substr(0, Split),
          std::string_view(Stream).substr(Split)})
      for (const sse_event &Event : Splitter.feed(Chunk))
        Seen += std::string(Event.Id) + "=" + std::string(Event.Data) + ";";
    cr_assert(Seen == "a:1=one;=two;=last;", "split at %zu: %s", Split,
              Seen.c_str());
  }
}

Test(sse_splitter, reads_lines_that_end_with_a_carriage_return) {
  const std::string Stream =
      "id: 1\rdata: one\r\rid: 2\r\ndata: two\r\n\r\nid: 3\ndata: x\n\r";
  for (std::size_t Split = 0; Split <= Stream.size(); ++Split) {
    sse_splitter Splitter;
    std::string Seen;
    for (const std::string_view Chunk :
         {std::string_view(Stream).substr(0, Split),
          std::string_view(Stream).substr(Split)})
      for (const sse_event &Event : Splitter.feed(Chunk))
        Seen += std::string(Event.Id) + "=" + std::string(Event.Data) + ";";
    cr_assert(Seen == "1=one;2=two;3=x;", "split at %zu: %s", Split,
              Seen.c_str());
    cr_assert(!Splitter.hasPartialEvent(), "split at %zu", Split);
  }
}

Test(sse_splitter, drops_no_line_feed_that_arrives_by_itself) {
  const std::string Stream =
      "id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\n";
  for (std::size_t Split = 0; Split <= Stream.size(); ++Split) {
    sse_splitter Splitter;
    std::string Passed;
    for (const std::string_view Chunk :
         {std::string_view(Stream).substr(0, Split),
          std::string_view(Stream).substr(Split)})
      for (const sse_event &Event : Splitter.feed(Chunk))
        Passed += Event.Raw;
    Passed += Splitter.rest();
    cr_assert(Passed == Stream, "split at %zu: %s", Split, Passed.c_str());
    cr_assert(!Splitter.hasPartialEvent(), "split at %zu", Split);
  }
}

Test(sse_splitter, rejects_an_event_over_the_maximum_length) {
  sse_splitter Splitter;
  cr_assert(
      Splitter.feed(std::string(sse_splitter::MaxEventBytes + 1, 'x')).empty());
  cr_assert(Splitter.overflowed());
  cr_assert(Splitter.feed("\n\n").empty());
}

struct stream_end_row {
  std::array<char, 48> Stream;
  bool InsideEvent;
};

ParameterizedTestParameters(event_boundary_tracker, ends_of_streams) {
  static stream_end_row Rows[] = {
      {{""}, false},
      {{"id: 1\ndata: x\n\n"}, false},
      {{"id: 1\r\ndata: x\r\n\r\n"}, false},
      {{"id: 1\rdata: x\r\r"}, false},
      {{"id: 1\rdata: x\r"}, true},
      {{"id: 1\ndata: x\n\nid"}, true},
      {{"id: 1\ndata: x\n\nid: 2\n"}, true},
      {{"id: 1\ndata: x\n\nid: 2\r\n"}, true},
      {{"id: 1\ndata: x\n\n\n"}, false},
      {{"id: 1\ndata: x\n\n: alive\n"}, false},
      {{"id: 1\ndata: x\n\n: ali"}, true},
      {{"id: 1\n: alive\n"}, true},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(stream_end_row *Row, event_boundary_tracker,
                  ends_of_streams) {
  const std::string_view Stream = view(Row->Stream);
  for (std::size_t Split = 0; Split <= Stream.size(); ++Split) {
    event_boundary_tracker Boundaries;
    Boundaries.feed(Stream.substr(0, Split));
    Boundaries.feed(Stream.substr(Split));
    cr_assert(Boundaries.insideEvent() == Row->InsideEvent, "'%s'",
              Row->Stream.data());
  }
}

ParameterizedTestParameters(caller_check,
                            credentials_are_removed_from_the_query) {
  static query_row Rows[] = {
      {{"day=1&api_key=x&b=2"}, {"day=1&b=2"}},
      {{"Key=x"}, {""}},
      {{"a=secret-key-1"}, {""}},
      {{"a=1&&b"}, {"a=1&&b"}},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(query_row *Row, caller_check,
                  credentials_are_removed_from_the_query) {
  cr_assert(stripCredentials(view(Row->Query), "secret-key-1") ==
            view(Row->Kept));
}
