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

/// Aborts unless \p Condition holds, which ends the run as a crash does.
void require(bool Condition) {
  if (!Condition)
    std::abort();
}

void runRequest(std::string_view Bytes) {
  for (const chat_route Route :
       {chat_route::ChatCompletions, chat_route::Completions}) {
    const auto Parsed = parseChatRequest(Route, Bytes);
    if (!Parsed)
      continue;
    require(!Parsed->Model.empty());
    require(chainPieces(1, Parsed->Prompt, 16).size() ==
            Parsed->Prompt.size() / 16);
  }
  (void)readUsage(Bytes);
}

void runEvents(std::string_view Bytes) {
  // The events must not depend on how the input is divided into chunks.
  sse_splitter WholeSplitter;
  std::string Expected;
  for (const sse_event &Event : WholeSplitter.feed(Bytes))
    Expected.append(Event.Id).append("=").append(Event.Data).append(";");
  sse_splitter ByteSplitter;
  std::string Actual;
  for (std::size_t Offset = 0; Offset < Bytes.size(); ++Offset)
    for (const sse_event &Event : ByteSplitter.feed(Bytes.substr(Offset, 1)))
      Actual.append(Event.Id).append("=").append(Event.Data).append(";");
  require(Actual == Expected);
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
  (void)decodeLendRequest(Bytes);
  (void)decodeLendResponse(Bytes);
  (void)decodeLendReturn(Bytes);
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
