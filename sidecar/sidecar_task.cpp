//===- sidecar_task.cpp - The sidecar role --------------------------------===//

#include "sidecar/sidecar_task.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/fields.h"
#include "base/log.h"
#include "sidecar/admission.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.1;
// Interval at which the load is checked and, if it has changed enough, reported
// to entries. Responses carry it too, and entries request it every ten seconds.
constexpr double LoadCheckSeconds = 1.5;
// An entry that has not sent a hello for this long gets no more reports.
constexpr double EntryTimeoutSeconds = 25;
// Bounds the requests that wait at one upstream. Beyond it entries must choose
// another upstream or refuse the caller.
constexpr size_t MaxQueueLength = 256;
// Bounds the time in the queue whatever the request's deadline: after it,
// another replica or an error serves the caller better.
constexpr double MaxQueueSeconds = 10;
// The sidecar's copy of a bill is held back so that the entry's is counted
// first.
constexpr double BillHoldSeconds = 3;
// An engine's load has a few numbers.
constexpr size_t MaxLoadBytes = 64 << 10;
// Stands for the leader in crash reports: only the leader sends grants, so it
// need not be told apart from the other control VMs.
constexpr uint64_t AnyLeader = 1;
constexpr std::string_view IncompleteResponse =
    "the engine's response is incomplete";

request_causes causesOf(const wire::attempt &Attempt) {
  request_causes Causes{.Request = digestOf(Attempt.request())};
  for (const wire::request_name &Block : Attempt.blocks())
    Causes.Blocks.push_back(digestOf(Block));
  Causes.Service = checksum(Attempt.model());
  return Causes;
}

} // namespace

sidecar_task::sidecar_task(link_context &Context, struct ev_loop *Loop,
                           metrics &Metrics, sidecar_options NewOptions)
    : Metrics(Metrics), Options(std::move(NewOptions)),
      Incarnation(randomIncarnation()),
      Server(Context, Loop,
             [this](const std::string &Peer, const wire::envelope &Message) {
               receive(Peer, Message);
             }),
      Control(Context, Loop,
              {.Node = Options.Node,
               .Incarnation = Incarnation,
               .Role = "sidecar",
               .DataHall = Options.DataHall,
               .Control = Options.Control}),
      Outbox(Control, Loop, BillHoldSeconds), Http(Loop),
      Loader(Http, Options.EngineUrl), Queue(MaxQueueLength), Reports(Metrics),
      Crashes(Loop, Metrics, Reports), Probes(Loop),
      Timer(Loop, [this] { tick(); }) {
  Control.OnRenew = [this](wire::renew &Renew) {
    wire::news &Report = *Renew.mutable_upstream_news();
    Report = makeReport();
    Report.set_upstream(Options.Upstream);
    Report.set_engine_load(EngineLoad.CacheInUse);
    Report.set_engine_load_age(steadySeconds() - EngineLoad.At);
    fillVersionLoads(Renew);
    Reports.fill(*Renew.mutable_crashes(), Renew.sent_at());
  };
  Control.OnGrant = [this](const wire::grant &Grant) {
    Reports.acknowledged(Grant.sent_at(), AnyLeader);
    Reports.apply(Grant.quarantine());
  };
  Reports.OnReport = [this] { CrashReportPending = true; };
  Crashes.OnCrash = [this](const watched_upstream &) {
    EngineCrashedAt = steadySeconds();
  };
  Control.OnConfig = [this] { sendReport(); };
  Loader.OnChanged = [this] { sendReport(); };
  Timer.startRepeating(TickSeconds);
}

int64_t sidecar_task::slots() const {
  const upstream_spec *Upstream = Control.config().upstream(Options.Upstream);
  return Upstream ? Upstream->Slots : 1;
}

bool sidecar_task::isEngine() const {
  const upstream_spec *Upstream = Control.config().upstream(Options.Upstream);
  return Upstream && Upstream->Service.empty();
}

bool sidecar_task::managed() const {
  const upstream_spec *Upstream = Control.config().upstream(Options.Upstream);
  return Upstream && Upstream->managed();
}

// Reports the load by which control places versions.
void sidecar_task::fillVersionLoads(wire::renew &Renew) const {
  if (!managed())
    return;
  std::map<version_name, uint32_t> InFlight;
  for (const auto &[Ticket, Work] : Attempts)
    ++InFlight[{Work.Attempt.model(), Work.Attempt.version()}];
  for (const auto &[Version, Count] : InFlight) {
    wire::version_load *Load = Renew.add_version_loads();
    Load->set_version(Version.text());
    Load->set_in_flight(Count);
  }
}

// The engine is given versions only under a lease, because a sidecar that has
// been cut off may hold an assignment that is long out of date.
void sidecar_task::updateVersions() {
  const catalog &Config = Control.config();
  const upstream_spec *Upstream = Config.upstream(Options.Upstream);
  if (!Upstream || !Upstream->managed() || !Control.hasLease())
    return;
  auto Placement = Config.objects().find({"placement", Options.Upstream});
  version_assignment Assignment{.Room = size_t(Upstream->MaxLoadedVersions)};
  if (Placement != Config.objects().end())
    Assignment.Index = Placement->second.Index;
  for (const version_name &Name : Config.versionsOf(*Upstream)) {
    const version_spec *Spec = Config.version(Name);
    if (!Spec)
      continue;
    Assignment.Versions[Name] =
        Spec->EngineModel.empty() ? Name.text() : Spec->EngineModel;
  }
  std::set<version_name> InUse;
  for (const auto &[Ticket, Work] : Attempts)
    InUse.insert({Work.Attempt.model(), Work.Attempt.version()});
  Loader.update(Assignment, InUse);
}

bool sidecar_task::isQuarantined(const wire::attempt &Attempt) const {
  return Reports.refuses(digestOf(Attempt.request())) ||
         std::any_of(Attempt.blocks().begin(), Attempt.blocks().end(),
                     [this](const wire::request_name &Block) {
                       return Reports.refuses(digestOf(Block));
                     });
}

absl::Status sidecar_task::check(const wire::attempt &Attempt) const {
  if (!Attempt.trial() && isQuarantined(Attempt))
    return makeError(error_kind::Quarantined,
                     "the request is quarantined: upstreams crashed while "
                     "processing it");
  return admit(Attempt,
               {.Upstream = Options.Upstream,
                .Incarnation = Incarnation,
                .HasLease = Control.hasLease(),
                .Stopping = Stopping,
                .Loaded = &Loader.loaded(),
                .Evacuated = &Control.evacuated()},
               Control.config());
}

void sidecar_task::receive(const std::string &Peer,
                           const wire::envelope &Message) {
  switch (Message.body_case()) {
  case wire::envelope::kAttempt:
    return onAttempt(Peer, Message.attempt());
  case wire::envelope::kCredit:
    return onCredit(Message.credit());
  case wire::envelope::kCancel:
    return onCancel(Peer, Message.cancel());
  case wire::envelope::kSettle:
    return onSettle(Message.settle());
  case wire::envelope::kHello:
    return onHello(Peer);
  default:
    Metrics.count("unexpected_messages", "sidecar");
  }
}

void sidecar_task::onHello(const std::string &Peer) {
  Entries[Peer] = steadySeconds();
  wire::envelope Message;
  *Message.mutable_news() = makeReport();
  Server.send(Peer, Message);
}

void sidecar_task::refuse(const std::string &Peer, const wire::attempt_id &Id,
                          const absl::Status &Status) {
  error_kind Kind = kindOf(Status);
  Metrics.count("refused", responseFor(Kind).Code);
  wire::envelope Message;
  wire::refused *Refused = Message.mutable_refused();
  *Refused->mutable_id() = Id;
  Refused->set_kind(uint32_t(Kind));
  Refused->set_message(std::string(messageOf(Status)));
  Server.send(Peer, Message);
}

// An attempt that is already in the table is a duplicate, or arrives after its
// own cancellation: it must not run again.
void sidecar_task::onAttempt(const std::string &Peer,
                             const wire::attempt &Attempt) {
  attempt_key Key = keyOf(Attempt.id());
  attempt_progress Progress = Table.progress(Key);
  if (Progress == attempt_progress::NotStarted)
    return refuse(Peer, Attempt.id(),
                  makeError(error_kind::Cancelled,
                            "the attempt was cancelled before it arrived"));
  if (Progress != attempt_progress::Unknown) {
    Metrics.count("doubled_attempts", "sidecar");
    return;
  }
  absl::Status Status = check(Attempt);
  if (!Status.ok()) {
    Table.set(Key, attempt_progress::NotStarted, steadySeconds());
    return refuse(Peer, Attempt.id(), Status);
  }
  enqueue(Peer, Attempt);
}

void sidecar_task::enqueue(const std::string &Peer,
                           const wire::attempt &Attempt) {
  double Now = steadySeconds();
  uint64_t Ticket = NextTicket++;
  active_attempt &Work = Attempts[Ticket];
  Work.Peer = Peer;
  Work.Attempt = Attempt;
  Work.Ticket = Ticket;
  Work.Arrived = Now;
  Work.Credits = Attempt.credits();
  attempt_key Key = keyOf(Attempt.id());
  Tickets[Key] = Ticket;
  Table.set(Key, attempt_progress::Queued, Now);
  double Wait = std::min(Attempt.budget_ms() * 1e-3, MaxQueueSeconds);
  auto Shed = Queue.push({.Ticket = Ticket,
                          .Priority = Attempt.priority(),
                          .Arrived = Now,
                          .Deadline = Now + Wait});
  if (Shed)
    rejectQueued(*Shed, error_kind::QueueFull, "the upstream's queue is full");
  startNext();
  active_attempt *Current = find(Ticket);
  if (!Current)
    return;
  wire::envelope Message;
  wire::accepted *Accepted = Message.mutable_accepted();
  *Accepted->mutable_id() = Attempt.id();
  Accepted->set_started(Current->Running);
  Accepted->set_running(uint32_t(Running));
  Accepted->set_queued(uint32_t(Queue.size()));
  Server.send(Peer, Message);
}

sidecar_task::active_attempt *sidecar_task::find(uint64_t Ticket) {
  auto It = Attempts.find(Ticket);
  return It == Attempts.end() ? nullptr : &It->second;
}

sidecar_task::active_attempt *sidecar_task::find(const attempt_key &Key) {
  auto It = Tickets.find(Key);
  return It == Tickets.end() ? nullptr : find(It->second);
}

void sidecar_task::removeAttempt(uint64_t Ticket, attempt_progress Progress) {
  auto It = Attempts.find(Ticket);
  attempt_key Key = keyOf(It->second.Attempt.id());
  Table.set(Key, Progress, steadySeconds());
  if (It->second.Running)
    --Running;
  Tickets.erase(Key);
  Attempts.erase(It);
}

void sidecar_task::rejectQueued(uint64_t Ticket, error_kind Kind,
                                std::string_view Message) {
  active_attempt *Work = find(Ticket);
  if (!Work)
    return;
  refuse(Work->Peer, Work->Attempt.id(), makeError(Kind, Message));
  removeAttempt(Ticket, attempt_progress::NotStarted);
}

// Admission is checked again at the start, since the version may have been
// withdrawn or the lease lost while the attempt was queued.
void sidecar_task::startNext() {
  double Now = steadySeconds();
  while (Running < slots()) {
    auto Next = Queue.pop(Now);
    if (!Next)
      return;
    active_attempt *Work = find(Next->Ticket);
    if (!Work)
      continue;
    absl::Status Status = check(Work->Attempt);
    // In a planned stop the attempts accepted before it are completed.
    bool WasAccepted = kindOf(Status) == error_kind::Draining && Stopping;
    if (Status.ok() || WasAccepted)
      start(*Work, Now);
    else
      rejectQueued(Next->Ticket, kindOf(Status),
                   std::string(messageOf(Status)));
  }
}

void sidecar_task::start(active_attempt &Work, double Now) {
  Reports.received(causesOf(Work.Attempt));
  Work.Running = true;
  Work.Started = Now;
  ++Running;
  Table.set(keyOf(Work.Attempt.id()), attempt_progress::Running, Now);
  double Waited = Now - Work.Arrived;
  Metrics.record(measure::QueueTime, Work.Attempt.account(), Waited);
  Metrics.record(measure::QueueTime, priorityClass(Work.Attempt.priority()),
                 Waited);
  uint64_t Ticket = Work.Ticket;
  fetch_options Request = engineRequest(Work.Attempt, Options.EngineUrl);
  Request.SentOnce = true;
  Work.Attempt.clear_body();
  double Left = Request.TimeoutSeconds - (Now - Work.Arrived);
  Request.TimeoutSeconds = std::max(Left, 0.001);
  Request.OnHead = [this, Ticket](int Status, std::string_view Type) {
    onHead(Ticket, Status, Type);
  };
  Request.OnBytes = [this, Ticket](std::string_view Bytes) {
    return onBytes(Ticket, Bytes);
  };
  Request.OnDone = [this, Ticket](const fetch_result &Result) {
    onDone(Ticket, Result);
  };
  Work.Fetch = Http.start(std::move(Request));
}

void sidecar_task::onHead(uint64_t Ticket, int Status,
                          std::string_view ContentType) {
  active_attempt *Work = find(Ticket);
  if (!Work)
    return;
  Work->Status = Status;
  Work->BegunAt = steadySeconds();
  if (isPrintable(ContentType))
    Work->ContentType = std::string(ContentType);
  // An engine's server error is not passed on: the entry may retry elsewhere.
  if (isEngine() && Status >= 500)
    return;
  bool HasFinalEvent = isEngine() && Status < 300;
  if (isEventStreamType(ContentType))
    Work->Body = response_body(
        {.Content = body_content::Events,
         .FinalData = HasFinalEvent ? FinalEventData : std::string_view()});
  wire::envelope Message;
  wire::head *Head = Message.mutable_head();
  *Head->mutable_id() = Work->Attempt.id();
  Head->set_status(uint32_t(Status));
  Head->set_content_type(Work->ContentType);
  Server.send(Work->Peer, Message);
}

bool sidecar_task::onBytes(uint64_t Ticket, std::string_view Bytes) {
  active_attempt *Work = find(Ticket);
  if (!Work)
    return true;
  if (isEngine() && Work->Status >= 500)
    return true;
  // A claimed attempt runs to its end even if nobody reads the response.
  if (!Work->claimed() && Work->Credits == 0) {
    Work->Paused = true;
    return false;
  }
  recordSurvival(*Work);
  std::string_view Ready = Work->Body.take(Bytes);
  if (Work->Body.isOversized()) {
    Http.cancel(Work->Fetch);
    conclude(Ticket, std::string(IncompleteResponse));
    return true;
  }
  if (!Ready.empty())
    passOn(*Work, Ready);
  return true;
}

// Called with each part of a response.
void sidecar_task::recordSurvival(active_attempt &Work) {
  if (Work.Survived || Work.Status >= 300 ||
      steadySeconds() < Work.BegunAt + SurvivalSeconds)
    return;
  Work.Survived = true;
  Reports.survived(causesOf(Work.Attempt).Blocks, Work.BegunAt);
}

void sidecar_task::passOn(active_attempt &Work, std::string_view Bytes) {
  if (Work.Credits > 0)
    --Work.Credits;
  // An outcome beyond the bound grows past it and is not stored.
  if (Work.claimed() && Work.Outcome.size() <= MaxOutcomeBytes)
    Work.Outcome.append(Bytes);
  Work.Usage.feed(Bytes);
  wire::envelope Message;
  wire::frame *Frame = Message.mutable_frame();
  *Frame->mutable_id() = Work.Attempt.id();
  Frame->set_sequence(Work.NextSequence++);
  Frame->set_data(Bytes.data(), Bytes.size());
  if (!Server.send(Work.Peer, Message) && !Work.claimed()) {
    // The entry is gone, so nobody can read the rest.
    Metrics.count("entries_gone", "sidecar");
    Http.cancel(Work.Fetch);
    removeAttempt(Work.Ticket, attempt_progress::Finished);
  }
}

void sidecar_task::onCredit(const wire::credit &Credit) {
  active_attempt *Work = find(keyOf(Credit.id()));
  if (!Work)
    return;
  Work->Credits += Credit.frames();
  if (!Work->Paused)
    return;
  Work->Paused = false;
  Http.resume(Work->Fetch);
}

void sidecar_task::onDone(uint64_t Ticket, const fetch_result &Result) {
  active_attempt *Work = find(Ticket);
  if (!Work)
    return;
  if (Result.NeverSent) {
    refuse(Work->Peer, Work->Attempt.id(),
           makeError(error_kind::NoUpstream, "cannot connect to the engine"));
    removeAttempt(Ticket, attempt_progress::NotStarted);
    return startNext();
  }
  if (!Result.Error.empty())
    return conclude(Ticket, Result.Error);
  completeness Completeness = Work->Body.atEnd(Result.End);
  Metrics.count("response_ends", nameOf(Completeness));
  if (Completeness == completeness::Incomplete)
    return conclude(Ticket, std::string(IncompleteResponse));
  if (Completeness == completeness::Complete)
    return conclude(Ticket, "");
  Probes.start({.Address = engine().Address, .OpenSeconds = ExitSeconds},
               [this, Ticket](probe_result Engine) {
                 bool Exited = Engine == probe_result::Refused;
                 conclude(Ticket,
                          Exited ? std::string(IncompleteResponse) : "");
               });
}

// \p Error: what kept the engine's response from being complete; empty: it is
// complete.
void sidecar_task::conclude(uint64_t Ticket, std::string Error) {
  active_attempt *Work = find(Ticket);
  if (Work && Error.empty() && !Work->Body.heldBack().empty()) {
    passOn(*Work, Work->Body.heldBack());
    Work = find(Ticket);
  }
  if (!Work)
    return startNext();
  recordEngineResult(*Work, Error.empty());
  bool Failed = !Error.empty() || (isEngine() && Work->Status >= 500);
  error_kind Kind = Failed ? error_kind::EngineFailed : error_kind::None;
  if (Error.empty() && Failed)
    Error = "the engine responded with status " + std::to_string(Work->Status);
  if (Work->claimed() && Kind == error_kind::None)
    storeOutcome(*Work);
  if (Kind == error_kind::None)
    holdBill(*Work);
  sendEnd(*Work, Kind, Error);
  removeAttempt(Ticket, attempt_progress::Finished);
  startNext();
}

watched_upstream sidecar_task::engine() const {
  size_t Host = Options.EngineUrl.find("//");
  return {.Key = checksum(Options.Upstream, Incarnation + EngineGeneration),
          .Name = Options.Upstream,
          .Address = Options.EngineUrl.substr(
              Host == std::string::npos ? 0 : Host + 2)};
}

// Derives from a finished attempt whether the engine that ran it is alive.
void sidecar_task::recordEngineResult(const active_attempt &Work,
                                      bool Answered) {
  bool Restarted = EngineCrashedAt > 0 && Work.Started > EngineCrashedAt;
  if (Restarted) {
    ++EngineGeneration;
    EngineCrashedAt = 0;
  }
  request_causes Causes = causesOf(Work.Attempt);
  if (!Answered) {
    if (Work.Survived)
      Causes.Blocks.clear();
    return Crashes.recordInterruptedRequest(engine(),
                                            {.Causes = std::move(Causes),
                                             .Begun = Work.BegunAt > 0,
                                             .SentAt = Work.Started});
  }
  Crashes.recordResponse(engine().Key, Work.Started);
  if (Work.Status >= 300)
    return;
  Reports.answered(Causes.Request);
  Reports.survived(Causes.Blocks, Work.BegunAt);
}

void sidecar_task::sendEnd(const active_attempt &Work, error_kind Kind,
                           std::string_view Message) {
  wire::envelope Envelope;
  wire::end *End = Envelope.mutable_end();
  *End->mutable_id() = Work.Attempt.id();
  End->set_frames(Work.NextSequence);
  End->set_kind(uint32_t(Kind));
  End->set_message(std::string(Message));
  End->set_queued_us(uint32_t((Work.Started - Work.Arrived) * 1e6));
  End->set_running(uint32_t(Running));
  End->set_queued(uint32_t(Queue.size()));
  if (auto Usage = Work.Usage.usage())
    *End->mutable_usage() = *Usage;
  if (Kind != error_kind::None)
    Metrics.count("failed_attempts", responseFor(Kind).Code);
  Server.send(Work.Peer, Envelope);
}

// With only_if_not_started the reply gives the attempt's progress, and an
// attempt that is running is left alone. Otherwise a running attempt is also
// aborted at the engine.
void sidecar_task::onCancel(const std::string &Peer,
                            const wire::cancel &Cancel) {
  if (Cancel.sidecar_incarnation() != Incarnation)
    return sendCancelResult(Peer, Cancel.id(), wire::cancel_result::GONE);
  attempt_key Key = keyOf(Cancel.id());
  if (!Cancel.only_if_not_started())
    Unsettled.erase(Key);
  double Now = steadySeconds();
  active_attempt *Work = find(Key);
  attempt_progress Progress = Table.cancelIfNotStarted(Key, Now);
  if (Progress == attempt_progress::NotStarted && Work) {
    Queue.remove(Work->Ticket);
    removeAttempt(Work->Ticket, attempt_progress::NotStarted);
  }
  bool Abort =
      Progress == attempt_progress::Running && !Cancel.only_if_not_started();
  if (Abort && Work) {
    Http.cancel(Work->Fetch);
    removeAttempt(Work->Ticket, attempt_progress::Finished);
    Progress = attempt_progress::Finished;
    startNext();
  }
  sendCancelResult(Peer, Cancel.id(),
                   Progress == attempt_progress::NotStarted
                       ? wire::cancel_result::NOT_STARTED
                   : Progress == attempt_progress::Running
                       ? wire::cancel_result::STARTED
                       : wire::cancel_result::FINISHED);
}

void sidecar_task::sendCancelResult(
    const std::string &Peer, const wire::attempt_id &Id,
    wire::cancel_result::cancel_progress Progress) {
  wire::envelope Message;
  *Message.mutable_cancel_result()->mutable_id() = Id;
  Message.mutable_cancel_result()->set_progress(Progress);
  Server.send(Peer, Message);
}

wire::news sidecar_task::makeReport() const {
  wire::news Report;
  Report.set_incarnation(Incarnation);
  Report.set_config_index(Control.config().index());
  Report.set_stopping(Stopping);
  Report.set_has_lease(Control.hasLease());
  Report.set_running(uint32_t(Running));
  Report.set_queued(uint32_t(Queue.size()));
  Report.set_slots(uint32_t(slots()));
  if (managed())
    for (const version_name &Version : Loader.loaded())
      Report.add_versions(Version.text());
  return Report;
}

void sidecar_task::sendReport() {
  wire::envelope Message;
  *Message.mutable_news() = makeReport();
  LastSentLoad = {Message.news().running(), Message.news().queued()};
  for (const auto &[Peer, Since] : Entries)
    Server.send(Peer, Message);
}

void sidecar_task::readEngineLoad() {
  if (LoadPending || !isEngine())
    return;
  LoadPending = true;
  auto Body = std::make_shared<std::string>();
  fetch_options Request;
  Request.Url = Options.EngineUrl + "/load";
  Request.TimeoutSeconds = 1;
  Request.MaxBodyBytes = MaxLoadBytes;
  Request.OnBytes = [Body](std::string_view Bytes) {
    Body->append(Bytes);
    return true;
  };
  Request.OnDone = [this, Body](const fetch_result &Result) {
    LoadPending = false;
    bool Valid = Result.Error.empty() && Result.Status == 200;
    if (auto Load = parseEngineLoad(*Body, steadySeconds()); Valid && Load)
      EngineLoad = *Load;
  };
  Http.start(std::move(Request));
}

void sidecar_task::tick() {
  double Now = steadySeconds();
  for (uint64_t Ticket : Queue.takeExpired(Now))
    rejectQueued(Ticket, error_kind::DeadlineExceeded,
                 "the time allowed in the upstream's queue has passed");
  startNext();
  Table.expire(Now);
  std::erase_if(Entries, [&](const auto &Entry) {
    return Now > Entry.second + EntryTimeoutSeconds;
  });
  settleForLostEntries(Now);
  if (std::exchange(CrashReportPending, false))
    Control.renewNow();
  if (Now < NextLoadCheckAt)
    return;
  NextLoadCheckAt = Now + LoadCheckSeconds;
  bool LeaseChanged = Control.hasLease() != HadLease;
  HadLease = Control.hasLease();
  sidecar_load Load{uint32_t(Running), uint32_t(Queue.size())};
  if (LeaseChanged || isReportDue(LastSentLoad, Load, uint32_t(slots())))
    sendReport();
  updateVersions();
  readEngineLoad();
  Metrics.gauge("sidecar_running", double(Running));
  Metrics.gauge("sidecar_queued", double(Queue.size()));
}

void sidecar_task::drain() {
  Stopping = true;
  sendReport();
  Control.renewNow();
}

bool sidecar_task::drained() {
  if (Stopping && Attempts.empty())
    Outbox.flush();
  return Attempts.empty() && Unsettled.empty() && Outbox.pending() == 0 &&
         OutcomesPending == 0;
}

} // namespace olivevalve
