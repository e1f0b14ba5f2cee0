#include "net/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <strings.h>

namespace ebonyvale {

namespace {

/// Most fields in the head of a response. Each takes more memory than the bytes
/// of a short one.
constexpr std::size_t MaxResponseFields = 512;

/// Bytes of the shortest field on the wire: a letter, a colon and a line end.
constexpr std::size_t ShortestFieldBytes = 4;

constexpr int NoContent = 204;
constexpr int NotModified = 304;

/// Returns whether the body of a response ends only with its connection (RFC
/// 9112, section 6.3).
bool isCloseDelimited(const http_parser &Parser) {
  const bool HasBody =
      Parser.status_code != NoContent && Parser.status_code != NotModified;
  const bool HasLength = (Parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
  return HasBody && !HasLength;
}

bool isHttp11(const http_parser &Parser) {
  return Parser.http_major > 1 ||
         (Parser.http_major == 1 && Parser.http_minor >= 1);
}

/// Returns whether every field name is a token (RFC 9110, section 5.6.2) and no
/// value contains a control character. http_parser accepts blanks in names; the
/// next hop may then read another length than this process, which allows
/// request smuggling.
bool areValidFields(const header_list &Headers) {
  static constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";
  const auto IsToken = [](unsigned char Char) {
    return std::isalnum(Char) != 0 ||
           TokenMarks.find(static_cast<char>(Char)) != std::string_view::npos;
  };
  const auto IsControl = [](unsigned char Char) {
    return Char != '\t' && std::iscntrl(Char) != 0;
  };
  return std::ranges::all_of(Headers.all(), [&](const http_header &Field) {
    return !Field.Name.empty() && std::ranges::all_of(Field.Name, IsToken) &&
           std::ranges::none_of(Field.Value, IsControl);
  });
}

} // namespace

bool sameHeaderName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::optional<std::string_view> header_list::find(std::string_view Name) const {
  for (const http_header &Field : Fields)
    if (sameHeaderName(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

std::optional<std::int64_t> header_list::number(std::string_view Name) const {
  const auto Text = find(Name);
  if (!Text)
    return std::nullopt;
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  const bool IsNumber =
      Error == std::errc() && End == Text->data() + Text->size();
  if (!IsNumber || Value < 0)
    return std::nullopt;
  return Value;
}

void header_list::add(std::string_view Name, std::string_view Value) {
  Fields.push_back({std::string(Name), std::string(Value)});
}

void header_list::set(std::string_view Name, std::string_view Value) {
  erase(Name);
  add(Name, Value);
}

void header_list::erase(std::string_view Name) {
  std::erase_if(Fields, [Name](const http_header &Field) {
    return sameHeaderName(Field.Name, Name);
  });
}

http_header &header_list::currentField(bool NewField) {
  if (NewField || Fields.empty())
    Fields.emplace_back();
  return Fields.back();
}

std::size_t headMemory(const http_head &Head) {
  std::size_t Bytes = Head.Target.size();
  for (const http_header &Field : Head.Headers.all())
    Bytes += Field.Name.size() + Field.Value.size();
  return 2 * Bytes + FieldMemoryBytes * Head.Headers.all().size();
}

std::string_view framingName(const http_head &Response) {
  if (Response.CloseDelimited)
    return "close";
  return Response.Headers.find("Transfer-Encoding") ? "chunks" : "length";
}

bool isWithoutBody(const http_head &Response, std::string_view Method) {
  return Method == "HEAD" || Response.Status == NoContent ||
         Response.Status == NotModified;
}

void addStatedLength(const http_head &Response, header_list &Headers) {
  const auto Length = Response.Headers.find("Content-Length");
  if (Length && Response.Status != NoContent)
    Headers.set("Content-Length", *Length);
}

bool isStatus(int Status) {
  constexpr int First = 100;
  constexpr int Last = 599;
  return First <= Status && Status <= Last;
}

std::string_view targetPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view targetQuery(std::string_view Target) {
  const std::size_t Mark = Target.find('?');
  return Mark == std::string_view::npos ? std::string_view()
                                        : Target.substr(Mark + 1);
}

message_reader::message_reader(side Side, message_sink &Sink,
                               std::size_t MaxHeadBytes)
    : Side(Side), Sink(Sink), MaxHeadBytes(MaxHeadBytes),
      MaxFields(Side == side::Responses ? MaxResponseFields
                                        : MaxHeadBytes / ShortestFieldBytes) {
  reset();
}

void message_reader::reset(bool IsHeadResponse) {
  http_parser_init(&Parser,
                   Side == side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  Head = {};
  HeadBytesRead = 0;
  State = read_state::Reading;
  Begun = false;
  InHeaderValue = true;
  HeadDone = false;
  WithoutBody = IsHeadResponse;
}

std::size_t message_reader::feed(std::string_view Bytes) {
  if (State != read_state::Reading || Bytes.empty())
    return 0;
  const std::size_t Used =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (State == read_state::Complete)
    return Used;
  if (HTTP_PARSER_ERRNO(&Parser) != HPE_OK && State == read_state::Reading)
    State = HTTP_PARSER_ERRNO(&Parser) == HPE_HEADER_OVERFLOW
                ? read_state::TooLarge
                : read_state::Invalid;
  return Used;
}

bool message_reader::finishAtClose() {
  if (State == read_state::Reading)
    http_parser_execute(&Parser, &callbacks(), nullptr, 0);
  return State == read_state::Complete;
}

const http_parser_settings &message_reader::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Value;
    http_parser_settings_init(&Value);
    Value.on_message_begin = &message_reader::onBegin;
    Value.on_url = &message_reader::onUrl;
    Value.on_header_field = &message_reader::onField;
    Value.on_header_value = &message_reader::onValue;
    Value.on_headers_complete = &message_reader::onHeadEnd;
    Value.on_body = &message_reader::onBody;
    Value.on_message_complete = &message_reader::onEnd;
    return Value;
  }();
  return Settings;
}

bool message_reader::addHeadBytes(std::size_t Length) {
  HeadBytesRead += Length;
  if (HeadBytesRead <= MaxHeadBytes)
    return true;
  State = read_state::TooLarge;
  return false;
}

int message_reader::onBegin(http_parser *Parser) {
  static_cast<message_reader *>(Parser->data)->Begun = true;
  return 0;
}

int message_reader::onUrl(http_parser *Parser, const char *Data,
                          std::size_t Length) {
  auto *Self = static_cast<message_reader *>(Parser->data);
  Self->Head.Target.append(Data, Length);
  return Self->addHeadBytes(Length) ? 0 : 1;
}

int message_reader::onField(http_parser *Parser, const char *Data,
                            std::size_t Length) {
  auto *Self = static_cast<message_reader *>(Parser->data);
  // Trailers after a chunked body are dropped.
  if (Self->HeadDone)
    return 0;
  http_header &Field = Self->Head.Headers.currentField(Self->InHeaderValue);
  Field.Name.append(Data, Length);
  Self->InHeaderValue = false;
  if (Self->Head.Headers.all().size() > Self->MaxFields) {
    Self->State = read_state::TooLarge;
    return 1;
  }
  return Self->addHeadBytes(Length) ? 0 : 1;
}

int message_reader::onValue(http_parser *Parser, const char *Data,
                            std::size_t Length) {
  auto *Self = static_cast<message_reader *>(Parser->data);
  if (Self->HeadDone)
    return 0;
  Self->Head.Headers.currentField(false).Value.append(Data, Length);
  Self->InHeaderValue = true;
  return Self->addHeadBytes(Length) ? 0 : 1;
}

int message_reader::onHeadEnd(http_parser *Parser) {
  auto *Self = static_cast<message_reader *>(Parser->data);
  Self->HeadDone = true;
  http_head &Head = Self->Head;
  Head.IsHttp11 = isHttp11(*Parser);
  Head.KeepAlive = http_should_keep_alive(Parser) != 0;
  if (Self->Side == side::Requests) {
    Head.Method = http_method_str(static_cast<http_method>(Parser->method));
  } else {
    Head.Status = static_cast<int>(Parser->status_code);
    Head.CloseDelimited = isCloseDelimited(*Parser);
  }
  // Interim responses (RFC 9110, section 15.2) precede the final one and are
  // not reported.
  constexpr int FirstFinalStatus = 200;
  const bool Interim =
      Self->Side == side::Responses && Head.Status < FirstFinalStatus;
  const bool IsMessage = Self->Side == side::Requests || isStatus(Head.Status);
  if (!IsMessage || !areValidFields(Head.Headers) ||
      (!Interim && !Self->Sink.onMessageHead(Head))) {
    Self->State = read_state::Invalid;
    return -1;
  }
  // A length that these state is that of another response (RFC 9110, section
  // 8.6).
  const bool WithoutBody =
      Self->WithoutBody ||
      (Self->Side == side::Responses &&
       (Head.Status == NoContent || Head.Status == NotModified));
  constexpr int SkipBody = 1;
  return WithoutBody ? SkipBody : 0;
}

int message_reader::onBody(http_parser *Parser, const char *Data,
                           std::size_t Length) {
  auto *Self = static_cast<message_reader *>(Parser->data);
  Self->Sink.onMessageBody({Data, Length});
  return 0;
}

int message_reader::onEnd(http_parser *Parser) {
  auto *Self = static_cast<message_reader *>(Parser->data);
  constexpr int FirstFinalStatus = 200;
  if (Self->Side == side::Responses && Self->Head.Status < FirstFinalStatus) {
    Self->Head = {};
    Self->HeadDone = false;
    return 0;
  }
  Self->State = read_state::Complete;
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace ebonyvale
