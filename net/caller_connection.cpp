//===- caller_connection.cpp - HTTP/1.1 server connections ----------------===//

#include "net/caller_connection.h"
#include "base/clock.h"
#include "base/error.h"
#include <array>
#include <cstdio>
#include <unistd.h>
#include <utility>

namespace olivevalve {

namespace {

// Bytes of further requests that are buffered while one is being answered;
// above this the connection stops reading. Callers are not expected to pipeline
// but a short request may arrive early.
constexpr size_t MaxAheadBytes = 64 << 10;
// How long a connection stays open after its last response. Closing at once
// while the caller is still sending its body would reset the connection, and
// the caller could lose the response.
constexpr double LingerSeconds = 0.5;
// Interval at which timeouts are checked, and so their precision.
constexpr double SweepSeconds = 0.25;

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  default:
    return "Request Header Fields Too Large";
  }
}

bool hasNoBody(int Status) { return Status == 204 || Status == 304; }

} // namespace

caller_connection::caller_connection(struct ev_loop *Loop, caller_host &Host,
                                     caller_pool &Pool, int Socket)
    : Host(Host), Pool(Pool), Stream(Loop, Socket), Reader(http_side::Request) {
  Stream.OnBytes = [this](std::string_view Bytes) { receive(Bytes); };
  Stream.OnEnd = [this](bool) { onEnd(); };
  Stream.OnDrained = [this] { onDrained(); };
  Reader.OnHead = [this] { onHead(); };
  Reader.OnBody = [this](std::string_view Bytes) {
    if (!Lingering)
      Body.append(Bytes);
  };
  becomeIdle();
}

// Waits for the next request, which must start within the idle timeout.
void caller_connection::becomeIdle() {
  IdleSince = steadySeconds();
  TimeoutAt = IdleSince + Host.limits().IdleSeconds;
}

void caller_connection::receive(std::string_view Bytes) {
  if (Lingering)
    return;
  if (!busy() && Ahead.empty())
    Bytes.remove_prefix(parse(Bytes));
  if (Lingering || Ended)
    return;
  Ahead.erase(0, std::exchange(AheadParsed, 0));
  Ahead.append(Bytes);
  if (Ahead.size() > MaxAheadBytes)
    Stream.setReading(false);
  proceed();
}

// Goes on with the next request if the response to the last one has been sent.
void caller_connection::proceed() {
  if (Lingering || Ended || busy())
    return;
  if (Ahead.empty())
    Stream.setReading(true);
  else
    Pool.continueSoon(*this);
}

void caller_connection::continueAhead() {
  if (Lingering || Ended || busy())
    return;
  AheadParsed += parse(std::string_view(Ahead).substr(AheadParsed));
  if (AheadParsed == Ahead.size()) {
    Ahead = {};
    AheadParsed = 0;
  }
  proceed();
}

void caller_connection::onDrained() {
  if (!Busy && Reader.fresh())
    becomeIdle();
  if (Lingering)
    linger();
  if (Producer)
    Producer->onCallerDrained();
  else
    proceed();
}

// Parses up to the end of the current request. Returns the bytes parsed.
size_t caller_connection::parse(std::string_view Bytes) {
  if (Reader.fresh())
    TimeoutAt = steadySeconds() + Host.limits().HeaderSeconds;
  size_t Consumed = Reader.feed(Bytes);
  if (!Lingering && !Ended)
    onParsed();
  return Consumed;
}

void caller_connection::onParsed() {
  const caller_limits &Limits = Host.limits();
  if (Reader.failed())
    return refuse(400, Reader.error());
  if (!Reader.headDone() && Reader.headBytes() > Limits.HeaderBytes)
    return refuse(431, "the request head exceeds the size limit");
  if (Body.size() > Limits.BodyBytes)
    return refuse(413, "the request body exceeds the size limit");
  // While a body is received, the idle timeout runs from its latest bytes.
  if (Reader.headDone())
    TimeoutAt = steadySeconds() + Limits.IdleSeconds;
  if (Reader.done())
    dispatch();
}

void caller_connection::onHead() {
  const http_head &Head = Reader.head();
  if (Reader.headBytes() > Host.limits().HeaderBytes)
    return refuse(431, "the request head exceeds the size limit");
  if (Head.Length && *Head.Length > Host.limits().BodyBytes)
    return refuse(413, "the request body exceeds the size limit");
  auto Expect = Head.find("Expect");
  if (Expect && sameHeader(*Expect, "100-continue"))
    Stream.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::dispatch() {
  Busy = true;
  TimeoutAt = 0;
  const http_head &Head = Reader.head();
  KeepAlive = Head.KeepAlive;
  HeadOnly = Head.Method == "HEAD";
  Host.onRequest(*this, Head, std::move(Body));
}

void caller_connection::refuse(int Status, std::string_view Message) {
  Host.onMalformed(Status, Message);
  KeepAlive = false;
  error_kind Kind =
      Status == 413 ? error_kind::BodyTooLarge : error_kind::BadRequest;
  std::string Text = errorBody(Kind, Message);
  Stream.write(headOf(Status, reasonPhrase(Status),
                      {{"Content-Type", "application/json"},
                       {"X-Olivevalve-Outcome", "not-run"},
                       {"Content-Length", std::to_string(Text.size())}}) +
               Text);
  Lingering = true;
  Busy = false;
  linger();
}

// Keeps the connection open for a while after its last response. Without
// chunked coding the response only ends when the connection does.
void caller_connection::linger() {
  TimeoutAt = steadySeconds() + (EndsByClose ? 0 : LingerSeconds);
  // All bytes of a response that the connection ends have been handed over.
  if (EndsByClose && Stream.unsent() == 0)
    Stream.setResetOnClose(false);
}

std::string
caller_connection::headOf(int Status, std::string_view Reason,
                          const std::vector<header_field> &Lines) const {
  std::string Out;
  Out.reserve(512);
  Out.append("HTTP/1.1 ").append(std::to_string(Status)).append(" ");
  Out.append(Reason).append("\r\n");
  for (const header_field &Line : Lines)
    Out.append(Line.Name).append(": ").append(Line.Value).append("\r\n");
  if (!KeepAlive)
    Out.append("Connection: close\r\n");
  else if (Reader.head().IsHttp10)
    Out.append("Connection: keep-alive\r\n");
  Out.append("\r\n");
  return Out;
}

void caller_connection::writeWhole(int Status, std::string_view Reason,
                                   const std::vector<header_field> &Lines,
                                   std::string ResponseBody) {
  if (Ended)
    return;
  Chunked = EndsByClose = false;
  KeepAlive = KeepAlive && !Host.closesAfterAnswer();
  std::vector<header_field> All = Lines;
  if (!hasNoBody(Status))
    All.push_back({"Content-Length", std::to_string(ResponseBody.size())});
  std::string ResponseHead = headOf(Status, Reason, All);
  if (HeadOnly || hasNoBody(Status))
    return Stream.write(ResponseHead);
  Stream.write(std::move(ResponseHead),
               std::make_shared<const std::string>(std::move(ResponseBody)));
}

void caller_connection::begin(int Status, std::string_view Reason,
                              const std::vector<header_field> &Lines) {
  if (Ended)
    return;
  KeepAlive = KeepAlive && !Host.closesAfterAnswer();
  // HTTP/1.0 has no chunked coding: there the end of the connection marks the
  // end of the body, and only a reset shows that the body is incomplete.
  Chunked = !Reader.head().IsHttp10;
  EndsByClose = !Chunked;
  if (EndsByClose)
    Stream.setResetOnClose(true);
  KeepAlive = KeepAlive && Chunked;
  std::vector<header_field> All = Lines;
  if (Chunked)
    All.push_back({"Transfer-Encoding", "chunked"});
  Stream.write(headOf(Status, Reason, All));
}

void caller_connection::write(std::string_view Bytes) {
  if (Ended || Bytes.empty())
    return;
  if (!Chunked)
    return Stream.write(Bytes);
  std::array<char, 24> Size{};
  int Length = std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  std::string Chunk;
  Chunk.reserve(Bytes.size() + size_t(Length) + 2);
  Chunk.append(Size.data(), size_t(Length)).append(Bytes).append("\r\n");
  Stream.write(Chunk);
}

void caller_connection::finish() {
  if (Ended)
    return;
  if (Chunked)
    Stream.write("0\r\n\r\n");
  endRequest();
}

void caller_connection::abortResponse() {
  if (Ended)
    return;
  Producer = nullptr;
  endConnection();
}

void caller_connection::endRequest() {
  Producer = nullptr;
  Busy = false;
  if (!KeepAlive) {
    Lingering = true;
    return linger();
  }
  Body.clear();
  Reader.next();
  becomeIdle();
  proceed();
}

bool caller_connection::stalled(double Now, double Seconds) {
  bool Progressed = Stream.sentBytes() != LastSentBytes || Stream.unsent() == 0;
  LastSentBytes = Stream.sentBytes();
  if (Progressed)
    LastProgressAt = Now;
  return !Progressed && Now > LastProgressAt + Seconds;
}

void caller_connection::onTimeout() {
  bool PartlyReceived = !Lingering && !Reader.fresh();
  if (PartlyReceived)
    return refuse(408, "the request was not received in time");
  endConnection();
}

void caller_connection::onEnd() {
  std::shared_ptr<response_producer> OldProducer = std::move(Producer);
  Producer = nullptr;
  endConnection();
  if (OldProducer)
    OldProducer->onCallerGone();
}

void caller_connection::close() { onEnd(); }

void caller_connection::endConnection() {
  if (Ended)
    return;
  Ended = true;
  Busy = false;
  Stream.close();
  Host.ended(*this);
}

caller_pool::caller_pool(struct ev_loop *Loop, caller_host &Host,
                         size_t MaxConnections)
    : Loop(Loop), Host(Host), MaxConnections(MaxConnections),
      Turn(Loop, [this] { continueWaiting(); }),
      Sweep(Loop, [this] { sweep(); }),
      Prepare(Loop, [this] { EndedConnections.clear(); }) {
  Sweep.startRepeating(SweepSeconds);
}

void caller_pool::take(int Socket) {
  if (Open.size() >= MaxConnections && !closeLongestIdle()) {
    ::close(Socket);
    return;
  }
  auto Connection =
      std::make_unique<caller_connection>(Loop, Host, *this, Socket);
  caller_connection *Raw = Connection.get();
  Open[Raw] = std::move(Connection);
}

void caller_pool::ended(caller_connection &Connection) {
  auto It = Open.find(&Connection);
  if (It == Open.end())
    return;
  EndedConnections.push_back(std::move(It->second));
  Open.erase(It);
  Waiting.erase(&Connection);
}

void caller_pool::continueSoon(caller_connection &Connection) {
  Waiting.insert(&Connection);
  if (!Turn.active())
    Turn.startOnce(0);
}

// One request of each connection, so that none holds up the event loop.
void caller_pool::continueWaiting() {
  for (caller_connection *Each : std::exchange(Waiting, {}))
    if (Open.contains(Each))
      Each->continueAhead();
}

bool caller_pool::closeLongestIdle() {
  caller_connection *Longest = nullptr;
  for (auto &[Raw, Connection] : Open)
    if (!Raw->busy() && (!Longest || Raw->idleSince() < Longest->idleSince()))
      Longest = Raw;
  if (Longest)
    Longest->close();
  return Longest != nullptr;
}

void caller_pool::closeIdle() {
  std::vector<caller_connection *> Idle;
  for (auto &[Raw, Connection] : Open)
    if (!Raw->busy())
      Idle.push_back(Raw);
  for (caller_connection *Each : Idle)
    Each->close();
}

void caller_pool::sweep() {
  double Now = steadySeconds();
  std::vector<caller_connection *> TimedOut;
  std::vector<caller_connection *> Stalled;
  for (auto &[Raw, Connection] : Open)
    if (Raw->stalled(Now, Host.limits().IdleSeconds))
      Stalled.push_back(Raw);
    else if (!Raw->busy() && Raw->timeoutAt() > 0 && Now >= Raw->timeoutAt())
      TimedOut.push_back(Raw);
  for (caller_connection *Each : Stalled)
    Each->close();
  for (caller_connection *Each : TimedOut)
    Each->onTimeout();
}

} // namespace olivevalve
