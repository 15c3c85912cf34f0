//===- upstream_connection.cpp - One connection to an upstream ------------===//

#include "gateway/upstream_connection.h"
#include "base/clock.h"
#include <algorithm>
#include <array>
#include <charconv>

namespace olivevalve {

namespace {

// Connecting takes a round trip and about a millisecond; a lost SYN packet is
// sent again after a second.
constexpr double ConnectTimeoutSeconds = 0.6;
// Idle timeout assumed for upstreams that announce none.
constexpr double DefaultIdleSeconds = 4;
// Idle connections are closed this long before the upstream would close them,
// as a request sent while it closes is lost.
constexpr double IdleMarginSeconds = 0.8;

// Interim responses that are read before the final one. An upstream sends one
// for each stage of its work at most.
constexpr unsigned MaxInterimResponses = 16;
// Bytes that are read of responses to other requests. A late one is as large as
// a response may be.
constexpr size_t MaxSkippedBytes = 16 << 20;

// In the order of broken_at.
constexpr std::array<std::string_view, 10> BreakTexts = {
    "no connection",
    "connection refused",
    "takes nothing new any more",
    "resting connection closed",
    "closed before the answer",
    "closed in the answer",
    "reset in the answer",
    "incomplete answer",
    "exited at the end of the answer",
    "not an answer"};

double idleSecondsOf(const http_head &Head) {
  auto Value = Head.find("Keep-Alive");
  constexpr std::string_view Field = "timeout=";
  size_t At = Value ? Value->find(Field) : std::string::npos;
  if (At == std::string::npos)
    return DefaultIdleSeconds;
  int Seconds = 0;
  const char *Begin = Value->data() + At + Field.size();
  std::from_chars(Begin, Value->data() + Value->size(), Seconds);
  return Seconds;
}

} // namespace

std::string_view textOf(broken_at Where) { return BreakTexts[size_t(Where)]; }

upstream_connection::upstream_connection(struct ev_loop *Loop,
                                         upstream_connections &Owner,
                                         std::shared_ptr<upstream> NewUpstream)
    : Loop(Loop), Owner(Owner), Upstream(std::move(NewUpstream)),
      Stream(Loop, Upstream->Listed.Address), Reader(http_side::Answer),
      ConnectTimer(Loop, [this] { onEnd(true); }) {
  ++Upstream->Connections;
  Stream.OnConnected = [this] { onConnected(); };
  Stream.OnBytes = [this](std::string_view Bytes) { receive(Bytes); };
  Stream.OnEnd = [this](bool Reset) { onEnd(Reset); };
  Reader.OnHead = [this] { onHead(); };
  Reader.OnBody = [this](std::string_view Bytes) {
    if (User && !Skipping && !Reader.head().IsInterim)
      User->onAnswerBytes(Body.take(Bytes), Bytes.size());
  };
  ConnectTimer.startOnce(ConnectTimeoutSeconds);
}

upstream_connection::~upstream_connection() { --Upstream->Connections; }

void upstream_connection::send(upstream_user &NewUser,
                               upstream_exchange NewExchange) {
  User = &NewUser;
  Exchange = std::move(NewExchange);
  AssignedAt = steadySeconds();
  Skipping = false;
  SkippedBytes = 0;
  InterimResponses = 0;
  Reused = IdleSince > 0;
  Body = response_body();
  Reader.next(Exchange.HeadOnly);
  Stream.write(std::exchange(Exchange.Head, {}),
               std::exchange(Exchange.Body, nullptr));
}

// The request is sent only now, so an upstream that stopped taking requests, or
// began to take only few, while the connection was set up is not sent this one.
void upstream_connection::onConnected() {
  ConnectTimer.stop();
  if (User && !Upstream->stillAccepts(AssignedAt, steadySeconds()))
    fail(broken_at::Declined);
}

void upstream_connection::onHead() {
  const http_head &Head = Reader.head();
  if (Head.IsInterim)
    return;
  Facts = platform::readAnswer(Head);
  Skipping = !Facts.AttemptId.empty() && Facts.AttemptId != Exchange.AttemptId;
  if (!User || Skipping)
    return;
  body_content Content = contentOf(Head);
  Body = response_body({.Content = Content});
  User->onAnswerHead(Head, Facts, Content);
}

body_content upstream_connection::contentOf(const http_head &Head) const {
  if (Head.isEventStream())
    return body_content::Events;
  bool Untyped =
      Exchange.MayStream && Head.Status < 300 && !Head.find("Content-Type");
  return Untyped ? body_content::Untyped : body_content::Opaque;
}

void upstream_connection::receive(std::string_view Bytes) {
  while (!Bytes.empty() && !Ended) {
    // Bytes without a request in flight belong to no response.
    if (!User)
      return shutDown();
    size_t Consumed = Reader.feed(Bytes);
    Bytes.remove_prefix(Consumed);
    if (Ended || !User)
      continue;
    if (Skipping)
      SkippedBytes += Consumed;
    if (SkippedBytes > MaxSkippedBytes)
      return fail(broken_at::Garbled);
    if (Body.isOversized())
      return fail(broken_at::Incomplete);
    if (Reader.failed())
      return fail(Reader.headDone() && !Skipping ? broken_at::Answering
                                                 : broken_at::Garbled);
    if (!Reader.done())
      return;
    bool Interim = Reader.head().IsInterim;
    if (!Skipping && !Interim)
      return finish(transfer_end::Framed, !Bytes.empty());
    if (Interim && ++InterimResponses > MaxInterimResponses)
      return fail(broken_at::Garbled);
    Skipping = false;
    Reader.next(Exchange.HeadOnly);
  }
}

void upstream_connection::finish(transfer_end End, bool Surplus) {
  completeness Completeness = Body.atEnd(End);
  if (Completeness == completeness::Incomplete)
    return fail(broken_at::Incomplete);
  // The process of an upstream that leaves exits after its last response.
  if (Completeness != completeness::Unconfirmed || Upstream->leaving())
    return complete(Completeness, Surplus);
  Probe.emplace(Loop,
                listener_probe_options{.Address = Upstream->Listed.Address,
                                       .OpenSeconds = ExitSeconds},
                [this, Completeness, Surplus](probe_result Result) {
                  if (Ended)
                    return;
                  if (Result == probe_result::Refused)
                    return fail(broken_at::Exited);
                  complete(Completeness, Surplus);
                });
}

void upstream_connection::complete(completeness Completeness, bool Surplus) {
  if (!Body.heldBack().empty())
    User->onAnswerBytes(Body.heldBack(), 0);
  if (!User)
    return;
  Owner.responseEnded(*this, nameOf(Completeness));
  const http_head &Head = Reader.head();
  upstream_user *Old = std::exchange(User, nullptr);
  bool Reusable = Head.KeepAlive && !Surplus && Stream.open() &&
                  !Upstream->Gone && idleSecondsOf(Head) > IdleMarginSeconds;
  if (Head.isConnectionOption("close") && !Facts.NotRun)
    Reusable = false;
  if (Reusable) {
    IdleSince = steadySeconds();
    IdleUntil = IdleSince + idleSecondsOf(Head) - IdleMarginSeconds;
    Owner.released(*this);
  } else {
    shutDown();
  }
  Old->onAnswerEnd();
}

void upstream_connection::onEnd(bool Reset) {
  if (Ended)
    return;
  if (!User)
    return shutDown();
  if (!Stream.connected())
    return fail(Stream.refused() ? broken_at::Refused : broken_at::Connecting);
  // A response without a length ends with its connection, but not with a reset.
  if (!Reset && Reader.headDone() && !Skipping && Reader.endOfInput())
    return finish(transfer_end::Closed, true);
  if (Reader.headDone() && !Skipping)
    return fail(Reset ? broken_at::Reset : broken_at::Answering);
  fail(Reused && Reader.fresh() ? broken_at::Reused : broken_at::Waiting);
}

void upstream_connection::fail(broken_at Where) {
  upstream_user *Old = std::exchange(User, nullptr);
  if (Reader.headDone() && !Skipping)
    Owner.responseEnded(*this, textOf(Where));
  shutDown();
  Old->onBroken(Where);
}

void upstream_connection::drop() {
  User = nullptr;
  shutDown();
}

void upstream_connection::shutDown() {
  if (Ended)
    return;
  Ended = true;
  ConnectTimer.stop();
  Stream.close();
  Owner.ended(*this);
}

} // namespace olivevalve
