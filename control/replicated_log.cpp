//===- replicated_log.cpp - Raft with disk, network and timers ------------===//

#include "control/replicated_log.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include <algorithm>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.03;
constexpr double AnnounceSeconds = 0.5;
// A peer counts as empty for this time after its reply that it belongs to no
// group.
constexpr double EmptyReplySeconds = 2.0;

} // namespace

uint64_t controlIdOf(const std::string &Address) {
  // The top bit avoids collisions with ids from the settings, which are small.
  return checksum(Address) | (uint64_t(1) << 63);
}

absl::StatusOr<std::unique_ptr<replicated_log>>
replicated_log::open(link_context &Context, struct ev_loop *Loop,
                     replicated_log_options Options) {
  auto Storage = raft_storage::open(Options.Folder);
  if (!Storage.ok())
    return Storage.status();
  std::unique_ptr<replicated_log> Log(
      new replicated_log(Context, Loop, std::move(Options)));
  Log->Storage = *std::move(Storage);
  raft_durable_state Durable = Log->Storage->takeDurableState();
  bool Restorable =
      Durable.Snapshot.Index == 0 || Log->State.restore(Durable.Snapshot.Image);
  if (!Restorable)
    return makeError(error_kind::StorageFailed,
                     Log->Options.Folder + "/snapshot: cannot be decoded");
  raft_options Core{.Id = Log->Options.Id, .Disk = Log->Storage->disk()};
  Core.Seed = randomIncarnation();
  Core.TargetVoters = Log->Options.TargetVoters;
  Core.ReplaceAfterSeconds = Log->Options.ReplaceAfterSeconds;
  Core.Address = Log->Options.Address;
  Core.OperatorAddress = Log->Options.OperatorAddress;
  Log->Core =
      std::make_unique<raft_core>(Core, std::move(Durable), steadySeconds());
  // Connect before the first election. A message to a VM that is not connected
  // yet is dropped, and losing the first vote request would cost an election
  // timeout.
  for (const wire::member &Member : Log->Core->members().members())
    if (Member.id() != Core.Id)
      Log->linkTo(Member.id());
  Log->Timer.startRepeating(TickSeconds);
  return Log;
}

replicated_log::replicated_log(link_context &Context, struct ev_loop *Loop,
                               replicated_log_options NewOptions)
    : Context(Context), Loop(Loop), Options(std::move(NewOptions)),
      Timer(Loop, [this] { tick(); }), WakeUp(Loop, [] {}),
      Prepare(Loop, [this] { flush(); }) {}

void replicated_log::tick() {
  double Now = steadySeconds();
  Core->tick(Now);
  if (!Core->isMember() && Now >= NextAnnounce)
    announce(Now);
  if (HadLeadership && !Core->isLeader())
    dropHandlers();
  HadLeadership = Core->isLeader();
  snapshotIfDue();
}

// Announces this VM, which belongs to no group, to the other control VMs. It
// starts a new group only if it has the lowest id in the settings and every
// other VM listed there has recently replied that it is empty too. This keeps
// a VM that has lost its disk from starting a second group.
void replicated_log::announce(double Now) {
  NextAnnounce = Now + AnnounceSeconds;
  for (const control_peer &Peer : Options.Peers)
    if (Peer.Id != Options.Id)
      announceTo(Peer.Id);
  if (!JoinAddress.empty() && JoinAddress != Options.Address) {
    uint64_t Leader = controlIdOf(JoinAddress);
    LearnedAddresses[Leader] = JoinAddress;
    announceTo(Leader);
  }
  if (!mayStartGroup(Now))
    return;
  logLine(log_level::Info,
          "all listed control VMs are empty, starting a new control group");
  Core->bootstrap(hexOf(randomIncarnation()), Now);
}

void replicated_log::announceTo(uint64_t Id) {
  wire::envelope Message;
  wire::raft *Announce = Message.mutable_raft();
  Announce->set_purpose(wire::raft::ANNOUNCE);
  Announce->set_from(Options.Id);
  Announce->set_to(Id);
  Announce->set_disk(Storage->disk());
  Announce->set_address(Options.Address);
  Announce->set_operator_address(Options.OperatorAddress);
  if (client_link *Link = linkTo(Id))
    Link->send(Message);
}

bool replicated_log::mayStartGroup(double Now) const {
  if (!Options.MayBootstrap || !Core->group().empty())
    return false;
  bool SelfListed = false;
  for (const control_peer &Peer : Options.Peers) {
    if (Peer.Id == Options.Id) {
      SelfListed = true;
      continue;
    }
    auto Reply = EmptyPeers.find(Peer.Id);
    bool Empty =
        Reply != EmptyPeers.end() && Now < Reply->second + EmptyReplySeconds;
    if (Peer.Id < Options.Id || !Empty)
      return false;
  }
  return SelfListed;
}

void replicated_log::onAnnounceReply(const wire::raft &Message) {
  if (Message.group().empty()) {
    EmptyPeers[Message.from()] = steadySeconds();
    return;
  }
  EmptyPeers.erase(Message.from());
  JoinAddress = Message.leader_address();
}

std::string replicated_log::addressOf(uint64_t Id) const {
  for (const wire::member &Member : Core->members().members())
    if (Member.id() == Id)
      return Member.address();
  for (const control_peer &Peer : Options.Peers)
    if (Peer.Id == Id)
      return Peer.Address;
  auto It = LearnedAddresses.find(Id);
  return It == LearnedAddresses.end() ? "" : It->second;
}

client_link *replicated_log::linkTo(uint64_t Id) {
  auto It = Links.find(Id);
  if (It != Links.end())
    return It->second.get();
  std::string Address = addressOf(Id);
  if (Address.empty())
    return nullptr;
  std::string Name = "control/" + hexOf(Storage->disk());
  auto Link = std::make_unique<client_link>(Context, Loop, Name,
                                            [](const wire::envelope &) {});
  Link->connect(Address);
  return (Links[Id] = std::move(Link)).get();
}

void replicated_log::step(const wire::raft &Message) {
  if (Message.purpose() == wire::raft::ANNOUNCE_REPLY) {
    if (Message.to() == Options.Id)
      onAnnounceReply(Message);
    return;
  }
  if (Message.purpose() == wire::raft::ANNOUNCE)
    LearnedAddresses[Message.from()] = Message.address();
  Core->step(Message, steadySeconds());
}

bool replicated_log::propose(wire::command Command, result_handler Handler) {
  Command.set_wall_seconds(wallSeconds());
  auto Index = Core->propose(Command.SerializeAsString());
  if (!Index)
    return false;
  WakeUp.startOnce(0);
  PendingProposals[*Index] = {.Term = Core->term(),
                              .Handler = std::move(Handler)};
  return true;
}

void replicated_log::send(const std::vector<wire::raft> &Messages) {
  for (const wire::raft &Message : Messages) {
    client_link *Link = linkTo(Message.to());
    if (!Link)
      continue;
    wire::envelope Envelope;
    *Envelope.mutable_raft() = Message;
    Link->send(Envelope);
  }
}

bool replicated_log::write(const raft_output &Output) {
  if (!Output.needsSync())
    return true;
  absl::Status Status = Storage->write(Output);
  if (Status.ok()) {
    if (!Output.Entries.empty())
      Core->synced(Output.Entries.back().index(), Output.Entries.back().term());
    return true;
  }
  Failed = true;
  logLine(log_level::Error, "storage failed, stopping",
          {{"error", messageOf(Status)}});
  if (OnStorageFailed)
    OnStorageFailed();
  return false;
}

void replicated_log::flush() {
  if (Failed || !Core)
    return;
  for (;;) {
    raft_output Output = Core->takeOutput();
    bool Idle = !Output.needsSync() && Output.Immediate.empty() &&
                Output.AfterSync.empty() && Output.Committed.empty();
    if (Idle)
      return;
    if (!Output.HardState)
      send(Output.Immediate);
    if (!write(Output))
      return;
    if (Output.HardState)
      send(Output.Immediate);
    send(Output.AfterSync);
    if (Output.Install && !State.restore(Output.Install->Image))
      logLine(log_level::Error,
              "cannot decode the snapshot received from the leader");
    for (const wire::log_entry &Entry : Output.Committed)
      apply(Entry);
  }
}

void replicated_log::apply(const wire::log_entry &Entry) {
  apply_result Result =
      State.apply(Entry.index(), Entry.is_members() ? "" : Entry.data());
  auto It = PendingProposals.find(Entry.index());
  if (It != PendingProposals.end()) {
    pending_proposal Proposal = std::move(It->second);
    PendingProposals.erase(It);
    // An entry of another leader may have replaced the one proposed here.
    Proposal.Handler(Proposal.Term == Entry.term() ? &Result : nullptr);
  }
  if (OnApplied)
    OnApplied(Entry.index(), Result);
}

void replicated_log::dropHandlers() {
  std::map<uint64_t, pending_proposal> Dropped = std::move(PendingProposals);
  PendingProposals.clear();
  for (auto &[Index, Proposal] : Dropped)
    Proposal.Handler(nullptr);
}

void replicated_log::snapshotIfDue() {
  if (Failed || Storage->logBytes() < Options.SnapshotBytes)
    return;
  // Entries already handed out by the core must be written before the log file
  // is replaced.
  flush();
  uint64_t Index = State.appliedIndex();
  if (Failed || Index <= Core->snapshot().Index)
    return;
  Core->compact(Index, State.image());
  absl::Status Status = Storage->compact(Core->snapshot(), Core->hardState(),
                                         Core->entriesAfterSnapshot());
  if (Status.ok())
    return;
  Failed = true;
  logLine(log_level::Error, "writing the snapshot failed, stopping",
          {{"error", messageOf(Status)}});
  if (OnStorageFailed)
    OnStorageFailed();
}

} // namespace olivevalve
