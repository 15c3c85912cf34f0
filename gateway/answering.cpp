//===- answering.cpp - One request's answer on its way back ---------------===//
//
// The half of forwarding that hears upstreams and gives callers their answer.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "base/log.h"
#include "gateway/forwarding.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A caller that does not read holds back its upstream from here on.
constexpr size_t MostUnsent = 256 << 10;
// Answers that are not events are held whole up to this.
constexpr size_t MostHeldAnswer = 16 << 20;
// When to come back after a refusal: another upstream or entry is usually free
// within a fraction of a second.
constexpr double UsualComeBack = 0.3;
// Of the time that all upstreams rest, the part over which callers come back.
constexpr double ComeBackSpread = 0.25;

// More than any upstream has; the sum of two absurd numbers stays one.
constexpr uint32_t MostRequestsTold = 1 << 20;

std::string_view troubleOf(broken_at Where) {
  switch (Where) {
  case broken_at::Connecting:
    return "no connection";
  case broken_at::Refused:
    return "connection refused";
  case broken_at::Declined:
    return "takes nothing new any more";
  case broken_at::Reused:
    return "resting connection closed";
  case broken_at::Waiting:
    return "closed before the answer";
  case broken_at::Answering:
    return "closed in the answer";
  case broken_at::Garbled:
    return "not an answer";
  }
  return "";
}

} // namespace

void forwarding::onAnswerHead(const http_head &AnswerHead,
                              const platform::answer_facts &AnswerFacts) {
  double Now = steadySeconds();
  HeardAt = HeadAt = Now;
  if (!AnswerFacts.OtherIncarnation)
    State.Crashes->answers(Upstream->Place, SentAt);
  heardWishes(AnswerFacts);
  if (AnswerFacts.Load)
    heardLoad(*AnswerFacts.Load);
  OtherIncarnation = AnswerFacts.OtherIncarnation;
  bool Good = AnswerHead.Status >= 200 && AnswerHead.Status < 300;
  AnswerIsEvents = streaming() && Good;
  if (AnswerIsEvents && Facts.Model)
    State.Pace.firstToken(
        Model.empty() ? Facts.Model->Model : Model,
        modelCost(*Routing, *Route, Service, selectionAt(Now).ModelPlace),
        Facts.Model->PromptTokens, KeptTokens, Now - SentAt);
  promptRead();
  if (HeadSent)
    return;
  Confidence = AnswerFacts.Confidence.value_or(-1);
  Answer = {.Status = AnswerHead.Status,
            .Reason = AnswerHead.Reason,
            .NotRun = AnswerFacts.NotRun};
  for (const head_line &Line : AnswerHead.Lines)
    if (!sameHeader(Line.Name, "Content-Length") &&
        !platform::belongsToConnection(AnswerHead, Line.Name) &&
        !(Answer.NotRun && platform::tellsWhenToComeBack(Line.Name)))
      Answer.Lines.push_back(Line);
  if (AnswerIsEvents && asksLargerModel())
    askLargerModel();
}

// What the upstream wants of this gateway from now on.
void forwarding::heardWishes(const platform::answer_facts &Wishes) {
  double Now = steadySeconds();
  if (Wishes.Leaving && !Upstream->leaving()) {
    logLine(log_level::Info, "upstream says that it leaves",
            {{"upstream", Upstream->Listed.Id}, {"id", Facts.AttemptId}});
    Upstream->leave();
  }
  if (!Wishes.OddRest.empty())
    logLine(log_level::Warning,
            "upstream's Retry-After is not a number of seconds",
            {{"upstream", Upstream->Listed.Id}, {"value", Wishes.OddRest}});
  if (!Wishes.RestSeconds)
    return;
  Upstream->rest(*Wishes.RestSeconds, Now);
  State.Metrics->count("upstream_rests", Service);
  logLine(log_level::Info, "upstream wants no requests for a while",
          {{"upstream", Upstream->Listed.Id},
           {"id", Facts.AttemptId},
           {"asked_s", *Wishes.RestSeconds},
           {"kept_s", Upstream->restsUntil() - Now}});
}

void forwarding::heardLoad(const platform::reported_load &Load) {
  uint64_t Sum = uint64_t(Load.Running) + Load.Waiting;
  auto Requests = uint32_t(std::min<uint64_t>(Sum, MostRequestsTold));
  Upstream->heardLoad(Requests, steadySeconds(),
                      State.Peers->at(Upstream->Place).InFlight);
  State.Peers->heardLoad(*Upstream, Requests);
}

// All of a stream has come.
void forwarding::finish() {
  if (!HeadSent)
    return deliver();
  if (Facts.Model)
    State.Paces[Service].ended(FirstTokenSeconds + steadySeconds() - HeadAt);
  leaveUpstream();
  Caller->finish();
  over("served", Answer.Status);
}

void forwarding::onAnswerBytes(std::string_view Bytes) {
  HeardAt = steadySeconds();
  State.Metrics->count("upstream_received_bytes", hallKind(), Bytes.size());
  if (AnswerIsEvents)
    return passOn(Events.take(Bytes));
  if (Answer.Body.size() + Bytes.size() <= MostHeldAnswer)
    Answer.Body.append(Bytes);
}

void forwarding::passOn(std::string_view Bytes) {
  if (Bytes.empty() || !Caller)
    return;
  if (!HeadSent) {
    HeadSent = true;
    FirstEventAt = HeardAt;
    Spare.reset();
    Caller->begin(Answer.Status, Answer.Reason, Answer.Lines);
    if (!std::exchange(Counted, true))
      countAnswer(false);
    State.Metrics->record(measure::TimeToFirstToken, Route->Name,
                          HeardAt - BegunAt);
  }
  EventBytes += Bytes.size();
  Caller->write(Bytes);
  if (Connection && Caller && Caller->unsent() > MostUnsent)
    Connection->setReading(false);
}

void forwarding::onCallerDrained() {
  if (Connection)
    Connection->setReading(true);
}

void forwarding::onAnswerEnd() {
  auto Keep = shared_from_this();
  Connection = nullptr; // Free again, or closed.
  if (!Answer.NotRun)
    Upstream->answered();
  if (AnswerIsEvents) {
    State.Reports->answered(Identity);
    passOn(Events.takeRest());
    return finish();
  }
  if (Answer.NotRun) {
    if (OtherIncarnation) {
      Upstream->leave();
      State.Crashes->ended(watched(*Upstream), "another has its address");
      State.Peers->ended(*Upstream);
      --Attempts; // The one that was meant has ended.
      Answer = {};
    }
    leaveUpstream();
    return again(false, "refused by the upstream");
  }
  bool Failed = Answer.Status >= 500;
  countAnswer(Failed);
  MayHaveRun = true;
  if (Answer.Status < 300)
    State.Reports->answered(Identity);
  if (Failed && Route->repeatable()) {
    leaveUpstream();
    return again(true, "failed at the upstream");
  }
  if (HeadSent) {
    leaveUpstream();
    return over("refused while going on", 0);
  }
  deliver();
}

void forwarding::onBroken(broken_at Where) {
  auto Keep = shared_from_this();
  Connection = nullptr;
  bool Sent = Where != broken_at::Connecting && Where != broken_at::Refused &&
              Where != broken_at::Declined;
  // A resting connection may be closed by an upstream that is well.
  if (Where != broken_at::Reused && Where != broken_at::Declined)
    Upstream->failed(steadySeconds());
  if (Sent && Where != broken_at::Reused)
    countAnswer(true);
  if (Where == broken_at::Reused)
    Tried.erase(Upstream->Listed.Id);
  BrokenOff = BrokenOff || Sent;
  if (Sent)
    logLine(log_level::Info, "request broken off by its upstream",
            {{"id", Facts.AttemptId},
             {"request", hexOf(Identity)},
             {"upstream", Upstream->Listed.Id},
             {"how", troubleOf(Where)},
             {"seconds_there", steadySeconds() - SentAt},
             {"others_there", int64_t(Upstream->InFlight) - 1}});
  if (Where == broken_at::Refused) {
    Upstream->doubt(steadySeconds());
    State.Crashes->ended(watched(*Upstream), "connection refused");
    State.Peers->ended(*Upstream);
  } else if (Sent && Where != broken_at::Garbled) {
    noteBreak();
  }
  // The head of a broken answer is none.
  if (!HeadSent)
    Answer = {};
  leaveUpstream();
  if (!Sent) {
    --Attempts; // It reached nobody.
    --Arrivals;
    RepeatTaken = Arrivals > 0;
  }
  again(Sent, troubleOf(Where));
}

void forwarding::countAnswer(bool Failed) {
  if (!Upstream)
    return;
  double Now = steadySeconds();
  State.Versions.count(Service, Upstream->Listed.Version, Failed, Now - SentAt);
  Upstream->Answers.add(1, Failed, Now);
  State.Peers->answered(*Upstream, Failed);
}

// Where all upstreams rest, once the first of them takes requests again, and
// not all callers at the same moment.
head_line forwarding::comeBackLine() {
  double Soonest =
      Route ? State.Upstreams.soonestRest(Service, steadySeconds()) : 0;
  double Seconds = ComeBackAfter > 0 ? ComeBackAfter : UsualComeBack;
  if (ComeBackAfter == 0 && Soonest > 0)
    Seconds = std::uniform_real_distribution<double>(
        Soonest, Soonest * (1 + ComeBackSpread) + UsualComeBack)(State.Random);
  return {"Retry-After", std::to_string(Seconds)};
}

/// The answer that is held, as the upstream gave it.
void forwarding::deliver() {
  leaveUpstream();
  if (Spare && Answer.Status >= 300)
    return goBack("answered without success");
  if (Answer.NotRun && Answer.Status == 503)
    Answer.Lines.push_back(comeBackLine());
  if (Caller)
    Caller->reply(Answer.Status, Answer.Reason, Answer.Lines, Answer.Body);
  over(Answer.Status < 400 ? "served" : "answered by the upstream",
       Answer.Status);
}

void forwarding::giveUp(error_kind Kind, std::string_view Why) {
  leaveUpstream();
  const error_answer &Told = answerFor(Kind);
  std::vector<head_line> Lines = {
      {"Content-Type", "application/json"},
      {"X-Olivevalve-Outcome", std::string(nameOf(Told.Outcome))}};
  if (Told.HttpStatus == 503)
    Lines.push_back(comeBackLine());
  if (Caller)
    Caller->reply(Told.HttpStatus, Told.Code, Lines, errorBody(Kind, Why));
  over(Why, Told.HttpStatus);
}

void forwarding::onCallerGone() {
  auto Keep = shared_from_this();
  Caller = nullptr;
  leaveUpstream();
  over("caller gone", 0);
}

void forwarding::cut() {
  auto Keep = shared_from_this();
  leaveUpstream();
  over("cut by the stop", 0);
}

void forwarding::over(std::string_view Outcome, int Status) {
  if (std::exchange(Finished, true))
    return;
  Timer.stop();
  Spare.reset();
  if (std::exchange(RepeatTaken, false))
    State.Retries.at(Service).giveBack(steadySeconds());
  touchSession();
  // Whoever holds half an answer must see that it is not whole.
  if (Status == 0 && Caller)
    Caller->breakOff();
  Caller = nullptr;
  std::string_view Name = Route ? std::string_view(Route->Name) : "none";
  State.Metrics->count("requests", Status >= 200 && Status < 300 ? "served"
                                   : Status == 0                 ? "broken off"
                                                 : "not served");
  logLine(
      log_level::Info, "request over",
      {{"id", Facts.AttemptId},
       {"request", hexOf(Identity)},
       {"route", Name},
       {"routing", int64_t(RoutingVersion)},
       {"account", Account ? std::string_view(Account->Name) : ""},
       {"session", Facts.Session},
       {"service", Service},
       {"upstream", LastUpstream ? LastUpstream->Listed.Id : ""},
       {"version", LastUpstream ? LastUpstream->Listed.Version : ""},
       {"model", Model},
       {"prompt_tokens", int64_t(Facts.Model ? Facts.Model->PromptTokens : 0)},
       {"kept_tokens", int64_t(KeptTokens)},
       {"expected_first_s", ExpectedSeconds},
       {"expected_wait_s", WaitSeconds},
       {"first_event_s", FirstEventAt > 0 ? FirstEventAt - SentAt : -1},
       {"confidence", Confidence},
       {"attempts", int64_t(Attempts)},
       {"arrivals", int64_t(Arrivals)},
       {"trouble", LastTrouble},
       {"may_have_run", int64_t(MayHaveRun)},
       {"status", int64_t(Status)},
       {"outcome", Outcome},
       {"event_bytes", int64_t(EventBytes)},
       {"seconds", steadySeconds() - BegunAt}});
  OnOver(*this);
}

} // namespace olivevalve
