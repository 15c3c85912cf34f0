//===- caller_connection.cpp - One connection of a caller -----------------===//

#include "net/caller_connection.h"
#include "base/clock.h"
#include "base/error.h"
#include <array>
#include <cstdio>
#include <unistd.h>

namespace olivevalve {

namespace {

// Of the next request, while one is being answered: callers here do not
// pipeline, a short request may come early all the same.
constexpr size_t MostAhead = 64 << 10;
// A refusal must reach a caller that is still sending its body: closing at once
// would reset the connection and take the answer along.
constexpr double LingerSeconds = 0.5;
// How exactly times of callers are kept.
constexpr double SweepSeconds = 0.25;

std::string_view reasonOf(int Status) {
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
                                     int Socket)
    : Host(Host), Stream(Loop, Socket), Reader(http_side::Request) {
  Stream.OnBytes = [this](std::string_view Bytes) { receive(Bytes); };
  Stream.OnEnd = [this](bool) { onEnd(); };
  Stream.OnDrained = [this] {
    if (User)
      User->onCallerDrained();
  };
  Reader.OnHead = [this] { onHead(); };
  Reader.OnBody = [this](std::string_view Bytes) {
    if (!Lingering)
      Body.append(Bytes);
  };
  rest();
}

// Between requests: the next one may take its time to begin.
void caller_connection::rest() {
  RestingSince = steadySeconds();
  GiveUpAt = RestingSince + Host.limits().IdleSeconds;
}

void caller_connection::receive(std::string_view Bytes) {
  if (Lingering)
    return;
  if (!Busy)
    return parse(Bytes);
  Ahead.append(Bytes);
  if (Ahead.size() > MostAhead)
    Stream.setReading(false);
}

void caller_connection::parse(std::string_view Bytes) {
  if (Reader.fresh())
    GiveUpAt = steadySeconds() + Host.limits().HeaderSeconds;
  size_t Taken = Reader.feed(Bytes);
  if (Lingering || Ended)
    return;
  const caller_limits &Limits = Host.limits();
  if (Reader.failed())
    return refuse(400, Reader.error());
  if (!Reader.headDone() && Reader.headBytes() > Limits.HeaderBytes)
    return refuse(431, "the head is larger than allowed");
  if (Body.size() > Limits.BodyBytes)
    return refuse(413, "the body is larger than allowed");
  // A body has as long as a connection may rest, counted from its last bytes.
  if (Reader.headDone())
    GiveUpAt = steadySeconds() + Limits.IdleSeconds;
  if (!Reader.done())
    return;
  Ahead.assign(Bytes.substr(Taken));
  dispatch();
}

void caller_connection::onHead() {
  const http_head &Head = Reader.head();
  if (Reader.headBytes() > Host.limits().HeaderBytes)
    return refuse(431, "the head is larger than allowed");
  if (Head.Length && *Head.Length > Host.limits().BodyBytes)
    return refuse(413, "the body is larger than allowed");
  const std::string *Expect = Head.find("Expect");
  if (Expect && sameHeader(*Expect, "100-continue"))
    Stream.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::dispatch() {
  Busy = true;
  GiveUpAt = 0;
  const http_head &Head = Reader.head();
  KeepAlive = Head.KeepAlive;
  HeadOnly = Head.Method == "HEAD";
  Host.onRequest(*this, Head, std::move(Body));
}

void caller_connection::refuse(int Status, std::string_view Why) {
  Host.onMalformed(Status, Why);
  KeepAlive = false;
  error_kind Kind =
      Status == 413 ? error_kind::BodyTooLarge : error_kind::BadRequest;
  std::string Text = errorBody(Kind, Why);
  Stream.write(headOf(Status, reasonOf(Status),
                      {{"Content-Type", "application/json"},
                       {"X-Olivevalve-Outcome", "not-run"},
                       {"Content-Length", std::to_string(Text.size())}}) +
               Text);
  Lingering = true;
  Busy = false;
  GiveUpAt = steadySeconds() + LingerSeconds;
}

std::string
caller_connection::headOf(int Status, std::string_view Reason,
                          const std::vector<head_line> &Lines) const {
  std::string Out;
  Out.reserve(512);
  Out.append("HTTP/1.1 ").append(std::to_string(Status)).append(" ");
  Out.append(Reason).append("\r\n");
  for (const head_line &Line : Lines)
    Out.append(Line.Name).append(": ").append(Line.Value).append("\r\n");
  if (!KeepAlive)
    Out.append("Connection: close\r\n");
  else if (Reader.head().IsHttp10)
    Out.append("Connection: keep-alive\r\n");
  Out.append("\r\n");
  return Out;
}

void caller_connection::writeWhole(int Status, std::string_view Reason,
                                   const std::vector<head_line> &Lines,
                                   std::string_view AnswerBody) {
  if (Ended)
    return;
  Chunked = EndsByClose = false;
  KeepAlive = KeepAlive && !Host.closesAfterAnswer();
  std::vector<head_line> All = Lines;
  if (!hasNoBody(Status))
    All.push_back({"Content-Length", std::to_string(AnswerBody.size())});
  std::string Bytes = headOf(Status, Reason, All);
  if (!HeadOnly && !hasNoBody(Status))
    Bytes.append(AnswerBody);
  Stream.write(Bytes);
}

void caller_connection::begin(int Status, std::string_view Reason,
                              const std::vector<head_line> &Lines) {
  if (Ended)
    return;
  KeepAlive = KeepAlive && !Host.closesAfterAnswer();
  // Callers of the older protocol know the end by the connection's.
  Chunked = !Reader.head().IsHttp10;
  EndsByClose = !Chunked;
  KeepAlive = KeepAlive && Chunked;
  std::vector<head_line> All = Lines;
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
  done();
}

void caller_connection::breakOff() {
  if (Ended)
    return;
  User = nullptr;
  end();
}

void caller_connection::done() {
  User = nullptr;
  Busy = false;
  if (!KeepAlive) {
    Lingering = true;
    // The end of the connection is the end of an answer without framing.
    GiveUpAt = steadySeconds() + (EndsByClose ? 0 : LingerSeconds);
    return;
  }
  Body.clear();
  Reader.next();
  rest();
  Stream.setReading(true);
  if (Ahead.empty())
    return;
  std::string Next = std::move(Ahead);
  Ahead.clear();
  parse(Next);
}

bool caller_connection::stalled(double Now, double Seconds) {
  bool Moved = Stream.sentBytes() != SeenBytes || Stream.unsent() == 0;
  SeenBytes = Stream.sentBytes();
  if (Moved)
    MovedAt = Now;
  return !Moved && Now > MovedAt + Seconds;
}

void caller_connection::onTimeOver() {
  bool HalfSent = !Lingering && !Reader.fresh();
  if (HalfSent)
    return refuse(408, "the request took too long to arrive");
  if (Lingering && Stream.unsent() > 0) {
    // The answer is still on its way; the stream gives up on a dead path.
    GiveUpAt = steadySeconds() + LingerSeconds;
    return;
  }
  end();
}

void caller_connection::onEnd() {
  std::shared_ptr<caller_user> Old = std::move(User);
  User = nullptr;
  end();
  if (Old)
    Old->onCallerGone();
}

void caller_connection::close() { onEnd(); }

void caller_connection::end() {
  if (Ended)
    return;
  Ended = true;
  Busy = false;
  Stream.close();
  Host.ended(*this);
}

caller_pool::caller_pool(struct ev_loop *Loop, caller_host &Host, size_t Most)
    : Loop(Loop), Host(Host), Most(Most), Sweep(Loop, [this] { sweep(); }),
      Prepare(Loop, [this] { Over.clear(); }) {
  Sweep.startRepeating(SweepSeconds);
}

void caller_pool::take(int Socket) {
  if (Open.size() >= Most && !closeLongestResting()) {
    ::close(Socket);
    return;
  }
  auto Connection = std::make_unique<caller_connection>(Loop, Host, Socket);
  caller_connection *Raw = Connection.get();
  Open[Raw] = std::move(Connection);
}

void caller_pool::ended(caller_connection &Connection) {
  auto It = Open.find(&Connection);
  if (It == Open.end())
    return;
  Over.push_back(std::move(It->second));
  Open.erase(It);
}

bool caller_pool::closeLongestResting() {
  caller_connection *Longest = nullptr;
  for (auto &[Raw, Connection] : Open)
    if (!Raw->busy() &&
        (!Longest || Raw->restingSince() < Longest->restingSince()))
      Longest = Raw;
  if (Longest)
    Longest->close();
  return Longest != nullptr;
}

void caller_pool::closeResting() {
  std::vector<caller_connection *> Resting;
  for (auto &[Raw, Connection] : Open)
    if (!Raw->busy())
      Resting.push_back(Raw);
  for (caller_connection *Each : Resting)
    Each->close();
}

void caller_pool::sweep() {
  double Now = steadySeconds();
  std::vector<caller_connection *> Late;
  std::vector<caller_connection *> Stalled;
  for (auto &[Raw, Connection] : Open)
    if (Raw->stalled(Now, Host.limits().IdleSeconds))
      Stalled.push_back(Raw);
    else if (!Raw->busy() && Raw->giveUpAt() > 0 && Now >= Raw->giveUpAt())
      Late.push_back(Raw);
  for (caller_connection *Each : Stalled)
    Each->close();
  for (caller_connection *Each : Late)
    Each->onTimeOver();
}

} // namespace olivevalve
