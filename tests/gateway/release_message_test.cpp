// Messages on releases between instances.
#include "gateway/connection/peer_messages.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace ebonyvale;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

release_message messageWith(std::size_t Routes, std::uint64_t Count) {
  release_message Message;
  Message.News = {"s", "v2", 70, 1500ms, true, release_state::Finishing};
  Message.Status = {release_state::Finishing, "v2", 70};
  Message.StatusRevision = 71;
  Message.Source = {"i-1", 5, false};
  evidence_summary &Evidence = Message.Evidence.emplace();
  Evidence.Service = "s";
  Evidence.OrderRevision = 70;
  Evidence.Instances = 3;
  for (std::size_t Route = 0; Route < Routes; ++Route)
    for (response_counts &Counts :
         Evidence.Routes[std::string(40, static_cast<char>('a' + Route))]) {
      Counts.Responses = 2 * Count;
      Counts.Failures = Count;
      Counts.Latencies.fill(Count);
    }
  return Message;
}

struct odd_row {
  char Name[24];
  char Member[4];
  char Value[40]; ///< as JSON
};

} // namespace

Test(release_message, is_read_as_written) {
  const release_message Written = messageWith(2, 9);
  const release_message Read = decodeRelease(encodeRelease(Written));
  cr_assert(Read.News.Service == "s" && Read.News.Software == "v2");
  cr_assert(Read.News.OrderRevision == 70 && Read.News.Age == 1500ms);
  cr_assert(Read.News.Barred && Read.Status == Written.Status);
  cr_assert(Read.StatusRevision == 71 && Read.Source.Name == "i-1");
  cr_assert(Read.Evidence->Routes == Written.Evidence->Routes);
  cr_assert(Read.Evidence->Instances == 3);
}

/// The largest summary still fits into a datagram, whatever it counts.
Test(release_message, fits_into_a_datagram) {
  constexpr std::size_t DatagramBytes = 32 * 1024;
  const release_message Largest =
      messageWith(evidence_summary::MaxRoutes + 1, UINT64_MAX / 4);
  const json Message = encodeRelease(Largest);
  cr_assert(json::to_msgpack(Message).size() < DatagramBytes);
  cr_assert(decodeRelease(Message).News.Barred);
}

ParameterizedTestParameters(release_message, odd_members_are_no_statement) {
  static odd_row Rows[] = {
      {"a later state", "t", "[9,71]"},
      {"no service", "s", "null"},
      {"an age as text", "a", "\"1\""},
      {"evidence as number", "e", "3"},
      {"too few groups", "e", "[1,[[\"r\",[1,0]]]]"},
      {"no source", "o", "null"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(odd_row *Row, release_message, odd_members_are_no_statement) {
  json Message = encodeRelease(messageWith(1, 1));
  Message[Row->Member] = json::parse(Row->Value);
  try {
    cr_assert(!decodeRelease(Message).Status, "%s", Row->Name);
  } catch (const json::exception &) {
    // dropped as unreadable
  }
}
