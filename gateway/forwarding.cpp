//===- forwarding.cpp - One request on its way ----------------------------===//

#include "gateway/forwarding.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include "policy/model_choice.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Callers that name no deadline wait as long as their route allows.
constexpr double NoDeadline = 1e9;
// With less time left an answer would not arrive any more.
constexpr double LeastSeconds = 0.02;
// An upstream silent for so many targets, or pauses between events, is taken
// for dead where the request may run elsewhere; not under the floor, as a full
// upstream is slow before it is dead.
constexpr double SilentTargets = 2;
constexpr double SilentGaps = 1.5;
constexpr double LeastPatience = 0.5;
// Timers of the loop may fire a moment early.
constexpr double TimerSlack = 1e-3;
constexpr std::string_view NoRouting = "no routing configuration is known yet";
// Of the time that a caller has, the part that it may be held: enough is left
// to be served elsewhere.
constexpr double HeldPart = 0.33;
// Of the time that a caller has, the part after which it gets the answer of the
// smaller model: what is left is enough to have the rest of it elsewhere.
constexpr double SparePart = 0.75;
// What upstreams end under is not worth another try soon.
constexpr double QuarantineSeconds = 300;
// Callers that cold upstreams cannot take come back spread over so long.
constexpr double ColdSpreadSeconds = 0.5;

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

forwarding::forwarding(gateway_state &State, forwarding_host &Host,
                       caller_connection &NewCaller, http_head NewHead,
                       std::string NewBody, end_handler OnOver)
    : State(State), Host(Host), Caller(&NewCaller), Head(std::move(NewHead)),
      Body(std::move(NewBody)), OnOver(std::move(OnOver)),
      Facts(platform::readCaller(Head)), BegunAt(steadySeconds()),
      EndsAt(BegunAt), Timer(State.Loop, [this] { onTimer(); }) {}

forwarding::~forwarding() { leaveUpstream(); }

void forwarding::hold(double Seconds, std::string_view Why) {
  HeldFor = Why;
  double Deadline = Facts.DeadlineSeconds.value_or(NoDeadline);
  double Most = Attempts > 0 ? left(steadySeconds()) : Deadline * HeldPart;
  Timer.startOnce(std::max(0.0, std::min(Seconds, Most)));
}

void forwarding::resume() {
  HeldFor = {};
  return Route ? attempt() : start();
}

void forwarding::woke() {
  if (HeldFor.empty() && Upstream)
    armTimer();
}

void forwarding::start() {
  if (Host.holds(*this))
    return;
  Routing = State.Routing;
  if (!Routing)
    return giveUp(error_kind::NoLease, NoRouting);
  RoutingVersion = Routing->version();
  const std::string *Host = Head.find("Host");
  if (Host)
    Route = Routing->route(*Host, pathOf(Head.Target));
  if (!Route)
    return giveUp(error_kind::NotFound, "no route for this host and path");
  if (!authorise())
    return giveUp(error_kind::Unauthorized, "the key is missing or not known");
  double Deadline = Facts.DeadlineSeconds.value_or(NoDeadline);
  EndsAt = BegunAt + std::min(Deadline, Route->TimeoutSeconds);
  Identity =
      identityOf({.Account = Account ? std::string_view(Account->Name) : "",
                  .Method = Head.Method,
                  .Host = Host ? std::string_view(*Host) : "",
                  .Target = Head.Target,
                  .Body = Body});
  Service = pickService();
  State.Retries.try_emplace(Service, State.RetryBounds, State.Gateways)
      .first->second.requestSeen(BegunAt);
  if (Facts.Model)
    State.Paces[Service].asked(Route->TargetSeconds);
  if (choosesModel())
    ModelPlace = firstModel(Route->Sizes.size());
  attempt();
}

bool forwarding::authorise() {
  if (!Routing->needsKeys())
    return true;
  if (!Facts.Key.empty())
    Account = Routing->accountOfKey(Facts.Key);
  return Account || Route->Public;
}

// By weight, drawn anew for each request, but the same for a session.
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
          .ModelPlace = choosesModel() ? ModelPlace : Route->Sizes.size(),
          .Now = Now};
}

uint32_t forwarding::priority() const {
  return Account && Account->Priority ? *Account->Priority : Route->Priority;
}

void forwarding::attempt() {
  double Now = steadySeconds();
  if (left(Now) < LeastSeconds)
    return onTimer();
  if (Host.holds(*this))
    return;
  if (State.Reports->refuses(Identity)) {
    ComeBackAfter = QuarantineSeconds;
    return conclude("upstreams end under this request",
                    error_kind::Quarantined);
  }
  selection_request Request = selectionAt(Now);
  selection Selected = select(State, *Routing, Request);
  if (!Selected.Upstream)
    return concludeUnsent(Selected);
  if (!takenIn(Selected))
    return giveUp(error_kind::QueueFull,
                  "more is asked than can begin in time");
  Upstream = std::move(Selected.Upstream);
  // What an upstream may have ended under is sent to none that has ended too:
  // it would seem to have ended that one as well.
  bool Suspect = BrokenOff || State.Reports->suspects(Identity);
  Connection = Host.acquire(Upstream, Suspect ? connection_kind::New
                                              : connection_kind::Any);
  Tried.insert(Upstream->Listed.Id);
  if (!Connection) {
    Upstream = nullptr;
    return again(false, "too many connections");
  }
  ++Attempts;
  if (Arrivals++ > 0)
    logRepeat();
  ++Upstream->InFlight;
  noteWarming(Now);
  if (choosesModel())
    Model = Route->Sizes[ModelPlace];
  LastUpstream = Upstream;
  if (Facts.Model)
    expectPrompt(Request, Selected.PromptSeconds);
  State.Peers->changed(*Upstream);
  touchSession();
  send(Now);
}

// A cold upstream gets the next one from this gateway after a while only.
void forwarding::noteWarming(double Now) {
  if (!Upstream->cold(Now))
    return;
  State.Metrics->count("sent_to_cold_upstreams", Service);
  auto Share = coldShare(State, *Routing, *Upstream, Now);
  if (Share && *Share > 0)
    Upstream->Warming.sent(Now, *Share);
}

// No upstream may have it now.
void forwarding::concludeUnsent(const selection &Selected) {
  if (Selected.ColdSeconds > 0 && Attempts == 0) {
    ComeBackAfter = coldComeBack(Selected.ColdSeconds);
    return conclude("upstreams are cold and take no more");
  }
  if (!LastTrouble.empty())
    return conclude(LastTrouble);
  if (!State.Upstreams.allEvacuated(Service))
    return conclude("no upstream");
  ComeBackAfter = comeBackAfter(timeOfCaller(), State.Random);
  conclude("all data halls of this service are evacuated");
}

// Not all callers at the same moment.
double forwarding::coldComeBack(double Seconds) {
  return std::uniform_real_distribution<double>(
      Seconds, Seconds + ColdSpreadSeconds)(State.Random);
}

// What is left of the caller's time, which may be longer than the operator's.
double forwarding::timeOfCaller() const {
  return Facts.DeadlineSeconds.value_or(Route->TimeoutSeconds) -
         (steadySeconds() - BegunAt);
}

// Asks the bound that all gateways share for one more arrival. One that is
// declined counts like any other: each gateway learns by itself which upstreams
// have ended, so there are many of them at once.
bool forwarding::takeRepeat(std::string_view Why) {
  if (Arrivals == 0 || RepeatTaken)
    return true;
  retry_share &Retries = State.Retries.at(Service);
  RepeatWhy = Why;
  RepeatTaken = Retries.take(steadySeconds());
  if (RepeatTaken)
    return true;
  State.Metrics->count("repeats_refused", Why);
  logLine(log_level::Info, "repeat refused by the shared bound",
          {{"id", Facts.AttemptId},
           {"service", Service},
           {"why", Why},
           {"gateways", int64_t(State.Gateways)},
           {"window_requests", int64_t(Retries.requests())},
           {"tokens", Retries.tokens()},
           {"up_s", steadySeconds() - State.StartedAt}});
  return false;
}

// Every arrival beyond a request's first, with what this gateway believed of
// the bound that all share.
void forwarding::logRepeat() {
  double Now = steadySeconds();
  const retry_share &Retries = State.Retries.at(Service);
  State.Metrics->count("repeats", RepeatWhy);
  logLine(log_level::Info, "request sent again",
          {{"id", Facts.AttemptId},
           {"service", Service},
           {"why", RepeatWhy},
           {"arrival", int64_t(Arrivals)},
           {"counted", int64_t(std::exchange(RepeatTaken, false))},
           {"upstream", Upstream->Listed.Id},
           {"gateways", int64_t(State.Gateways)},
           {"window_requests", int64_t(Retries.requests())},
           {"tokens", Retries.tokens()},
           {"up_s", Now - State.StartedAt}});
}

double forwarding::refusalChanceAt(double Seconds) const {
  return refusalChance(Seconds, State.Paces[Service].shortestTarget(),
                       priority());
}

// Decided once, before anything was sent: what has begun is not given up, nor
// what its caller holds the beginning of.
bool forwarding::takenIn(const selection &Selected) {
  WaitSeconds = Selected.WaitSeconds;
  if (Attempts > 0 || Spare || !Facts.Model || !Facts.LastEventId.empty())
    return true;
  double Chance = refusalChanceAt(WaitSeconds);
  if (std::uniform_real_distribution<double>(0, 1)(State.Random) >= Chance)
    return true;
  ComeBackAfter = comeBackAfter(timeOfCaller(), State.Random);
  return false;
}

std::string_view forwarding::hallKind() const {
  return Upstream->Listed.DataHall == State.DataHall ? "own hall"
                                                     : "other hall";
}

void forwarding::send(double Now) {
  platform::upstream_request Sent{.Instance = Upstream->Listed.Id,
                                  .DeadlineSeconds = left(Now)};
  if (Account)
    Sent.Account = Account->Name;
  Sent.Model = Model;
  Sent.LastEvent = Events.lastId();
  Sent.Priority = priority();
  Sent.TellPriority = Facts.Model.has_value();
  SentAt = HeardAt = Now;
  AnswerIsEvents = Counted = false;
  Events.restart();
  std::string Bytes = platform::writeRequestHead(Head, Sent, Body.size());
  Bytes.append(Body);
  State.Metrics->count("upstream_sent_bytes", hallKind(), Bytes.size());
  armTimer();
  Connection->send(*this, Bytes, Facts.AttemptId, Head.Method == "HEAD");
}

// At the start and at the end: an answer may take longer than a session is
// remembered.
void forwarding::touchSession() {
  if (!LastUpstream || Facts.Session.empty())
    return;
  double Now = steadySeconds();
  const std::string &Version = LastUpstream->Listed.Version;
  State.Pins.touch(Service, Facts.Session,
                   {.Version = Version, .TouchedAt = Now});
  // The session may go on at another entry, which must know where it belongs
  // when a roll-out begins.
  uint64_t Draw = versionDraw(Service, Facts);
  if (software_versions::isCanary(Draw) &&
      Version != State.Versions.target(Service))
    State.Pins.stay(Draw, Now);
}

// Seconds of silence after which the upstream is taken for dead.
double forwarding::patience() const {
  double Silence = HeadSent ? SilentGaps * Route->GapSeconds
                            : SilentTargets * Route->TargetSeconds;
  return std::max(Silence, LeastPatience);
}

double forwarding::spareDueAt() const {
  return BegunAt + SparePart * (EndsAt - BegunAt);
}

void forwarding::armTimer() {
  double Now = steadySeconds();
  double At = EndsAt;
  bool MayMove = Route->repeatable() && Attempts < Route->MaxAttempts;
  if (MayMove && Connection)
    At = std::min(At, HeardAt + patience());
  if (Spare)
    At = std::min(At, spareDueAt());
  Timer.startOnce(std::max(0.0, At - Now));
}

void forwarding::onTimer() {
  auto Keep = shared_from_this();
  if (!HeldFor.empty())
    return conclude(HeldFor, error_kind::NoLease);
  double Now = steadySeconds();
  if (Spare && Now >= spareDueAt() - TimerSlack) {
    leaveUpstream();
    return goBack("the larger model takes too long");
  }
  if (left(Now) < LeastSeconds) {
    MayHaveRun = MayHaveRun || Connection;
    noteSilence();
    leaveUpstream();
    if (HeadSent)
      return over("time over in the answer", 0);
    return giveUp(MayHaveRun ? error_kind::DeadlineUnknown
                             : error_kind::NoUpstream,
                  "the time for this request is over");
  }
  // Bytes have come since the timer was set.
  if (!Connection || Now < HeardAt + patience() - TimerSlack)
    return armTimer();
  // A slow answer is better than none: it is left only for another upstream.
  bool Elsewhere =
      Spare || (mayTryAgain(true) && State.Retries.at(Service).left(Now) &&
                select(State, *Routing, selectionAt(Now)).Upstream);
  if (!Elsewhere)
    return Timer.startOnce(std::max(0.0, left(Now)));
  Upstream->failed(Now);
  noteSilence();
  countAnswer(true);
  leaveUpstream();
  again(true, "silent upstream");
}

// The upstream may have ended with the request, or before it came.
void forwarding::noteSilence() {
  if (!Connection || steadySeconds() < HeardAt + patience() - TimerSlack)
    return;
  BrokenOff = true;
  bool LivedWhenSent = Connection->fresh() || HeardAt > SentAt;
  if (LivedWhenSent)
    noteBreak();
}

// One that was leaving ends as planned, with whatever it still has.
void forwarding::noteBreak() {
  if (!Upstream->leaving())
    State.Crashes->brokeOff(watched(*Upstream), Identity);
}

void forwarding::leaveUpstream() {
  if (!Upstream)
    return;
  if (Connection)
    Connection->drop();
  Connection = nullptr;
  if (PromptSeconds != 0)
    State.Memory.unsure(Upstream->Place, unkeptPieces());
  promptRead();
  --Upstream->InFlight;
  State.Peers->changed(*Upstream);
  Upstream = nullptr;
}

bool forwarding::mayTryAgain(bool WasRun) const {
  bool KeepsWayBack = Spare && !Spare->whole();
  return Attempts + KeepsWayBack < Route->MaxAttempts &&
         (!WasRun || Route->repeatable()) &&
         (!MayHaveRun || Route->repeatable()) &&
         left(steadySeconds()) > LeastSeconds;
}

// The attempt in hand is over without an answer that could be given.
void forwarding::again(bool WasRun, std::string_view Why) {
  MayHaveRun = MayHaveRun || WasRun;
  LastTrouble = RepeatWhy = Why;
  if (mayTryAgain(WasRun) && takeRepeat(Why))
    return attempt();
  conclude(Why);
}

// There is nothing left to try.
void forwarding::conclude(std::string_view Why, error_kind NotRun) {
  if (Spare)
    return goBack(Why);
  if (HeadSent)
    return over(Why, 0);
  // The last upstream's "not run" says nothing of those before it.
  if (Answer.Status != 0 && !(Answer.NotRun && MayHaveRun))
    return deliver();
  giveUp(MayHaveRun ? error_kind::OutcomeUnknown : NotRun, Why);
}

} // namespace olivevalve
