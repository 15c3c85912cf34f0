//===- gateway_task.cpp - The gateway role --------------------------------===//

#include "gateway/gateway_task.h"
#include "base/clock.h"
#include "base/log.h"
#include "policy/list_poll.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Interval of the check for idle connections to upstreams that have expired.
constexpr double SweepSeconds = 0.25;
// Delay after a failed poll of the list; it doubles with each further failure,
// as many gateways share the capacity of the platform.
constexpr double ListRetrySeconds = 0.4;
constexpr double MaxListRetrySeconds = 6.4;
// Age of the list at which this gateway polls the platform for it. No new
// request may go to a leaving upstream some 3 s after it is listed as leaving;
// the rest of that time is for the poll.
constexpr double MaxListAgeSeconds = 1.6;
// Control polls a long list less often, as long lists are what fills the links
// of the gateways. The age is then this many of control's periods.
constexpr double MaxListAgePeriods = 1.8;
// After its start a gateway that has the routing configuration waits this long
// for the list from control before it polls the platform; without a list it can
// serve no request.
constexpr double FirstListWaitSeconds = 1.5;
// It goes on waiting, in steps, while the leader can be reached and is about to
// send the list, at most until this time after the start.
constexpr double FirstListStepSeconds = 0.25;
constexpr double MaxFirstListSeconds = 8;
// Random delay of polls, at least; more gateways spread theirs further.
constexpr double MaxListJitterSeconds = 0.4;
// Shortest pause of the process after which its data is checked, as it may have
// missed that an upstream is leaving. After a shorter one, with a list that was
// current when the pause began, new requests still stop in time. The loop wakes
// at least every SweepSeconds.
constexpr double PauseSeconds = 1;
// Longest wait for current data after a pause. Then the gateway serves with the
// data it holds, as it does when it is cut off; control and the platform
// respond much sooner if they can be reached.
constexpr double CatchUpSeconds = 1;
// By then the platform's list and control have shown whether an upstream is
// cold.
constexpr double ListLagSeconds = 2.5;
// Responses accepted from one report of another gateway; more is not plausible.
constexpr uint32_t MaxReportedAnswers = 1000;
constexpr std::string_view NoRoutingYet =
    "no routing configuration received yet";
constexpr std::string_view NoListYet = "no list of upstreams received yet";
constexpr std::string_view NoRetryToken = "waiting for a retry token";
constexpr std::string_view ProcessPaused =
    "this entry stood still and does not know yet what has changed";
// Lifetime of a session's pin, as a multiple of the longest pause between its
// requests.
constexpr double SessionLifetimeFactor = 2;
// A response of which less is held is given up for its size alone.
constexpr size_t MinSuspectBytes = 64 << 10;
// Requests that arrive within this time ask for retry tokens together.
constexpr double RetryAskSeconds = 0.01;
// Number of gateways assumed to share an upstream's connections until control
// has reported it.
constexpr uint32_t AssumedGateways = 20;
// Connections to one upstream if its service has no limit.
constexpr uint32_t DefaultConnections = 1000;
// Between two log lines of requests that were refused before they were
// complete.
constexpr double MalformedLogSeconds = 1;
// An idle connection to an upstream that has few left is closed after this.
constexpr double ShortIdleSeconds = 0.5;

} // namespace

gateway_task::gateway_task(link_context &Context, struct ev_loop *Loop,
                           metrics &Metrics, gateway_options NewOptions)
    : Loop(Loop), Options(std::move(NewOptions)),
      Incarnation(randomIncarnation()), Reports(Metrics, Incarnation),
      Crashes(Loop, Metrics, Reports),
      Peers(Loop, State.Upstreams,
            {.Incarnation = Incarnation, .Address = Options.PeerAddress}),
      Listener(Loop, [this](int Socket) { Callers.take(Socket); }),
      Watch(Context, Loop,
            {.Node = Options.Node,
             .Incarnation = Incarnation,
             .DataHall = Options.DataHall,
             .Seeds = Options.ControlSeeds}),
      List(Loop, {.Address = Options.UpstreamListAddress}),
      Callers(Loop, *this,
              {.MaxConnections = Options.MaxConnections,
               .MaxHeldBytes = Options.MaxCallerBytes}),
      SweepTimer(Loop, [this] { sweep(); }),
      ListTimer(Loop, [this] { pollList(); }),
      CatchUpTimer(Loop, [this] { resumeParked(); }),
      RetryAskTimer(Loop, [this] { askForRetries(); }),
      Prepare(Loop,
              [this] {
                ClosedConnections.clear();
                FinishedRequests.clear();
              }),
      Pauses(Loop, PauseSeconds,
             [this](double Seconds) { resumedAfterPause(Seconds); }) {
  Listener.OnExhausted = [this] { Callers.makeRoom(); };
  State.Loop = Loop;
  State.Metrics = &Metrics;
  State.DataHall = Options.DataHall;
  State.StartedAt = steadySeconds();
  ListRetryDelay = ListRetrySeconds;
  State.RetryBounds = Options.Retries;
  State.ColdBounds = Options.Cold;
  State.LimitBounds = Options.Limit;
  State.AssignsKeepers = Options.EngineMemory;
  State.Peers = &Peers;
  State.Reports = &Reports;
  State.Crashes = &Crashes;
  Crashes.OnCrash = [this](const watched_upstream &Ended) {
    auto Upstream = State.Upstreams.at(Ended.Key);
    if (!Upstream)
      return;
    Upstream->presumeCrashed(steadySeconds());
    Peers.reportCrash(*Upstream);
  };
  Reports.OnReport = [this] { Peers.scheduleReport(); };
  Peers.OnSendReport = [this](wire::work_news &News) {
    Reports.fillRecent(*News.mutable_crashes());
    State.Shares.fill(News, steadySeconds());
  };
  Peers.OnReportReceived = [this](const wire::work_news &News) {
    Reports.hear(News.crashes());
    State.Shares.hear(News, steadySeconds());
  };
  State.LimitHeldResponses = [this] { limitHeldResponses(); };
  State.Random.seed(randomIncarnation());
  State.Shares = account_shares(Options.Shares, &Metrics);
  State.Usage =
      usage_meter(Options.UsageWindowSeconds, wallSeconds(), steadySeconds());
  State.Pins.setLifetime(Options.SessionSeconds * SessionLifetimeFactor);
  Watch.OnWatch = [this](wire::watch &Message) {
    Message.set_stopping(Stopping);
    Message.set_news_address(Peers.address());
    Message.set_upstreams_revision(Listed.revision());
    Message.set_upstreams_age(steadySeconds() - ListReadAt);
    for (const auto &[Raw, Request] : Requests)
      Raw->countInProgress();
    State.Versions.fillTallies(Message);
    for (const auto &[Hall, Open] : State.Upstreams.openInEvacuated()) {
      wire::hall_requests *Entry = Message.add_evacuated();
      Entry->set_data_hall(Hall);
      Entry->set_open(Open);
    }
    for (uint64_t Key : State.Pins.stable().takeUnreported())
      Message.add_staying(Key);
    for (uint64_t Key : State.Pins.canary().takeUnreported())
      Message.add_canary_sessions(Key);
    Reports.fill(*Message.mutable_crashes(), Message.sent_at());
    fillRetryAsk(*Message.mutable_retries());
    if (State.Usage.enabled())
      State.Usage.fill(*Message.mutable_usage(), wallSeconds(),
                       Message.sent_at());
  };
  State.AskForRetries = [this] {
    if (!RetryAskTimer.active())
      RetryAskTimer.startOnce(RetryAskSeconds);
  };
  Watch.OnRetryGrant = [this](const wire::retry_grant &Grant) {
    applyRetryGrant(Grant);
  };
  Watch.OnUsageStatus = [this](const wire::notice &Notice) {
    applyUsageStatus(Notice);
  };
  Watch.OnRouting = [this](const std::shared_ptr<routing_table> &Routing) {
    applyRouting(Routing);
  };
  Watch.OnRollouts = [this](const wire::notice &Notice) {
    State.Versions.apply(Notice, State.Upstreams);
    for (const wire::rollout &Rollout : Notice.rollouts())
      logLine(log_level::Info, "roll-out of a service",
              {{"service", Rollout.service()},
               {"version", Rollout.target_version()},
               {"former_version", Rollout.former_version()},
               {"stage", wire::rollout_stage_Name(Rollout.stage())}});
  };
  Watch.OnQuarantine = [this](const wire::notice &Notice) {
    bool FromLeader = Notice.gateways_revision() > 0;
    if (FromLeader)
      Reports.acknowledged(Notice.watch_sent_at(), Notice.leader());
    Reports.apply(Notice.quarantine());
  };
  Watch.OnEvacuations = [this](const evacuated_halls &Halls) {
    for (const auto &Restored : State.Upstreams.setEvacuated(Halls.all()))
      assumeCold(*Restored);
    for (const auto &[Hall, Open] : State.Upstreams.openInEvacuated())
      logLine(log_level::Info, "no new requests go to an evacuated data hall",
              {{"data_hall", Hall}, {"open_requests", int64_t(Open)}});
  };
  Watch.OnSessions = [this](const wire::notice &Notice) {
    for (uint64_t Key : Notice.staying())
      State.Pins.stable().apply(Key, steadySeconds());
    for (uint64_t Key : Notice.canary_sessions())
      State.Pins.canary().apply(Key, steadySeconds());
  };
  Watch.OnPeerAddresses = [this](const std::vector<std::string> &Addresses) {
    Peers.setGateways(Addresses);
  };
  Peers.OnPromptSent = [this](uint64_t Upstream,
                              std::span<const prompt_block> Blocks) {
    if (State.Upstreams.has(Upstream))
      State.PrefixCaches.addPrompt(Upstream, Blocks);
    if (uint64_t Prefix = sharedPrefixKey(Blocks))
      State.PrefixRates.record(Prefix, steadySeconds());
  };
  Peers.OnLoad = [this](uint64_t Key, uint32_t Load) {
    if (auto Upstream = State.Upstreams.at(Key))
      Upstream->recordLoad(Load, steadySeconds(), Peers.at(Key).InFlight);
  };
  Peers.OnAnswers = [this](uint64_t Key, uint32_t Answers, uint32_t Failures) {
    if (auto Upstream = State.Upstreams.at(Key))
      Upstream->Answers.add(std::min(Answers, MaxReportedAnswers), Failures,
                            steadySeconds());
  };
  Peers.OnLimit = [this](uint64_t Key, const limit_report &Report) {
    auto Upstream = State.Upstreams.at(Key);
    if (!Upstream)
      return;
    double Now = steadySeconds();
    recordLimitChange(State, *Upstream,
                      Upstream->Limit.recordReport(Report, Now),
                      "another gateway", "", Now);
  };
  Peers.OnCrash = [this](uint64_t Key) {
    bool PresumedCrashed = State.Upstreams.presumeCrashed(Key, steadySeconds());
    State.Metrics->count("told_ended",
                         PresumedCrashed ? "passed over" : "not heeded");
    if (auto Upstream = State.Upstreams.at(Key))
      Crashes.recordCrash(watchedUpstream(*Upstream),
                          "told by another gateway");
  };
  if (Options.UpstreamPace) {
    State.Paces.enable();
    Peers.OwnPace = [this](uint64_t Key) {
      return State.Paces.own(Key, steadySeconds());
    };
  }
  Peers.OnPace = [this](uint64_t Gateway, uint64_t Key, learned_pace Learned) {
    auto Upstream = State.Upstreams.at(Key);
    if (!Upstream)
      return;
    State.Paces.recordTellsSlowdown(Upstream->Listed.Service);
    State.Paces.hear(Gateway, Key, Learned, steadySeconds());
  };
  Watch.OnUpstreams = [this](double Age, const wire::notice &Notice) {
    applyControlList(Age, Notice);
  };
  Watch.OnGateways = [this](uint32_t Count) { setGatewayCount(Count); };
  StartDeadline = steadySeconds() + Options.StartSeconds;
  SweepTimer.startRepeating(SweepSeconds);
  ListPhase = std::uniform_real_distribution<double>(0, 1)(State.Random);
}

gateway_task::~gateway_task() { abortRequests(); }

const caller_limits &gateway_task::limits() const {
  static const caller_limits Defaults;
  return State.Routing ? State.Routing->limits() : Defaults;
}

void gateway_task::applyRouting(const std::shared_ptr<routing_table> &Routing) {
  Routing->eachService([this](const routed_service &Service) {
    if (Service.Engine)
      State.PrefixCaches.setCapacity(Service.Engine->CacheTokens);
    // Tokens are lent before the first request needs one.
    State.Retries.try_emplace(Service.Name, State.RetryBounds, State.Gateways);
  });
  bool First = !State.Routing;
  State.Routing = Routing;
  if (First)
    ListTimer.startOnce(ListReceived ? 0
                                     : FirstListWaitSeconds +
                                           ListPhase * MaxListJitterSeconds);
  resumeParked();
}

// The operator may have restarted the upstream during the evacuation.
void gateway_task::assumeCold(upstream &Upstream) const {
  const routed_service *Service =
      State.Routing ? State.Routing->service(Upstream.Listed.Service) : nullptr;
  if (Service && Service->ColdStartSeconds > 0)
    Upstream.assumeCold(Service->ColdStartSeconds + ListLagSeconds,
                        steadySeconds());
}

void gateway_task::setGatewayCount(uint32_t Gateways) {
  logLine(log_level::Info,
          "number of gateways that share the retry and warm-up bounds",
          {{"gateways", int64_t(Gateways)},
           {"before", int64_t(State.Gateways)},
           {"up_s", steadySeconds() - State.StartedAt}});
  State.Gateways = Gateways;
  State.Shares.setGateways(Gateways);
  for (auto &[Service, Share] : State.Retries)
    Share.setBounds(State.RetryBounds, Gateways);
}

void gateway_task::onRequest(caller_connection &Connection, http_head Head,
                             std::string Body) {
  auto Request = std::make_shared<forwarding>(
      State, *this, Connection, std::move(Head), std::move(Body),
      [this](forwarding &Finished) {
        auto It = Requests.find(&Finished);
        if (It == Requests.end())
          return;
        FinishedRequests.push_back(std::move(It->second));
        Requests.erase(It);
      });
  Requests[Request.get()] = Request;
  Connection.setProducer(Request);
  if (Draining)
    return Request->refuse(error_kind::Draining, "this entry is stopping");
  Request->start();
}

// Parks requests that arrive, or need another upstream, while this gateway is
// starting or has just resumed from a pause.
bool gateway_task::parkUntilReady(forwarding &Request) {
  double Now = steadySeconds();
  bool Starting = !ready() && Now < StartDeadline;
  if (!Starting && isCurrent())
    return false;
  Parked.push_back(Request.weak_from_this());
  if (Starting)
    Request.park(StartDeadline - Now, State.Routing ? NoListYet : NoRoutingYet);
  else
    // An upper bound: resumeParked() runs earlier.
    Request.park(2 * CatchUpSeconds, ProcessPaused);
  return true;
}

void gateway_task::parkUntilRetryToken(forwarding &Request, double Seconds) {
  AwaitingRetryTokens.push_back(Request.weak_from_this());
  Request.park(Seconds, NoRetryToken);
}

void gateway_task::resumeParked() {
  if (!ready() || !isCurrent())
    return;
  for (const std::weak_ptr<forwarding> &Each : std::exchange(Parked, {}))
    if (auto Request = Each.lock(); Request && Requests.contains(Request.get()))
      Request->resume();
}

// Requests that waited in the sockets would otherwise be routed by data from
// before the pause.
void gateway_task::resumedAfterPause(double Seconds) {
  ResumedAt = steadySeconds();
  CatchUpTimer.startOnce(CatchUpSeconds);
  // The clock of the timers stops while a VM is suspended, steadySeconds() does
  // not.
  for (auto &[Raw, Request] : Requests)
    Raw->resumedAfterPause();
  logLine(log_level::Warning, "this process was paused",
          {{"seconds", Seconds},
           {"list_age_s", ResumedAt - ListReadAt},
           {"routing", int64_t(Watch.routingVersion())},
           {"open_requests", int64_t(Requests.size())}});
}

bool gateway_task::isCurrent() {
  if (ResumedAt == 0)
    return true;
  double Now = steadySeconds();
  // No older than in normal operation, where the gateway polls by then.
  bool Checked = Watch.confirmedAt() >= ResumedAt &&
                 Now - ListReadAt <= maxListAge() + MaxListJitterSeconds;
  if (!Checked && Now < ResumedAt + CatchUpSeconds)
    return false;
  logLine(Checked ? log_level::Info : log_level::Warning,
          Checked ? "data is current again after the pause"
                  : "serving with data from before the pause",
          {{"seconds", Now - ResumedAt},
           {"list_age_s", Now - ListReadAt},
           {"routing", int64_t(Watch.routingVersion())},
           {"held", int64_t(Parked.size())}});
  ResumedAt = 0;
  return true;
}

void gateway_task::onMalformed(int Status, std::string_view Why) {
  State.Metrics->count("requests", "malformed");
  ++UnloggedMalformed;
  double Now = steadySeconds();
  if (Now < MalformedLoggedAt + MalformedLogSeconds)
    return;
  MalformedLoggedAt = Now;
  logLine(log_level::Info, "request refused before it was complete",
          {{"status", int64_t(Status)},
           {"reason", Why},
           {"since_last_line", int64_t(std::exchange(UnloggedMalformed, 0))}});
}

void gateway_task::ended(caller_connection &Connection) {
  Callers.ended(Connection);
}

void gateway_task::released(upstream_connection &Connection) {
  Connection.server()->Idle.push_back(&Connection);
}

void gateway_task::responseEnded(const upstream_connection &Connection,
                                 std::string_view How) {
  std::string Label = Connection.server()->Listed.Service;
  Label.append(", ").append(nameOf(Connection.framing()));
  Label.append(", ").append(How);
  State.Metrics->count("response_ends", Label);
}

void gateway_task::forgetIdle(upstream_connection &Connection) {
  std::erase(Connection.server()->Idle, &Connection);
}

void gateway_task::ended(upstream_connection &Connection) {
  forgetIdle(Connection);
  Peers.reportChange(*Connection.server());
  auto It = UpstreamConnections.find(&Connection);
  if (It == UpstreamConnections.end())
    return;
  ClosedConnections.push_back(std::move(It->second));
  UpstreamConnections.erase(It);
}

// Empty: the service has no limit.
std::optional<connection_use>
gateway_task::connectionUse(const upstream &Upstream) const {
  const routed_service *Spec =
      State.Routing ? State.Routing->service(Upstream.Listed.Service) : nullptr;
  if (!Spec || Spec->MaxConnections == 0)
    return std::nullopt;
  return connection_use{
      .Limit = Spec->MaxConnections,
      .Gateways = State.Gateways == 0 ? AssumedGateways : State.Gateways,
      .ExpectedReports = State.Gateways == 0 ? 0 : Peers.expectedReports(),
      .Reports = Peers.reports(),
      .Others = Peers.at(Upstream.Key).Connections};
}

// An upstream resets connections beyond its own limit, so each gateway keeps to
// its share.
uint32_t gateway_task::connectionsFor(const upstream &Upstream) const {
  auto Use = connectionUse(Upstream);
  return Use ? connectionShare(*Use) : DefaultConnections;
}

// Returns the idle connection used last, so that the others can expire.
upstream_connection *
gateway_task::acquire(const std::shared_ptr<upstream> &Upstream,
                      connection_kind Kind) {
  double Now = steadySeconds();
  bool Full = Upstream->Connections >= connectionsFor(*Upstream);
  while (!Upstream->Idle.empty() && (Kind == connection_kind::Any || Full)) {
    upstream_connection *Last = Upstream->Idle.back();
    Upstream->Idle.pop_back();
    if (Last->idleUntil() > Now && !Last->closedByUpstream())
      return Last;
    Last->drop();
  }
  if (Full)
    return nullptr;
  State.Metrics->count("upstream_connections", "opened");
  auto Connection =
      std::make_unique<upstream_connection>(Loop, *this, Upstream);
  upstream_connection *Raw = Connection.get();
  UpstreamConnections[Raw] = std::move(Connection);
  Peers.reportChange(*Upstream);
  return Raw;
}

void gateway_task::sweep() {
  double Now = steadySeconds();
  std::vector<upstream_connection *> Old;
  for (auto &[Raw, Connection] : UpstreamConnections)
    if (Raw->idle() && Now >= Raw->idleUntil() && Raw->idleUntil() > 0)
      Old.push_back(Raw);
  for (upstream_connection *Each : Old)
    Each->drop();
  returnIdleConnections(Now);
  State.Pins.forgetOld(Now);
  State.Shares.sweep(Now);
  State.Metrics->setCount("work_news_sent_bytes", "", Peers.sentBytes());
  State.Metrics->setCount("work_news_received_bytes", "",
                          Peers.receivedBytes());
  State.Metrics->gauge("callers", double(Callers.size()));
  State.Metrics->gauge("open_requests", double(Requests.size()));
  State.Metrics->gauge("held_response_bytes", double(State.HeldResponseBytes));
  uint32_t OpenInEvacuated = 0;
  for (const auto &[Hall, Open] : State.Upstreams.openInEvacuated())
    OpenInEvacuated += Open;
  State.Metrics->gauge("open_requests_in_evacuated_halls",
                       double(OpenInEvacuated));
}

// Callers may have moved to other gateways, which need the connections.
void gateway_task::returnIdleConnections(double Now) {
  for (const auto &[Id, Upstream] : State.Upstreams.all()) {
    if (Upstream->Idle.empty())
      continue;
    auto Use = connectionUse(*Upstream);
    if (!Use || !isShortOfConnections(*Use, Upstream->Connections))
      continue;
    for (upstream_connection *Each : std::vector(Upstream->Idle))
      if (Now >= Each->idleSince() + ShortIdleSeconds)
        Each->drop();
  }
}

double gateway_task::maxListAge() const {
  return std::max(MaxListAgeSeconds, MaxListAgePeriods * ListPeriod);
}

double gateway_task::listPollDelay() const {
  double Spread = listPollSpread(State.Gateways, State.Upstreams.all().size());
  return ListPhase * std::max(MaxListJitterSeconds, Spread);
}

// Control sends the list; this gateway polls the platform when it has received
// none for a while.
void gateway_task::pollList() {
  double Now = steadySeconds();
  double Due = ListReadAt + maxListAge() + listPollDelay();
  if (ListReceived && Now < Due)
    return ListTimer.startOnce(Due - Now);
  // Gateways that start at the same time would all request all pages, and keep
  // the platform from answering control.
  if (!ListReceived && Watch.expectsUpstreamList() &&
      Now < State.StartedAt + MaxFirstListSeconds)
    return ListTimer.startOnce(FirstListStepSeconds);
  double Age = Now - ListReadAt;
  List.fetch([this, Now, Age](auto Received) {
    logLine(log_level::Info, "list of upstreams polled by this gateway",
            {{"outcome", Received ? "had" : "failed"},
             {"held_age_s", Age},
             {"seconds", steadySeconds() - Now}});
    if (Received) {
      Listed.set(std::move(*Received));
      applyList(Now);
    }
    ListRetryDelay = Received
                         ? ListRetrySeconds
                         : std::min(2 * ListRetryDelay, MaxListRetrySeconds);
    ListTimer.startOnce(
        Received ? std::max(Options.ListSeconds,
                            listPollSpread(State.Gateways,
                                           State.Upstreams.all().size()))
                 : ListRetryDelay + listPollDelay());
  });
}

void gateway_task::applyControlList(double Age, const wire::notice &Notice) {
  double ReadAt = steadySeconds() - Age;
  ListPeriod = Notice.upstreams_period();
  bool Unchanged = Notice.upstreams_revision() == Listed.revision();
  if (Unchanged) {
    ListReadAt = std::max(ListReadAt, ReadAt);
    return resumeParked();
  }
  // This gateway has polled the list more recently; what differs in control's
  // list now will follow as a change.
  if (!Notice.has_upstreams() || ReadAt < ListReadAt ||
      !Listed.apply(Notice.upstreams()))
    return;
  if (Listed.revision() != Notice.upstreams_revision())
    logLine(log_level::Error,
            "the list of upstreams differs from the one control sent",
            {{"listed", int64_t(Notice.upstreams().upstreams_size())},
             {"whole", int64_t(Notice.upstreams().whole())}});
  applyList(ReadAt);
}

void gateway_task::applyList(double ReadAt) {
  double HeldAge = steadySeconds() - ListReadAt;
  ListReadAt = std::max(ListReadAt, ReadAt);
  size_t Before = State.Upstreams.all().size();
  auto Removed = State.Upstreams.update(Listed.list(), steadySeconds());
  auto Restarted = std::count_if(
      Removed.begin(), Removed.end(), [this](const auto &Upstream) {
        return State.Upstreams.all().contains(Upstream->Listed.Id);
      });
  if (!ListReceived || Before != State.Upstreams.all().size() ||
      !Removed.empty())
    logLine(log_level::Info, "upstreams changed",
            {{"listed", int64_t(State.Upstreams.all().size())},
             {"left", int64_t(Removed.size())},
             {"restarted", int64_t(Restarted)},
             {"age_s", steadySeconds() - ReadAt},
             {"held_age_s", HeldAge}});
  ListReceived = true;
  for (const auto &Upstream : Removed) {
    State.PrefixCaches.removeUpstream(Upstream->Key);
    State.Paces.forget(Upstream->Key);
    if (!Upstream->leaving())
      Crashes.recordCrash(watchedUpstream(*Upstream), "not listed any more");
    for (upstream_connection *Idle : std::vector(Upstream->Idle))
      Idle->drop();
  }
  resumeParked();
}

void gateway_task::drain() {
  Stopping = Draining = true;
  Listener.close();
  Callers.closeIdle();
}

void gateway_task::applyUsageStatus(const wire::notice &Notice) {
  if (!State.Usage.enabled())
    return;
  double Now = steadySeconds();
  State.Usage.setWall(Notice.usage().wall_seconds(), Now);
  uint64_t Late =
      State.Usage.acknowledge(Notice.usage(), Notice.watch_sent_at());
  if (Late == 0)
    return;
  State.Metrics->count("usage_requests_late", "", Late);
  logLine(log_level::Warning, "usage was reported without these requests",
          {{"requests", int64_t(Late)},
           {"next_window", int64_t(Notice.usage().next_window())}});
}

void gateway_task::fillRetryAsk(wire::retry_ask &Ask) {
  Ask.set_incarnation(Incarnation);
  Ask.set_slack(State.RetryBounds.Slack);
  Ask.set_window_seconds(State.RetryBounds.WindowSeconds);
  for (auto &[Service, Share] : State.Retries) {
    retry_report Report = Share.report(steadySeconds());
    wire::retry_tokens *Tokens = Ask.add_services();
    Tokens->set_service(Service);
    Tokens->set_term(Report.Term);
    Tokens->set_received(Report.Received);
    Tokens->set_held(uint32_t(Report.Held));
    Tokens->set_returned(Report.Returned);
    Tokens->set_wanted(uint32_t(Report.Wanted));
    Tokens->set_ahead(uint32_t(Report.Ahead));
    Tokens->set_excess(Report.Excess);
  }
}

void gateway_task::askForRetries() {
  wire::retry_ask Ask;
  fillRetryAsk(Ask);
  Watch.askForRetries(Ask);
  State.Metrics->count("retry_asks", "");
}

// Shares that were made since the last message get their term from the next.
void gateway_task::applyRetryGrant(const wire::retry_grant &Grant) {
  for (const wire::retry_loan &Loan : Grant.services())
    if (auto It = State.Retries.find(Loan.service()); It != State.Retries.end())
      State.Metrics->count(
          "retry_tokens_lent", Loan.service(),
          It->second.applyLoan(Grant.term(), Loan.total(), steadySeconds()));
  for (std::weak_ptr<forwarding> &Each : std::exchange(AwaitingRetryTokens, {}))
    if (auto Request = Each.lock(); Request && !Request->retryWithToken())
      AwaitingRetryTokens.push_back(std::move(Each));
}

// Begins with responses of unknown length, which may have no end.
void gateway_task::limitHeldResponses() {
  auto Weight = [](const forwarding &Request) {
    bool MayBeEndless = !Request.hasBoundedResponse() &&
                        Request.heldResponseBytes() > MinSuspectBytes;
    return std::pair(MayBeEndless, Request.heldResponseBytes());
  };
  while (State.HeldResponseBytes > MaxHeldResponseBytes) {
    auto Largest = std::max_element(
        Requests.begin(), Requests.end(), [&](const auto &A, const auto &B) {
          return Weight(*A.first) < Weight(*B.first);
        });
    if (Largest == Requests.end() || Largest->first->heldResponseBytes() == 0)
      return;
    State.Metrics->count("responses_dropped", "held in memory");
    Largest->second->dropResponse(
        "responses that are held in memory exceed 32 MiB together, and this "
        "is the largest");
  }
}

void gateway_task::leave() {
  abortRequests();
  State.Usage.close();
  Watch.sendLast();
}

void gateway_task::abortRequests() {
  std::vector<std::shared_ptr<forwarding>> Running;
  for (auto &[Raw, Request] : Requests)
    Running.push_back(Request);
  for (const auto &Request : Running)
    Request->abort();
}

} // namespace olivevalve
