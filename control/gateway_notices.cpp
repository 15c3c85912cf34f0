//===- gateway_notices.cpp - Control's messages to gateways ---------------===//
//
// The part of control_task that serves gateways. It sends small notices, which
// must not be delayed by large messages, and the pieces of the routing that a
// gateway requests.
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

// Minimum time between two notices about changes. Each change has to be in
// force at the gateways within 2 s.
constexpr double MinNoticeGapSeconds = 0.25;
// Minimum time between two judgements on reports of crashes; all gateways
// report a mass crash at once.
constexpr double MinQuarantineGapSeconds = 0.1;

void logQuarantineChange(const wire::quarantine_change &Change) {
  if (Change.has_add())
    logLine(log_level::Warning, "proposing to quarantine a request",
            {{"request", hexOf(digestOf(Change.add().request()))},
             {"kind", Change.add().kind() == wire::CRASH_CAUSE_BLOCK
                          ? nameOf(crash_cause_kind::Block)
                          : nameOf(crash_cause_kind::Request)},
             {"upstreams_ended", int64_t(Change.add().upstreams_size())}});
  else if (Change.has_release())
    logLine(log_level::Warning,
            "proposing to release a request from quarantine",
            {{"request", hexOf(digestOf(Change.release()))}});
  else
    logLine(log_level::Warning, "proposing a trial of a quarantined request",
            {{"request", hexOf(digestOf(Change.trial().cause()))},
             {"trial", int64_t(Change.trial().number())},
             {"holder", hexOf(Change.trial().holder())}});
}

} // namespace

void control_task::onWatch(const std::string &Peer, const wire::watch &Watch) {
  double Now = steadySeconds();
  Gateways.recordWatch(Peer, Watch, Now);
  receiveCrashReports(Watch.crashes(), Watch.incarnation(), Now);
  Duties->recordWatch(Watch, Now);
  if (!Watch.has_retries() || !leads(Now))
    return sendNotice(Peer);
  wire::retry_grant Loans = Lender.handle(Watch.retries(), Log->core().term(),
                                          Log->core().leaderSince(), Now);
  sendNotice(Peer, &Loans);
}

// A gateway that runs out of retry tokens cannot wait for its next watch
// message.
void control_task::onRetryAsk(const std::string &Peer,
                              const wire::retry_ask &Ask) {
  double Now = steadySeconds();
  if (!leads(Now))
    return;
  wire::envelope Message;
  *Message.mutable_retry_grant() =
      Lender.handle(Ask, Log->core().term(), Log->core().leaderSince(), Now);
  Server.send(Peer, Message);
}

void control_task::receiveCrashReports(const wire::crash_news &Crashes,
                                       uint64_t Sender, double Now) {
  if (Crashes.crashes_size() + Crashes.answered_size() +
          Crashes.survivals_size() + Crashes.wanted_size() ==
      0)
    return;
  Quarantine.addReports(Crashes, Now, Sender);
  if (!leads(Now) || Now < NextQuarantine)
    return;
  NextQuarantine = Now + MinQuarantineGapSeconds;
  proposeQuarantineChanges(Now);
}

// Adds nothing if the receiver holds the current revision.
void control_task::fillQuarantine(uint64_t HeldRevision,
                                  wire::quarantine_news &Update) const {
  const quarantine_store &Committed = Log->state().quarantine();
  if (Committed.revision() <= HeldRevision)
    return;
  Update.set_revision(Committed.revision());
  for (const wire::quarantined_request &Each : Committed.all())
    *Update.add_requests() = Each;
}

void control_task::proposeQuarantineChanges(double Now) {
  for (wire::quarantine_change &Change :
       Quarantine.changes(Log->state().quarantine(), Now)) {
    logQuarantineChange(Change);
    wire::command Command;
    *Command.mutable_quarantine() = std::move(Change);
    Log->propose(std::move(Command), [](const apply_result *) {});
  }
}

// Logs once per revision that every gateway holds the current evacuations: from
// then on no new request goes to an evacuated data hall.
void control_task::logEvacuationsInForce() {
  uint64_t Revision = Log->state().evacuations().revision();
  bool Behind = Gateways.countBehindEvacuations(Revision) > 0;
  if (Revision == EvacuationsInForce || Behind || Gateways.gateways().empty())
    return;
  EvacuationsInForce = Revision;
  logLine(log_level::Info, "evacuations in force at all gateways",
          {{"revision", int64_t(Revision)},
           {"halls", int64_t(Log->state().evacuations().all().size())},
           {"gateways", int64_t(Gateways.gateways().size())}});
}

// Sends one piece per request. Complete tables sent without a request would
// fill the gateways' links and control's memory.
void control_task::onRoutingRequest(const std::string &Peer,
                                    const wire::routing_ask &Request) {
  updateRouting();
  auto Piece = RoutingPublisher.piece(Request);
  if (!Piece)
    return;
  wire::envelope Message;
  *Message.mutable_routing_piece() = *std::move(Piece);
  Server.send(Peer, Message);
}

void control_task::updateRouting() {
  const routing_store &Routing = Log->state().routing();
  if (Routing.version() <= RoutingPublisher.version())
    return;
  if (auto Config = Api->routing().takeParsed(Routing.document()))
    return RoutingPublisher.setConfig(*Config);
  auto Config = readRouting(Routing.document());
  if (!Config.ok()) {
    // The document was checked before it was committed, so it has a newer
    // format than this version of the software can read.
    logLine(log_level::Error, "cannot read the committed routing configuration",
            {{"version", int64_t(Routing.version())},
             {"reason", messageOf(Config.status())}});
    return;
  }
  RoutingPublisher.setConfig(*Config);
}

// Counts the bytes of those parts of a notice that can be large.
void control_task::countNoticeBytes(const wire::notice &Notice) {
  if (Notice.has_upstreams())
    Metrics.count("notice_bytes",
                  Notice.upstreams().whole() ? "whole list of upstreams"
                                             : "changes of upstreams",
                  Notice.upstreams().ByteSizeLong());
  if (Notice.staying_size() > 0)
    Metrics.count("notice_bytes", "staying sessions",
                  sizeof(uint64_t) * size_t(Notice.staying_size()));
  if (Notice.canary_sessions_size() > 0)
    Metrics.count("notice_bytes", "canary sessions",
                  sizeof(uint64_t) * size_t(Notice.canary_sessions_size()));
  size_t Addresses = 0;
  for (const std::string &Address : Notice.news_addresses())
    Addresses += Address.size();
  if (Addresses > 0)
    Metrics.count("notice_bytes", "addresses of gateways", Addresses);
}

// Sends what is newer than the state that the gateway holds. Large items are
// only named, so that a notice stays small. Members and leader are always
// included, so that the gateway can choose which control VM to poll next.
void control_task::sendNotice(const std::string &Peer,
                              wire::retry_grant *Loans) {
  checkLeadership();
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
  State.evacuations().fillUpdate(Gateway.EvacuationsRevision,
                                 *Notice->mutable_evacuations());
  for (const wire::member &Member : Core.members().members()) {
    wire::control_vm *Vm = Notice->add_control_vms();
    Vm->set_id(Member.id());
    Vm->set_address(Member.address());
  }
  bool LeaderCertain = !Core.isLeader() || leads(steadySeconds());
  Notice->set_leader(LeaderCertain ? Core.leader() : 0);
  if (Core.isLeader()) {
    double Now = steadySeconds();
    if (auto Count = Gateways.count(Now))
      Notice->set_gateways(*Count);
    Gateways.fillAddresses(Peer, *Notice);
    Notice->set_tells_upstreams(Upstreams.fetchesList());
    Upstreams.fill({.Revision = Gateway.UpstreamsRevision,
                    .FetchedAt = Gateway.UpstreamsFetchedAt,
                    .FullListSentAt = Gateway.FullListSentAt},
                   Now, *Notice);
    if (Notice->has_upstreams())
      Gateways.recordListSent(Peer, *Notice, Now);
  }
  if (Loans)
    Notice->mutable_retries()->Swap(Loans);
  Duties->fillStatus(Gateway.Incarnation, steadySeconds(), *Notice);
  Gateways.fillSessions(Peer, steadySeconds(), *Notice);
  countNoticeBytes(*Notice);
  Server.send(Peer, Message);
}

// Delays the notices if the last ones were sent a moment ago, so that changes
// in quick succession share one notice.
void control_task::scheduleNotices() {
  if (!NoticeTimer.active())
    NoticeTimer.startOnce(
        std::max(0.0, NoticesSentAt + MinNoticeGapSeconds - steadySeconds()));
}

// Gateways poll one control VM at a time, so each control VM notifies those
// that poll it.
void control_task::sendAllNotices() {
  NoticesSentAt = steadySeconds();
  SentRoutingVersion = Log->state().routing().version();
  SentRolloutsRevision = Log->state().rollouts().revision();
  SentQuarantineRevision = Log->state().quarantine().revision();
  SentEvacuationsRevision = Log->state().evacuations().revision();
  for (const auto &[Peer, Gateway] : Gateways.gateways())
    sendNotice(Peer);
}

} // namespace olivevalve
