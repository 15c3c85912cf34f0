//===- request_task.cpp - Processing of one caller request ----------------===//

#include "entry/request_task.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Time in which a sidecar must respond to an attempt before it counts as lost.
constexpr double AcceptTimeoutSeconds = 1.5;
constexpr uint32_t MaxAttempts = 4;
// Frames, of at most 16 KiB or one event each, that may be in flight to a slow
// caller.
constexpr uint32_t InitialCredits = 32;
// A response that is not streamed is buffered completely up to this size.
constexpr size_t MaxAnswerBytes = 16 << 20;
// Extra time after the deadline in which the sidecar can confirm that the
// attempt was cancelled before it started.
constexpr double DeadlineGraceSeconds = 0.25;
// Bounds the time that the rating between the two steps of a cascade adds to
// the response.
constexpr double CascadeRatingTimeoutSeconds = 2;
constexpr double RatingTimeoutSeconds = 60;

// A full queue shows that the upstream is busy, not that it is failing.
bool opensBreaker(error_kind Kind) {
  return Kind == error_kind::EngineFailed || Kind == error_kind::NoUpstream;
}

bool needsBudget(error_kind Kind) {
  return Kind == error_kind::QueueFull || opensBreaker(Kind);
}

} // namespace

request_task::request_task(entry_context &Context,
                           std::shared_ptr<http_exchange> Exchange,
                           request_facts NewFacts)
    : Context(Context), Exchange(std::move(Exchange)),
      Facts(std::move(NewFacts)) {
  Bill.set_entry(Context.Incarnation);
  Bill.set_request(Facts.Number);
  Bill.set_account(Facts.Account);
  Bill.set_template_(Facts.Template);
}

void request_task::begin() {
  Context.Retries.recordRequest();
  if (!Facts.isChat())
    return run({});
  if (Facts.Session.empty())
    return chooseUnpinned();
  choosePinned();
}

//===----------------------------------------------------------------------===//
// Attempts
//===----------------------------------------------------------------------===//

void request_task::sendAttempt(const std::string &Chosen) {
  // A message may crash the engines of one model only.
  Facts.Causes.Blocks.clear();
  for (const std::string &Block : Facts.Chat.Blocks)
    Facts.Causes.Blocks.push_back(blockIdentity(Version.Model, Block));
  send_permission Permission = Context.Crashes.permissionFor(Facts.Causes);
  if (Permission == send_permission::Refused) {
    releaseClaim();
    return refuse(error_kind::Quarantined,
                  "the request is quarantined: upstreams crashed while "
                  "processing it");
  }
  Upstream = Chosen;
  if (Upstream.empty())
    Upstream = Context.Pool.choose(need(Version), Context.Control.config(),
                                   Context.Random);
  if (Upstream.empty()) {
    releaseClaim();
    return refuse(error_kind::NoUpstream,
                  "no upstream accepts requests for " +
                      (Facts.isChat() ? Version.text() : Facts.Service));
  }
  OnTrial = Permission == send_permission::Trial;
  if (OnTrial)
    Context.Crashes.beginTrial(Facts.Causes);
  ++AttemptCount;
  Id.set_entry(Context.Incarnation);
  Id.set_request(Facts.Number);
  Id.set_number(AttemptCount);
  Accepted = false;
  MoveTarget.clear();
  NextSequence = 0;
  Answer.clear();
  StreamedText.clear();
  SidecarIncarnation = Context.Pool.incarnation(Upstream);
  Context.Pool.attemptStarted(Upstream);
  InFlight = true;
  if (claimed())
    return claim();
  dispatch();
}

wire::envelope request_task::makeAttempt() const {
  wire::envelope Message;
  wire::attempt *Attempt = Message.mutable_attempt();
  *Attempt->mutable_id() = Id;
  Attempt->set_sidecar_incarnation(SidecarIncarnation);
  Attempt->set_config_index(Context.Control.config().index());
  Attempt->set_account(Facts.Account);
  Attempt->set_model(Version.Model);
  Attempt->set_version(Version.Version);
  Attempt->set_method(Facts.Method);
  Attempt->set_path(Facts.Path);
  Attempt->set_content_type(Facts.ContentType);
  double Remaining = std::max(0.001, Facts.Deadline - steadySeconds());
  Attempt->set_budget_ms(uint32_t(Remaining * 1e3));
  Attempt->set_priority(Facts.Priority);
  Attempt->set_credits(InitialCredits);
  Attempt->set_repeatable(!claimed());
  Attempt->set_idempotency_key(Facts.Key);
  fillName(Facts.Causes.Request, *Attempt->mutable_request());
  for (const short_digest &Block : Facts.Causes.Blocks)
    fillName(Block, *Attempt->add_blocks());
  Attempt->set_trial(OnTrial);
  if (!Facts.isChat()) {
    Attempt->set_body(Facts.Body);
    return Message;
  }
  const version_spec *Spec = Context.Control.config().version(Version);
  bool Named = Spec && !Spec->EngineModel.empty();
  Attempt->set_body(
      engineBody(Facts.Chat, Named ? Spec->EngineModel : Version.text()));
  return Message;
}

void request_task::dispatch() {
  Stage = stage::Sent;
  SentAt = steadySeconds();
  // A moved attempt did not run and has already been counted.
  if (Facts.isChat() && !std::exchange(IsMove, false))
    Context.Rater.countExposure(Version);
  if (!Context.Pool.send(Upstream, makeAttempt()))
    retry(error_kind::NoUpstream, "no connection to " + Upstream, false);
}

void request_task::endAttempt() {
  if (InFlight)
    Context.Pool.attemptEnded(Upstream);
  InFlight = false;
}

void request_task::cancelAttempt(bool OnlyIfNotStarted) {
  if (Stage != stage::Sent)
    return;
  wire::envelope Message;
  *Message.mutable_cancel()->mutable_id() = Id;
  Message.mutable_cancel()->set_only_if_not_started(OnlyIfNotStarted);
  Message.mutable_cancel()->set_sidecar_incarnation(SidecarIncarnation);
  Context.Pool.send(Upstream, Message);
}

void request_task::onMessage(const std::string &From,
                             const wire::envelope &Message) {
  if (Message.has_cancel_result())
    return onCancelResult(Message.cancel_result());
  if (Stage != stage::Sent || From != Upstream)
    return;
  switch (Message.body_case()) {
  case wire::envelope::kAccepted:
    return onAccepted(Message.accepted());
  case wire::envelope::kRefused:
    return onRefused(Message.refused());
  case wire::envelope::kHead:
    return onHead(Message.head());
  case wire::envelope::kFrame:
    return onFrame(Message.frame());
  case wire::envelope::kEnd:
    return onEnd(Message.end());
  default:
    return;
  }
}

// The upstream was chosen by a load report that may be out of date; the message
// `accepted` carries its present load. If the request would have to queue while
// another upstream seems free, its cancellation is requested; the sidecar
// grants that only if the attempt has not started.
void request_task::onAccepted(const wire::accepted &Answer) {
  Accepted = true;
  Context.Pool.updateLoad(Upstream, Answer.running(), Answer.queued());
  bool CanMove = !Answer.started() && !claimed() && MoveCount < MaxMoves &&
                 !DeadlineCancelSent;
  if (!CanMove)
    return;
  MoveTarget = Context.Pool.chooseIdle(
      need(Version), Upstream, Context.Control.config(), Context.Random);
  if (!MoveTarget.empty())
    cancelAttempt(true);
}

void request_task::resendMoved() {
  ++MoveCount;
  Context.Metrics.count("moves", Facts.Account);
  endAttempt();
  IsMove = true;
  sendAttempt(std::exchange(MoveTarget, {}));
}

void request_task::onRefused(const wire::refused &Refused) {
  error_kind Kind = kindFromNumber(Refused.kind());
  if (DeadlineCancelSent) {
    endAttempt();
    releaseClaim();
    return refuse(error_kind::DeadlineExceeded, "the deadline has passed");
  }
  if (opensBreaker(Kind))
    Context.Pool.failed(Upstream);
  retry(Kind, Refused.message(), needsBudget(Kind));
}

// Called only if the attempt certainly did not run, or may run again.
void request_task::retry(error_kind Kind, const std::string &Message,
                         bool UsesBudget) {
  endAttempt();
  Tried.insert(Upstream);
  bool InTime = steadySeconds() < Facts.Deadline;
  bool MayChoose = Facts.isChat() && !claimed() && !Escalated && InTime;
  if (Kind == error_kind::VersionWithdrawn && MayChoose && chooseAnother())
    return;
  bool CanRetry =
      responseFor(Kind).RetryElsewhere || Kind == error_kind::NoUpstream;
  if (CanRetry && InTime && AttemptCount - uint32_t(MoveCount) < MaxAttempts &&
      (!UsesBudget || Context.Retries.take())) {
    Context.Metrics.count("retries", responseFor(Kind).Code);
    return sendAttempt();
  }
  releaseClaim();
  refuse(Kind, Message);
}

void request_task::onHead(const wire::head &Head) {
  Status = int(Head.status());
  ContentType = Head.content_type();
}

void request_task::onFrame(const wire::frame &Frame) {
  // A missing, repeated or reordered frame: the remaining ones are unusable.
  if (Frame.sequence() != NextSequence)
    return attemptFailed(error_kind::EngineFailed,
                         "a frame of the answer is missing");
  ++NextSequence;
  double Now = steadySeconds();
  if (FirstFrameAt == 0) {
    FirstFrameAt = Now;
    record(measure::TimeToFirstToken, Now - Facts.Arrived);
  } else {
    record(measure::BetweenTokens, Now - LastFrameAt);
  }
  LastFrameAt = Now;
  bool Stream = Facts.isChat() && Facts.Chat.Stream && Status == 200;
  if (!Stream) {
    if (Answer.size() + Frame.data().size() > MaxAnswerBytes) {
      cancelAttempt(false);
      endAttempt();
      return refuse(error_kind::AnswerTooLarge,
                    "the answer is larger than 16 MiB; ask for a stream");
    }
    Answer += Frame.data();
    if (claimed())
      return;
    wire::envelope Message;
    *Message.mutable_credit()->mutable_id() = Id;
    Message.mutable_credit()->set_frames(1);
    Context.Pool.send(Upstream, Message);
    return;
  }
  if (Context.Rater.enabled())
    StreamedText.feed(Frame.data());
  if (!Streaming) {
    Streaming = true;
    std::weak_ptr<request_task> Weak = shared_from_this();
    Exchange->OnDrained = [Weak](size_t Chunks) {
      auto Task = Weak.lock();
      if (!Task || Task->Stage != stage::Sent || Task->claimed())
        return;
      wire::envelope Message;
      *Message.mutable_credit()->mutable_id() = Task->Id;
      Message.mutable_credit()->set_frames(uint32_t(Chunks));
      Task->Context.Pool.send(Task->Upstream, Message);
    };
    Exchange->startStream(Status, ContentType, headers());
  }
  Exchange->write(Frame.data());
}

void request_task::onEnd(const wire::end &End) {
  Context.Pool.updateLoad(Upstream, End.running(), End.queued());
  error_kind Kind = kindFromNumber(End.kind());
  if (Kind != error_kind::None)
    return attemptFailed(Kind, End.message());
  if (End.frames() != NextSequence)
    return attemptFailed(error_kind::EngineFailed,
                         "the end of the answer is missing");
  ClaimValue.clear(); // The sidecar stores the outcome at control.
  Context.Pool.succeeded(Upstream);
  endAttempt();
  onAnswerComplete(End.usage());
}

// The sidecar holds a copy of the bill until the entry settles it.
void request_task::sendNothingDue() {
  wire::envelope Message;
  *Message.mutable_settle()->mutable_id() = Id;
  Message.mutable_settle()->set_nothing_due(true);
  Context.Pool.send(Upstream, Message);
}

// The attempt may have run. If it is claimed, it must not run again. Otherwise
// it may, unless a part of the response has already been sent to the caller.
void request_task::attemptFailed(error_kind Kind, const std::string &Message) {
  Context.Pool.failed(Upstream);
  if (Facts.isChat())
    Context.Rater.reportFailure(ratedAnswer(Version));
  if (claimed()) {
    endAttempt();
    return refuse(error_kind::OutcomeUnknown, Message);
  }
  cancelAttempt(false);
  MayHaveRun = true;
  if (Streaming) {
    endAttempt();
    return refuse(Kind, Message);
  }
  FirstFrameAt = 0;
  retry(Kind, Message, true);
}

void request_task::onLost(const std::string &Lost) {
  if (Stage != stage::Sent || Lost != Upstream)
    return;
  if (!claimed())
    return attemptFailed(error_kind::EngineFailed,
                         "the connection to the upstream broke");
  // The outcome must be resolved before the caller gets any response.
  endAttempt();
  HolderValue = ClaimValue;
  Holder.ParseFromString(ClaimValue);
  Stage = stage::Resolving;
  ResolveUntil =
      std::min(Facts.Deadline, steadySeconds() + ResolveTimeoutSeconds);
  NextResolveAt = steadySeconds() + ResolveIntervalSeconds;
}

void request_task::onCancelResult(const wire::cancel_result &Result) {
  if (Stage == stage::Resolving && keyOf(Result.id()) == keyOf(Holder.id()))
    return onResolved(Result.progress());
  bool Own = Stage == stage::Sent && keyOf(Result.id()) == keyOf(Id);
  bool NotStarted = Result.progress() == wire::cancel_result::NOT_STARTED;
  if (Own && NotStarted && !MoveTarget.empty() && !DeadlineCancelSent)
    return resendMoved();
  if (!Own || !DeadlineCancelSent)
    return;
  endAttempt();
  if (!NotStarted)
    return refuse(error_kind::DeadlineUnknown,
                  "the deadline has passed; the request had started");
  releaseClaim();
  refuse(error_kind::DeadlineExceeded, "the deadline has passed");
}

void request_task::onDeadline() {
  if (Streaming) {
    cancelAttempt(false);
    endAttempt();
    return refuse(error_kind::DeadlineUnknown, "the deadline has passed");
  }
  if (Stage == stage::Choosing)
    return refuse(error_kind::DeadlineExceeded, "the deadline has passed");
  if (Stage == stage::Resolving)
    return refuse(error_kind::OutcomeUnknown,
                  "the deadline has passed while the outcome was unknown");
  if (Stage == stage::Claiming) {
    // No attempt has been sent, so the request certainly did not run. If the
    // release does not reach control, the next request with the same key learns
    // from the sidecar that the attempt never started.
    releaseClaim();
    return refuse(error_kind::DeadlineExceeded, "the deadline has passed");
  }
  if (!DeadlineCancelSent) {
    DeadlineCancelSent = true;
    return cancelAttempt(claimed());
  }
  endAttempt();
  refuse(error_kind::DeadlineUnknown,
         "the deadline has passed and the upstream does not respond");
}

void request_task::tick(double Now) {
  if (Stage == stage::Over || Stage == stage::Answered)
    return;
  double Limit =
      Facts.Deadline + (DeadlineCancelSent ? DeadlineGraceSeconds : 0.0);
  if (Now >= Limit)
    return onDeadline();
  if (Stage == stage::Resolving && Now >= NextResolveAt)
    return resolve(Now);
  bool Unanswered = Stage == stage::Sent && !Accepted && FirstFrameAt == 0 &&
                    Now > SentAt + AcceptTimeoutSeconds;
  if (Unanswered)
    onLost(Upstream);
}

void request_task::onCallerGone() {
  if (Stage == stage::Over)
    return;
  Context.Metrics.count("callers_gone", Facts.Account);
  // A claimed attempt that has started goes on: the caller can request its
  // outcome later.
  cancelAttempt(claimed());
  abandonClaim();
  if (Stage == stage::Answered)
    sendNothingDue();
  endAttempt();
  finishTask();
}

//===----------------------------------------------------------------------===//
// Answers
//===----------------------------------------------------------------------===//

rated_answer request_task::ratedAnswer(const version_name &Used) const {
  return {.RequestId = Facts.Id,
          .Template = Facts.Template,
          .Account = Facts.Account,
          .Version = Used};
}

rated_answer request_task::answerToRate(uint64_t Micros) const {
  rated_answer ToRate = ratedAnswer(Version);
  ToRate.Question = jsonText(Facts.Chat.Body);
  ToRate.Answer = Streaming ? StreamedText.text() : textOfAnswer(Answer);
  ToRate.Cost = double(Micros) * 1e-6;
  return ToRate;
}

void request_task::onAnswerComplete(const wire::usage &Usage) {
  wire::bill_item *Item = Bill.add_items();
  Item->set_model(Facts.isChat() ? Version.Model : Facts.Service);
  Item->set_version(Version.Version);
  *Item->mutable_usage() = Usage;
  const version_spec *Spec = Context.Control.config().version(Version);
  Item->set_cost_micros(Spec ? costMicros(*Spec, Usage) : 0);
  CostMicros += Item->cost_micros();
  bool Rated = Facts.isChat() && Status == 200 && Context.Rater.enabled();
  if (Rated && Arm.isCascade() && !Escalated)
    return rateFirstAnswer();
  if (Rated) {
    rated_answer ToRate = answerToRate(Item->cost_micros());
    auto Self = shared_from_this();
    bool WasCascade = Arm.isCascade();
    Context.Rater.rate(ToRate, RatingTimeoutSeconds,
                       [Self, ToRate, WasCascade](std::optional<double> Score) {
                         if (!WasCascade || !Score)
                           return;
                         rated_answer Total = ToRate;
                         Total.Cost = double(Self->CostMicros) * 1e-6;
                         Self->Context.Rater.reportCascade(Total, Self->Arm,
                                                           *Score);
                       });
  }
  deliver();
}

// Rates the first answer of a cascade and delivers it if it is good enough.
void request_task::rateFirstAnswer() {
  Stage = stage::Rating;
  rated_answer ToRate = answerToRate(CostMicros);
  double Threshold = escalationThreshold(
      {.QualityTarget = Facts.QualityTarget, .Policy = Facts.Policy});
  double Remaining = Facts.Deadline - steadySeconds();
  auto Self = shared_from_this();
  Context.Rater.rate(
      ToRate,
      std::min(CascadeRatingTimeoutSeconds, std::max(0.01, Remaining / 2)),
      [this, Self, ToRate, Threshold](std::optional<double> Score) {
        if (Stage != stage::Rating)
          return;
        if (!Score || *Score >= Threshold) {
          if (Score)
            Context.Rater.reportCascade(ToRate, Arm, *Score);
          return deliver();
        }
        Escalated = true;
        FirstAnswer = Answer;
        FirstFrameAt = 0;
        run(Arm.Second);
      });
}

void request_task::deliver() {
  Stage = stage::Answered;
  auto Self = shared_from_this();
  Exchange->OnComplete = [this, Self] { onDelivered(); };
  if (Streaming)
    return Exchange->finish();
  std::string Body = std::move(Answer);
  Answer.clear();
  std::vector<header_field> Headers = headers();
  Headers.push_back(
      {"X-Olivevalve-Cost", std::to_string(double(CostMicros) * 1e-6)});
  Exchange->reply(Status, ContentType, std::move(Body), Headers);
}

void request_task::record(measure Measure, double Value) const {
  Context.Metrics.record(Measure, Facts.Account, Value);
  Context.Metrics.record(Measure, priorityClass(Facts.Priority), Value);
}

// The caller has received the complete response; only now is it billed.
void request_task::onDelivered() {
  if (Stage == stage::Over)
    return;
  Context.Outbox.add(Bill);
  wire::envelope Message;
  *Message.mutable_settle()->mutable_id() = Id;
  *Message.mutable_settle()->mutable_bill() = Bill;
  Context.Pool.send(Upstream, Message);
  record(measure::TotalTime, steadySeconds() - Facts.Arrived);
  record(measure::Cost, double(CostMicros) * 1e-6);
  Context.Metrics.count("answered", Facts.Account);
  if (logs(log_level::Debug))
    logLine(log_level::Debug, "request answered",
            {{"request_id", Facts.Id},
             {"account", Facts.Account},
             {"version", Version.text()},
             {"upstream", Upstream},
             {"seconds", steadySeconds() - Facts.Arrived}});
  finishTask();
}

std::vector<header_field> request_task::headers() const {
  std::vector<header_field> Headers = {{"X-Request-Id", Facts.Id}};
  if (!Version.Model.empty()) {
    Headers.push_back({"X-Olivevalve-Model", Version.Model});
    Headers.push_back({"X-Olivevalve-Version", Version.Version});
  }
  if (!Upstream.empty())
    Headers.push_back({"X-Olivevalve-Upstream", Upstream});
  return Headers;
}

// The last attempt certainly did not run, but an earlier one may have.
error_kind request_task::kindToReport(error_kind Kind) const {
  if (!MayHaveRun || responseFor(Kind).Outcome != outcome::NotRun)
    return Kind;
  return Kind == error_kind::DeadlineExceeded ? error_kind::DeadlineUnknown
                                              : error_kind::EngineFailed;
}

void request_task::refuse(error_kind Kind, const std::string &Message) {
  Kind = kindToReport(Kind);
  // A cascade whose second step fails still has its first answer.
  if (Escalated && !FirstAnswer.empty()) {
    Answer = std::move(FirstAnswer);
    FirstAnswer.clear();
    Version = Arm.First;
    Status = 200;
    return deliver();
  }
  const error_response &Reply = responseFor(Kind);
  if (Reply.Outcome == outcome::Unknown)
    abandonClaim();
  Context.Metrics.count("errors", Reply.Code);
  logLine(log_level::Info, "request refused",
          {{"request_id", Facts.Id},
           {"account", Facts.Account},
           {"kind", Reply.Code},
           {"detail", Message}});
  if (Streaming) {
    Exchange->abort();
    return finishTask();
  }
  std::vector<header_field> Headers = headers();
  Headers.push_back(
      {"X-Olivevalve-Outcome", std::string(nameOf(Reply.Outcome))});
  if (Reply.RetryAfterSeconds > 0)
    Headers.push_back({"Retry-After", std::to_string(Reply.RetryAfterSeconds)});
  Exchange->reply(Reply.HttpStatus, "application/json",
                  errorBody(Kind, Message), Headers);
  finishTask();
}

void request_task::finishTask() {
  endAttempt();
  Stage = stage::Over;
  Exchange->OnGone = nullptr;
}

} // namespace olivevalve
