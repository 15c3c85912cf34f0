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
// The load is looked at so often, and told to entries when it has moved;
// answers tell it too, and entries ask for it every ten seconds.
constexpr double LookSeconds = 1.5;
// An entry that did not ask for news this long gets none.
constexpr double EntryForgetSeconds = 25;
// Requests that may wait at one upstream; past that entries must go
// elsewhere or callers must hear it.
constexpr size_t QueueLength = 256;
// No request waits longer, whatever its deadline: by then another replica or
// a refusal serves the caller better.
constexpr double LongestWait = 10;
// The sidecar's copy of a bill waits for the entry's to be counted first.
constexpr double BillHoldSeconds = 3;
// Only a leader grants; which one it is makes no difference.
constexpr uint64_t SomeLeader = 1;

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
      Loader(Http, Options.EngineUrl), Queue(QueueLength), Reports(Metrics),
      Crashes(Loop, Metrics, Reports), Timer(Loop, [this] { tick(); }) {
  Control.OnRenew = [this](wire::renew &Renew) {
    wire::news &News = *Renew.mutable_upstream_news();
    News = makeNews();
    News.set_upstream(Options.Upstream);
    News.set_engine_load(EngineLoad.CacheInUse);
    News.set_engine_load_age(steadySeconds() - EngineLoad.At);
    fillVersionLoads(Renew);
    Reports.fill(*Renew.mutable_crashes(), Renew.sent_at());
  };
  Control.OnGrant = [this](const wire::grant &Grant) {
    Reports.acknowledged(Grant.sent_at(), SomeLeader);
    Reports.hear(Grant.quarantine());
  };
  Reports.OnReport = [this] { HasCrashReport = true; };
  Crashes.OnEnded = [this](const watched_upstream &) {
    EngineEndedAt = steadySeconds();
  };
  Control.OnConfig = [this] { sendNews(); };
  Loader.OnChanged = [this] { sendNews(); };
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

// What control places by.
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

// Orders to the engine are given only under a lease: a sidecar that was cut off
// may hold an assignment that is long over.
void sidecar_task::orderVersions() {
  const catalog &Config = Control.config();
  const upstream_spec *Upstream = Config.upstream(Options.Upstream);
  if (!Upstream || !Upstream->managed() || !Control.hasLease())
    return;
  auto Placement = Config.objects().find({"placement", Options.Upstream});
  load_wish Wish{.Room = size_t(Upstream->Room)};
  if (Placement != Config.objects().end())
    Wish.Index = Placement->second.Index;
  for (const version_name &Name : Config.versionsOf(*Upstream)) {
    const version_spec *Spec = Config.version(Name);
    if (!Spec)
      continue;
    Wish.Versions[Name] =
        Spec->EngineModel.empty() ? Name.text() : Spec->EngineModel;
  }
  std::set<version_name> InUse;
  for (const auto &[Ticket, Work] : Attempts)
    InUse.insert({Work.Attempt.model(), Work.Attempt.version()});
  Loader.work(Wish, InUse);
}

absl::Status sidecar_task::check(const wire::attempt &Attempt) const {
  if (Reports.refuses(digestOf(Attempt.request())))
    return makeError(error_kind::Quarantined,
                     "upstreams end under this request");
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
  *Message.mutable_news() = makeNews();
  Server.send(Peer, Message);
}

void sidecar_task::refuse(const std::string &Peer, const wire::attempt_id &Id,
                          const absl::Status &Status) {
  error_kind Kind = kindOf(Status);
  Metrics.count("refused", answerFor(Kind).Code);
  wire::envelope Message;
  wire::refused *Refused = Message.mutable_refused();
  *Refused->mutable_id() = Id;
  Refused->set_kind(uint32_t(Kind));
  Refused->set_message(std::string(messageOf(Status)));
  Server.send(Peer, Message);
}

// An attempt seen before, in whatever state, is a double or came after its own
// cancel: it must not run again.
void sidecar_task::onAttempt(const std::string &Peer,
                             const wire::attempt &Attempt) {
  attempt_key Key = keyOf(Attempt.id());
  attempt_progress Progress = Table.progress(Key);
  if (Progress == attempt_progress::NotStarted)
    return refuse(Peer, Attempt.id(),
                  makeError(error_kind::Cancelled, "cancelled before it came"));
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
  running_attempt &Work = Attempts[Ticket];
  Work.Peer = Peer;
  Work.Attempt = Attempt;
  Work.Ticket = Ticket;
  Work.Arrived = Now;
  Work.Credits = Attempt.credits();
  attempt_key Key = keyOf(Attempt.id());
  Tickets[Key] = Ticket;
  Table.set(Key, attempt_progress::Queued, Now);
  double Wait = std::min(Attempt.budget_ms() * 1e-3, LongestWait);
  auto Shed = Queue.push({.Ticket = Ticket,
                          .Priority = Attempt.priority(),
                          .Arrived = Now,
                          .Deadline = Now + Wait});
  if (Shed)
    dropQueued(*Shed, error_kind::QueueFull, "the upstream's queue is full");
  startNext();
  running_attempt *Still = find(Ticket);
  if (!Still)
    return;
  wire::envelope Message;
  wire::accepted *Accepted = Message.mutable_accepted();
  *Accepted->mutable_id() = Attempt.id();
  Accepted->set_started(Still->Running);
  Accepted->set_running(uint32_t(Running));
  Accepted->set_queued(uint32_t(Queue.size()));
  Server.send(Peer, Message);
}

sidecar_task::running_attempt *sidecar_task::find(uint64_t Ticket) {
  auto It = Attempts.find(Ticket);
  return It == Attempts.end() ? nullptr : &It->second;
}

sidecar_task::running_attempt *sidecar_task::find(const attempt_key &Key) {
  auto It = Tickets.find(Key);
  return It == Tickets.end() ? nullptr : find(It->second);
}

void sidecar_task::forget(uint64_t Ticket, attempt_progress Progress) {
  auto It = Attempts.find(Ticket);
  attempt_key Key = keyOf(It->second.Attempt.id());
  Table.set(Key, Progress, steadySeconds());
  if (It->second.Running)
    --Running;
  Tickets.erase(Key);
  Attempts.erase(It);
}

void sidecar_task::dropQueued(uint64_t Ticket, error_kind Kind,
                              std::string_view Message) {
  running_attempt *Work = find(Ticket);
  if (!Work)
    return;
  refuse(Work->Peer, Work->Attempt.id(), makeError(Kind, Message));
  forget(Ticket, attempt_progress::NotStarted);
}

// Checks once more at the moment of start: a version may have been withdrawn
// or the lease lost while the attempt waited.
void sidecar_task::startNext() {
  double Now = steadySeconds();
  while (Running < slots()) {
    auto Next = Queue.pop(Now);
    if (!Next)
      return;
    running_attempt *Work = find(Next->Ticket);
    if (!Work)
      continue;
    absl::Status Status = check(Work->Attempt);
    // A planned stop lets finish what it had accepted.
    bool WasAccepted = kindOf(Status) == error_kind::Draining && Stopping;
    if (Status.ok() || WasAccepted)
      start(*Work, Now);
    else
      dropQueued(Next->Ticket, kindOf(Status), std::string(messageOf(Status)));
  }
}

void sidecar_task::start(running_attempt &Work, double Now) {
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
  running_attempt *Work = find(Ticket);
  if (!Work)
    return;
  Work->Status = Status;
  if (isPrintable(ContentType))
    Work->ContentType = std::string(ContentType);
  // An engine's own failure is not an answer: the entry may try elsewhere.
  if (isEngine() && Status >= 500)
    return;
  wire::envelope Message;
  wire::head *Head = Message.mutable_head();
  *Head->mutable_id() = Work->Attempt.id();
  Head->set_status(uint32_t(Status));
  Head->set_content_type(Work->ContentType);
  Server.send(Work->Peer, Message);
}

bool sidecar_task::onBytes(uint64_t Ticket, std::string_view Bytes) {
  running_attempt *Work = find(Ticket);
  if (!Work)
    return true;
  if (isEngine() && Work->Status >= 500)
    return true;
  // A claimed attempt ends whether or not anybody still reads it.
  if (Work->claimed()) {
    if (Work->Outcome.size() < OutcomeBytes)
      Work->Outcome.append(Bytes);
  } else if (Work->Credits == 0) {
    Work->Paused = true;
    return false;
  } else {
    --Work->Credits;
  }
  Work->Usage.feed(Bytes);
  wire::envelope Message;
  wire::frame *Frame = Message.mutable_frame();
  *Frame->mutable_id() = Work->Attempt.id();
  Frame->set_sequence(Work->NextSequence++);
  Frame->set_data(Bytes.data(), Bytes.size());
  if (!Server.send(Work->Peer, Message) && !Work->claimed()) {
    // The entry is gone: nobody will read the rest.
    Metrics.count("entries_gone", "sidecar");
    Http.cancel(Work->Fetch);
    forget(Ticket, attempt_progress::Finished);
  }
  return true;
}

void sidecar_task::onCredit(const wire::credit &Credit) {
  running_attempt *Work = find(keyOf(Credit.id()));
  if (!Work)
    return;
  Work->Credits += Credit.frames();
  if (!Work->Paused)
    return;
  Work->Paused = false;
  Http.resume(Work->Fetch);
}

void sidecar_task::onDone(uint64_t Ticket, const fetch_result &Result) {
  running_attempt *Work = find(Ticket);
  if (!Work)
    return;
  if (Result.NeverSent) {
    refuse(Work->Peer, Work->Attempt.id(),
           makeError(error_kind::NoUpstream, "the engine does not answer"));
    forget(Ticket, attempt_progress::NotStarted);
    return startNext();
  }
  noteEngine(*Work, Result.Error.empty());
  bool Failed = !Result.Error.empty() || (isEngine() && Result.Status >= 500);
  error_kind Kind = Failed ? error_kind::EngineFailed : error_kind::None;
  std::string Message = Result.Error;
  if (Message.empty() && Kind != error_kind::None)
    Message = "the engine answered " + std::to_string(Result.Status);
  if (Work->claimed() && Kind == error_kind::None)
    storeOutcome(*Work);
  if (Kind == error_kind::None)
    keepBill(*Work);
  sendEnd(*Work, Kind, Message);
  forget(Ticket, attempt_progress::Finished);
  startNext();
}

watched_upstream sidecar_task::engine() const {
  size_t Host = Options.EngineUrl.find("//");
  return {.Place = checksum(Options.Upstream, Incarnation + EngineStart),
          .Name = Options.Upstream,
          .Address = Options.EngineUrl.substr(
              Host == std::string::npos ? 0 : Host + 2)};
}

// What an attempt says of the engine that ran it, by how it is over.
void sidecar_task::noteEngine(const running_attempt &Work, bool Answered) {
  bool StartedAgain = EngineEndedAt > 0 && Work.Started > EngineEndedAt;
  if (StartedAgain) {
    ++EngineStart;
    EngineEndedAt = 0;
  }
  short_digest Request = digestOf(Work.Attempt.request());
  if (!Answered)
    return Crashes.brokeOff(engine(), Request);
  Crashes.answers(engine().Place, Work.Started);
  if (Work.Status < 300)
    Reports.answered(Request);
}

void sidecar_task::sendEnd(const running_attempt &Work, error_kind Kind,
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
    Metrics.count("failed_attempts", answerFor(Kind).Code);
  Server.send(Work.Peer, Envelope);
}

// With only_if_not_started the answer says what is true; a running attempt is
// left alone. Without it a running attempt is ended at the engine too.
void sidecar_task::onCancel(const std::string &Peer,
                            const wire::cancel &Cancel) {
  if (Cancel.sidecar_incarnation() != Incarnation)
    return sendCancelResult(Peer, Cancel.id(), wire::cancel_result::GONE);
  attempt_key Key = keyOf(Cancel.id());
  if (!Cancel.only_if_not_started())
    Unsettled.erase(Key);
  double Now = steadySeconds();
  running_attempt *Work = find(Key);
  attempt_progress Progress = Table.cancelIfNotStarted(Key, Now);
  if (Progress == attempt_progress::NotStarted && Work) {
    Queue.remove(Work->Ticket);
    forget(Work->Ticket, attempt_progress::NotStarted);
  }
  bool Ends =
      Progress == attempt_progress::Running && !Cancel.only_if_not_started();
  if (Ends && Work) {
    Http.cancel(Work->Fetch);
    forget(Work->Ticket, attempt_progress::Finished);
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

wire::news sidecar_task::makeNews() const {
  wire::news News;
  News.set_incarnation(Incarnation);
  News.set_config_index(Control.config().index());
  News.set_stopping(Stopping);
  News.set_has_lease(Control.hasLease());
  News.set_running(uint32_t(Running));
  News.set_queued(uint32_t(Queue.size()));
  News.set_slots(uint32_t(slots()));
  if (managed())
    for (const version_name &Version : Loader.loaded())
      News.add_versions(Version.text());
  return News;
}

void sidecar_task::sendNews() {
  wire::envelope Message;
  *Message.mutable_news() = makeNews();
  Told = {Message.news().running(), Message.news().queued()};
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
  Request.OnBytes = [Body](std::string_view Bytes) {
    Body->append(Bytes);
    return true;
  };
  Request.OnDone = [this, Body](const fetch_result &Result) {
    LoadPending = false;
    bool Good = Result.Error.empty() && Result.Status == 200;
    if (auto Load = parseEngineLoad(*Body, steadySeconds()); Good && Load)
      EngineLoad = *Load;
  };
  Http.start(std::move(Request));
}

void sidecar_task::tick() {
  double Now = steadySeconds();
  for (uint64_t Ticket : Queue.takeExpired(Now))
    dropQueued(Ticket, error_kind::DeadlineExceeded,
               "waited in the upstream's queue until it made no more sense");
  startNext();
  Table.expire(Now);
  std::erase_if(Entries, [&](const auto &Entry) {
    return Now > Entry.second + EntryForgetSeconds;
  });
  settleForLostEntries(Now);
  if (std::exchange(HasCrashReport, false))
    Control.renewNow();
  if (Now < NextLook)
    return;
  NextLook = Now + LookSeconds;
  bool LeaseMoved = Control.hasLease() != ToldLease;
  ToldLease = Control.hasLease();
  told_load Load{uint32_t(Running), uint32_t(Queue.size())};
  if (LeaseMoved || isNews(Told, Load, uint32_t(slots())))
    sendNews();
  orderVersions();
  readEngineLoad();
  Metrics.gauge("sidecar_running", double(Running));
  Metrics.gauge("sidecar_queued", double(Queue.size()));
}

void sidecar_task::drain() {
  Stopping = true;
  sendNews();
  Control.renewNow();
}

bool sidecar_task::drained() {
  if (Stopping && Attempts.empty())
    Outbox.flush();
  return Attempts.empty() && Unsettled.empty() && Outbox.pending() == 0 &&
         OutcomesPending == 0;
}

} // namespace olivevalve
