#include "decisions/process/stream_origins.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ebonyvale {
namespace {

constexpr std::size_t StreamBytes = 6;
constexpr unsigned BitsPerByte = 8;
constexpr std::uint64_t ByteMask = 0xFF;
constexpr std::uint64_t StreamMask =
    (std::uint64_t{1} << (StreamBytes * BitsPerByte)) - 1;
constexpr std::size_t CountBytes = 2;

void appendNumber(std::string &Text, std::uint64_t Number, std::size_t Bytes) {
  for (std::size_t Index = 0; Index < Bytes; ++Index)
    Text += static_cast<char>((Number >> (Index * BitsPerByte)) & ByteMask);
}

std::uint64_t takeNumber(std::string_view &Text, std::size_t Bytes) {
  std::uint64_t Number = 0;
  for (std::size_t Index = 0; Index < Bytes; ++Index)
    Number |= std::uint64_t{static_cast<unsigned char>(Text[Index])}
              << (Index * BitsPerByte);
  Text.remove_prefix(Bytes);
  return Number;
}

std::int64_t millisOf(instant Time) {
  return Time.time_since_epoch() / std::chrono::milliseconds(1);
}

} // namespace

bool isUnknownSoftware(std::string_view Software) {
  return Software.ends_with(UnknownSoftware);
}

std::uint64_t streamId(std::string_view Service, std::string_view RequestId) {
  return XXH3_64bits_withSeed(RequestId.data(), RequestId.size(),
                              XXH3_64bits(Service.data(), Service.size())) &
         StreamMask;
}

std::string encodeOrigins(std::span<const stream_origin> Records) {
  std::map<std::string_view, std::vector<std::uint64_t>> Streams;
  for (const stream_origin &Record : Records)
    Streams[Record.Software].push_back(Record.Stream);
  std::string Text;
  for (const auto &[Software, Ids] : Streams) {
    appendNumber(Text, Software.size(), 1);
    Text += Software;
    appendNumber(Text, Ids.size(), CountBytes);
    for (const std::uint64_t Id : Ids)
      appendNumber(Text, Id, StreamBytes);
  }
  return Text;
}

std::optional<std::vector<stream_origin>> decodeOrigins(std::string_view Text) {
  std::vector<stream_origin> Records;
  while (!Text.empty()) {
    const std::uint64_t Length = takeNumber(Text, 1);
    if (Length == 0 || Text.size() < Length + CountBytes)
      return std::nullopt;
    const std::string_view Software = Text.substr(0, Length);
    Text.remove_prefix(Length);
    const std::uint64_t Count = takeNumber(Text, CountBytes);
    if (Count == 0 || Text.size() < Count * StreamBytes)
      return std::nullopt;
    for (std::uint64_t Index = 0; Index < Count; ++Index)
      Records.push_back({takeNumber(Text, StreamBytes), std::string(Software)});
  }
  return Records;
}

void stream_origins::setMembers(const std::vector<fleet_member> &Members,
                                instant Now) {
  Keepers.setMembers(Members, Now);
  std::erase_if(Queues, [this](const auto &Queue) {
    return !Keepers.contains(Queue.first);
  });
}

record_result stream_origins::onBegun(std::uint64_t Stream,
                                      std::string_view Software, instant Now) {
  const record_result Result = add(Stream, Software, Now);
  if (Result != record_result::New)
    return Result;
  for (const std::string_view Keeper : Keepers.nearKeepers(Stream))
    enqueue(Keeper, Stream, Software, Now);
  if (!Keepers.backup().empty() && Keepers.isFirst(Stream))
    enqueue(Keepers.backup(), Stream, Software, Now);
  return Result;
}

std::vector<stream_origin>
stream_origins::onPeerRecords(std::string_view From,
                              std::span<const stream_origin> Records,
                              instant Now) {
  std::vector<stream_origin> Conflicts;
  const bool PassOn = !Keepers.backup().empty() && Keepers.isNear(From);
  for (const stream_origin &Record : Records) {
    const record_result Result = add(Record.Stream, Record.Software, Now);
    if (Result == record_result::Conflict)
      Conflicts.push_back(Record);
    if (Result == record_result::New && PassOn &&
        Keepers.isFirst(Record.Stream))
      enqueue(Keepers.backup(), Record.Stream, Record.Software, Now);
  }
  return Conflicts;
}

record_result stream_origins::add(std::uint64_t Stream,
                                  std::string_view Software, instant Now) {
  if (Software.empty() || Software.size() > MaxNameBytes)
    return record_result::InvalidName;
  dropExpired(Now);
  if (const auto Found = Records.find(Stream); Found != Records.end()) {
    const std::string_view Recorded = Names[Found->second.Software].Name;
    const bool IsReplaced =
        isUnknownSoftware(Recorded) && !isUnknownSoftware(Software);
    if (Recorded != Software && !IsReplaced)
      return isUnknownSoftware(Software) ? record_result::Known
                                         : record_result::Conflict;
    if (IsReplaced) {
      --Names[Found->second.Software].Records;
      Found->second.Software = indexOf(Software);
    } else if (millisOf(Now) - Found->second.AtMs <
               RenewAfter / std::chrono::milliseconds(1)) {
      return record_result::Known;
    }
    Found->second.AtMs = millisOf(Now);
    Order.erase(std::ranges::find(Order, Stream));
    Order.push_back(Stream);
    return record_result::New;
  }
  if (Records.size() >= MaxRecords) {
    dropOldest();
    ++Dropped;
  }
  Records.emplace(Stream, record{millisOf(Now), indexOf(Software)});
  Order.push_back(Stream);
  return record_result::New;
}

void stream_origins::dropOldest() {
  const auto Found = Records.find(Order.front());
  --Names[Found->second.Software].Records;
  Records.erase(Found);
  Order.pop_front();
}

std::uint16_t stream_origins::indexOf(std::string_view Software) {
  auto Found = std::ranges::find(Names, Software, &software_name::Name);
  if (Found == Names.end()) {
    Found = std::ranges::find(Names, 0U, &software_name::Records);
    if (Found == Names.end())
      Found = Names.emplace(Names.end());
    Found->Name = Software;
  }
  ++Found->Records;
  return static_cast<std::uint16_t>(Found - Names.begin());
}

void stream_origins::enqueue(std::string_view Peer, std::uint64_t Stream,
                             std::string_view Software, instant Now) {
  const auto [Found, IsNew] = Queues.try_emplace(std::string(Peer));
  queue &Queue = Found->second;
  if (IsNew)
    Queue.Since = Now;
  if (Queue.Records.size() >= MaxRecords) {
    ++Dropped;
    return;
  }
  Queue.Records.push_back({Stream, std::string(Software)});
}

std::vector<stream_origins::message>
stream_origins::takeForKeepers(instant Now) {
  BytesLeft = std::min(
      BytesPerSecond, BytesLeft + BytesPerSecond * toSeconds(Now - RefilledAt));
  RefilledAt = Now;
  std::vector<message> Messages;
  const span_ns MaxPause = fromSeconds(1 / MinMessagesPerSecond);
  const auto MaySend = [&] {
    return Keepers.asksAll() || BytesLeft > 0 || Now - SentAt >= MaxPause;
  };
  while (!Queues.empty() && MaySend()) {
    SentAt = Now;
    const auto Oldest = std::ranges::min_element(
        Queues, {}, [](const auto &Queue) { return Queue.second.Since; });
    std::vector<stream_origin> &Waiting = Oldest->second.Records;
    const auto Count =
        static_cast<std::ptrdiff_t>(std::min(MaxInMessage, Waiting.size()));
    BytesLeft -= MessageBytes + RecordBytes * static_cast<double>(Count);
    BytesLeft = std::max(BytesLeft, -BytesPerSecond);
    Messages.emplace_back(
        Oldest->first,
        std::vector<stream_origin>(Waiting.begin(), Waiting.begin() + Count));
    Waiting.erase(Waiting.begin(), Waiting.begin() + Count);
    if (Waiting.empty())
      Queues.erase(Oldest);
  }
  return Messages;
}

std::optional<std::string_view> stream_origins::find(std::uint64_t Stream,
                                                     instant Now) const {
  const auto Found = Records.find(Stream);
  if (Found == Records.end() || isExpired(Found->second, Now))
    return std::nullopt;
  return Names[Found->second.Software].Name;
}

bool stream_origins::isExpired(const record &Record, instant Now) {
  return millisOf(Now) - Record.AtMs > KeepFor / std::chrono::milliseconds(1);
}

void stream_origins::dropExpired(instant Now) {
  while (!Order.empty() && isExpired(Records.at(Order.front()), Now))
    dropOldest();
}

void stream_origins::expire(instant Now) {
  dropExpired(Now);
  Keepers.expire(Now);
}

} // namespace ebonyvale
