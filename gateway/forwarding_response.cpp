//===- forwarding_response.cpp - Response path of a forwarded request -----===//
//
// The part of class forwarding that receives responses from upstreams and sends
// them to the caller.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "base/log.h"
#include "gateway/forwarding.h"
#include "gateway/work_times.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Bytes not yet read by the caller from which on its upstream is not read.
constexpr size_t MaxUnsentBytes = 256 << 10;
// Responses that are not event streams are buffered up to this size.
constexpr size_t MaxBufferedAnswerBytes = 16 << 20;
constexpr std::string_view TooLarge =
    "the response of the upstream is larger than 16 MiB";
// Retry-After of a refusal: another upstream or gateway usually has room within
// a fraction of a second.
constexpr double DefaultRetryAfterSeconds = 0.3;
// By then the reset of a connection to a process that has terminated arrives.
constexpr double MaxResetSeconds = 0.05;
// Header names that are recorded; bounds what a faulty upstream can add.
constexpr size_t MaxUnreadHeaders = 16;
// More requests than any upstream has; bounds the sum of the two counts that an
// upstream reports.
constexpr uint32_t MaxReportedRequests = 1 << 20;

// Ids of the prompt's blocks for logs, separated by spaces.
std::string blockIds(const platform::caller_facts &Facts) {
  std::string Ids;
  if (Facts.Model)
    for (const platform::prefix_block &Block : Facts.Model->PrefixBlocks)
      Ids.append(Ids.empty() ? "" : " ").append(hexOf(Block.Id));
  return Ids;
}

} // namespace

void forwarding::onAnswerHead(const http_head &AnswerHead,
                              const platform::answer_facts &AnswerFacts,
                              body_content Content) {
  double Now = steadySeconds();
  LastReceivedAt = HeadReceivedAt = BegunAt = Now;
  if (!AnswerFacts.OtherIncarnation)
    State.Crashes->recordResponse(Upstream->Key, SentAt);
  applyUpstreamHints(AnswerFacts);
  if (AnswerFacts.Load)
    recordLoadReport(*AnswerFacts.Load);
  OtherIncarnation = AnswerFacts.OtherIncarnation;
  Framing = AnswerHead.Framing;
  bool Good = AnswerHead.Status >= 200 && AnswerHead.Status < 300;
  bool Streams = streaming() && Good;
  AnswerIsEvents = Streams && Content != body_content::Opaque;
  // A request to a model begins to run with its first token, any other one when
  // it is sent, as far as can be told from here.
  if (!AnswerFacts.NotRun) {
    OnTrial = false;
    countRun(Facts.Model ? Now : SentAt);
  }
  if (Streams && Facts.Model) {
    recordWorkTime(State, *Upstream,
                   {.Work = paced_work::FirstToken,
                    .Class = modelAt(*Route, Facts, modelIndex()),
                    .Seconds = Now - SentAt,
                    .Usual = UsualFirstSeconds,
                    .ExpectedSeconds = PacedFirstSeconds,
                    .TellsPace = 2 * PrefillSeconds > UsualFirstSeconds});
    State.PrefillEstimator.recordFirstToken(
        Model.empty() ? Facts.Model->Model : Model,
        relativeCost(*Routing, *Route, Service, selectionAt(Now).ModelIndex),
        Facts.Model->PromptTokens, CachedTokens,
        (Now - SentAt) / latestTimeFactor(State, *Upstream));
  }
  releasePrompt();
  if (HeadSent)
    return;
  Confidence = AnswerFacts.Confidence.value_or(-1);
  Answer = {.Status = AnswerHead.Status,
            .Reason = AnswerHead.Reason,
            .NotRun = AnswerFacts.NotRun};
  platform::hop_by_hop_headers HopByHop(AnswerHead);
  for (header_view Line : AnswerHead.Lines)
    if (!sameHeader(Line.Name, "Content-Length") &&
        !HopByHop.contains(Line.Name) &&
        !(Answer.NotRun && platform::isRetryAfter(Line.Name)))
      Answer.Lines.push_back({std::string(Line.Name), std::string(Line.Value)});
  bool IsTooLong = Framing == body_framing::Length &&
                   AnswerHead.Length > MaxBufferedAnswerBytes;
  if (!AnswerIsEvents && IsTooLong)
    return dropResponse(TooLarge);
  if (Streams && shouldSwitchModel())
    switchToLargerModel();
}

// Applies what the upstream asks of this gateway: to send nothing more as it is
// leaving, to back off, or to send less.
void forwarding::applyUpstreamHints(const platform::answer_facts &Hints) {
  double Now = steadySeconds();
  if (Hints.Leaving && !Upstream->leaving()) {
    logLine(log_level::Info, "upstream announced that it is leaving",
            {{"upstream", Upstream->Listed.Id}, {"id", Facts.AttemptId}});
    Upstream->markLeaving();
  }
  applyBackoff(Hints, Now);
  if (!Hints.OtherIncarnation)
    applyRequestLimit(Hints, Now);
  if (!Hints.UnreadHeader.empty())
    recordUnreadHeader(Hints.UnreadHeader);
  if (!Hints.UnknownLoad.empty())
    recordUnknownLoad(Hints.UnknownLoad);
}

void forwarding::applyBackoff(const platform::answer_facts &Hints, double Now) {
  if (!Hints.MalformedRetryAfter.empty())
    logLine(log_level::Warning,
            "upstream's Retry-After is not a number of seconds",
            {{"upstream", Upstream->Listed.Id},
             {"value", Hints.MalformedRetryAfter}});
  if (!Hints.BackoffSeconds)
    return;
  Upstream->backOff(*Hints.BackoffSeconds, Now);
  State.Metrics->count("upstream_rests", Service);
  logLine(log_level::Info, "upstream requested a backoff",
          {{"upstream", Upstream->Listed.Id},
           {"id", Facts.AttemptId},
           {"asked_s", *Hints.BackoffSeconds},
           {"kept_s", Upstream->backoffUntil() - Now}});
}

// A limit that cannot be read neither sets nor ends one.
void forwarding::applyRequestLimit(const platform::answer_facts &Hints,
                                   double Now) {
  if (Hints.MalformedRequestLimit != Upstream->MalformedLimit) {
    Upstream->MalformedLimit = Hints.MalformedRequestLimit;
    if (!Upstream->MalformedLimit.empty())
      logLine(log_level::Warning,
              "upstream's request limit is not a number of at least 0",
              {{"upstream", Upstream->Listed.Id},
               {"value", Upstream->MalformedLimit}});
  }
  if (!Hints.RequestLimit && !Hints.MalformedRequestLimit.empty())
    return;
  limit_change Change =
      Upstream->Limit.recordResponse(Hints.RequestLimit, SentAt, Now);
  recordLimitChange(State, *Upstream, Change, "own request", Facts.AttemptId,
                    Now);
}

// Shows operators that upstreams ask for something that this version ignores.
void forwarding::recordUnreadHeader(const std::string &Name) {
  if (State.UnreadHeaders.size() >= MaxUnreadHeaders ||
      !State.UnreadHeaders.insert(Name).second)
    return;
  State.Metrics->count("unread_upstream_headers", Name);
  logLine(log_level::Warning, "upstreams send a header that is not read",
          {{"header", Name}, {"upstream", Upstream->Listed.Id}});
}

// Logs once for each number of figures, as the values differ in each response.
void forwarding::recordUnknownLoad(const std::string &Value) {
  auto Figures = 1 + std::count(Value.begin(), Value.end(), ',');
  State.Metrics->count("unknown_upstream_loads", Service);
  if (State.UnknownLoads.size() >= MaxUnreadHeaders ||
      !State.UnknownLoads.insert(size_t(Figures)).second)
    return;
  logLine(log_level::Warning, "upstream's load has figures that are not known",
          {{"header", "X-Server-Load"},
           {"figures", int64_t(Figures)},
           {"value", Value},
           {"upstream", Upstream->Listed.Id}});
}

void forwarding::recordLoadReport(const platform::reported_load &Load) {
  if (Load.Slowdown) {
    Upstream->Slowdown.record(*Load.Slowdown, steadySeconds());
    State.Paces.recordTellsSlowdown(Service);
  }
  uint64_t Sum = uint64_t(Load.Running) + Load.Waiting;
  auto Requests = uint32_t(std::min<uint64_t>(Sum, MaxReportedRequests));
  Upstream->recordLoad(Requests, steadySeconds(),
                       State.Peers->at(Upstream->Key).InFlight);
  State.Peers->reportLoad(*Upstream, Requests);
}

// The stream is complete.
void forwarding::finish() {
  if (!HeadSent)
    return deliver();
  if (Facts.Model)
    State.ServicePaces[Service].recordResponse(
        FirstTokenOverheadSeconds + steadySeconds() - HeadReceivedAt);
  if (ShareSeconds)
    State.Shares.recordResponse(Service, *ShareSeconds,
                                FirstTokenOverheadSeconds + steadySeconds() -
                                    HeadReceivedAt);
  // Bytes of several attempts do not tell about one upstream.
  if (Facts.Model && Upstream && SendCount == 1)
    recordWorkTime(
        State, *Upstream,
        {.Work = paced_work::Events,
         .Class = modelAt(*Route, Facts, modelIndex()),
         .Seconds = LastReceivedAt - FirstEventAt,
         .Usual = double(EventBytes - FirstEventBytes),
         .ExpectedTokens = double(expectedOutputTokens(*Facts.Model)),
         .TellsPace = false});
  leaveUpstream();
  Caller->finish();
  complete("served", Answer.Status);
}

void forwarding::onAnswerBytes(std::string_view Bytes, size_t Received) {
  LastReceivedAt = steadySeconds();
  State.Metrics->count("upstream_received_bytes", hallLabel(), Received);
  if (AnswerIsEvents) {
    recordSurvival();
    forwardEvents(Bytes);
    return recordHeldBytes(Connection ? Connection->heldBackBytes() : 0);
  }
  if (Answer.Body.size() + Bytes.size() > MaxBufferedAnswerBytes)
    return dropResponse(TooLarge);
  Answer.Body.append(Bytes);
  recordHeldBytes(Answer.Body.size());
}

// May end this request or another one if the number has grown.
void forwarding::recordHeldBytes(size_t Bytes) {
  size_t Before = std::exchange(HeldBytes, Bytes);
  State.HeldResponseBytes += Bytes - Before;
  if (Bytes > Before && State.HeldResponseBytes > MaxHeldResponseBytes)
    State.LimitHeldResponses();
}

void forwarding::dropResponse(std::string_view Why) {
  auto Keep = shared_from_this();
  Answer = {};
  leaveUpstream();
  if (Fallback)
    return fallBack(Why);
  if (HeadSent)
    return complete(Why, 0);
  giveUp(error_kind::AnswerTooLarge, Why);
}

void forwarding::forwardEvents(std::string_view Bytes) {
  if (Bytes.empty() || !Caller)
    return;
  if (auto Id = lastEventId(Bytes))
    LastEventId = std::move(*Id);
  if (!HeadSent) {
    HeadSent = true;
    settle();
    FirstEventAt = LastReceivedAt;
    FirstEventSeconds = FirstEventAt - SentAt;
    Fallback.reset();
    Caller->begin(Answer.Status, Answer.Reason, Answer.Lines);
    if (!std::exchange(AnswerCounted, true))
      countAnswer(false);
    State.Metrics->record(measure::TimeToFirstToken, Route->Name,
                          LastReceivedAt - ArrivedAt);
  }
  Timing.receive(Bytes.size(), LastReceivedAt);
  EventBytes += Bytes.size();
  if (FirstEventBytes == 0)
    FirstEventBytes = EventBytes;
  Caller->write(Bytes);
  if (Connection && Caller && Caller->unsent() > MaxUnsentBytes)
    Connection->setReading(false);
}

void forwarding::onCallerDrained() {
  if (Connection)
    Connection->setReading(true);
}

void forwarding::onAnswerEnd() {
  auto Keep = shared_from_this();
  Connection = nullptr; // Idle now, or closed.
  if (!Answer.NotRun)
    Upstream->recordResponse();
  if (AnswerIsEvents) {
    recordCompletion();
    return finish();
  }
  if (Answer.NotRun) {
    if (OtherIncarnation) {
      Upstream->markLeaving();
      State.Crashes->recordCrash(watchedUpstream(*Upstream),
                                 "another has its address");
      State.Peers->reportCrash(*Upstream);
      --Attempts; // The intended one has crashed.
      Answer = {};
    }
    leaveUpstream();
    return retryOrConclude(false, "refused by the upstream");
  }
  bool Failed = Answer.Status >= 500;
  countAnswer(Failed);
  if (Answer.Status < 300)
    Timing.receiveWhole(steadySeconds());
  MayHaveRun = true;
  if (Answer.Status < 300)
    recordCompletion();
  // With more requests than slots, the time tells of the queue.
  if (Answer.Status < 300 && !Facts.Model &&
      Upstream->load(steadySeconds()) <= Upstream->Listed.Slots)
    recordWorkTime(State, *Upstream,
                   {.Work = paced_work::Whole,
                    .Class = Route->Name,
                    .Seconds = steadySeconds() - SentAt});
  if (Failed && Route->repeatable()) {
    leaveUpstream();
    return retryOrConclude(true, "failed at the upstream");
  }
  if (ShareSeconds && !Facts.Model)
    State.Shares.recordResponse(Service, 0, HeadReceivedAt - SentAt);
  if (HeadSent) {
    leaveUpstream();
    return complete("refused while resuming the stream", 0);
  }
  deliver();
}

void forwarding::onBroken(broken_at Where) {
  auto Keep = shared_from_this();
  UnfinishedEventBytes = Connection->heldBackBytes();
  Connection = nullptr;
  bool Sent = Where != broken_at::Connecting && Where != broken_at::Refused &&
              Where != broken_at::Declined;
  // A healthy upstream may close an idle keep-alive connection.
  if (Where != broken_at::Reused && Where != broken_at::Declined)
    Upstream->recordFailure(steadySeconds());
  if (Sent && Where != broken_at::Reused)
    countAnswer(true);
  if (Sent && Where != broken_at::Reused && !Facts.Model)
    countRun(SentAt);
  if (Where == broken_at::Reused)
    Tried.erase(Upstream->Listed.Id);
  Interrupted = Interrupted || Sent;
  OnTrial = OnTrial && !Sent;
  bool HasHead = HeadReceivedAt > SentAt;
  if (Sent)
    State.Metrics->count("interrupted_requests",
                         HasHead ? "answer begun" : "waiting");
  if (Sent)
    logLine(log_level::Info, "upstream interrupted a request",
            {{"id", Facts.AttemptId},
             {"request", hexOf(Causes.Request)},
             {"upstream", Upstream->Listed.Id},
             {"how", textOf(Where)},
             {"framing", nameOf(Framing)},
             {"unfinished_event_bytes", int64_t(UnfinishedEventBytes)},
             {"blocks", blockIds(Facts)},
             {"since_head_s", HasHead ? steadySeconds() - HeadReceivedAt : -1},
             {"seconds_there", steadySeconds() - SentAt},
             {"others_there", int64_t(Upstream->InFlight) - 1}});
  if (Where == broken_at::Refused) {
    Upstream->presumeCrashed(steadySeconds());
    State.Crashes->recordCrash(watchedUpstream(*Upstream),
                               "connection refused");
    State.Peers->reportCrash(*Upstream);
  } else if (Sent && Where != broken_at::Garbled) {
    // An upstream that has crashed already resets a resting connection at once.
    bool WasAlive = Where != broken_at::Reused ||
                    steadySeconds() > SentAt + MaxResetSeconds;
    recordInterruption(WasAlive);
  }
  // The head of a response that was cut off is not delivered.
  if (!HeadSent)
    Answer = {};
  leaveUpstream();
  if (!Sent) {
    --Attempts; // No upstream received it.
    --SendCount;
    RetryTokenHeld = SendCount > 0;
  }
  retryOrConclude(Sent, textOf(Where));
}

// A complete response shows that neither the request nor its prompt crashes
// upstreams.
void forwarding::recordCompletion() {
  Survived = true;
  State.Reports->answered(Causes.Request);
  State.Reports->survived(Causes.Blocks, BegunAt);
}

void forwarding::countRun(double BeganAt) {
  if (Account && !std::exchange(RunCounted, true))
    State.Usage.record(Account->Name, BeganAt, steadySeconds());
}

void forwarding::countAnswer(bool Failed) {
  if (!Upstream)
    return;
  double Now = steadySeconds();
  State.Versions.count(Service, Upstream->Listed.Version, Failed, Now - SentAt);
  if (Failed && !std::exchange(Judged, true))
    State.Versions.countFailure(Upstream->Listed, Upstream->Key);
  Upstream->Answers.add(1, Failed, Now);
  State.Peers->reportResponse(*Upstream, Failed);
}

uint64_t forwarding::paceClass() const {
  return checksum(modelAt(*Route, Facts, modelIndex()), checksum(Route->Name));
}

// An upstream that warms up is slow whatever its version is.
void forwarding::countPace() {
  double Now = steadySeconds();
  if (!Route || Upstream->cold(Now) || std::exchange(Judged, true))
    return;
  // A response that is given up is only known to have taken at least this long.
  bool GivenUp = Connection != nullptr;
  auto Seconds =
      GivenUp ? Timing.leastSecondsPerUnit(Now) : Timing.secondsPerUnit();
  if (!Seconds)
    return;
  auto Pace = State.UsualPaces.ratio(paceClass(), *Seconds);
  if (Pace && (!GivenUp || software_versions::isLate(*Pace)))
    State.Versions.countPace(Upstream->Listed, Upstream->Key, *Pace);
  if (!GivenUp &&
      Upstream->Listed.Version == State.Upstreams.stableVersion(Service))
    State.UsualPaces.record(paceClass(), *Seconds);
}

void forwarding::countInProgress() {
  double Now = steadySeconds();
  if (!Connection || !Upstream || Judged || Upstream->cold(Now))
    return;
  auto Seconds = Timing.leastSecondsPerUnit(Now);
  auto Pace = Seconds ? State.UsualPaces.ratio(paceClass(), *Seconds)
                      : std::optional<double>();
  if (!Pace)
    return;
  bool Late = software_versions::isLate(*Pace);
  if (Late || Timing.secondsPerUnit())
    State.Versions.countInProgress(Upstream->Listed, Upstream->Key, Late);
}

// If no upstream takes requests now: a time after the first of them does again.
header_field forwarding::retryAfterLine() {
  if (RetryAfterSeconds > 0)
    return {"Retry-After", std::to_string(RetryAfterSeconds)};
  reopening Reopening;
  if (Route)
    Reopening = reopeningOf(State, Service, steadySeconds());
  double Seconds = Reopening.Seconds > 0 ? retryAfterReopening(Reopening)
                                         : DefaultRetryAfterSeconds;
  return {"Retry-After", std::to_string(Seconds)};
}

/// Sends the buffered response to the caller as the upstream gave it.
void forwarding::deliver() {
  leaveUpstream();
  if (Fallback && Answer.Status >= 300)
    return fallBack("answered without success");
  if (Answer.NotRun && platform::mayCarryRetryAfter(Answer.Status))
    Answer.Lines.push_back(retryAfterLine());
  if (Caller)
    Caller->reply(Answer.Status, Answer.Reason, Answer.Lines,
                  std::move(Answer.Body));
  complete(Answer.Status < 400 ? "served" : "error response of the upstream",
           Answer.Status);
}

void forwarding::giveUp(error_kind Kind, std::string_view Why) {
  leaveUpstream();
  const error_response &Error = responseFor(Kind);
  std::vector<header_field> Lines = {
      {"Content-Type", "application/json"},
      {"X-Olivevalve-Outcome", std::string(nameOf(Error.Outcome))}};
  if (Error.HttpStatus == 503)
    Lines.push_back(retryAfterLine());
  if (Caller)
    Caller->reply(Error.HttpStatus, Error.Code, Lines, errorBody(Kind, Why));
  complete(Why, Error.HttpStatus);
}

void forwarding::onCallerGone() {
  auto Keep = shared_from_this();
  Caller = nullptr;
  leaveUpstream();
  complete("caller closed its connection", 0);
}

void forwarding::abort() {
  auto Keep = shared_from_this();
  leaveUpstream();
  complete("aborted by shutdown", 0);
}

void forwarding::complete(std::string_view Outcome, int Status) {
  if (std::exchange(Finished, true))
    return;
  Timer.stop();
  Fallback.reset();
  recordHeldBytes(0);
  endRetryWait();
  settle();
  if (std::exchange(RetryTokenHeld, false))
    State.Retries.at(Service).returnToken(steadySeconds());
  touchSession();
  // A caller with part of a response must see that it is incomplete.
  if (Status == 0 && Caller)
    Caller->abortResponse();
  Caller = nullptr;
  std::string_view Name = Route ? std::string_view(Route->Name) : "none";
  State.Metrics->count("requests", Status >= 200 && Status < 300 ? "served"
                                   : Status == 0                 ? "broken off"
                                                 : "not served");
  logLine(
      log_level::Info, "request finished",
      {{"id", Facts.AttemptId},
       {"request", hexOf(Causes.Request)},
       {"route", Name},
       {"routing", int64_t(RoutingVersion)},
       {"account", Account ? std::string_view(Account->Name) : ""},
       {"session", Facts.Session},
       {"service", Service},
       {"upstream", LastUpstream ? LastUpstream->Listed.Id : ""},
       {"version", LastUpstream ? LastUpstream->Listed.Version : ""},
       {"model", Model},
       {"prompt_tokens", int64_t(Facts.Model ? Facts.Model->PromptTokens : 0)},
       {"kept_tokens", int64_t(CachedTokens)},
       {"shared_prefix", PrefixReuse},
       {"blocks", blockIds(Facts)},
       {"expected_first_s", ExpectedSeconds},
       {"expected_wait_s", WaitSeconds},
       {"first_event_s", FirstEventSeconds},
       {"confidence", Confidence},
       {"attempts", int64_t(Attempts)},
       {"arrivals", int64_t(SendCount)},
       {"trouble", LastFailure},
       {"may_have_run", int64_t(MayHaveRun)},
       {"status", int64_t(Status)},
       {"outcome", Outcome},
       {"event_bytes", int64_t(EventBytes)},
       {"framing", nameOf(Framing)},
       {"unfinished_event_bytes", int64_t(UnfinishedEventBytes)},
       {"seconds", steadySeconds() - ArrivedAt}});
  OnFinished(*this);
}

} // namespace olivevalve
