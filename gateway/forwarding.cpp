//===- forwarding.cpp - Forwards one request to an upstream ---------------===//

#include "gateway/forwarding.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include "policy/model_choice.h"
#include <algorithm>

namespace olivevalve {

namespace {

// For callers that name no deadline: the timeout of their route applies.
constexpr double NoDeadlineSeconds = 1e9;
// No attempt is made with less time left, as its response would be too late.
constexpr double MinSecondsLeft = 0.02;
// A silent upstream is presumed dead after this many target times, or gaps
// between events once the response has begun, if the request may run elsewhere.
// The minimum keeps a full upstream, which is slow, from being taken for dead.
constexpr double SilenceTargetFactor = 2;
constexpr double SilenceGapFactor = 1.5;
constexpr double MinSilenceSeconds = 0.5;
// Timers of the loop may fire slightly early.
constexpr double TimerSlackSeconds = 1e-3;
constexpr std::string_view NoRouting = "no routing configuration received yet";
// Fraction of the caller's deadline for which it may be parked; the rest is
// enough to be served by another gateway.
constexpr double MaxParkedFraction = 0.33;
// Longest wait for a retry token that control lends, as a fraction of the
// route's target; at least long enough for control to answer.
constexpr double RetryWaitFraction = 0.1;
constexpr double MinRetryWaitSeconds = 0.05;
// Fraction of the request's time after which the caller gets the response of
// the smaller model; the time left is enough to get the rest of it from another
// upstream.
constexpr double FallbackFraction = 0.75;
// Retry-After for requests under which upstreams crash: an early retry is of no
// use.
constexpr double QuarantineRetryAfterSeconds = 300;

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

forwarding::forwarding(gateway_state &State, forwarding_host &Host,
                       caller_connection &NewCaller, http_head NewHead,
                       std::string NewBody, completion_handler OnFinished)
    : State(State), Host(Host), Caller(&NewCaller), Head(std::move(NewHead)),
      Body(std::make_shared<const std::string>(std::move(NewBody))),
      OnFinished(std::move(OnFinished)), Facts(platform::readCaller(Head)),
      ArrivedAt(steadySeconds()), EndsAt(ArrivedAt),
      Timer(State.Loop, [this] { onTimer(); }) {}

forwarding::~forwarding() {
  leaveUpstream();
  recordHeldBytes(0);
}

// The head is sent with each attempt, and the prompt's blocks are kept as the
// caller stated them and by their keys.
size_t forwarding::heldBytes() const {
  size_t Bytes = sizeof(*this) + Head.heldBytes() + Facts.AttemptId.capacity() +
                 Facts.Credential.capacity() + Facts.Session.capacity() +
                 Facts.LastEventId.capacity();
  if (Facts.Model)
    Bytes += Facts.Model->Model.capacity() +
             Facts.Model->PrefixBlocks.capacity() *
                 (sizeof(platform::prefix_block) + sizeof(prompt_block));
  return Bytes;
}

void forwarding::park(double Seconds, std::string_view Why) {
  ParkedReason = Why;
  double Deadline = Facts.DeadlineSeconds.value_or(NoDeadlineSeconds);
  double MaxSeconds = Attempts > 0 ? secondsLeft(steadySeconds())
                                   : Deadline * MaxParkedFraction;
  Timer.startOnce(std::max(0.0, std::min(Seconds, MaxSeconds)));
}

void forwarding::resume() {
  ParkedReason = {};
  return Route ? attempt() : start();
}

void forwarding::resumedAfterPause() {
  if (ParkedReason.empty() && Upstream)
    armTimer();
}

void forwarding::start() {
  if (Host.parkUntilReady(*this))
    return;
  Routing = State.Routing;
  if (!Routing)
    return giveUp(error_kind::NoLease, NoRouting);
  RoutingVersion = Routing->version();
  auto Host = Head.find("Host");
  if (Host)
    Route = Routing->route(*Host, pathOf(Head.Target));
  if (!Route)
    return giveUp(error_kind::NotFound, "no route for this host and path");
  if (!authorise())
    return giveUp(error_kind::Unauthorized,
                  "the API key is missing or unknown");
  double Deadline = Facts.DeadlineSeconds.value_or(NoDeadlineSeconds);
  EndsAt = ArrivedAt + std::min(Deadline, Route->TimeoutSeconds);
  Service = pickService();
  Causes = findCauses();
  State.Reports->received(Causes);
  retry_share &Retries =
      State.Retries.try_emplace(Service, State.RetryBounds, State.Gateways)
          .first->second;
  Retries.recordRequest(ArrivedAt);
  if (Retries.needsLoan() && State.AskForRetries)
    State.AskForRetries();
  if (Facts.Model)
    State.ServicePaces[Service].recordRequest(Route->TargetSeconds);
  if (choosesModel())
    ModelIndex = firstModel(Route->Sizes.size());
  attempt();
}

// The last block of a prompt belongs to this request or its session only. What
// the caller states of the tokens does not matter here.
request_causes forwarding::findCauses() const {
  auto Host = Head.find("Host");
  request_causes Found{
      .Request =
          identityOf({.Account = Account ? std::string_view(Account->Name) : "",
                      .Method = Head.Method,
                      .Host = Host ? std::string_view(*Host) : "",
                      .Target = Head.Target,
                      .Body = *Body})};
  if (!Facts.Model)
    return Found;
  Found.Service = checksum(Service);
  const auto &Blocks = Facts.Model->PrefixBlocks;
  for (size_t I = 0; I + 1 < Blocks.size() && I < MaxBlocksOfRequest; ++I)
    Found.Blocks.push_back(blockIdentity(Service, hexOf(Blocks[I].Id)));
  return Found;
}

bool forwarding::authorise() {
  if (!Routing->needsKeys())
    return true;
  if (!Facts.Credential.empty())
    Account = Routing->accountOfKey(Facts.Credential);
  return Account || Route->Public;
}

// Picks a service by weight: at random for each request, but always the same
// one for a session.
const std::string &forwarding::pickService() {
  const std::vector<service_share> &Shares = Route->Services;
  uint64_t Sum = 0;
  for (const service_share &Share : Shares)
    Sum += Share.Weight;
  uint64_t Draw =
      (Facts.Session.empty() ? State.Random() : checksum(Facts.Session)) % Sum;
  for (const service_share &Share : Shares) {
    if (Draw < Share.Weight)
      return Share.Service;
    Draw -= Share.Weight;
  }
  return Shares.back().Service;
}

selection_request forwarding::selectionAt(double Now) const {
  return {.Service = Service,
          .Route = *Route,
          .Facts = Facts,
          .Tried = Tried,
          .ModelIndex = modelIndex(),
          .Now = Now,
          .TargetSecondsLeft =
              std::max(0.0, ArrivedAt + Route->TargetSeconds - Now)};
}

uint32_t forwarding::priority() const {
  return Account && Account->Priority ? *Account->Priority : Route->Priority;
}

void forwarding::attempt() {
  double Now = steadySeconds();
  if (secondsLeft(Now) < MinSecondsLeft)
    return onTimer();
  if (Host.parkUntilReady(*this))
    return;
  send_permission Permission =
      OnTrial ? send_permission::Trial : State.Reports->permissionFor(Causes);
  if (Permission == send_permission::Refused) {
    RetryAfterSeconds = QuarantineRetryAfterSeconds;
    return conclude("upstreams end under this request",
                    error_kind::Quarantined);
  }
  selection_request Request = selectionAt(Now);
  if (!withinShare(Request))
    return giveUp(error_kind::QueueFull,
                  "service short of room: the client account has its share");
  selection Selected = select(State, *Routing, Request);
  if (!Selected.Upstream)
    return concludeNotSent(Selected);
  if (!admit(Selected))
    return giveUp(error_kind::QueueFull,
                  "service overloaded: no slot would be free in time");
  Upstream = std::move(Selected.Upstream);
  // A request that may have crashed an upstream uses a new connection, which an
  // upstream that has crashed already refuses. Sent on an idle one, the request
  // would be blamed for that crash too.
  bool Suspect = Interrupted || State.Reports->suspects(Causes.Request);
  Connection = Host.acquire(Upstream, Suspect ? connection_kind::New
                                              : connection_kind::Any);
  Tried.insert(Upstream->Listed.Id);
  if (!Connection) {
    Upstream = nullptr;
    return retryOrConclude(false, "too many connections");
  }
  if (Permission == send_permission::Trial && !std::exchange(OnTrial, true))
    State.Reports->beginTrial(Causes);
  ++Attempts;
  if (SendCount++ > 0)
    logRetry();
  ++Upstream->InFlight;
  if (choosesModel())
    Model = Route->Sizes[ModelIndex];
  recordForPacing(permitFor(State, *Routing, *Upstream, Now), Now);
  LastUpstream = Upstream;
  if (Facts.Model)
    recordPrompt(Request, Selected);
  State.Peers->reportChange(*Upstream);
  touchSession();
  send(Now);
}

// Counts and logs requests to upstreams that take few, and spaces out the next
// ones.
void forwarding::recordForPacing(const send_permit &Permit, double Now) {
  Upstream->Pacer.recordRequest(Now);
  if (Upstream->cold(Now))
    State.Metrics->count("sent_to_cold_upstreams", Service);
  auto Limit = Upstream->Limit.requestsPerSecond();
  if (!Limit)
    return;
  State.Metrics->count("sent_to_limited_upstreams", Service);
  logLine(log_level::Info, "request sent to an upstream that states a limit",
          {{"id", Facts.AttemptId},
           {"upstream", Upstream->Listed.Id},
           {"limit_per_s", *Limit},
           {"stated_s_ago", Now - Upstream->Limit.statedAt()},
           {"own_gap_s", Permit.GapSeconds},
           {"arrival", int64_t(SendCount)},
           {"model", Model},
           {"gateways", int64_t(State.Gateways)}});
}

// No upstream may take the request now.
void forwarding::concludeNotSent(const selection &Selected) {
  if (Selected.Held.Seconds > 0 && Attempts == 0) {
    RetryAfterSeconds = retryAfterReopening(Selected.Held);
    return conclude("all upstreams have a limit and take no more requests");
  }
  if (!LastFailure.empty())
    return conclude(LastFailure);
  if (!State.Upstreams.allEvacuated(Service))
    return conclude("no upstream");
  RetryAfterSeconds = retryAfterSeconds(callerSecondsLeft(), State.Random);
  conclude("all data halls of this service are evacuated");
}

// Callers are told to return one after another, as fast as this gateway may
// send requests then.
double forwarding::retryAfterReopening(const reopening &Reopening) {
  return State.Returns[Service].secondsUntilTurn(
      {.SoonestSeconds = Reopening.Seconds,
       .TurnsPerSecond = Reopening.RequestsPerSecond,
       .LeftSeconds = callerSecondsLeft()},
      steadySeconds(), State.Random);
}

// Seconds left of the caller's deadline, which may be later than the route's.
double forwarding::callerSecondsLeft() const {
  return Facts.DeadlineSeconds.value_or(Route->TimeoutSeconds) -
         (steadySeconds() - ArrivedAt);
}

// Takes a token of the retry bound that all gateways share, for one more send.
// A send that was declined counts like any other: each gateway detects crashed
// upstreams on its own, so many are declined at once after a crash.
bool forwarding::takeRetryToken(std::string_view Why) {
  if (SendCount == 0 || RetryTokenHeld)
    return true;
  retry_share &Retries = State.Retries.at(Service);
  RetryReason = Why;
  RetryTokenHeld = Retries.take(steadySeconds());
  // Control counts a lent token until it is told that the token was used.
  bool Asks = !RetryTokenHeld || Retries.needsLoan();
  if (Asks && State.AskForRetries)
    State.AskForRetries();
  return RetryTokenHeld;
}

// A gateway with few requests may have to be lent the token for a retry.
void forwarding::waitForRetryToken() {
  AwaitsRetryToken = true;
  State.Retries.at(Service).recordWait();
  Host.parkUntilRetryToken(
      *this,
      std::max(MinRetryWaitSeconds, RetryWaitFraction * Route->TargetSeconds));
}

void forwarding::endRetryWait() {
  ParkedReason = {};
  if (std::exchange(AwaitsRetryToken, false))
    State.Retries.at(Service).recordWaitEnd();
}

bool forwarding::retryWithToken() {
  if (!AwaitsRetryToken)
    return true;
  if (!takeRetryToken(LastFailure))
    return false;
  auto Keep = shared_from_this();
  endRetryWait();
  Timer.stop();
  attempt();
  return true;
}

void forwarding::recordRefusedRetry(std::string_view Why) {
  const retry_share &Retries = State.Retries.at(Service);
  State.Metrics->count("repeats_refused", Why);
  logLine(log_level::Info, "retry refused by the shared retry bound",
          {{"id", Facts.AttemptId},
           {"service", Service},
           {"why", Why},
           {"gateways", int64_t(State.Gateways)},
           {"window_requests", int64_t(Retries.requests())},
           {"tokens", Retries.tokens()},
           {"up_s", steadySeconds() - State.StartedAt}});
}

// Tokens for the retries of this request are not needed any more.
void forwarding::settle() {
  if (!Service.empty() && !std::exchange(Settled, true))
    State.Retries.at(Service).recordSettled();
}

// Logs each send after the first, with this gateway's view of the shared retry
// bound.
void forwarding::logRetry() {
  double Now = steadySeconds();
  const retry_share &Retries = State.Retries.at(Service);
  State.Metrics->count("repeats", RetryReason);
  logLine(log_level::Info, "request retried",
          {{"id", Facts.AttemptId},
           {"service", Service},
           {"why", RetryReason},
           {"arrival", int64_t(SendCount)},
           {"counted", int64_t(std::exchange(RetryTokenHeld, false))},
           {"upstream", Upstream->Listed.Id},
           {"gateways", int64_t(State.Gateways)},
           {"window_requests", int64_t(Retries.requests())},
           {"tokens", Retries.tokens()},
           {"up_s", Now - State.StartedAt}});
}

double forwarding::refusalChanceAt(double Seconds) const {
  return refusalProbability(
      Seconds, State.ServicePaces[Service].shortestTargetSeconds(), priority());
}

// Decided once, before an upstream is chosen. Sessions under way go on.
bool forwarding::withinShare(const selection_request &Request) {
  if (!State.Shares.enabled() || !Account || ShareSeconds)
    return true;
  double Now = Request.Now;
  ShareSeconds = promptWork(State, *Routing, Request).TotalSeconds;
  share_request Asked{.Account = Account->Name,
                      .Service = Service,
                      .WorkSeconds = *ShareSeconds,
                      .Protected =
                          !Facts.LastEventId.empty() ||
                          (!Facts.Session.empty() &&
                           State.Pins.find(Service, Facts.Session, Now))};
  if (State.Shares.needsRoom(Service, Now))
    Asked.Room = roomFor(State, Request);
  if (State.Shares.admit(Asked, Now, State.Random))
    return true;
  RetryAfterSeconds = retryAfterSeconds(callerSecondsLeft(), State.Random);
  return false;
}

// Decided once, before anything is sent: a request that has begun is not
// refused, nor one whose caller already has the beginning of the stream.
bool forwarding::admit(const selection &Selected) {
  WaitSeconds = Selected.WaitSeconds;
  if (Attempts > 0 || Fallback || !Facts.Model || !Facts.LastEventId.empty())
    return true;
  // Those over their shares are refused instead, until the queues are short.
  if (ShareSeconds && State.Shares.refuses(Service, steadySeconds()))
    return true;
  double Chance = refusalChanceAt(WaitSeconds);
  if (std::uniform_real_distribution<double>(0, 1)(State.Random) >= Chance)
    return true;
  RetryAfterSeconds = retryAfterSeconds(callerSecondsLeft(), State.Random);
  return false;
}

std::string_view forwarding::hallLabel() const {
  return Upstream->Listed.DataHall == State.DataHall ? "own hall"
                                                     : "other hall";
}

void forwarding::send(double Now) {
  platform::upstream_request Sent{.Instance = Upstream->Listed.Id,
                                  .DeadlineSeconds = secondsLeft(Now)};
  if (Account)
    Sent.Account = Account->Name;
  Sent.Model = Model;
  Sent.LastEventId = LastEventId;
  Sent.Priority = priority();
  Sent.SendPriority = Facts.Model.has_value();
  SentAt = LastReceivedAt = Now;
  AnswerIsEvents = AnswerCounted = Judged = Survived = false;
  Timing.begin(streaming(), Now);
  State.Versions.countSent(Service, Upstream->Listed.Version);
  Framing = body_framing::None;
  UnfinishedEventBytes = 0;
  std::string SentHead = platform::writeRequestHead(Head, Sent, Body->size());
  State.Metrics->count("upstream_sent_bytes", hallLabel(),
                       SentHead.size() + Body->size());
  armTimer();
  Connection->send(*this, {.Head = std::move(SentHead),
                           .Body = Body,
                           .AttemptId = Facts.AttemptId,
                           .HeadOnly = Head.Method == "HEAD",
                           .MayStream = streaming()});
}

// Called when an attempt starts and when the request ends, as a response may
// take longer than a pin of its session lasts.
void forwarding::touchSession() {
  if (!LastUpstream || Facts.Session.empty())
    return;
  double Now = steadySeconds();
  const std::string &Version = LastUpstream->Listed.Version;
  State.Pins.touch(Service, Facts.Session,
                   {.Version = Version, .TouchedAt = Now});
  // The session may continue at another gateway, which must have this pin when
  // a roll-out begins.
  uint64_t SessionHash = sessionHash(Service, Facts);
  if (!software_versions::isCanary(SessionHash, canaryShareOf(State, Service)))
    return;
  bool OnTarget = Version == State.Versions.target(Service);
  (OnTarget ? State.Pins.canary() : State.Pins.stable()).pin(SessionHash, Now);
}

// Seconds of silence after which the upstream is presumed dead.
double forwarding::silenceTimeout() const {
  double Silence = HeadSent ? SilenceGapFactor * Route->GapSeconds
                            : SilenceTargetFactor * Route->TargetSeconds;
  // An upstream that is known to be slow is not taken for dead.
  if (!HeadSent && State.Paces.learns(Service))
    Silence = std::max(Silence, SilenceTargetFactor * ExpectedSeconds);
  return std::max(Silence, MinSilenceSeconds);
}

double forwarding::fallbackDueAt() const {
  return ArrivedAt + FallbackFraction * (EndsAt - ArrivedAt);
}

void forwarding::armTimer() {
  double Now = steadySeconds();
  double At = EndsAt;
  bool MayMove = Route->repeatable() && Attempts < Route->MaxAttempts;
  if (MayMove && Connection)
    At = std::min(At, LastReceivedAt + silenceTimeout());
  if (Fallback)
    At = std::min(At, fallbackDueAt());
  Timer.startOnce(std::max(0.0, At - Now));
}

void forwarding::onTimer() {
  auto Keep = shared_from_this();
  if (AwaitsRetryToken) {
    endRetryWait();
    recordRefusedRetry(LastFailure);
    return conclude(LastFailure);
  }
  if (!ParkedReason.empty())
    return conclude(ParkedReason, error_kind::NoLease);
  double Now = steadySeconds();
  if (Fallback && Now >= fallbackDueAt() - TimerSlackSeconds) {
    leaveUpstream();
    return fallBack("the larger model takes too long");
  }
  if (secondsLeft(Now) < MinSecondsLeft) {
    MayHaveRun = MayHaveRun || Connection;
    recordSilence();
    leaveUpstream();
    if (HeadSent)
      return complete("deadline passed during the response", 0);
    return giveUp(MayHaveRun ? error_kind::DeadlineUnknown
                             : error_kind::NoUpstream,
                  "the deadline of this request has passed");
  }
  // Bytes were received after the timer was set.
  if (!Connection ||
      Now < LastReceivedAt + silenceTimeout() - TimerSlackSeconds)
    return armTimer();
  // A slow response is better than none: the upstream is only left if another
  // one can take the request.
  bool Elsewhere =
      Fallback || (mayRetry(true) && State.Retries.at(Service).hasToken(Now) &&
                   select(State, *Routing, selectionAt(Now)).Upstream);
  if (!Elsewhere)
    return Timer.startOnce(std::max(0.0, secondsLeft(Now)));
  Upstream->recordFailure(Now);
  recordSilence();
  countAnswer(true);
  leaveUpstream();
  retryOrConclude(true, "silent upstream");
}

// The upstream may have crashed while processing the request or before it
// received it. Only if it was alive when the request was sent does the request
// count as interrupted.
void forwarding::recordSilence() {
  if (!Connection ||
      steadySeconds() < LastReceivedAt + silenceTimeout() - TimerSlackSeconds)
    return;
  Interrupted = true;
  bool AliveWhenSent = Connection->fresh() || LastReceivedAt > SentAt;
  if (AliveWhenSent)
    recordInterruption();
}

// An upstream that is leaving stops as planned, with any requests that it still
// has; that is no crash.
void forwarding::recordInterruption(bool WasAlive) {
  if (Upstream->leaving())
    return;
  interrupted_request Request{
      .Causes = Causes, .Begun = BegunAt > SentAt, .SentAt = SentAt};
  if (Survived || !WasAlive)
    Request.Causes.Blocks.clear();
  State.Crashes->recordInterruptedRequest(watchedUpstream(*Upstream),
                                          std::move(Request));
}

// Called with each part of a response.
void forwarding::recordSurvival() {
  if (Survived || steadySeconds() < BegunAt + SurvivalSeconds)
    return;
  Survived = true;
  State.Reports->survived(Causes.Blocks, BegunAt);
}

// A request that was sent and got no response may have run. One to a model
// begins to run with its first token, which it did not make.
void forwarding::leaveUpstream() {
  if (!Upstream)
    return;
  countPace();
  if (Connection && !Facts.Model)
    countRun(SentAt);
  if (Connection)
    Connection->drop();
  Connection = nullptr;
  if (PrefillSeconds != 0)
    State.PrefixCaches.removeBlocks(Upstream->Key, uncachedBlocks());
  releasePrompt();
  --Upstream->InFlight;
  State.Peers->reportChange(*Upstream);
  Upstream = nullptr;
  recordHeldBytes(Answer.Body.size());
}

bool forwarding::mayRetry(bool WasRun) const {
  bool NeedsResumeAttempt = Fallback && !Fallback->isComplete();
  return Attempts + NeedsResumeAttempt < Route->MaxAttempts &&
         (!WasRun || Route->repeatable()) &&
         (!MayHaveRun || Route->repeatable()) &&
         secondsLeft(steadySeconds()) > MinSecondsLeft;
}

// The current attempt ended without a response that could be delivered.
void forwarding::retryOrConclude(bool WasRun, std::string_view Why) {
  MayHaveRun = MayHaveRun || WasRun;
  LastFailure = RetryReason = Why;
  if (!mayRetry(WasRun))
    return conclude(Why);
  if (takeRetryToken(Why))
    return attempt();
  waitForRetryToken();
}

// No further attempt is possible.
void forwarding::conclude(std::string_view Why, error_kind NotRun) {
  if (Fallback)
    return fallBack(Why);
  if (HeadSent)
    return complete(Why, 0);
  // That the last upstream did not run the request says nothing about those
  // before it.
  if (Answer.Status != 0 && !(Answer.NotRun && MayHaveRun))
    return deliver();
  giveUp(MayHaveRun ? error_kind::OutcomeUnknown : NotRun, Why);
}

} // namespace olivevalve
