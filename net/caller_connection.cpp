//===- caller_connection.cpp - HTTP/1.1 server connections ----------------===//

#include "net/caller_connection.h"
#include "base/clock.h"
#include "base/log.h"
#include <array>
#include <cstdio>
#include <limits>
#include <sys/resource.h>
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
// A caller that sends or reads nothing for this long is stalled.
constexpr double StallSeconds = 1;
constexpr double ShedLogSeconds = 5;
constexpr std::string_view HeadTooLarge =
    "the request head exceeds the size limit";
constexpr std::string_view BodyTooLarge =
    "the request body exceeds the size limit";
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
  case 503:
    return "Service Unavailable";
  default:
    return "Request Header Fields Too Large";
  }
}

// Of the descriptors that the process may have, those for callers.
size_t callerDescriptors() {
  constexpr size_t Parts = 8;
  constexpr size_t CallerParts = 5; // The others are for upstreams.
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return std::numeric_limits<size_t>::max();
  return std::max<size_t>(1, Limit.rlim_cur / Parts * CallerParts);
}

// An assignment would keep the capacity.
void release(std::string &Text) { std::string().swap(Text); }

bool hasNoBody(int Status) { return Status == 204 || Status == 304; }

} // namespace

caller_connection::caller_connection(struct ev_loop *Loop, caller_host &Host,
                                     caller_pool &Pool, int Socket)
    : Host(Host), Pool(Pool), Stream(Loop, Socket), Reader(http_side::Request) {
  Stream.OnBytes = [this](std::string_view Bytes) { receive(Bytes); };
  Stream.OnEnd = [this](bool) { onEnd(); };
  Stream.OnDrained = [this] { onDrained(); };
  Reader.OnHead = [this] { onHead(); };
  Reader.OnBody = [this](std::string_view Bytes) { appendBody(Bytes); };
  becomeIdle();
}

// Waits for the next request, which must start within the idle timeout.
void caller_connection::becomeIdle() {
  IdleSince = steadySeconds();
  TimeoutAt = IdleSince + Host.limits().IdleSeconds;
}

void caller_connection::setProducer(
    std::shared_ptr<response_producer> NewProducer) {
  Producer = std::move(NewProducer);
  RequestBytes += Producer->heldBytes();
  recordHeldBytes();
}

// A body grows by doubling, but not beyond what it may become.
void caller_connection::appendBody(std::string_view Bytes) {
  if (Lingering)
    return;
  size_t Needed = Body.size() + Bytes.size();
  if (Needed > Body.capacity()) {
    size_t Most = Reader.head().Length.value_or(Host.limits().BodyBytes);
    Body.reserve(std::max(Needed, std::min(2 * Needed, Most)));
  }
  Body.append(Bytes);
}

// Bytes that arrive at a connection that is not read stay in the kernel's
// buffer, which counts as memory of this process as well.
void caller_connection::setReading(bool On) {
  Reading = On;
  Stream.setReading(On);
}

void caller_connection::recordHeldBytes() {
  size_t Now = 0;
  if (!Ended)
    Now = RequestBytes + Reader.head().heldBytes() + Body.capacity() +
          Ahead.capacity() + Stream.heldBytes() +
          (Reading ? 0 : tcp_listener::KernelBufferBytes);
  if (Now != HeldBytes)
    Pool.memory().update(std::exchange(HeldBytes, Now), Now);
}

shed_order caller_connection::shedOrder(double Now) const {
  if (Stream.unsent() > 0)
    return Now > LastProgressAt + StallSeconds ? shed_order::StalledResponse
                                               : shed_order::Response;
  if (Busy)
    return Ahead.empty() ? shed_order::Never : shed_order::AtWorkWithMore;
  if (Reader.fresh() || Lingering)
    return shed_order::Never;
  if (Now > LastReceivedAt + StallSeconds)
    return shed_order::StalledRequest;
  return caller_memory::isLarge(HeldBytes) ? shed_order::LargeRequest
                                           : shed_order::Request;
}

void caller_connection::shed() {
  if (busy())
    return close();
  sendRefusal(503, error_kind::EntryFull,
              "callers make this entry hold too much memory");
  release(Ahead);
  AheadParsed = 0;
  Reader.next();
  setReading(true);
  recordHeldBytes();
}

void caller_connection::receive(std::string_view Bytes) {
  if (Lingering)
    return;
  LastReceivedAt = steadySeconds();
  if (!busy() && Ahead.empty())
    Bytes.remove_prefix(parse(Bytes));
  if (Lingering || Ended)
    return;
  Ahead.erase(0, std::exchange(AheadParsed, 0));
  Ahead.append(Bytes);
  if (Ahead.size() > MaxAheadBytes)
    setReading(false);
  recordHeldBytes();
  Pool.shedExcess();
  proceed();
}

// Goes on with the next request if the response to the last one has been sent.
void caller_connection::proceed() {
  if (Lingering || Ended || busy())
    return;
  if (!Ahead.empty())
    return Pool.continueSoon(*this);
  setReading(true);
  recordHeldBytes();
}

void caller_connection::continueAhead() {
  if (Lingering || Ended || busy())
    return;
  size_t Parsed = parse(std::string_view(Ahead).substr(AheadParsed));
  if (Lingering || Ended)
    return;
  AheadParsed += Parsed;
  if (AheadParsed == Ahead.size()) {
    release(Ahead);
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
  recordHeldBytes();
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
    return refuse(400, error_kind::BadRequest, Reader.error());
  if (!Reader.headDone() && Reader.headBytes() > Limits.HeaderBytes)
    return refuse(431, error_kind::BadRequest, HeadTooLarge);
  if (Body.size() > Limits.BodyBytes)
    return refuse(413, error_kind::BodyTooLarge, BodyTooLarge);
  recordHeldBytes();
  Pool.shedExcess();
  if (Lingering || Ended)
    return;
  // While a body is received, the idle timeout runs from its latest bytes.
  if (Reader.headDone())
    TimeoutAt = steadySeconds() + Limits.IdleSeconds;
  if (Reader.done())
    dispatch();
}

void caller_connection::onHead() {
  const http_head &Head = Reader.head();
  IsHttp10 = Head.IsHttp10;
  if (Reader.headBytes() > Host.limits().HeaderBytes)
    return refuse(431, error_kind::BadRequest, HeadTooLarge);
  if (Head.Length && *Head.Length > Host.limits().BodyBytes)
    return refuse(413, error_kind::BodyTooLarge, BodyTooLarge);
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
  RequestBytes = Head.heldBytes() + Body.capacity();
  Host.onRequest(*this, Reader.takeHead(), std::exchange(Body, {}));
}

void caller_connection::refuse(int Status, error_kind Kind,
                               std::string_view Message) {
  Host.onMalformed(Status, Message);
  sendRefusal(Status, Kind, Message);
}

void caller_connection::sendRefusal(int Status, error_kind Kind,
                                    std::string_view Message) {
  KeepAlive = false;
  std::string Text = errorBody(Kind, Message);
  std::vector<header_field> Lines = {
      {"Content-Type", "application/json"},
      {"X-Olivevalve-Outcome", "not-run"},
      {"Content-Length", std::to_string(Text.size())}};
  if (int Seconds = responseFor(Kind).RetryAfterSeconds)
    Lines.push_back({"Retry-After", std::to_string(Seconds)});
  Stream.write(headOf(Status, reasonPhrase(Status), Lines) + Text);
  Lingering = true;
  Busy = false;
  release(Body);
  recordHeldBytes();
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
  else if (IsHttp10)
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
    Stream.write(ResponseHead);
  else
    Stream.write(std::move(ResponseHead),
                 std::make_shared<const std::string>(std::move(ResponseBody)));
  recordHeldBytes();
}

void caller_connection::begin(int Status, std::string_view Reason,
                              const std::vector<header_field> &Lines) {
  if (Ended)
    return;
  KeepAlive = KeepAlive && !Host.closesAfterAnswer();
  // HTTP/1.0 has no chunked coding: there the end of the connection marks the
  // end of the body, and only a reset shows that the body is incomplete.
  Chunked = !IsHttp10;
  EndsByClose = !Chunked;
  if (EndsByClose)
    Stream.setResetOnClose(true);
  KeepAlive = KeepAlive && Chunked;
  std::vector<header_field> All = Lines;
  if (Chunked)
    All.push_back({"Transfer-Encoding", "chunked"});
  Stream.write(headOf(Status, Reason, All));
  recordHeldBytes();
}

void caller_connection::write(std::string_view Bytes) {
  if (Ended || Bytes.empty())
    return;
  if (!Chunked) {
    Stream.write(Bytes);
    return recordHeldBytes();
  }
  std::array<char, 24> Size{};
  int Length = std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  std::string Chunk;
  Chunk.reserve(Bytes.size() + size_t(Length) + 2);
  Chunk.append(Size.data(), size_t(Length)).append(Bytes).append("\r\n");
  Stream.write(Chunk);
  recordHeldBytes();
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
  RequestBytes = 0;
  recordHeldBytes();
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
    return refuse(408, error_kind::BadRequest,
                  "the request was not received in time");
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
  recordHeldBytes();
  Host.ended(*this);
}

caller_pool::caller_pool(struct ev_loop *Loop, caller_host &Host,
                         caller_pool_limits Limits)
    : Loop(Loop), Host(Host),
      MaxConnections(std::min(Limits.MaxConnections, callerDescriptors())),
      Memory(Limits.MaxHeldBytes), Turn(Loop, [this] { continueWaiting(); }),
      Sweep(Loop, [this] { sweep(); }), Prepare(Loop, [this] {
        shedExcess();
        EndedConnections.clear();
      }) {
  Sweep.startRepeating(SweepSeconds);
}

void caller_pool::take(int Socket) {
  if (Open.size() >= MaxConnections && !makeRoom()) {
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

caller_connection *caller_pool::firstToShed() {
  double Now = steadySeconds();
  bool LargeOnly = Memory.isFullOfLarge();
  caller_connection *First = nullptr;
  shed_order FirstOrder = shed_order::Never;
  for (auto &[Raw, Connection] : Open) {
    if (LargeOnly && !caller_memory::isLarge(Raw->heldBytes()))
      continue;
    shed_order Order = Raw->shedOrder(Now);
    bool IsSooner =
        Order < FirstOrder ||
        (First && Order == FirstOrder && Raw->heldBytes() > First->heldBytes());
    if (!IsSooner)
      continue;
    First = Raw;
    FirstOrder = Order;
  }
  return First;
}

void caller_pool::shedExcess() {
  while (Memory.isFull()) {
    caller_connection *First = firstToShed();
    if (!First)
      return;
    ++(First->busy() ? Shed.Closed : Shed.Refused);
    First->shed();
  }
}

// At most one line in ShedLogSeconds, however many connections were given up.
void caller_pool::logShed() {
  uint64_t Refused = Shed.Refused - LoggedShed.Refused;
  uint64_t Closed = Shed.Closed - LoggedShed.Closed;
  double Now = steadySeconds();
  if (Refused + Closed == 0 || Now < LoggedShedAt + ShedLogSeconds)
    return;
  LoggedShed = Shed;
  LoggedShedAt = Now;
  logLine(log_level::Warning, "callers made this process hold too much memory",
          {{"held_bytes", int64_t(Memory.heldBytes())},
           {"max_bytes", int64_t(Memory.maxBytes())},
           {"refused", int64_t(Refused)},
           {"closed", int64_t(Closed)}});
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

bool caller_pool::makeRoom() { return closeLongestIdle() || closeStalled(); }

bool caller_pool::closeStalled() {
  double Now = steadySeconds();
  for (auto &[Raw, Connection] : Open)
    if (Raw->shedOrder(Now) == shed_order::StalledResponse) {
      Raw->close();
      return true;
    }
  return false;
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
  logShed();
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
