//===- gateway_news.cpp - What control tells gateways ---------------------===//
//
// The part of control_task that answers gateways: small notices, always in
// time, and the pieces of the routing that they ask for.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "catalog/routing.h"
#include "control/control_task.h"
#include <algorithm>

namespace olivevalve {

namespace {

// Between two tellings of changes; each has to be in force within 2 s.
constexpr double LeastNewsSeconds = 0.25;

} // namespace

void control_task::onWatch(const std::string &Peer, const wire::watch &Watch) {
  double Now = steadySeconds();
  Gateways.watched(Peer, Watch, Now);
  hearCrashes(Watch.crashes(), Now);
  sendNotice(Peer);
}

void control_task::hearCrashes(const wire::crash_news &News, double Now) {
  if (News.crashes_size() + News.answered_size() == 0)
    return;
  Quarantine.heard(News, Now);
  if (leads(Now))
    keepQuarantine(Now);
}

// Nothing where the receiver holds it already.
void control_task::fillQuarantine(uint64_t Held,
                                  wire::quarantine_news &News) const {
  const quarantine_book &Book = Log->state().quarantine();
  if (Book.revision() <= Held)
    return;
  News.set_revision(Book.revision());
  for (const wire::quarantined_request &Each : Book.all())
    *News.add_requests() = Each;
}

void control_task::keepQuarantine(double Now) {
  for (wire::quarantine_change &Change :
       Quarantine.changes(Log->state().quarantine(), Now)) {
    const wire::request_name &Name =
        Change.has_add() ? Change.add().request() : Change.release();
    logLine(log_level::Warning,
            Change.has_add() ? "request to be quarantined"
                             : "request to be let out of quarantine",
            {{"request", hexOf(digestOf(Name))},
             {"upstreams_ended", int64_t(Change.add().upstreams_size())}});
    wire::command Command;
    *Command.mutable_quarantine() = std::move(Change);
    Log->propose(std::move(Command), [](const apply_result *) {});
  }
}

// For operators' logs: from then on nothing new goes to the evacuated halls.
void control_task::noteEvacuations() {
  uint64_t Revision = Log->state().evacuations().revision();
  bool Behind = Gateways.behindEvacuations(Revision) > 0;
  if (Revision == EvacuationsInForce || Behind || Gateways.gateways().empty())
    return;
  EvacuationsInForce = Revision;
  logLine(log_level::Info, "evacuations in force at all gateways",
          {{"revision", int64_t(Revision)},
           {"halls", int64_t(Log->state().evacuations().all().size())},
           {"gateways", int64_t(Gateways.gateways().size())}});
}

// Gateways ask for what they lack: whole tables sent unasked would fill their
// links and control's memory.
void control_task::onRoutingAsk(const std::string &Peer,
                                const wire::routing_ask &Ask) {
  followRouting();
  auto Piece = RoutingNews.piece(Ask);
  if (!Piece)
    return;
  wire::envelope Message;
  *Message.mutable_routing_piece() = *std::move(Piece);
  Server.send(Peer, Message);
}

void control_task::followRouting() {
  const routing_book &Routing = Log->state().routing();
  if (Routing.version() <= RoutingNews.version())
    return;
  if (auto Config = Api->routing().takeRead(Routing.document()))
    return RoutingNews.take(*Config);
  auto Config = readRouting(Routing.document());
  if (!Config.ok()) {
    // Checked before it was agreed on, so this is a newer form of documents.
    logLine(log_level::Error, "routing configuration cannot be read",
            {{"version", int64_t(Routing.version())},
             {"reason", messageOf(Config.status())}});
    return;
  }
  RoutingNews.take(*Config);
}

// The parts of notices that can be large, each by itself.
void control_task::countParts(const wire::notice &Notice) {
  if (Notice.has_upstreams())
    Metrics.count("notice_bytes",
                  Notice.upstreams().whole() ? "whole list of upstreams"
                                             : "changes of upstreams",
                  Notice.upstreams().ByteSizeLong());
  if (Notice.staying_size() > 0)
    Metrics.count("notice_bytes", "staying sessions",
                  sizeof(uint64_t) * size_t(Notice.staying_size()));
  size_t Addresses = 0;
  for (const std::string &Address : Notice.news_addresses())
    Addresses += Address.size();
  if (Addresses > 0)
    Metrics.count("notice_bytes", "addresses of gateways", Addresses);
}

// Only what is newer than the gateway holds, and small; members and leader
// always, so that the gateway knows whom to ask next.
void control_task::sendNotice(const std::string &Peer) {
  noteLeadership();
  const gateway_record &Gateway = *Gateways.find(Peer);
  const state_machine &State = Log->state();
  const raft_core &Core = Log->core();
  wire::envelope Message;
  wire::notice *Notice = Message.mutable_notice();
  Notice->set_watch_sent_at(Gateway.WatchSentAt);
  Notice->set_watch_held(steadySeconds() - Gateway.LastSeen);
  Notice->set_routing_version(State.routing().version());
  Notice->set_rollouts_revision(State.rollouts().revision());
  if (State.rollouts().revision() > Gateway.RolloutsRevision)
    for (const auto &[Service, Rollout] : State.rollouts().all())
      *Notice->add_rollouts() = Rollout;
  fillQuarantine(Gateway.QuarantineRevision, *Notice->mutable_quarantine());
  State.evacuations().fillNews(Gateway.EvacuationsRevision,
                               *Notice->mutable_evacuations());
  for (const wire::member &Member : Core.members().members()) {
    wire::control_vm *Vm = Notice->add_control_vms();
    Vm->set_id(Member.id());
    Vm->set_address(Member.address());
  }
  bool Sure = !Core.isLeader() || leads(steadySeconds());
  Notice->set_leader(Sure ? Core.leader() : 0);
  if (Core.isLeader()) {
    double Now = steadySeconds();
    if (auto Count = Gateways.count(Now))
      Notice->set_gateways(*Count);
    Gateways.fillAddresses(Peer, *Notice);
    Notice->set_tells_upstreams(Upstreams.asks());
    Upstreams.fill({.Revision = Gateway.UpstreamsRevision,
                    .HadAt = Gateway.UpstreamsHadAt,
                    .ToldWholeAt = Gateway.ToldListAt},
                   Now, *Notice);
    if (Notice->has_upstreams())
      Gateways.toldUpstreams(Peer, *Notice, Now);
  }
  Gateways.fillStaying(Peer, steadySeconds(), *Notice);
  countParts(*Notice);
  Server.send(Peer, Message);
}

// Soon: with changes in quick succession each gateway hears of several at once.
void control_task::tellGateways() {
  if (!NewsTimer.active())
    NewsTimer.startOnce(
        std::max(0.0, ToldAt + LeastNewsSeconds - steadySeconds()));
}

// Gateways ask one control VM at a time, so each that is asked tells its own.
void control_task::pushNotices() {
  ToldAt = steadySeconds();
  TellsRouting = Log->state().routing().version();
  TellsRollouts = Log->state().rollouts().revision();
  TellsQuarantine = Log->state().quarantine().revision();
  TellsEvacuations = Log->state().evacuations().revision();
  for (const auto &[Peer, Gateway] : Gateways.gateways())
    sendNotice(Peer);
}

} // namespace olivevalve
