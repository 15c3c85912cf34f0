//===- raft_core.cpp - Raft consensus of the control VMs ------------------===//

#include "consensus/raft_core.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

// Length of the leader lease as a fraction of ElectionMin, for which followers
// refuse votes. The clocks of two VMs may drift apart by 1 part in 100, so the
// leader has to stop relying on its lease before followers may vote again.
constexpr double LeaseSafetyFactor = 0.95;
// An unacknowledged snapshot is sent again after this time, in seconds.
constexpr double SnapshotResendSeconds = 2.0;

constexpr std::array<std::string_view, 4> RoleNames = {
    "follower", "pre-candidate", "candidate", "leader"};

constexpr std::array<std::string_view, size_t(raft_refusal::Last) + 1>
    RefusalNames = {"vote: leader in contact", "vote: older log",
                    "vote: other vote or term", "message: other group",
                    "message: other disk"};

} // namespace

std::string_view nameOf(raft_role Role) { return RoleNames[size_t(Role)]; }
std::string_view nameOf(raft_refusal Refusal) {
  return RefusalNames[size_t(Refusal)];
}

raft_core::raft_core(raft_options NewOptions, raft_durable_state Durable,
                     double Now)
    : Options(std::move(NewOptions)), Random(Options.Seed),
      HardState(std::move(Durable.HardState)),
      Snapshot(std::move(Durable.Snapshot)),
      Log(Durable.Entries.begin(), Durable.Entries.end()) {
  Commit = DeliveredIndex = Snapshot.Index;
  SyncedIndex = TakenIndex = lastIndex();
  refreshMembers();
  // This VM may have acknowledged a leader just before the restart. That leader
  // relies on its lease, so votes are refused as after a contact with it.
  LastLeaderContact = Now;
  LastNow = Now;
  resetElectionTimer(Now);
}

void raft_core::bootstrap(const std::string &Group, double Now) {
  HardState.Group = Group;
  HardState.Term = 1;
  markHardStateDirty();
  wire::member_list First;
  wire::member *Self = First.add_members();
  Self->set_id(Options.Id);
  Self->set_address(Options.Address);
  Self->set_operator_address(Options.OperatorAddress);
  Self->set_disk(Options.Disk);
  Self->set_voter(true);
  append(First.SerializeAsString(), true);
  LastLeaderContact = Now - Options.ElectionMin;
  startPreVote(Now);
}

uint64_t raft_core::lastIndex() const { return Snapshot.Index + Log.size(); }

const wire::log_entry &raft_core::entryAt(uint64_t Index) const {
  return Log[Index - Snapshot.Index - 1];
}

// Returns 0, which is the term of no entry, for indexes that are not in the
// log: those before the snapshot and those after the last entry.
uint64_t raft_core::termAt(uint64_t Index) const {
  if (Index == Snapshot.Index)
    return Snapshot.Term;
  if (Index < Snapshot.Index || Index > lastIndex())
    return 0;
  return entryAt(Index).term();
}

// False if the sender uses the id of a member but has a different disk: it is
// not that member, and its replies do not count.
bool raft_core::senderMatchesMember(const wire::raft &Message) const {
  const wire::member *Member = member(Message.from());
  return !Member || Member->disk() == Message.disk();
}

bool raft_core::isLogUpToDate(uint64_t Index, uint64_t Term) const {
  if (Term != lastTerm())
    return Term > lastTerm();
  return Index >= lastIndex();
}

wire::raft raft_core::makeMessage(wire::raft::raft_purpose Purpose,
                                  uint64_t To) const {
  wire::raft Message;
  Message.set_purpose(Purpose);
  Message.set_group(HardState.Group);
  Message.set_from(Options.Id);
  Message.set_disk(Options.Disk);
  Message.set_to(To);
  Message.set_term(HardState.Term);
  return Message;
}

// Requests name the disk of the receiver. A VM that has a new disk thus notices
// that the leader does not know it yet, rather than take it for its leader
// while its replies do not count.
wire::raft raft_core::makeRequest(wire::raft::raft_purpose Purpose,
                                  uint64_t To) const {
  wire::raft Message = makeMessage(Purpose, To);
  if (const wire::member *Member = member(To))
    Message.set_to_disk(Member->disk());
  return Message;
}

void raft_core::resetElectionTimer(double Now) {
  std::uniform_real_distribution<double> Wait(Options.ElectionMin,
                                              Options.ElectionMax);
  ElectionDeadline = Now + Wait(Random);
}

void raft_core::becomeFollower(uint64_t Term, uint64_t NewLeader, double Now) {
  if (Term > HardState.Term) {
    HardState.Term = Term;
    HardState.Vote = 0;
    markHardStateDirty();
  }
  bool WasLeader = isLeader();
  Role = raft_role::Follower;
  Leader = NewLeader;
  Votes.clear();
  if (NewLeader) {
    LastLeaderContact = Now;
    FormerLeader = NewLeader;
  }
  if (NewLeader || WasLeader)
    resetElectionTimer(Now);
}

// Asks the other voters whether an election could be won, without raising the
// term. A VM that was partitioned must not depose a leader that the others
// still have contact with.
void raft_core::startPreVote(double Now) {
  resetElectionTimer(Now);
  if (!isVoter(Options.Id) || member(Options.Id)->disk() != Options.Disk)
    return;
  Role = raft_role::PreCandidate;
  Leader = 0;
  Votes.clear();
  for (const wire::member &Member : Members.members()) {
    if (!Member.voter() || Member.id() == Options.Id)
      continue;
    wire::raft Message = makeRequest(wire::raft::PRE_VOTE, Member.id());
    Message.set_term(HardState.Term + 1);
    Message.set_log_index(lastIndex());
    Message.set_log_term(lastTerm());
    Immediate.push_back(std::move(Message));
  }
  countVote(Options.Id, Now);
}

void raft_core::startElection(double Now) {
  resetElectionTimer(Now);
  Role = raft_role::Candidate;
  ++HardState.Term;
  HardState.Vote = Options.Id;
  markHardStateDirty();
  Votes.clear();
  for (const wire::member &Member : Members.members()) {
    if (!Member.voter() || Member.id() == Options.Id)
      continue;
    wire::raft Message = makeRequest(wire::raft::VOTE, Member.id());
    Message.set_log_index(lastIndex());
    Message.set_log_term(lastTerm());
    AfterSync.push_back(std::move(Message));
  }
  countVote(Options.Id, Now);
}

void raft_core::countVote(uint64_t From, double Now) {
  if (!isVoter(From))
    return;
  Votes[From] = true;
  bool Elected = true;
  for (voter_set Set : VoterSets)
    Elected = Elected && countVoters(Set, [&](uint64_t Id) {
                           return Votes.contains(Id);
                         }) >= quorum(Set);
  if (!Elected)
    return;
  if (Role == raft_role::PreCandidate)
    startElection(Now);
  else if (Role == raft_role::Candidate)
    becomeLeader(Now);
}

void raft_core::becomeLeader(double Now) {
  Role = raft_role::Leader;
  Leader = Options.Id;
  LeaderSince = Now;
  Peers.clear();
  // The former leader was heard last when it led, unless it has voted since; of
  // the others nothing is known.
  for (const wire::member &Member : Members.members())
    if (Member.id() != Options.Id)
      Peers[Member.id()] = {.Next = lastIndex() + 1,
                            .LastContact = Member.id() == FormerLeader &&
                                                   !Votes.contains(Member.id())
                                               ? LastLeaderContact
                                               : Now};
  // Raft commits entries of older terms only together with an entry of the
  // leader's own term, so an empty one is appended at once.
  TermStartIndex = append("", false);
  broadcast(Now, true);
}

void raft_core::standAside(double Now) {
  becomeFollower(HardState.Term, 0, Now);
  Immediate.clear();
  AfterSync.clear();
  Aside = true;
}

void raft_core::resume(double Now) {
  Aside = false;
  // The others may have a leader that has not reached this VM meanwhile.
  resetElectionTimer(Now);
}

void raft_core::tick(double Now) {
  LastNow = Now;
  if (Aside)
    return;
  if (!isLeader()) {
    if (Now >= ElectionDeadline && !HardState.Group.empty())
      startPreVote(Now);
    return;
  }
  if (quorumContactTime(Now, &peer::LastContact) + Options.ElectionMax < Now) {
    becomeFollower(HardState.Term, 0, Now);
    return;
  }
  maintainMembers(Now);
  if (Now >= NextHeartbeat)
    broadcast(Now, true);
}

// Returns the latest time T such that a quorum of voters has a value of at
// least T in the field \p Time. This VM counts with \p Now.
double raft_core::quorumContactTime(double Now, double peer::*Time) const {
  return quorumValue([&](uint64_t Id) {
    auto It = Peers.find(Id);
    if (Id == Options.Id)
      return Now;
    return It == Peers.end() ? 0 : It->second.*Time;
  });
}

bool raft_core::hasLeaderLease(double Now) const {
  if (!isLeader() || Commit < TermStartIndex)
    return false;
  double QuorumSendTime = quorumContactTime(Now, &peer::LastAckedSend);
  return Now < QuorumSendTime + Options.ElectionMin * LeaseSafetyFactor;
}

double raft_core::secondsSinceContact(uint64_t Id, double Now) const {
  auto It = Peers.find(Id);
  return It == Peers.end() ? 0 : Now - It->second.LastContact;
}

uint64_t raft_core::matchIndex(uint64_t Id) const {
  if (Id == Options.Id)
    return SyncedIndex;
  auto It = Peers.find(Id);
  return It == Peers.end() ? 0 : It->second.Match;
}

void raft_core::step(const wire::raft &Message, double Now) {
  LastNow = Now;
  using raft = wire::raft;
  if (Aside || Message.to() != Options.Id)
    return;
  if (Message.purpose() == raft::ANNOUNCE)
    return onAnnounce(Message, Now);
  if (Message.to_disk() != 0 && Message.to_disk() != Options.Disk)
    return refuse(raft_refusal::OtherDisk);
  if (Message.group() != HardState.Group) {
    // A VM without a group joins that of the first leader that contacts it.
    bool AdoptsGroup =
        HardState.Group.empty() && (Message.purpose() == raft::APPEND ||
                                    Message.purpose() == raft::SNAPSHOT);
    if (!AdoptsGroup)
      return refuse(raft_refusal::OtherGroup);
    HardState.Group = Message.group();
    markHardStateDirty();
  }
  // Only replies are counted, so only their senders are looked up. The own
  // member list may be older than that of a candidate or a leader: their
  // requests are judged by term and log alone.
  bool IsReply = Message.purpose() == raft::PRE_VOTE_REPLY ||
                 Message.purpose() == raft::VOTE_REPLY ||
                 Message.purpose() == raft::APPEND_REPLY;
  if (IsReply && !senderMatchesMember(Message))
    return refuse(raft_refusal::OtherDisk);
  // Vote requests are handled before the term is adopted: a candidate with a
  // higher term must not depose a leader that this VM still has contact with.
  bool VoteRequest =
      Message.purpose() == raft::PRE_VOTE || Message.purpose() == raft::VOTE;
  if (VoteRequest)
    return onVoteRequest(Message, Now);
  if (Message.purpose() == raft::PRE_VOTE_REPLY && Message.granted())
    return onVoteReply(Message, Now);
  if (Message.term() > HardState.Term) {
    bool FromLeader = Message.purpose() == raft::APPEND ||
                      Message.purpose() == raft::SNAPSHOT;
    becomeFollower(Message.term(), FromLeader ? Message.from() : 0, Now);
  }
  switch (Message.purpose()) {
  case raft::VOTE_REPLY:
    return onVoteReply(Message, Now);
  case raft::APPEND:
    return onAppend(Message, Now);
  case raft::APPEND_REPLY:
    return onAppendReply(Message, Now);
  case raft::SNAPSHOT:
    return onSnapshot(Message, Now);
  default:
    return;
  }
}

void raft_core::onVoteRequest(const wire::raft &Message, double Now) {
  bool IsPreVote = Message.purpose() == wire::raft::PRE_VOTE;
  bool HasLeaderContact =
      isLeader() || Now < LastLeaderContact + Options.ElectionMin;
  if (!IsPreVote && !HasLeaderContact && Message.term() > HardState.Term)
    becomeFollower(Message.term(), 0, Now);
  bool VoteFree =
      IsPreVote ? Message.term() > HardState.Term
                : Message.term() == HardState.Term &&
                      (HardState.Vote == 0 || HardState.Vote == Message.from());
  bool Granted = false;
  if (HasLeaderContact)
    refuse(raft_refusal::LeaderInContact);
  else if (!isLogUpToDate(Message.log_index(), Message.log_term()))
    refuse(raft_refusal::OlderLog);
  else if (!VoteFree)
    refuse(raft_refusal::OtherVote);
  else
    Granted = true;
  wire::raft Reply = makeMessage(IsPreVote ? wire::raft::PRE_VOTE_REPLY
                                           : wire::raft::VOTE_REPLY,
                                 Message.from());
  Reply.set_granted(Granted);
  if (IsPreVote && Granted)
    Reply.set_term(Message.term());
  if (!IsPreVote && Granted) {
    HardState.Vote = Message.from();
    markHardStateDirty();
    resetElectionTimer(Now);
  }
  AfterSync.push_back(std::move(Reply));
}

void raft_core::onVoteReply(const wire::raft &Message, double Now) {
  bool IsPreVote = Message.purpose() == wire::raft::PRE_VOTE_REPLY;
  if (!Message.granted())
    return;
  if (IsPreVote && Role == raft_role::PreCandidate &&
      Message.term() == HardState.Term + 1)
    countVote(Message.from(), Now);
  if (!IsPreVote && Role == raft_role::Candidate &&
      Message.term() == HardState.Term)
    countVote(Message.from(), Now);
}

void raft_core::onAppend(const wire::raft &Message, double Now) {
  wire::raft Reply = makeMessage(wire::raft::APPEND_REPLY, Message.from());
  Reply.set_sent_at(Message.sent_at());
  if (Message.term() < HardState.Term) {
    Reply.set_log_index(lastIndex());
    AfterSync.push_back(std::move(Reply));
    return;
  }
  becomeFollower(Message.term(), Message.from(), Now);
  uint64_t Previous = Message.log_index();
  bool LogMatches =
      Previous <= lastIndex() &&
      (Previous < Snapshot.Index || termAt(Previous) == Message.log_term());
  if (!LogMatches) {
    // All entries of the term that differs are skipped at once.
    uint64_t Hint = std::min(lastIndex(), Previous ? Previous - 1 : 0);
    uint64_t Term = termAt(Previous);
    while (Hint > Commit && termAt(Hint) == Term)
      --Hint;
    Reply.set_log_index(std::max(Hint, Commit));
    AfterSync.push_back(std::move(Reply));
    return;
  }
  for (const wire::log_entry &Entry : Message.entries()) {
    if (Entry.index() <= Snapshot.Index)
      continue;
    if (Entry.index() <= lastIndex()) {
      if (termAt(Entry.index()) == Entry.term())
        continue;
      truncateFrom(Entry.index());
    }
    Log.push_back(Entry);
    if (Entry.is_members())
      refreshMembers();
  }
  uint64_t Match = Previous + uint64_t(Message.entries_size());
  Commit = std::max(Commit, std::min(Message.commit(), Match));
  Reply.set_granted(true);
  Reply.set_log_index(Match);
  AfterSync.push_back(std::move(Reply));
}

void raft_core::onAppendReply(const wire::raft &Message, double Now) {
  auto It = Peers.find(Message.from());
  if (!isLeader() || Message.term() != HardState.Term || It == Peers.end())
    return;
  peer &Peer = It->second;
  Peer.LastContact = Now;
  Peer.LastAckedSend = std::max(Peer.LastAckedSend, Message.sent_at());
  if (!Message.granted()) {
    // This rejects a message sent before Next was last decreased. The missing
    // entries have been sent again since.
    if (Message.sent_at() < Peer.NextDecreasedAt)
      return;
    Peer.NextDecreasedAt = Now;
    Peer.Next =
        std::max(Peer.Match, std::min(Message.log_index(), Peer.Next - 1)) + 1;
    Peer.SnapshotInFlight = Peer.SnapshotInFlight &&
                            Now < Peer.SnapshotSentAt + SnapshotResendSeconds;
    // Without entries to send, a heartbeat probes for the matching index. This
    // is pointless while the peer waits for a snapshot.
    uint64_t Probed = Peer.Next;
    Peer.Probing = false;
    sendAppend(Message.from(), Now, Probed > Snapshot.Index);
    Peer.Next = Probed;
    Peer.Probing = true;
    return;
  }
  Peer.SnapshotInFlight = Peer.Probing = false;
  Peer.Match = std::max(Peer.Match, Message.log_index());
  Peer.Next = std::max(Peer.Next, Peer.Match + 1);
  advanceCommit();
  if (Peer.Next <= lastIndex())
    sendAppend(Message.from(), Now, false);
}

void raft_core::onSnapshot(const wire::raft &Message, double Now) {
  if (Message.term() < HardState.Term)
    return;
  becomeFollower(Message.term(), Message.from(), Now);
  wire::raft Reply = makeMessage(wire::raft::APPEND_REPLY, Message.from());
  Reply.set_sent_at(Message.sent_at());
  Reply.set_granted(true);
  if (Message.log_index() <= Commit) {
    Reply.set_log_index(Commit);
    AfterSync.push_back(std::move(Reply));
    return;
  }
  // A snapshot that was delayed may cover less than the log, and entries after
  // it may be acknowledged: they must not be lost. An entry of its term at its
  // index shows that the log agrees with it up to there.
  bool LogHoldsIt = Message.log_index() <= lastIndex() &&
                    termAt(Message.log_index()) == Message.log_term();
  if (LogHoldsIt) {
    Commit = Message.log_index();
    Reply.set_log_index(Commit);
    AfterSync.push_back(std::move(Reply));
    return;
  }
  Snapshot = {.Index = Message.log_index(),
              .Term = Message.log_term(),
              .Members = Message.entries(0).data(),
              .Image = Message.snapshot()};
  Log.clear();
  Commit = DeliveredIndex = TakenIndex = SyncedIndex = Snapshot.Index;
  refreshMembers();
  Install = Snapshot;
  Reply.set_log_index(Snapshot.Index);
  AfterSync.push_back(std::move(Reply));
}

uint64_t raft_core::append(std::string Data, bool IsMembers) {
  wire::log_entry Entry;
  Entry.set_index(lastIndex() + 1);
  Entry.set_term(HardState.Term);
  Entry.set_data(std::move(Data));
  Entry.set_is_members(IsMembers);
  Log.push_back(std::move(Entry));
  if (IsMembers)
    refreshMembers();
  return lastIndex();
}

std::optional<uint64_t> raft_core::propose(std::string Data) {
  if (!isLeader())
    return std::nullopt;
  uint64_t Index = append(std::move(Data), false);
  broadcast(LastNow, false);
  return Index;
}

void raft_core::truncateFrom(uint64_t Index) {
  Log.resize(Index - Snapshot.Index - 1);
  TakenIndex = std::min(TakenIndex, Index - 1);
  SyncedIndex = std::min(SyncedIndex, Index - 1);
  refreshMembers();
}

void raft_core::broadcast(double Now, bool Heartbeat) {
  if (Heartbeat)
    NextHeartbeat = Now + Options.Heartbeat;
  for (const wire::member &Member : Members.members())
    if (Member.id() != Options.Id)
      sendAppend(Member.id(), Now, Heartbeat);
}

void raft_core::sendAppend(uint64_t To, double Now, bool Heartbeat) {
  peer &Peer = Peers[To];
  bool NeedsSnapshot = Peer.Next <= Snapshot.Index;
  if (NeedsSnapshot && !Peer.SnapshotInFlight) {
    wire::raft Message = makeRequest(wire::raft::SNAPSHOT, To);
    Message.set_log_index(Snapshot.Index);
    Message.set_log_term(Snapshot.Term);
    Message.set_snapshot(Snapshot.Image);
    Message.add_entries()->set_data(Snapshot.Members);
    Message.set_sent_at(Now);
    Peer.SnapshotInFlight = true;
    Peer.SnapshotSentAt = Now;
    Immediate.push_back(std::move(Message));
    return;
  }
  if (NeedsSnapshot && !Heartbeat)
    return;
  wire::raft Message = makeRequest(wire::raft::APPEND, To);
  uint64_t Previous = NeedsSnapshot ? lastIndex() : Peer.Next - 1;
  Message.set_log_index(Previous);
  Message.set_log_term(termAt(Previous));
  Message.set_commit(Commit);
  Message.set_sent_at(Now);
  if (!Peer.Probing && inFlightBytes(Peer) <= Options.MaxInFlightBytes)
    addEntries(Previous, Message);
  if (Message.entries().empty() && !Heartbeat)
    return;
  if (!NeedsSnapshot)
    Peer.Next += uint64_t(Message.entries_size());
  Immediate.push_back(std::move(Message));
}

void raft_core::addEntries(uint64_t Previous, wire::raft &Message) const {
  size_t Bytes = 0;
  for (uint64_t I = Previous + 1; I <= lastIndex(); ++I) {
    if (size_t(Message.entries_size()) >= Options.MaxBatchEntries ||
        Bytes > Options.MaxBatchBytes)
      return;
    Bytes += entryAt(I).data().size();
    *Message.add_entries() = entryAt(I);
  }
}

// Bytes of the entries sent and not acknowledged. Entries up to the snapshot
// are not counted, since the peer gets them as part of the snapshot.
size_t raft_core::inFlightBytes(const peer &Peer) const {
  size_t Bytes = 0;
  for (uint64_t I = std::max(Peer.Match, Snapshot.Index) + 1; I < Peer.Next;
       ++I)
    Bytes += entryAt(I).data().size();
  return Bytes;
}

void raft_core::synced(uint64_t Index, uint64_t Term) {
  if (Index > lastIndex() || termAt(Index) != Term)
    return;
  SyncedIndex = std::max(SyncedIndex, Index);
  if (isLeader())
    advanceCommit();
}

void raft_core::advanceCommit() {
  uint64_t QuorumMatch =
      quorumValue([&](uint64_t Id) { return matchIndex(Id); });
  if (QuorumMatch > Commit && termAt(QuorumMatch) == HardState.Term)
    Commit = QuorumMatch;
}

void raft_core::compact(uint64_t Index, std::string Image) {
  if (Index <= Snapshot.Index || Index > DeliveredIndex)
    return;
  wire::member_list AtIndex;
  AtIndex.ParseFromString(Snapshot.Members);
  for (const wire::log_entry &Entry : Log)
    if (Entry.is_members() && Entry.index() <= Index)
      AtIndex.ParseFromString(Entry.data());
  raft_snapshot Next{.Index = Index,
                     .Term = termAt(Index),
                     .Members = AtIndex.SerializeAsString(),
                     .Image = std::move(Image)};
  Log.erase(Log.begin(), Log.begin() + long(Index - Snapshot.Index));
  Snapshot = std::move(Next);
  refreshMembers();
}

raft_output raft_core::takeOutput() {
  raft_output Output;
  if (HardStateDirty)
    Output.HardState = HardState;
  HardStateDirty = false;
  Output.Install = std::exchange(Install, std::nullopt);
  for (uint64_t I = TakenIndex + 1; I <= lastIndex(); ++I)
    Output.Entries.push_back(entryAt(I));
  TakenIndex = lastIndex();
  Output.Immediate = std::exchange(Immediate, {});
  Output.AfterSync = std::exchange(AfterSync, {});
  for (; DeliveredIndex < Commit; ++DeliveredIndex)
    Output.Committed.push_back(entryAt(DeliveredIndex + 1));
  return Output;
}

} // namespace olivevalve
