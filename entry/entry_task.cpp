//===- entry_task.cpp - The entry role ------------------------------------===//

#include "entry/entry_task.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/log.h"
#include "ledger/ratings.h"
#include <algorithm>
#include <charconv>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.05;
constexpr double MaxDeadlineSeconds = 3600;
constexpr size_t MaxHeaderValueBytes = 256;
// Connections allowed beyond MaxOpenRequests: a request above that bound can
// then be refused with an error instead of at connect, and idle connections do
// not keep others out.
constexpr unsigned ExtraConnections = 256;

http_limits limitsOf(const entry_options &Options) {
  return {.MaxBodyBytes = size_t(Options.MaxBodyBytes),
          .MaxConnections =
              unsigned(Options.MaxOpenRequests) + ExtraConnections,
          .MaxHeldBytes = Options.MaxCallerBytes};
}

// A candidate without a version stands for all versions of its model.
std::vector<version_name> expand(const std::vector<version_name> &Names,
                                 const catalog &Config) {
  std::vector<version_name> List;
  for (const version_name &Name : Names) {
    const model_spec *Model = Config.model(Name.Model);
    if (!Name.Version.empty())
      List.push_back(Name);
    else if (Model)
      for (const auto &[Version, Spec] : Model->Versions)
        List.push_back({Name.Model, Version});
  }
  return List;
}

} // namespace

entry_task::entry_task(link_context &LinkContext, struct ev_loop *Loop,
                       metrics &Metrics, entry_options NewOptions)
    : Metrics(Metrics), Options(std::move(NewOptions)),
      Incarnation(randomIncarnation()), Random(Incarnation),
      Control(LinkContext, Loop,
              {.Node = Options.Node,
               .Incarnation = Incarnation,
               .Role = "entry",
               .DataHall = Options.DataHall,
               .Control = Options.Control}),
      Outbox(Control, Loop, 0),
      Pool(
          LinkContext, Loop,
          {.Node = Options.Node,
           .Incarnation = Incarnation,
           .DataHall = Options.DataHall,
           .Evacuated = Control.evacuated()},
          [this](const std::string &Upstream, const wire::envelope &Message) {
            onMessage(Upstream, Message);
          },
          [this](const std::string &Upstream) { onLost(Upstream); }),
      Rater(Control, Loop, Options.RatingUrl,
            Options.Node + "/" + hexOf(Incarnation)),
      Sessions(Control),
      Crashes(Metrics, Incarnation), Context{Incarnation, Control,   Pool,
                                             Rater,       Sessions,  Outbox,
                                             Metrics,     Estimates, Prepared,
                                             Allowances,  Retries,   Random,
                                             Crashes},
      Server(Loop, limitsOf(Options),
             [this](const exchange &Exchange) { handle(Exchange); }),
      Timer(Loop, [this] { tick(); }) {
  Control.OnConfig = [this] {
    Pool.configure(Control.config(), EntryCount.value());
  };
  Control.OnGrant = [this](const wire::grant &Grant) { onGrant(Grant); };
  Control.OnRenew = [this](wire::renew &Renew) {
    Renew.set_estimates_index(EstimatesIndex);
    Renew.set_open_requests(uint32_t(Tasks.size()));
    Crashes.fill(*Renew.mutable_crashes(), Renew.sent_at());
    double Now = steadySeconds();
    for (const auto &[Account, Usage] : AccountUsage) {
      double Rate = Usage.Meter.perSecond(Now);
      if (Rate < 0.01)
        continue;
      wire::account_demand *Demand = Renew.add_demand();
      Demand->set_account(Account);
      Demand->set_requests_per_second(Rate);
    }
  };
  Timer.startRepeating(TickSeconds);
}

void entry_task::onGrant(const wire::grant &Grant) {
  if (EntryCount.update(Control.entries(), steadySeconds()))
    Pool.configure(Control.config(), EntryCount.value());
  Crashes.apply(Grant.quarantine());
  if (!Grant.has_estimates())
    return;
  Allowances.clear();
  for (const wire::guard_state &Guard : Grant.estimates().guards())
    Allowances[{Guard.model(), Guard.version()}] = Guard.allowance();
  EstimatesIndex = Grant.estimates().index();
  loadCells(Grant.estimates().cells(), Estimates);
}

void entry_task::refuse(http_exchange &Exchange, const absl::Status &Status) {
  error_kind Kind = kindOf(Status);
  const error_response &Answer = responseFor(Kind);
  Metrics.count("errors", Answer.Code);
  std::vector<header_field> Headers = {
      {"X-Olivevalve-Outcome", std::string(nameOf(Answer.Outcome))}};
  if (Answer.RetryAfterSeconds > 0)
    Headers.push_back(
        {"Retry-After", std::to_string(Answer.RetryAfterSeconds)});
  Exchange.reply(Answer.HttpStatus, "application/json",
                 errorBody(Kind, std::string(messageOf(Status))), Headers);
}

const account_spec *
entry_task::authenticate(const http_exchange &Exchange) const {
  std::string Value = Exchange.header("Authorization");
  if (!Value.starts_with("Bearer "))
    return nullptr;
  return Control.config().accountByKeyDigest(secretDigest(Value.substr(7)));
}

void entry_task::handle(const exchange &Exchange) {
  if (Stopping)
    return refuse(*Exchange,
                  makeError(error_kind::Draining, "this entry is stopping"));
  if (isFull())
    return refuse(
        *Exchange,
        makeError(error_kind::EntryFull,
                  absl::StrCat("this entry has ", Options.MaxOpenRequests,
                               " open requests, the maximum")));
  if (!Control.hasLease())
    return refuse(*Exchange, makeError(error_kind::NoLease,
                                       "this entry holds no configuration "
                                       "lease"));
  const account_spec *Account = authenticate(*Exchange);
  if (!Account)
    return refuse(*Exchange,
                  makeError(error_kind::Unauthorized,
                            "Authorization: 'Bearer' and a client account's "
                            "key are required"));
  const std::string &Path = Exchange->path();
  if (Path == "/v1/models" && Exchange->method() == "GET")
    return models(Exchange, *Account);
  if (Path == "/v1/chat/completions" && Exchange->method() == "POST")
    return chat(Exchange, *Account);
  if (const service_spec *Service = Control.config().serviceForPath(Path))
    return service(Exchange, *Account, *Service);
  refuse(*Exchange,
         makeError(error_kind::NotFound,
                   Exchange->method() + " " + Path + " does not exist"));
}

request_facts entry_task::commonFacts(const http_exchange &Exchange,
                                      const account_spec &Account) {
  request_facts Facts;
  Facts.Number = NextNumber++;
  Facts.Id = absl::StrCat(hexOf(Incarnation), "-", Facts.Number);
  Facts.Account = Account.Name;
  Facts.Method = Exchange.method();
  Facts.Path = Exchange.path();
  Facts.Causes.Request = identityOf({.Account = Account.Name,
                                     .Method = Exchange.method(),
                                     .Host = "",
                                     .Target = Exchange.path(),
                                     .Body = Exchange.body()});
  Facts.ContentType = Exchange.header("Content-Type");
  Facts.Key = Exchange.header("Idempotency-Key");
  Facts.Session = Exchange.header("X-Session");
  Facts.Arrived = steadySeconds();
  double Deadline = Options.DefaultDeadlineSeconds;
  std::string Text = Exchange.header("X-Deadline-Ms");
  double Milliseconds = 0;
  auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  bool Valid = !Text.empty() && Parsed.ec == std::errc() &&
               Parsed.ptr == Text.data() + Text.size() && Milliseconds > 0;
  if (Valid)
    Deadline = std::min(Milliseconds * 1e-3, MaxDeadlineSeconds);
  else if (!Text.empty())
    Deadline = -1;
  Facts.Deadline = Deadline < 0 ? -1 : Facts.Arrived + Deadline;
  return Facts;
}

// The model field may name a template, a model or a version.
absl::Status entry_task::resolveModel(request_facts &Facts,
                                      const account_spec &Account) const {
  const catalog &Config = Control.config();
  Facts.Template = Facts.Chat.Model;
  Facts.QualityTarget =
      Account.QualityTarget >= 0 ? Account.QualityTarget : 0.8;
  int64_t Priority = Account.Priority >= 0 ? Account.Priority : 1;
  std::vector<version_name> Named = {parseVersionName(Facts.Chat.Model)};
  if (const auto *Template = Config.templateNamed(Facts.Chat.Model)) {
    Named = Template->Candidates;
    Facts.Policy = Template->Policy;
    if (Account.QualityTarget < 0)
      Facts.QualityTarget = Template->QualityTarget;
    if (Account.Priority < 0)
      Priority = Template->Priority;
    auto Override = Account.Templates.find(Template->Name);
    if (Override != Account.Templates.end()) {
      if (Override->second.QualityTarget >= 0)
        Facts.QualityTarget = Override->second.QualityTarget;
      if (Override->second.Priority >= 0)
        Priority = Override->second.Priority;
    }
  } else if (!Config.model(Named[0].Model)) {
    return makeError(error_kind::NotFound,
                     "model: " + Facts.Chat.Model +
                         " is not a template, model or model@version; see GET "
                         "/v1/models");
  } else {
    Facts.Policy = cheapest_policy{};
  }
  Facts.Priority = uint32_t(Priority);
  for (const version_name &Name : expand(Named, Config))
    if (allowsVersion(Account, Name))
      Facts.Candidates.push_back(Name);
  if (Facts.Candidates.empty())
    return makeError(error_kind::ModelNotAllowed,
                     "model: " + Facts.Chat.Model +
                         " is not allowed for this client account");
  return absl::OkStatus();
}

absl::Status entry_task::withinLimits(const account_spec &Account) {
  account_usage &Usage = AccountUsage[Account.Name];
  double Now = steadySeconds();
  Usage.Meter.count(Now);
  double Share = Control.shareOf(Account.Name);
  double Concurrent = std::max(1.0, double(Account.Concurrent) * Share);
  if (double(Usage.Open) >= Concurrent)
    return makeError(error_kind::ConcurrencyLimited,
                     absl::StrCat("more than ", Account.Concurrent,
                                  " concurrent requests over all entries"));
  if (!Usage.Rate.take(Account.RequestsPerSecond * Share, Now))
    return makeError(error_kind::RateLimited,
                     absl::StrCat("more than ", Account.RequestsPerSecond,
                                  " requests per second over all entries"));
  return absl::OkStatus();
}

void entry_task::chat(const exchange &Exchange, const account_spec &Account) {
  request_facts Facts = commonFacts(*Exchange, Account);
  auto Chat = parseChatRequest(Exchange->body());
  if (!Chat.ok())
    return refuse(*Exchange, Chat.status());
  Facts.Chat = *std::move(Chat);
  Facts.Body = Facts.Key.empty() ? "" : Exchange->body();
  Facts.ContentType = "application/json";
  if (absl::Status Status = resolveModel(Facts, Account); !Status.ok())
    return refuse(*Exchange, Status);
  if (absl::Status Status = withinLimits(Account); !Status.ok())
    return refuse(*Exchange, Status);
  start(Exchange, std::move(Facts));
}

void entry_task::service(const exchange &Exchange, const account_spec &Account,
                         const service_spec &Service) {
  const auto &Allowed = Account.Services;
  if (std::find(Allowed.begin(), Allowed.end(), Service.Name) == Allowed.end())
    return refuse(
        *Exchange,
        makeError(error_kind::ModelNotAllowed,
                  Service.Name + " is not allowed for this client account"));
  request_facts Facts = commonFacts(*Exchange, Account);
  const auto &Methods = Service.RepeatableMethods;
  bool Repeatable =
      std::find(Methods.begin(), Methods.end(), Facts.Method) != Methods.end();
  if (Repeatable)
    Facts.Key.clear();
  else if (Facts.Key.empty())
    return refuse(*Exchange,
                  makeError(error_kind::KeyRequired,
                            "Idempotency-Key: is required, as " + Facts.Method +
                                " on " + Service.Name + " may run only once"));
  Facts.Service = Service.Name;
  Facts.Body = Exchange->body();
  Facts.Priority = uint32_t(Service.Priority);
  if (absl::Status Status = withinLimits(Account); !Status.ok())
    return refuse(*Exchange, Status);
  start(Exchange, std::move(Facts));
}

void entry_task::models(const exchange &Exchange, const account_spec &Account) {
  const catalog &Config = Control.config();
  json Data = json::array();
  auto Add = [&](const std::string &Id) {
    Data.push_back(
        {{"id", Id}, {"object", "model"}, {"owned_by", "olivevalve"}});
  };
  Config.forEach<template_spec>([&](const template_spec &Template) {
    auto Versions = expand(Template.Candidates, Config);
    if (std::any_of(Versions.begin(), Versions.end(),
                    [&](const auto &V) { return allowsVersion(Account, V); }))
      Add(Template.Name);
  });
  Config.forEach<model_spec>([&](const model_spec &Model) {
    bool HasVersion = false;
    for (const auto &[Version, Spec] : Model.Versions) {
      version_name Name{Model.Name, Version};
      if (!takesNewWork(Spec.State) || !allowsVersion(Account, Name))
        continue;
      HasVersion = true;
      Add(Name.text());
    }
    if (HasVersion)
      Add(Model.Name);
  });
  Exchange->reply(200, "application/json",
                  jsonText({{"object", "list"}, {"data", Data}}));
}

void entry_task::start(const exchange &Exchange, request_facts Facts) {
  bool TooLong = Facts.Key.size() > MaxHeaderValueBytes ||
                 Facts.Session.size() > MaxHeaderValueBytes;
  if (TooLong)
    return refuse(*Exchange,
                  makeError(error_kind::BadRequest,
                            "Idempotency-Key, X-Session: at most 256 bytes"));
  bool Printable = isPrintable(Facts.Key) && isPrintable(Facts.Session) &&
                   isPrintable(Facts.Path) && isPrintable(Facts.ContentType);
  if (!Printable)
    return refuse(*Exchange,
                  makeError(error_kind::BadRequest,
                            "path, Content-Type, Idempotency-Key, X-Session: "
                            "printable ASCII only"));
  if (Facts.Deadline < 0)
    return refuse(*Exchange,
                  makeError(error_kind::BadRequest,
                            "X-Deadline-Ms: must be a number above 0"));
  uint64_t Number = Facts.Number;
  std::string Account = Facts.Account;
  auto Task =
      std::make_shared<request_task>(Context, Exchange, std::move(Facts));
  Tasks[Number] = Task;
  ++AccountUsage[Account].Open;
  std::weak_ptr<request_task> Weak = Task;
  Exchange->OnGone = [Weak] {
    if (auto Task = Weak.lock())
      Task->onCallerGone();
  };
  Task->begin();
}

void entry_task::onMessage(const std::string &Upstream,
                           const wire::envelope &Message) {
  const wire::attempt_id *Id = nullptr;
  switch (Message.body_case()) {
  case wire::envelope::kAccepted:
    Id = &Message.accepted().id();
    break;
  case wire::envelope::kRefused:
    Id = &Message.refused().id();
    break;
  case wire::envelope::kHead:
    Id = &Message.head().id();
    break;
  case wire::envelope::kFrame:
    Id = &Message.frame().id();
    break;
  case wire::envelope::kEnd:
    Id = &Message.end().id();
    break;
  case wire::envelope::kCancelResult:
    Id = &Message.cancel_result().id();
    break;
  default:
    Metrics.count("unexpected_messages", "entry");
    return;
  }
  auto It =
      Id->entry() == Incarnation ? Tasks.find(Id->request()) : Tasks.end();
  bool Current = It != Tasks.end() && It->second->owns(*Id);
  if (Current)
    return It->second->onMessage(Upstream, Message);
  // A reply to a query about another request's attempt.
  if (Message.has_cancel_result())
    for (auto &[Number, Task] : Tasks)
      if (Task->queriedAttempt() == keyOf(*Id))
        return Task->onMessage(Upstream, Message);
  Metrics.count("dropped_messages", "entry");
}

void entry_task::onLost(const std::string &Upstream) {
  std::vector<std::shared_ptr<request_task>> Snapshot;
  for (auto &[Number, Task] : Tasks)
    Snapshot.push_back(Task);
  for (auto &Task : Snapshot)
    Task->onLost(Upstream);
}

void entry_task::tick() {
  double Now = steadySeconds();
  std::vector<std::shared_ptr<request_task>> Snapshot;
  for (auto &[Number, Task] : Tasks)
    Snapshot.push_back(Task);
  for (auto &Task : Snapshot)
    Task->tick(Now);
  removeFinished();
  Metrics.gauge("open_requests", double(Tasks.size()));
  Metrics.gauge("pinned_sessions", double(Sessions.size()));
}

// Finished requests are removed only periodically and must not count here.
bool entry_task::isFull() {
  if (int64_t(Tasks.size()) >= Options.MaxOpenRequests)
    removeFinished();
  return int64_t(Tasks.size()) >= Options.MaxOpenRequests;
}

void entry_task::removeFinished() {
  std::erase_if(Tasks, [&](const auto &Item) {
    if (!Item.second->over())
      return false;
    --AccountUsage[Item.second->facts().Account].Open;
    return true;
  });
}

bool entry_task::ready() const {
  const node_spec *Node = Control.config().node(Options.Node);
  bool Drained = Node && Node->Draining;
  return Control.hasLease() && !Stopping && !Drained &&
         Pool.hasInitialReports();
}

void entry_task::drain() {
  Stopping = true;
  Control.renewNow();
}

bool entry_task::drained() const {
  bool Idle = std::all_of(Tasks.begin(), Tasks.end(),
                          [](const auto &Item) { return Item.second->over(); });
  return Idle && Outbox.pending() == 0 && Rater.pending() == 0;
}

} // namespace olivevalve
