//===- replicated_log.cpp - Raft with disk, network and timers ------------===//

#include "control/replicated_log.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include <algorithm>
#include <set>

namespace olivevalve {

namespace {

constexpr double TickSeconds = 0.03;
constexpr double AnnounceSeconds = 0.5;
// A peer counts as empty for this time after its reply that it belongs to no
// group.
constexpr double EmptyReplySeconds = 2.0;
// A refused write is tried again this often. Short beside an election, so that
// a VM whose disk has room again is back before another one is missed.
constexpr double RetrySeconds = 0.25;
// After a refused snapshot the next one is tried this much later: encoding a
// large state takes processor time from the reads that are still answered.
constexpr double SnapshotRetrySeconds = 5.0;

} // namespace

uint64_t controlIdOf(const std::string &Address) {
  // The top bit avoids collisions with ids from the settings, which are small.
  return checksum(Address) | (uint64_t(1) << 63);
}

absl::StatusOr<std::unique_ptr<replicated_log>>
replicated_log::open(link_context &Context, struct ev_loop *Loop,
                     replicated_log_options Options) {
  auto Storage = raft_storage::open(Options.Folder, *Options.Disk);
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
  if (Refused && !Failed)
    retryRefused(Now);
  Core->tick(Now);
  if (Core->shouldAnnounce(Now) && Now >= NextAnnounce)
    announce(Now);
  if (HadLeadership && !Core->isLeader())
    dropHandlers();
  HadLeadership = Core->isLeader();
  logMembers();
  logHealth(Now);
  snapshotIfDue();
}

// Logs each VM that has joined or left the group, or got another role, as of
// this VM's log.
void replicated_log::logMembers() {
  if (Core->membersIndex() == LoggedMembersIndex)
    return;
  LoggedMembersIndex = Core->membersIndex();
  const wire::member_list &Members = Core->members();
  auto Describe = [](const wire::member_list &List, uint64_t Id) {
    for (const wire::member &Member : List.members())
      if (Member.id() == Id)
        return std::string(Member.voter() ? "voter" : "learner") +
               (Member.joining() ? ", joining" : "") +
               (Member.leaving() ? ", leaving" : "") + ", disk " +
               hexOf(Member.disk());
    return std::string("no member");
  };
  std::map<uint64_t, std::string> Addresses;
  for (const wire::member &Member : LoggedMembers.members())
    Addresses[Member.id()] = Member.address();
  for (const wire::member &Member : Members.members())
    Addresses[Member.id()] = Member.address();
  for (const auto &[Id, Address] : Addresses) {
    std::string Before = Describe(LoggedMembers, Id);
    std::string After = Describe(Members, Id);
    if (Before == After)
      continue;
    logLine(log_level::Info, "member of the control group",
            {{"vm", Address},
             {"was", Before},
             {"is", After},
             {"index", int64_t(Core->membersIndex())},
             {"committed", int64_t(Core->membershipCommitted())},
             {"leader", int64_t(Core->isLeader())}});
  }
  LoggedMembers = Members;
}

void replicated_log::logHealth(double Now) {
  if (!Core->isLeader())
    return;
  group_health Health = Core->health(Now);
  if (Health == LoggedHealth)
    return;
  LoggedHealth = Health;
  bool Whole = Health.InContact >= Health.WantedVoters;
  logLine(Whole ? log_level::Info : log_level::Warning,
          Whole ? "the control group is whole"
                : "the control group bears fewer losses than it should",
          {{"losses_borne", int64_t(Health.LossesBorne)},
           {"voters", int64_t(Health.Voters)},
           {"in_contact", int64_t(Health.InContact)},
           {"wanted", int64_t(Health.WantedVoters)}});
}

// Announces this VM to the other control VMs that it knows from the settings,
// from its own member list and from replies. It starts a new group only if it
// belongs to none, it has the lowest id in the settings and every
// other VM listed there has recently replied that it is empty too. This keeps
// a VM that has lost its disk from starting a second group.
void replicated_log::announce(double Now) {
  bool First = Now > NextAnnounce + AnnounceSeconds;
  if (First && Core->isMember())
    logLine(log_level::Warning,
            "no contact with a leader, asking the other control VMs to join",
            {{"members", int64_t(Core->members().members_size())},
             {"term", int64_t(Core->term())},
             {"last_index", int64_t(Core->lastIndex())}});
  NextAnnounce = Now + AnnounceSeconds;
  std::set<uint64_t> Others;
  for (const control_peer &Peer : Options.Peers)
    Others.insert(Peer.Id);
  for (const wire::member &Member : Core->members().members())
    Others.insert(Member.id());
  Others.erase(Options.Id);
  for (uint64_t Id : Others)
    announceTo(Id);
  if (!JoinAddress.empty() && JoinAddress != Options.Address) {
    uint64_t Leader = controlIdOf(JoinAddress);
    LearnedAddresses[Leader] = JoinAddress;
    if (!Others.contains(Leader))
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
  Announce->set_group(Core->group());
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

// Returns false if \p Output is not on the disk.
bool replicated_log::write(const raft_output &Output) {
  if (!Output.needsSync())
    return true;
  absl::Status Status = Storage->write(Output);
  if (Status.ok()) {
    if (!Output.Entries.empty())
      Core->synced(Output.Entries.back().index(), Output.Entries.back().term());
    return true;
  }
  if (!Storage->isFull())
    fail("storage failed, stopping", Status);
  else if (!Refused)
    standAside(Output, Status);
  return false;
}

void replicated_log::fail(std::string_view What, const absl::Status &Status) {
  Failed = true;
  Core->standAside(steadySeconds());
  logLine(log_level::Error, What, {{"error", messageOf(Status)}});
  if (OnStorageFailed)
    OnStorageFailed();
}

// The messages of the output are dropped as if they were lost: by the time it
// is on the disk, they answer what is long past.
void replicated_log::standAside(raft_output Output,
                                const absl::Status &Status) {
  double Now = steadySeconds();
  Core->standAside(Now);
  Output.Immediate.clear();
  Output.AfterSync.clear();
  Refused = std::move(Output);
  RefusedSince = Now;
  NextRetry = Now;
  ++TimesDiskFull;
  logLine(log_level::Warning,
          "no room on the disk: this control VM stands aside until there is",
          {{"error", messageOf(Status)},
           {"log_bytes", int64_t(Storage->logBytes())},
           {"reserve_bytes", int64_t(Storage->reserveBytes())}});
}

void replicated_log::retryRefused(double Now) {
  if (Now < NextRetry)
    return;
  NextRetry = Now + RetrySeconds;
  // An output with a snapshot of the leader replaces the log itself. The image
  // is about as large as that of the last snapshot.
  bool CutFrees =
      !Refused->Install && Core->snapshot().Image.size() < Storage->logBytes();
  if (CutFrees && Now >= NextSnapshot) {
    NextSnapshot = Now + SnapshotRetrySeconds;
    absl::Status Cut = takeSnapshot();
    if (!Cut.ok() && !Storage->isFull())
      return fail("writing the snapshot failed, stopping", Cut);
  }
  absl::Status Ready = Storage->prepareRetry();
  if (!Ready.ok() && !Storage->isFull())
    return fail("storage failed, stopping", Ready);
  if (!Ready.ok() || !write(*Refused))
    return;
  raft_output Output = std::move(*Refused);
  Refused.reset();
  Core->resume(Now);
  logLine(log_level::Info,
          "room on the disk again: this control VM takes part again",
          {{"seconds", Now - RefusedSince}});
  finish(Output);
}

void replicated_log::flush() {
  if (Failed || Refused || !Core)
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
    finish(Output);
  }
}

// Applies what \p Output, which is on the disk, has committed.
void replicated_log::finish(const raft_output &Output) {
  if (Output.Install && !State.restore(Output.Install->Image))
    logLine(log_level::Error,
            "cannot decode the snapshot received from the leader");
  for (const wire::log_entry &Entry : Output.Committed)
    apply(Entry);
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
  bool Due = Storage->logBytes() >= Options.SnapshotBytes;
  if (Failed || Refused || !Due || steadySeconds() < NextSnapshot)
    return;
  // Entries already handed out by the core must be written before the log file
  // is replaced.
  flush();
  if (Failed || Refused || State.appliedIndex() <= Core->snapshot().Index)
    return;
  absl::Status Status = takeSnapshot();
  if (Status.ok())
    return;
  if (!Storage->isFull())
    return fail("writing the snapshot failed, stopping", Status);
  // The log on the disk is whole; its next write shows whether there is room.
  NextSnapshot = steadySeconds() + SnapshotRetrySeconds;
  logLine(log_level::Warning,
          "no room on the disk for a snapshot, the log goes on",
          {{"error", messageOf(Status)},
           {"log_bytes", int64_t(Storage->logBytes())}});
}

// Replaces snapshot and log by the state applied so far and the entries after
// it.
absl::Status replicated_log::takeSnapshot() {
  uint64_t Index = State.appliedIndex();
  if (Index > Core->snapshot().Index)
    Core->compact(Index, State.image());
  if (Core->snapshot().Index == 0)
    return absl::OkStatus();
  return Storage->compact(Core->snapshot(), Core->hardState(),
                          Core->entriesAfterSnapshot());
}

} // namespace olivevalve
