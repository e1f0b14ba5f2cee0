#include "fuzz/targets.h"

#include "daemon/connection/peer_message.h"
#include "daemon/process/instance_list.h"
#include "daemon/request/engine_protocol.h"
#include "decisions/request/chat_request.h"
#include "decisions/request/prompt_pieces.h"
#include "decisions/request/sse_events.h"
#include "decisions/version/release_note.h"

#include <cstdlib>

namespace ebonyvale {
namespace {

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

void runRequest(std::string_view Bytes) {
  for (const chat_route Route :
       {chat_route::ChatCompletions, chat_route::Completions}) {
    const auto Read = parseChatRequest(Route, Bytes);
    if (!Read)
      continue;
    require(!Read->Model.empty());
    require(chainPieces(1, Read->Prompt, 16).size() ==
            Read->Prompt.size() / 16);
  }
  (void)readUsage(Bytes);
}

void runEvents(std::string_view Bytes) {
  // However the bytes are cut, the events are the same.
  sse_splitter Whole;
  std::string Expected;
  for (const sse_event &Event : Whole.feed(Bytes))
    Expected.append(Event.Id).append("=").append(Event.Data).append(";");
  sse_splitter Cut;
  std::string Seen;
  for (std::size_t At = 0; At < Bytes.size(); ++At)
    for (const sse_event &Event : Cut.feed(Bytes.substr(At, 1)))
      Seen.append(Event.Id).append("=").append(Event.Data).append(";");
  require(Seen == Expected);
}

void runNote(std::string_view Bytes) {
  const auto Value = applyNote(configuration{}, Bytes);
  if (!Value) {
    require(!Value.error().Detail.empty());
    return;
  }
  const auto Copy = readSnapshot(writeSnapshot(*Value));
  require(static_cast<bool>(Copy));
  require(writeSnapshot(*Copy) == writeSnapshot(*Value));
}

void runSnapshot(std::string_view Bytes) { (void)readSnapshot(Bytes); }

void runPeerMessage(std::string_view Bytes) {
  (void)decodeHeartbeat(Bytes);
  (void)decodeShareAsk(Bytes);
  (void)decodeShareReply(Bytes);
  (void)decodeShareReturn(Bytes);
  (void)decodeRefusals(Bytes);
  (void)decodeVersions(Bytes);
  (void)decodeHints(Bytes);
  (void)decodeNumber(Bytes);
  (void)parseInstanceList(Bytes);
}

const std::string Note =
    "id = \"a\"\n[[added.failure_domain]]\nname = \"d\"\nregion = \"r\"\n"
    "[[added.team]]\nname = \"t\"\nrate = 10\nburst = 100\n"
    "[[added.model]]\nname = \"m\"\nversion = \"v\"\n"
    "[[added.upstream]]\nname = \"u\"\naddress = \"10.0.0.1\"\nport = 1\n"
    "domain = \"d\"\nmodels = [\"m\"]\n";

} // namespace

std::vector<fuzz_target> fuzzTargets() {
  return {
      {"request",
       &runRequest,
       {R"({"model":"m","stream":true,"messages":[{"role":"user",)"
        R"("content":[{"type":"text","text":"hi"}]}],"max_tokens":5})",
        R"({"model":"m","prompt":"text","stream_options":{}})",
        R"({"choices":[],"usage":{"prompt_tokens":1}})"}},
      {"events",
       &runEvents,
       {"id: a:1\ndata: x\n\n: c\r\n\r\ndata:y\n\ndata", "\n\n\r\n\r\n:"}},
      {"note", &runNote, {Note}},
      {"snapshot", &runSnapshot, {writeSnapshot(*applyNote({}, Note))}},
      {"peer_message",
       &runPeerMessage,
       {encode(heartbeat{"i", 1, 2, false}),
        encode(message_from<lend_request>{"i", {1, "t", 5}}),
        encode(lend_response{1, "t", 5, 5, 5, 5}),
        encode(message_from<lend_return>{"i", {1, "t", 5, true}}),
        encode(version_bundle{{{1, Note}}, "x"}),
        encode(placement_hints{{{7, "e"}}}),
        R"([{"targets":["1.2.3.4:5"],"labels":{"instance":"i"}}])"}},
  };
}

} // namespace ebonyvale
