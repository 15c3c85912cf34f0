//===- control_watch.cpp - A gateway's tie to control ---------------------===//

#include "lease/control_watch.h"
#include "base/clock.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

// A change is to be in force within 2 s. The leader tells it at once; when that
// message is lost, the next question brings it.
constexpr double AskSeconds = 0.4;
// A round trip between data halls takes a few milliseconds, a busy control VM
// some tens.
constexpr double PatienceSeconds = 0.45;
constexpr double TickSeconds = 0.2;
constexpr double LostSeconds = 3;
// Two questions unanswered, and a third.
constexpr double LeaderLostSeconds = 1.5;
// The first routing comes from the leader alone for so long: a new leader is
// there within 3 s after all control VMs were lost at once.
constexpr double FirstRoutingSeconds = 5;

} // namespace

control_watch::control_watch(link_context &Context, struct ev_loop *Loop,
                             control_watch_options NewOptions)
    : Context(Context), Loop(Loop), Options(std::move(NewOptions)),
      StartedAt(steadySeconds()), LastHeard(StartedAt),
      Routing(Options.Incarnation), Timer(Loop, [this] { tick(); }) {
  moveOn();
  Timer.startRepeating(TickSeconds);
}

bool control_watch::listComes() const {
  return TellsList && steadySeconds() < LeaderSaidAt + LeaderLostSeconds;
}

double control_watch::silence() const { return steadySeconds() - LastHeard; }

void control_watch::setSeeds(std::vector<std::string> Seeds) {
  Options.Seeds = std::move(Seeds);
}

std::vector<std::string> control_watch::known() const {
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
            receive(Address, Message.notice());
          else if (Message.body_case() == wire::envelope::kRoutingPiece)
            receivePiece(Address, Message.routing_piece());
        });
    Link->connect(Address);
  }
  return *Link;
}

// The next one in the list, so that all are tried in turn.
void control_watch::moveOn() {
  std::vector<std::string> All = known();
  if (All.empty())
    return;
  auto It = std::find(All.begin(), All.end(), Current);
  size_t Place = It == All.end() ? Options.Incarnation % All.size()
                                 : size_t(It - All.begin() + 1) % All.size();
  if (!Current.empty())
    logLine(log_level::Info, "control VM is silent, asking another",
            {{"silent", Current},
             {"next", All[Place]},
             {"routing", int64_t(routingVersion())},
             {"seconds", silence()}});
  Current = All[Place];
  // Links to VMs that have left are dropped here, outside their callbacks.
  std::erase_if(Links, [&](const auto &Link) {
    return std::find(All.begin(), All.end(), Link.first) == All.end();
  });
  HeardAt = 0;
  AskedAt = 0;
  Leaderless = false;
  linkTo(Current);
}

void control_watch::tick() {
  double Now = steadySeconds();
  if (routingVersion() == 0)
    askAll();
  bool Silent = AskedAt > 0 && HeardAt < AskedAt;
  if (Leaderless || (Silent && Now > AskedAt + PatienceSeconds))
    moveOn();
  if (Now >= AskedAt + AskSeconds - TickSeconds / 2)
    ask();
  askForRouting();
  if (!Lost && silence() > LostSeconds) {
    Lost = true;
    logLine(log_level::Warning, "control is silent, serving on",
            {{"routing", int64_t(routingVersion())}, {"seconds", silence()}});
  }
}

// Nothing can be served before the first routing, and nobody knows yet who
// leads.
void control_watch::askAll() {
  std::string Asked = Current;
  for (const std::string &Each : known())
    if (Each != Asked) {
      Current = Each;
      send();
    }
  Current = Asked;
}

void control_watch::ask() {
  double Now = steadySeconds();
  // A question that is still open keeps its time, so that silence shows.
  if (AskedAt == 0 || HeardAt >= AskedAt)
    AskedAt = Now;
  send();
}

void control_watch::send() {
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
  if (OnAsk)
    OnAsk(*Watch);
  linkTo(Current).send(Message);
}

void control_watch::hearUpstreams(const wire::notice &Notice) {
  if (Notice.upstreams_revision() == 0 || !OnUpstreams)
    return;
  // The time under way counts: this was sent so long after a question of ours,
  // by our own clock. A list that waited on a full link is as old as that.
  double SentAt = Notice.watch_sent_at() + Notice.watch_held();
  double Age = steadySeconds() - SentAt + Notice.upstreams_age();
  OnUpstreams(Age, Notice);
}

void control_watch::askForRouting() {
  auto Question = Routing.question(steadySeconds());
  if (!Question)
    return;
  wire::envelope Message;
  *Message.mutable_routing_ask() = std::move(Question->Ask);
  linkTo(Question->To).send(Message);
}

void control_watch::receivePiece(const std::string &From,
                                 const wire::routing_piece &Piece) {
  LastHeard = steadySeconds();
  switch (Routing.take(From, Piece)) {
  case piece_result::Odd:
    return;
  case piece_result::Kept:
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
  case piece_result::Damaged:
    logLine(log_level::Error, "pieces of a routing are damaged, asking for all",
            {{"version", int64_t(Piece.version())},
             {"since", int64_t(Piece.since())},
             {"from", From}});
    break;
  }
  askForRouting();
}

void control_watch::receive(const std::string &From,
                            const wire::notice &Notice) {
  double Now = steadySeconds();
  LastHeard = Now;
  if (Lost)
    logLine(log_level::Info, "control is heard again", {{"from", From}});
  Lost = false;
  if (From == Current)
    HeardAt = Now;
  std::string Leader;
  std::vector<std::string> Told;
  for (const wire::control_vm &Member : Notice.control_vms()) {
    Told.push_back(Member.address());
    if (Member.id() == Notice.leader())
      Leader = Member.address();
  }
  if (!Told.empty())
    Members = std::move(Told);
  double SentAt = Notice.watch_sent_at() + Notice.watch_held();
  if (From == Leader && SentAt >= LeaderSaidAt) {
    LeaderSaidAt = SentAt;
    LeaderVersion = Notice.routing_version();
    TellsList = Notice.tells_upstreams();
  }
  // A VM that has just started may not have caught up: what it tells first
  // could be long out of date.
  bool Trusted = routingVersion() > 0 || From == Leader ||
                 Now > StartedAt + FirstRoutingSeconds;
  if (Trusted)
    Routing.offered(From, Notice.routing_version());
  askForRouting();
  if (Notice.rollouts_revision() > RolloutsRevision) {
    RolloutsRevision = Notice.rollouts_revision();
    OnRollouts(Notice);
  }
  if (Evacuated.hear(Notice.evacuations()))
    OnEvacuations(Evacuated);
  if (OnQuarantine)
    OnQuarantine(Notice);
  for (uint64_t Key : Notice.staying())
    OnStaying(Key);
  if (Notice.gateways() > 0 && Notice.gateways() != Gateways) {
    Gateways = Notice.gateways();
    OnGateways(Gateways);
  }
  if (Notice.gateways_revision() > 0 &&
      Notice.gateways_revision() != GatewaysRevision) {
    GatewaysRevision = Notice.gateways_revision();
    OnNewsAddresses(
        {Notice.news_addresses().begin(), Notice.news_addresses().end()});
  }
  hearUpstreams(Notice);
  if (From != Current)
    return;
  if (!Leader.empty() && Leader != Current) {
    Current = Leader;
    HeardAt = AskedAt = 0;
    ask();
  } else if (Leader.empty()) {
    // This one does not know who leads; another may.
    Leaderless = true;
  }
}

} // namespace olivevalve
