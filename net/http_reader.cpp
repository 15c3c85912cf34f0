//===- http_reader.cpp - Strict HTTP/1.1 message parser -------------------===//

#include "net/http_reader.h"
#include "net/event_stream.h"
#include "net/status_line.h"
#include <algorithm>
#include <array>
#include <cstring>
#include <limits>
#include <strings.h>

namespace olivevalve {

namespace {

// Bytes of a header line besides name and value: ": " and CRLF.
constexpr size_t LineOverhead = 4;

constexpr std::array<std::string_view, 4> FramingNames = {"none", "length",
                                                          "chunks", "close"};

// As http_parser reads the body.
body_framing framingOf(const http_parser &Parser, bool HasLength,
                       bool HeadOnly) {
  unsigned Status = Parser.status_code;
  bool IsResponse = Parser.type == HTTP_RESPONSE;
  if (HeadOnly ||
      (IsResponse && (Status / 100 == 1 || Status == 204 || Status == 304)))
    return body_framing::None;
  if (Parser.flags & F_CHUNKED)
    return body_framing::Chunks;
  if (HasLength)
    return body_framing::Length;
  return IsResponse ? body_framing::Close : body_framing::None;
}

} // namespace

std::string_view nameOf(body_framing Framing) {
  return FramingNames[size_t(Framing)];
}

bool sameHeader(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

std::optional<std::string_view> http_head::find(std::string_view Name) const {
  for (header_view Line : Lines)
    if (sameHeader(Line.Name, Name))
      return Line.Value;
  return std::nullopt;
}

std::vector<std::string_view> http_head::connectionOptions() const {
  std::vector<std::string_view> Options;
  for (header_view Line : Lines) {
    if (!sameHeader(Line.Name, "Connection"))
      continue;
    std::string_view Rest = Line.Value;
    while (!Rest.empty()) {
      size_t Comma = std::min(Rest.find(','), Rest.size());
      std::string_view Item = Rest.substr(0, Comma);
      Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
      while (Item.starts_with(' ') || Item.starts_with('\t'))
        Item.remove_prefix(1);
      while (Item.ends_with(' ') || Item.ends_with('\t'))
        Item.remove_suffix(1);
      Options.push_back(Item);
    }
  }
  return Options;
}

bool http_head::isConnectionOption(std::string_view Name) const {
  std::vector<std::string_view> Options = connectionOptions();
  return std::any_of(
      Options.begin(), Options.end(),
      [Name](std::string_view Each) { return sameHeader(Each, Name); });
}

bool http_head::isEventStream() const {
  auto Value = find("Content-Type");
  return Value && isEventStreamType(*Value);
}

http_reader::http_reader(http_side Side) : Side(Side) { next(); }

void http_reader::next(bool NewHeadOnly) {
  http_parser_init(&Parser,
                   Side == http_side::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  takeHead(); // An assignment would keep the capacity of the strings.
  Error.clear();
  FirstLine.clear();
  Bytes = HeadBytes = 0;
  HeadOnly = NewHeadOnly;
  HeadDone = Done = InTrailer = LastWasValue = false;
}

http_reader &http_reader::self(http_parser *Parser) {
  return *static_cast<http_reader *>(Parser->data);
}

const http_parser_settings &http_reader::settings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_url = &http_reader::onUrl;
    S.on_status = &http_reader::onStatus;
    S.on_header_field = &http_reader::onField;
    S.on_header_value = &http_reader::onValue;
    S.on_headers_complete = &http_reader::onHeadersComplete;
    S.on_body = &http_reader::onBodyBytes;
    S.on_message_complete = &http_reader::onMessageComplete;
    return S;
  }();
  return Settings;
}

size_t http_reader::feed(std::string_view Input) {
  if (Done || failed() || Input.empty())
    return 0;
  if (Side == http_side::Answer && !HeadDone)
    keepFirstLine(Input);
  size_t Consumed =
      http_parser_execute(&Parser, &settings(), Input.data(), Input.size());
  Bytes += Consumed;
  if (!HeadDone)
    HeadBytes += Consumed;
  http_errno Code = HTTP_PARSER_ERRNO(&Parser);
  if (Done)
    return Consumed;
  if (Code != HPE_OK && Error.empty())
    Error = http_errno_description(Code);
  return Consumed;
}

// http_parser skips line ends before a message, and does not show how the
// status was written.
void http_reader::keepFirstLine(std::string_view Input) {
  for (char C : Input) {
    if (FirstLine.size() == StatusPrefixBytes)
      return;
    if (!FirstLine.empty() || (C != '\r' && C != '\n'))
      FirstLine += C;
  }
}

bool http_reader::endOfInput() {
  if (!Done && !failed() && HeadDone)
    http_parser_execute(&Parser, &settings(), nullptr, 0);
  return Done;
}

int http_reader::onUrl(http_parser *Parser, const char *At, size_t Size) {
  self(Parser).Head.Target.append(At, Size);
  return 0;
}

int http_reader::onStatus(http_parser *Parser, const char *At, size_t Size) {
  self(Parser).Head.Reason.append(At, Size);
  return 0;
}

int http_reader::onField(http_parser *Parser, const char *At, size_t Size) {
  http_reader &Reader = self(Parser);
  if (Reader.HeadDone)
    return 0; // Trailers are dropped.
  Reader.LastWasValue = false;
  Reader.Head.Lines.extendName({At, Size});
  return 0;
}

int http_reader::onValue(http_parser *Parser, const char *At, size_t Size) {
  http_reader &Reader = self(Parser);
  if (Reader.HeadDone)
    return 0;
  Reader.Head.Lines.extendValue({At, Size},
                                !std::exchange(Reader.LastWasValue, true));
  return 0;
}

int http_reader::onHeadersComplete(http_parser *Parser) {
  http_reader &Reader = self(Parser);
  http_head &Head = Reader.Head;
  Head.Status = Parser->status_code;
  if (Reader.Side == http_side::Request)
    Head.Method = http_method_str(http_method(Parser->method));
  Head.IsHttp10 = Parser->http_major < 1 ||
                  (Parser->http_major == 1 && Parser->http_minor == 0);
  Head.KeepAlive = http_should_keep_alive(Parser) != 0;
  bool NoLength =
      Parser->content_length == std::numeric_limits<uint64_t>::max();
  if ((Parser->flags & F_CONTENTLENGTH) && !NoLength)
    Head.Length = Parser->content_length;
  Head.Framing = framingOf(*Parser, Head.Length.has_value(), Reader.HeadOnly);
  Reader.checkHead();
  if (!Reader.Error.empty())
    return -1;
  Reader.HeadDone = true;
  if (Reader.OnHead)
    Reader.OnHead();
  // Returning 1 tells http_parser that no body follows.
  return Reader.HeadOnly ? 1 : 0;
}

// Rejects messages that http_parser accepts but other parsers may interpret
// differently.
void http_reader::checkHead() {
  int Hosts = 0;
  // feed() counts the bytes of a call only after parsing them, so a head that
  // arrived in one call has not been counted yet: add up its parts instead.
  HeadBytes = Head.Method.size() + Head.Target.size();
  for (header_view Line : Head.Lines) {
    HeadBytes += Line.Name.size() + Line.Value.size() + LineOverhead;
    Hosts += sameHeader(Line.Name, "Host");
    bool IsTransferCoding = sameHeader(Line.Name, "Transfer-Encoding");
    if (IsTransferCoding && !sameHeader(Line.Value, "chunked"))
      Error = "transfer codings other than 'chunked' are not supported";
    if (Line.Name.empty() || Line.Name.find(' ') != std::string_view::npos)
      Error = "a header name is empty or contains a space";
    if (Line.Value.find('\0') != std::string_view::npos)
      Error = "a header value contains a NUL byte";
  }
  if (Parser.uses_transfer_encoding && (Parser.flags & F_CONTENTLENGTH))
    Error = "both Content-Length and Transfer-Encoding are present";
  if (Side == http_side::Answer) {
    response_kind Kind = responseKindOf(
        std::string_view(FirstLine).substr(0, FirstLine.find_first_of("\r\n")));
    Head.IsInterim = Kind == response_kind::Interim;
    if (Kind == response_kind::None)
      Error = "the status line begins no response";
  }
  if (Side == http_side::Request && Hosts > 1)
    Error = "more than one Host header";
  if (Side == http_side::Request && Head.Method == "CONNECT")
    Error = "the CONNECT method is not supported";
}

int http_reader::onBodyBytes(http_parser *Parser, const char *At, size_t Size) {
  http_reader &Reader = self(Parser);
  if (Reader.OnBody)
    Reader.OnBody({At, Size});
  return 0;
}

int http_reader::onMessageComplete(http_parser *Parser) {
  http_reader &Reader = self(Parser);
  Reader.Done = true;
  // Bytes after the end belong to the next message: make the parser return.
  http_parser_pause(Parser, 1);
  return 0;
}

} // namespace olivevalve
