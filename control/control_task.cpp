//===- control_task.cpp - The control role --------------------------------===//

#include "control/control_task.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/fields.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.05;
constexpr double GuardSeconds = 0.5;
constexpr double PlacementSeconds = 1;
// A bad version must stop getting new requests within seconds. Gateways report
// their tallies twice a second, so roll-outs are judged at least as often.
constexpr double RolloutSeconds = 0.25;
// Every control VM keeps the encoded routing up to date, not only the leader,
// so that a new leader can send gateways the changes since their versions
// rather than the complete table. Encoding a large table is expensive, hence
// not more often than this.
constexpr double RoutingUpdateSeconds = 1;
// Cells of estimates in one grant, at about 60 bytes each. A node that is up to
// date gets at most 3 KB a second, below the bound of 4 KB; a node that holds
// no estimates yet gets more with its first grant.
constexpr size_t MaxCellsPerGrant = 50;
constexpr size_t MaxCellsInFirstGrant = 400;

} // namespace

absl::StatusOr<std::unique_ptr<control_task>>
control_task::start(link_context &Context, struct ev_loop *Loop,
                    metrics &Metrics, control_options Options) {
  std::unique_ptr<control_task> Task(
      new control_task(Context, Loop, Metrics, std::move(Options)));
  const control_options &O = Task->Options;
  if (!Task->Server.bind(O.Address))
    return makeError(error_kind::BadConfiguration,
                     "control.address: cannot bind " + O.Address);
  auto Log = replicated_log::open(Context, Loop, O.Log);
  if (!Log.ok())
    return Log.status();
  Task->Log = *std::move(Log);
  control_task *Raw = Task.get();
  Task->Log->OnApplied = [Raw](uint64_t Index, const apply_result &Result) {
    Raw->onApplied(Index, Result);
  };
  Task->Log->OnStorageFailed = [Raw] {
    if (Raw->OnFailed)
      Raw->OnFailed();
  };
  Task->Duties =
      std::make_unique<duty_driver>(Loop, Metrics, O.Duties, *Task->Log);
  Task->Api = std::make_unique<operator_api>(*Raw, Loop);
  Task->Api->routing().CountByVersion = [Raw](std::string_view Service) {
    return Raw->Upstreams.countByVersion(Service);
  };
  if (!Task->Api->bind(O.OperatorAddress))
    return makeError(error_kind::BadConfiguration,
                     "control.operator_address: cannot bind " +
                         O.OperatorAddress);
  Task->Timer.startRepeating(TickSeconds);
  return Task;
}

control_task::control_task(link_context &Context, struct ev_loop *Loop,
                           metrics &Metrics, control_options NewOptions)
    : Loop(Loop), Metrics(Metrics), Options(std::move(NewOptions)),
      Placer(Options.MaxConcurrentLoads),
      Server(Context, Loop,
             [this](const std::string &Peer, const wire::envelope &Message) {
               receive(Peer, Message);
             }),
      Rollouts(Options.Exposure), Lender(Options.Retries),
      Upstreams(Loop, Options.UpstreamListAddress),
      NoticeTimer(Loop, [this] { sendAllNotices(); }),
      Timer(Loop, [this] { tick(); }) {
  Upstreams.OnChange = [this] { scheduleNotices(); };
}

void control_task::receive(const std::string &Peer,
                           const wire::envelope &Message) {
  if (!Log)
    return;
  switch (Message.body_case()) {
  case wire::envelope::kRaft:
    return Log->step(Message.raft());
  case wire::envelope::kRenew:
    return onRenew(Peer, Message.renew());
  case wire::envelope::kWatch:
    return onWatch(Peer, Message.watch());
  case wire::envelope::kRetryAsk:
    return onRetryAsk(Peer, Message.retry_ask());
  case wire::envelope::kRoutingAsk:
    return onRoutingRequest(Peer, Message.routing_ask());
  case wire::envelope::kClaim:
    return onClaim(Peer, Message.claim());
  case wire::envelope::kFinish:
    return onFinish(Peer, Message.finish());
  case wire::envelope::kBills: {
    wire::command Command;
    *Command.mutable_bills() = Message.bills();
    return onBatch(Peer, Message.bills().call(), std::move(Command));
  }
  case wire::envelope::kRatings: {
    wire::command Command;
    *Command.mutable_ratings() = Message.ratings();
    return onBatch(Peer, Message.ratings().call(), std::move(Command));
  }
  default:
    Metrics.count("unexpected_messages", "control");
  }
}

void control_task::redirect(const std::string &Peer) {
  uint64_t Leader = Log->core().leader();
  if (Leader == Log->core().id())
    return; // Elected, but without a leader lease yet: the node will retry.
  wire::envelope Message;
  Message.mutable_redirect()->set_leader(Leader);
  Server.send(Peer, Message);
}

void control_task::onRenew(const std::string &Peer, const wire::renew &Renew) {
  double Now = steadySeconds();
  checkLeadership();
  if (!leads(Now))
    return redirect(Peer);
  Nodes.recordRenewal(Peer, Renew, Now);
  receiveCrashReports(Renew.crashes(), Renew.incarnation(), Now);
  if (Renew.stopping())
    Nodes.releaseLease(Peer);
  else
    grant(Peer, Renew, Now);
  Nodes.poll(Now);
}

void control_task::grant(const std::string &Peer, const wire::renew &Renew,
                         double Now) {
  const state_machine &State = Log->state();
  wire::envelope Message;
  wire::grant *Grant = Message.mutable_grant();
  Grant->set_sent_at(Renew.sent_at());
  Grant->set_lease_seconds(LeaseSeconds);
  if (Renew.config_index() != State.config().index())
    State.config().fillDelta(Renew.config_index(), *Grant->mutable_delta());
  fillQuarantine(Renew.crashes().quarantine_revision(),
                 *Grant->mutable_quarantine());
  State.evacuations().fillUpdate(Renew.evacuations_revision(),
                                 *Grant->mutable_evacuations());
  if (Renew.role() == "entry") {
    Grant->set_entries(Nodes.entries(Now));
    for (wire::account_share &Share : Nodes.sharesOf(Peer, Now))
      *Grant->add_shares() = std::move(Share);
    fillEstimates(*Grant->mutable_estimates(), Renew.estimates_index());
  }
  Nodes.recordGrant(Peer, Now);
  Server.send(Peer, Message);
}

void control_task::fillEstimates(wire::estimate_table &Table,
                                 uint64_t HeldIndex) const {
  const rating_store &Ratings = Log->state().ratings();
  double Now = steadySeconds();
  for (const guard_report &Report : Reports) {
    const version_spec *Spec = Log->state().config().version(Report.Name);
    if (!Spec || Spec->State != version_state::Rolling)
      continue;
    wire::guard_state *Out = Table.add_guards();
    Out->set_model(Report.Name.Model);
    Out->set_version(Report.Name.Version);
    Out->set_allowance(Nodes.perEntry(Report.Allowance, Now));
  }
  Ratings.fillEstimateTable(
      HeldIndex, HeldIndex == 0 ? MaxCellsInFirstGrant : MaxCellsPerGrant,
      Table);
}

void control_task::sendClaimResult(const std::string &Peer, uint64_t Call,
                                   const apply_result *Result) {
  wire::envelope Message;
  wire::claim_result *Out = Message.mutable_claim_result();
  if (Result)
    *Out = Result->Claim;
  else
    return; // Leadership was lost: the node resends to the next leader.
  Out->set_call(Call);
  wire::claim_value Holder;
  if (!Out->won() && Holder.ParseFromString(Out->value()))
    Out->set_holder_alive(
        !Out->abandoned() &&
        Nodes.holdsLease(Holder.id().entry(), steadySeconds()));
  Server.send(Peer, Message);
}

void control_task::onClaim(const std::string &Peer, const wire::claim &Claim) {
  wire::command Command;
  *Command.mutable_claim() = Claim;
  uint64_t Call = Claim.call();
  bool Leads = Log->propose(std::move(Command),
                            [this, Peer, Call](const apply_result *Result) {
                              sendClaimResult(Peer, Call, Result);
                            });
  if (!Leads)
    redirect(Peer);
}

void control_task::onFinish(const std::string &Peer,
                            const wire::finish &Finish) {
  wire::command Command;
  *Command.mutable_finish() = Finish;
  uint64_t Call = Finish.call();
  bool Leads = Log->propose(std::move(Command),
                            [this, Peer, Call](const apply_result *Result) {
                              sendClaimResult(Peer, Call, Result);
                            });
  if (!Leads)
    redirect(Peer);
}

void control_task::onBatch(const std::string &Peer, uint64_t Call,
                           wire::command Command) {
  bool Leads = Log->propose(std::move(Command),
                            [this, Peer, Call](const apply_result *Result) {
                              if (!Result)
                                return;
                              wire::envelope Message;
                              Message.mutable_ack()->set_call(Call);
                              Server.send(Peer, Message);
                            });
  if (!Leads)
    redirect(Peer);
}

void control_task::onApplied(uint64_t Index, const apply_result &Result) {
  bool HallsChanged =
      Log->state().evacuations().revision() != SentEvacuationsRevision;
  bool ConfigChanged = Result.ConfigIndex == Index;
  if ((ConfigChanged || HallsChanged) && Log->core().isLeader())
    pushConfig();
  // Many entries may be applied in one go, especially after a start. Gateways
  // get one notice with the state after the last of them.
  if (Log->state().routing().version() != SentRoutingVersion ||
      Log->state().rollouts().revision() != SentRolloutsRevision ||
      Log->state().quarantine().revision() != SentQuarantineRevision ||
      HallsChanged)
    scheduleNotices();
}

// Pushes a change to every node at once, rather than with its next renewal.
// Such a grant carries no lease, as it is not a response to a renewal.
void control_task::pushConfig() {
  if (!leads(steadySeconds()))
    return;
  for (const auto &[Peer, Node] : Nodes.nodes()) {
    wire::envelope Message;
    wire::grant *Grant = Message.mutable_grant();
    Log->state().config().fillDelta(Node.HeldConfigIndex,
                                    *Grant->mutable_delta());
    Log->state().evacuations().fillUpdate(0, *Grant->mutable_evacuations());
    Server.send(Peer, Message);
  }
}

// Detects that this VM has become the leader, and resets what is only valid
// within one term. Must run before a lease is granted or a wait begins: between
// an election and the next tick this VM is already the leader, and without the
// reset a change would count as in force while nodes still hold leases of the
// previous leader that this VM has no record of.
void control_task::checkLeadership() {
  const raft_core &Core = Log->core();
  if (!Core.isLeader() || Core.term() == LedTerm)
    return;
  LedTerm = Core.term();
  Nodes.reset(steadySeconds());
  Gateways.beginLeadership(steadySeconds());
  GuardPending.clear();
  PlacementPending = false;
  logLine(log_level::Info, "this VM became the control leader",
          {{"term", int64_t(LedTerm)}});
}

void control_task::tick() {
  double Now = steadySeconds();
  const raft_core &Core = Log->core();
  checkLeadership();
  if (!Core.isLeader())
    Nodes.dropWaits();
  Nodes.poll(Now);
  if (leads(Now) && Now >= NextGuard)
    guardVersions(Now);
  if (leads(Now) && Now >= NextPlacement)
    proposePlacement(Now);
  if (leads(Now) && Now >= NextRollouts)
    driveRollouts(Now);
  if (Now >= NextRoutingUpdate) {
    NextRoutingUpdate = Now + RoutingUpdateSeconds;
    updateRouting();
  }
  Upstreams.tick(Now, leads(Now));
  Duties->tick(Now);
  Metrics.gauge("log_bytes", double(Log->storage().logBytes()));
  Metrics.gauge("log_syncs", double(Log->storage().syncs()));
  Metrics.gauge("disk_full", Log->isDiskFull() ? 1 : 0);
  Metrics.gauge("disk_full_times", double(Log->timesDiskFull()));
  Metrics.gauge("disk_reserve_bytes", double(Log->storage().reserveBytes()));
  Metrics.gauge("commit_index", double(Core.commitIndex()));
  publishGroupMetrics(Now);
  Metrics.gauge("routing_news_bytes", double(RoutingPublisher.cachedBytes()));
  Metrics.gauge("routing_news_changes",
                double(RoutingPublisher.retainedChanges()));
}

// The gauges are those of the leader; other VMs do not know who is in contact.
void control_task::publishGroupMetrics(double Now) {
  const raft_core &Core = Log->core();
  for (size_t I = 0; I <= size_t(raft_refusal::Last); ++I)
    Metrics.setCount("raft_refusals", nameOf(raft_refusal(I)),
                     Core.refusals(raft_refusal(I)));
  Metrics.gauge("control_leads", Core.isLeader() ? 1 : 0);
  if (!Core.isLeader())
    return;
  group_health Health = Core.health(Now);
  Metrics.gauge("control_voters_wanted", double(Health.WantedVoters));
  Metrics.gauge("control_voters", double(Health.Voters));
  Metrics.gauge("control_voters_in_contact", double(Health.InContact));
  Metrics.gauge("control_losses_borne", double(Health.LossesBorne));
}

void control_task::guardVersions(double Now) {
  NextGuard = Now + GuardSeconds;
  Reports = Log->state().ratings().evaluate(Log->state().config());
  for (const guard_report &Report : Reports) {
    const version_spec *Spec = Log->state().config().version(Report.Name);
    if (!Spec)
      continue;
    if (Report.Verdict == guard_verdict::Stop)
      setVersionState(Report, version_state::Stopped);
    else if (!Report.StoppedScopes.empty())
      stopScopes(Report);
    if (Report.Verdict == guard_verdict::Settle &&
        Spec->State == version_state::Rolling)
      setVersionState(Report, version_state::Active);
  }
}

void control_task::driveRollouts(double Now) {
  NextRollouts = Now + RolloutSeconds;
  proposeQuarantineChanges(Now);
  Gateways.forgetSilent(Now);
  logEvacuationsInForce();
  recordFormerVersions();
  for (rollout_judgement &Judgement :
       Rollouts.judge(Log->state().rollouts(), Gateways, Now, wallSeconds())) {
    reportRollout(Judgement);
    if (!Judgement.isDue())
      continue;
    wire::command Command;
    *Command.mutable_rollout_step() = std::move(Judgement.Step);
    Log->propose(std::move(Command), [](const apply_result *) {});
  }
}

// Adds the former version to roll-outs that have none: the list of upstreams
// was not known when they were ordered, or they were ordered at a control VM
// that does not record it.
void control_task::recordFormerVersions() {
  for (const auto &[Service, Rollout] : Log->state().rollouts().all()) {
    if (Rollout.stage() == wire::COMPLETED || !Rollout.former_version().empty())
      continue;
    std::string Former = formerVersion(
        nullptr, Upstreams.countByVersion(Service), Rollout.target_version());
    if (Former.empty())
      continue;
    wire::command Command;
    wire::rollout_step &Step = *Command.mutable_rollout_step();
    Step.set_service(Service);
    Step.set_target_version(Rollout.target_version());
    Step.set_from(Rollout.stage());
    Step.set_to(Rollout.stage());
    Step.set_reason(Rollout.reason());
    Step.set_former_version(Former);
    Log->propose(std::move(Command), [](const apply_result *) {});
  }
}

// Shows what the next verdict will rest on, and what a verdict rests on.
void control_task::reportRollout(const rollout_judgement &Judgement) {
  const wire::rollout_step &Step = Judgement.Step;
  const rollout_decision &Decision = Judgement.Decision;
  const version_tally &New = Judgement.Facts.New;
  const version_tally &Old = Judgement.Facts.Old;
  Metrics.gauge("rollout_new_judged", double(New.Judged));
  Metrics.gauge("rollout_new_bad", double(New.Bad));
  Metrics.gauge("rollout_old_judged", double(Old.Judged));
  Metrics.gauge("rollout_old_bad", double(Old.Bad));
  Metrics.gauge("rollout_evidence", Decision.Evidence);
  if (!Judgement.isDue())
    return;
  auto MeanSeconds = [](const version_tally &Tally) {
    return Tally.Answers ? Tally.Seconds / double(Tally.Answers) : 0;
  };
  logLine(log_level::Warning,
          "moving the roll-out of a service to another stage",
          {{"service", Step.service()},
           {"version", Step.target_version()},
           {"from", wire::rollout_stage_Name(Step.from())},
           {"to", wire::rollout_stage_Name(Step.to())},
           {"reason", Decision.Reason},
           {"elapsed_s", Judgement.Facts.ElapsedSeconds},
           {"duration_s", Judgement.Facts.DurationSeconds},
           {"new_sent", int64_t(New.Sent)},
           {"new_responses", int64_t(New.Answers)},
           {"new_failures", int64_t(New.Failures)},
           {"new_first_byte_s", MeanSeconds(New)},
           {"new_judged", int64_t(New.Judged)},
           {"new_bad", int64_t(New.Bad)},
           {"new_upstreams", int64_t(Judgement.Facts.NewByUpstream.size())},
           {"old_sent", int64_t(Old.Sent)},
           {"old_responses", int64_t(Old.Answers)},
           {"old_failures", int64_t(Old.Failures)},
           {"old_first_byte_s", MeanSeconds(Old)},
           {"old_judged", int64_t(Old.Judged)},
           {"old_bad", int64_t(Old.Bad)},
           {"evidence", Decision.Evidence},
           {"evidence_of_others", Decision.EvidenceOfOthers}});
}

// Proposes one placement step at a time, each computed from the state at that
// moment. If the leader fails midway, its successor needs nothing from it.
void control_task::proposePlacement(double Now) {
  NextPlacement = Now + PlacementSeconds;
  if (PlacementPending || !Nodes.leasesComplete(Now))
    return;
  auto Step = Placer.next(Log->state().config(), Nodes, Now);
  if (!Step)
    return;
  wire::command Command;
  *Command.mutable_change() = std::move(*Step);
  PlacementPending = true;
  Log->propose(std::move(Command),
               [this](const apply_result *) { PlacementPending = false; });
}

// True if no other version of the model takes new work. The guard never stops
// such a version: whether poor answers are worse than none is for an operator
// to decide.
bool control_task::isLastOfItsModel(const version_name &Name) const {
  const model_spec *Model = Log->state().config().model(Name.Model);
  return std::none_of(
      Model->Versions.begin(), Model->Versions.end(), [&](const auto &V) {
        return V.first != Name.Version && takesNewWork(V.second.State);
      });
}

void control_task::setVersionState(const guard_report &Report,
                                   version_state State) {
  if (State == version_state::Stopped && isLastOfItsModel(Report.Name))
    return;
  changeVersion(Report, nameOf(State),
                [State](json &Version) { Version["state"] = nameOf(State); });
}

void control_task::stopScopes(const guard_report &Report) {
  if (isLastOfItsModel(Report.Name))
    return;
  changeVersion(
      Report, "stopped for some templates or accounts", [&](json &Version) {
        for (const guard_scope &Scope : Report.StoppedScopes) {
          bool IsTemplate = Scope.Kind == guard_scope::scope_kind::Template;
          Version["stopped_for"][IsTemplate ? "templates" : "accounts"]
              .push_back(Scope.Name);
        }
      });
}

// Proposes the guard's change of one version. The change is rejected if the
// model's document has been changed meanwhile.
void control_task::changeVersion(const guard_report &Report,
                                 std::string_view Change,
                                 const std::function<void(json &)> &Edit) {
  auto Object =
      Log->state().config().objects().find({"model", Report.Name.Model});
  std::string Name = Report.Name.text();
  auto Document = parseJson(Object->second.Text, "model");
  if (GuardPending[Name] || !Document.ok())
    return;
  Edit((*Document)["versions"][Report.Name.Version]);
  wire::command Command;
  wire::change_set *Set = Command.mutable_change();
  Set->set_change_id(absl::StrCat("guard-", Name, "-", Object->second.Index));
  Set->set_author("roll-out guard");
  wire::config_change *ConfigChange = Set->add_changes();
  ConfigChange->set_kind("model");
  ConfigChange->set_name(Report.Name.Model);
  ConfigChange->set_check_index(true);
  ConfigChange->set_expected_index(Object->second.Index);
  ConfigChange->set_document(jsonText(*Document));
  logLine(log_level::Warning, "roll-out guard is changing a model version",
          {{"version", Name},
           {"change", Change},
           {"reason", Report.Reason},
           {"part",
            Report.StoppedScopes.empty() ? "" : Report.StoppedScopes[0].Name},
           {"evidence", Report.Evidence},
           {"ratings", Report.Ratings}});
  GuardPending[Name] = true;
  Log->propose(std::move(Command), [this, Name](const apply_result *) {
    GuardPending.erase(Name);
  });
}

} // namespace olivevalve
