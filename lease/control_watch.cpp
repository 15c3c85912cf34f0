//===- control_watch.cpp - A gateway's connection to control --------------===//

#include "lease/control_watch.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A change has to be in force within 2 s. The leader sends a notice at once; if
// that is lost, the next poll brings the change.
constexpr double PollSeconds = 0.4;
// A round trip between data halls takes a few milliseconds, and a busy control
// VM takes some tens of milliseconds to answer.
constexpr double AnswerTimeoutSeconds = 0.45;
constexpr double TickSeconds = 0.2;
constexpr double LogSilenceSeconds = 3;
// Long enough for two polls to go unanswered before the third.
constexpr double LeaderTimeoutSeconds = 1.5;
// For this time after the start only the leader's routing is accepted: after a
// loss of all control VMs there is a new leader within 3 s.
constexpr double FirstRoutingFromLeaderSeconds = 5;

} // namespace

control_watch::control_watch(link_context &Context, struct ev_loop *Loop,
                             control_watch_options NewOptions)
    : Context(Context), Loop(Loop), Options(std::move(NewOptions)),
      StartedAt(steadySeconds()), LastReceivedAt(StartedAt),
      Routing(Options.Incarnation), Timer(Loop, [this] { tick(); }) {
  switchToNext();
  Timer.startRepeating(TickSeconds);
}

bool control_watch::expectsUpstreamList() const {
  return LeaderSendsList &&
         steadySeconds() < LeaderSentAt + LeaderTimeoutSeconds;
}

double control_watch::silence() const {
  return steadySeconds() - LastReceivedAt;
}

void control_watch::setSeeds(std::vector<std::string> Seeds) {
  Options.Seeds = std::move(Seeds);
}

std::vector<std::string> control_watch::knownAddresses() const {
  std::vector<std::string> All = Members;
  for (const std::string &Seed : Options.Seeds)
    if (std::find(All.begin(), All.end(), Seed) == All.end())
      All.push_back(Seed);
  return All;
}

client_link &control_watch::linkTo(const std::string &Address) {
  std::unique_ptr<client_link> &Link = Links[Address];
  if (!Link) {
    Link = std::make_unique<client_link>(
        Context, Loop, "gateway/" + hexOf(Options.Incarnation),
        [this, Address](const wire::envelope &Message) {
          if (Message.body_case() == wire::envelope::kNotice)
            receiveNotice(Address, Message.notice());
          else if (Message.body_case() == wire::envelope::kRoutingPiece)
            receivePiece(Address, Message.routing_piece());
          else if (Message.body_case() == wire::envelope::kRetryGrant &&
                   OnRetryGrant)
            OnRetryGrant(Message.retry_grant());
        });
    Link->connect(Address);
  }
  return *Link;
}

// Switches to the next control VM in the list, so that all are tried in turn.
void control_watch::switchToNext() {
  std::vector<std::string> All = knownAddresses();
  if (All.empty())
    return;
  auto It = std::find(All.begin(), All.end(), Current);
  size_t Index = It == All.end() ? Options.Incarnation % All.size()
                                 : size_t(It - All.begin() + 1) % All.size();
  if (!Current.empty())
    logLine(
        log_level::Info,
        "control VM does not answer or names no leader, switching to another",
        {{"silent", Current},
         {"next", All[Index]},
         {"routing", int64_t(routingVersion())},
         {"seconds", silence()}});
  Current = All[Index];
  // Links to VMs that are no longer listed are dropped here, as that is not
  // allowed within their own callbacks.
  std::erase_if(Links, [&](const auto &Link) {
    return std::find(All.begin(), All.end(), Link.first) == All.end();
  });
  AnsweredAt = 0;
  PolledAt = 0;
  Leaderless = false;
  linkTo(Current);
}

void control_watch::tick() {
  double Now = steadySeconds();
  if (routingVersion() == 0)
    pollAll();
  bool Silent = PolledAt > 0 && AnsweredAt < PolledAt;
  if (Leaderless || (Silent && Now > PolledAt + AnswerTimeoutSeconds))
    switchToNext();
  if (Now >= PolledAt + PollSeconds - TickSeconds / 2)
    poll();
  requestRouting();
  if (!LoggedSilence && silence() > LogSilenceSeconds) {
    LoggedSilence = true;
    logLine(log_level::Warning,
            "no control VM answers, serving with the last known state",
            {{"routing", int64_t(routingVersion())}, {"seconds", silence()}});
  }
}

// Polls all other control VMs too. Used before the first routing, when nothing
// can be served and the leader has not been found yet.
void control_watch::pollAll() {
  std::string Polled = Current;
  for (const std::string &Each : knownAddresses())
    if (Each != Polled) {
      Current = Each;
      sendWatch();
    }
  Current = Polled;
}

void control_watch::poll() {
  double Now = steadySeconds();
  // An unanswered poll keeps its time, so that a silent control VM is noticed.
  if (PolledAt == 0 || AnsweredAt >= PolledAt)
    PolledAt = Now;
  sendWatch();
}

void control_watch::sendWatch() {
  if (Current.empty())
    return;
  wire::envelope Message;
  wire::watch *Watch = Message.mutable_watch();
  Watch->set_node(Options.Node);
  Watch->set_incarnation(Options.Incarnation);
  Watch->set_data_hall(Options.DataHall);
  Watch->set_gateways_revision(GatewaysRevision);
  Watch->set_routing_version(routingVersion());
  Watch->set_sent_at(steadySeconds());
  Watch->set_rollouts_revision(RolloutsRevision);
  Watch->set_evacuations_revision(Evacuated.revision());
  if (OnWatch)
    OnWatch(*Watch);
  linkTo(Current).send(Message);
}

void control_watch::askForRetries(const wire::retry_ask &Ask) {
  if (Current.empty())
    return;
  wire::envelope Message;
  *Message.mutable_retry_ask() = Ask;
  linkTo(Current).send(Message);
}

void control_watch::receiveUpstreams(const wire::notice &Notice) {
  if (Notice.upstreams_revision() == 0 || !OnUpstreams)
    return;
  // The time in transit is included: the notice was sent that long after one of
  // this gateway's watch messages, by this gateway's own clock. So a list that
  // was delayed on a congested link counts as old.
  double SentAt = Notice.watch_sent_at() + Notice.watch_held();
  double Age = steadySeconds() - SentAt + Notice.upstreams_age();
  OnUpstreams(Age, Notice);
}

void control_watch::requestRouting() {
  auto Request = Routing.nextRequest(steadySeconds());
  if (!Request)
    return;
  wire::envelope Message;
  *Message.mutable_routing_ask() = std::move(Request->Request);
  linkTo(Request->To).send(Message);
}

void control_watch::receivePiece(const std::string &From,
                                 const wire::routing_piece &Piece) {
  LastReceivedAt = steadySeconds();
  switch (Routing.take(From, Piece)) {
  case piece_result::Rejected:
    return;
  case piece_result::Stored:
    break;
  case piece_result::InForce:
    logLine(log_level::Info, "routing configuration in force",
            {{"version", int64_t(Piece.version())},
             {"since", int64_t(Piece.since())},
             {"pieces", int64_t(Piece.pieces())},
             {"routes", int64_t(Routing.copy().table()->routes())},
             {"accounts", int64_t(Routing.copy().table()->accounts())},
             {"from", From}});
    OnRouting(Routing.copy().table());
    break;
  case piece_result::Corrupt:
    logLine(log_level::Error,
            "received routing is damaged, requesting the complete routing",
            {{"version", int64_t(Piece.version())},
             {"since", int64_t(Piece.since())},
             {"from", From}});
    break;
  }
  requestRouting();
}

void control_watch::receiveNotice(const std::string &From,
                                  const wire::notice &Notice) {
  double Now = steadySeconds();
  LastReceivedAt = Now;
  if (LoggedSilence)
    logLine(log_level::Info, "control answers again", {{"from", From}});
  LoggedSilence = false;
  if (From == Current)
    AnsweredAt = Now;
  std::string Leader;
  std::vector<std::string> Addresses;
  for (const wire::control_vm &Member : Notice.control_vms()) {
    Addresses.push_back(Member.address());
    if (Member.id() == Notice.leader())
      Leader = Member.address();
  }
  if (!Addresses.empty())
    Members = std::move(Addresses);
  double SentAt = Notice.watch_sent_at() + Notice.watch_held();
  if (From == Leader && SentAt >= LeaderSentAt) {
    LeaderSentAt = SentAt;
    LeaderRoutingVersion = Notice.routing_version();
    LeaderSendsList = Notice.tells_upstreams();
  }
  // A control VM that has just started may not have caught up yet, so its first
  // notices can be far out of date.
  bool Trusted = routingVersion() > 0 || From == Leader ||
                 Now > StartedAt + FirstRoutingFromLeaderSeconds;
  if (Trusted)
    Routing.recordOffer(From, Notice.routing_version());
  requestRouting();
  if (Notice.rollouts_revision() > RolloutsRevision) {
    RolloutsRevision = Notice.rollouts_revision();
    OnRollouts(Notice);
  }
  if (Notice.has_usage() && OnUsageStatus)
    OnUsageStatus(Notice);
  if (Notice.has_retries() && OnRetryGrant)
    OnRetryGrant(Notice.retries());
  if (Evacuated.applyUpdate(Notice.evacuations()))
    OnEvacuations(Evacuated);
  if (OnQuarantine)
    OnQuarantine(Notice);
  OnSessions(Notice);
  if (Notice.gateways() > 0 && Notice.gateways() != Gateways) {
    Gateways = Notice.gateways();
    OnGateways(Gateways);
  }
  if (Notice.gateways_revision() > 0 &&
      Notice.gateways_revision() != GatewaysRevision) {
    GatewaysRevision = Notice.gateways_revision();
    OnPeerAddresses(
        {Notice.news_addresses().begin(), Notice.news_addresses().end()});
  }
  receiveUpstreams(Notice);
  if (From != Current)
    return;
  if (!Leader.empty() && Leader != Current) {
    Current = Leader;
    AnsweredAt = PolledAt = 0;
    poll();
  } else if (Leader.empty()) {
    // Another control VM may know the leader; tick() switches to it.
    Leaderless = true;
  }
}

} // namespace olivevalve
