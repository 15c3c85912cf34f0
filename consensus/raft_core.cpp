//===- raft_core.cpp - Agreement of the control VMs -----------------------===//

#include "consensus/raft_core.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

// The leader trusts its lease a little less long than followers refuse votes:
// clocks of two VMs may run apart by a part in a hundred.
constexpr double LeaseTrust = 0.95;
// A snapshot that was sent is not sent again within this.
constexpr double SnapshotPatience = 2.0;

constexpr std::array<std::string_view, 4> RoleNames = {
    "follower", "pre-candidate", "candidate", "leader"};

} // namespace

std::string_view nameOf(raft_role Role) { return RoleNames[size_t(Role)]; }

raft_core::raft_core(raft_options NewOptions, raft_durable Durable, double Now)
    : Options(std::move(NewOptions)), Random(Options.Seed),
      Hard(std::move(Durable.Hard)), Snapshot(std::move(Durable.Snapshot)),
      Log(Durable.Entries.begin(), Durable.Entries.end()) {
  Commit = Delivered = Snapshot.Index;
  Synced = HandedOut = lastIndex();
  refreshMembers();
  // A vote given, or a leader heard, just before a restart still binds.
  LeaderContact = Now;
  LastNow = Now;
  resetElection(Now);
}

void raft_core::bootstrap(const std::string &Group, double Now) {
  Hard.Group = Group;
  Hard.Term = 1;
  saveHard();
  wire::member_list First;
  wire::member *Self = First.add_members();
  Self->set_id(Options.Id);
  Self->set_address(Options.Address);
  Self->set_operator_address(Options.OperatorAddress);
  Self->set_disk(Options.Disk);
  Self->set_voter(true);
  append(First.SerializeAsString(), true);
  LeaderContact = Now - Options.ElectionMin;
  startPreVote(Now);
}

uint64_t raft_core::lastIndex() const { return Snapshot.Index + Log.size(); }

const wire::log_entry &raft_core::entryAt(uint64_t Index) const {
  return Log[Index - Snapshot.Index - 1];
}

// Terms before the snapshot are not known: 0, which no entry has.
uint64_t raft_core::termAt(uint64_t Index) const {
  if (Index == Snapshot.Index)
    return Snapshot.Term;
  if (Index < Snapshot.Index || Index > lastIndex())
    return 0;
  return entryAt(Index).term();
}

// A sender under a known number but with another disk is not that member.
// Entries that add a member may not have come here yet, so an unknown number
// is let through; its votes are not counted.
bool raft_core::knownSender(const wire::raft &Message) const {
  const wire::member *Member = member(Message.from());
  return !Member || Member->disk() == Message.disk();
}

bool raft_core::upToDate(uint64_t Index, uint64_t Term) const {
  if (Term != lastTerm())
    return Term > lastTerm();
  return Index >= lastIndex();
}

wire::raft raft_core::make(wire::raft::raft_purpose Purpose,
                           uint64_t To) const {
  wire::raft Message;
  Message.set_purpose(Purpose);
  Message.set_group(Hard.Group);
  Message.set_from(Options.Id);
  Message.set_disk(Options.Disk);
  Message.set_to(To);
  Message.set_term(Hard.Term);
  return Message;
}

void raft_core::resetElection(double Now) {
  std::uniform_real_distribution<double> Wait(Options.ElectionMin,
                                              Options.ElectionMax);
  ElectionAt = Now + Wait(Random);
}

void raft_core::becomeFollower(uint64_t Term, uint64_t NewLeader, double Now) {
  if (Term > Hard.Term) {
    Hard.Term = Term;
    Hard.Vote = 0;
    saveHard();
  }
  bool WasLeader = isLeader();
  Role = raft_role::Follower;
  Leader = NewLeader;
  Votes.clear();
  if (NewLeader)
    LeaderContact = Now;
  if (NewLeader || WasLeader)
    resetElection(Now);
}

// Asks first whether an election could be won: a VM that was cut off must not
// raise the term and unseat a leader that the others still hear.
void raft_core::startPreVote(double Now) {
  resetElection(Now);
  if (!isVoter(Options.Id) || member(Options.Id)->disk() != Options.Disk)
    return;
  Role = raft_role::PreCandidate;
  Leader = 0;
  Votes.clear();
  for (const wire::member &Member : Members.members()) {
    if (!Member.voter() || Member.id() == Options.Id)
      continue;
    wire::raft Message = make(wire::raft::PRE_VOTE, Member.id());
    Message.set_term(Hard.Term + 1);
    Message.set_log_index(lastIndex());
    Message.set_log_term(lastTerm());
    Early.push_back(std::move(Message));
  }
  countVote(Options.Id, Now);
}

void raft_core::startVote(double Now) {
  resetElection(Now);
  Role = raft_role::Candidate;
  ++Hard.Term;
  Hard.Vote = Options.Id;
  saveHard();
  Votes.clear();
  for (const wire::member &Member : Members.members()) {
    if (!Member.voter() || Member.id() == Options.Id)
      continue;
    wire::raft Message = make(wire::raft::VOTE, Member.id());
    Message.set_log_index(lastIndex());
    Message.set_log_term(lastTerm());
    Late.push_back(std::move(Message));
  }
  countVote(Options.Id, Now);
}

void raft_core::countVote(uint64_t From, double Now) {
  if (!isVoter(From))
    return;
  Votes[From] = true;
  if (Votes.size() < quorum())
    return;
  if (Role == raft_role::PreCandidate)
    startVote(Now);
  else if (Role == raft_role::Candidate)
    becomeLeader(Now);
}

void raft_core::becomeLeader(double Now) {
  Role = raft_role::Leader;
  Leader = Options.Id;
  LeaderSince = Now;
  Peers.clear();
  for (const wire::member &Member : Members.members())
    if (Member.id() != Options.Id)
      Peers[Member.id()] = {.Next = lastIndex() + 1, .LastHeard = Now};
  // Entries of older terms count as committed only through one of the own.
  FirstOwnIndex = append("", false);
  broadcast(Now, true);
}

void raft_core::tick(double Now) {
  LastNow = Now;
  if (!isLeader()) {
    if (Now >= ElectionAt && !Hard.Group.empty())
      startPreVote(Now);
    return;
  }
  if (quorumHeard(Now, &peer::LastHeard) + Options.ElectionMax < Now) {
    becomeFollower(Hard.Term, 0, Now);
    return;
  }
  maintainMembers(Now);
  if (Now >= NextHeartbeat)
    broadcast(Now, true);
}

// The time at which a quorum, this VM included, was last heard.
double raft_core::quorumHeard(double Now, double peer::*Time) const {
  std::vector<double> Times;
  for (const wire::member &Member : Members.members()) {
    if (!Member.voter())
      continue;
    auto It = Peers.find(Member.id());
    if (Member.id() == Options.Id)
      Times.push_back(Now);
    else
      Times.push_back(It == Peers.end() ? 0 : It->second.*Time);
  }
  if (Times.empty())
    return 0;
  std::sort(Times.rbegin(), Times.rend());
  return Times[quorum() - 1];
}

bool raft_core::hasLeaderLease(double Now) const {
  if (!isLeader() || Commit < FirstOwnIndex)
    return false;
  double Heard = quorumHeard(Now, &peer::LastSentAcked);
  return Now < Heard + Options.ElectionMin * LeaseTrust;
}

double raft_core::silence(uint64_t Id, double Now) const {
  auto It = Peers.find(Id);
  return It == Peers.end() ? 0 : Now - It->second.LastHeard;
}

uint64_t raft_core::matchOf(uint64_t Id) const {
  if (Id == Options.Id)
    return Synced;
  auto It = Peers.find(Id);
  return It == Peers.end() ? 0 : It->second.Match;
}

void raft_core::step(const wire::raft &Message, double Now) {
  LastNow = Now;
  using raft = wire::raft;
  if (Message.to() != Options.Id)
    return;
  if (Message.purpose() == raft::ANNOUNCE)
    return onAnnounce(Message, Now);
  if (Message.group() != Hard.Group) {
    // A VM without a group takes the group of the first leader that adds it.
    bool Adopts = Hard.Group.empty() && (Message.purpose() == raft::APPEND ||
                                         Message.purpose() == raft::SNAPSHOT);
    if (!Adopts)
      return;
    Hard.Group = Message.group();
    saveHard();
  }
  if (!knownSender(Message))
    return;
  // A vote in a higher term must not disturb a VM that hears its leader.
  bool VoteRequest =
      Message.purpose() == raft::PRE_VOTE || Message.purpose() == raft::VOTE;
  if (VoteRequest)
    return onVoteRequest(Message, Now);
  if (Message.purpose() == raft::PRE_VOTE_REPLY && Message.granted())
    return onVoteReply(Message, Now);
  if (Message.term() > Hard.Term) {
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
  bool Pre = Message.purpose() == wire::raft::PRE_VOTE;
  bool HearsLeader = isLeader() || Now < LeaderContact + Options.ElectionMin;
  bool Stranger = !isVoter(Message.from());
  if (!Pre && !HearsLeader && !Stranger && Message.term() > Hard.Term)
    becomeFollower(Message.term(), 0, Now);
  bool Good = !HearsLeader && !Stranger &&
              upToDate(Message.log_index(), Message.log_term());
  if (Pre)
    Good = Good && Message.term() > Hard.Term;
  else
    Good = Good && Message.term() == Hard.Term &&
           (Hard.Vote == 0 || Hard.Vote == Message.from());
  wire::raft Reply =
      make(Pre ? wire::raft::PRE_VOTE_REPLY : wire::raft::VOTE_REPLY,
           Message.from());
  Reply.set_granted(Good);
  if (Pre && Good)
    Reply.set_term(Message.term());
  if (!Pre && Good) {
    Hard.Vote = Message.from();
    saveHard();
    resetElection(Now);
  }
  Late.push_back(std::move(Reply));
}

void raft_core::onVoteReply(const wire::raft &Message, double Now) {
  bool Pre = Message.purpose() == wire::raft::PRE_VOTE_REPLY;
  if (!Message.granted())
    return;
  if (Pre && Role == raft_role::PreCandidate && Message.term() == Hard.Term + 1)
    countVote(Message.from(), Now);
  if (!Pre && Role == raft_role::Candidate && Message.term() == Hard.Term)
    countVote(Message.from(), Now);
}

void raft_core::onAppend(const wire::raft &Message, double Now) {
  wire::raft Reply = make(wire::raft::APPEND_REPLY, Message.from());
  Reply.set_sent_at(Message.sent_at());
  if (Message.term() < Hard.Term) {
    Reply.set_log_index(lastIndex());
    Late.push_back(std::move(Reply));
    return;
  }
  becomeFollower(Message.term(), Message.from(), Now);
  uint64_t Previous = Message.log_index();
  bool Fits =
      Previous <= lastIndex() &&
      (Previous < Snapshot.Index || termAt(Previous) == Message.log_term());
  if (!Fits) {
    uint64_t Hint = std::min(lastIndex(), Previous ? Previous - 1 : 0);
    Reply.set_log_index(std::max(Hint, Commit));
    Late.push_back(std::move(Reply));
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
  Late.push_back(std::move(Reply));
}

void raft_core::onAppendReply(const wire::raft &Message, double Now) {
  auto It = Peers.find(Message.from());
  if (!isLeader() || Message.term() != Hard.Term || It == Peers.end())
    return;
  peer &Peer = It->second;
  Peer.LastHeard = Now;
  Peer.LastSentAcked = std::max(Peer.LastSentAcked, Message.sent_at());
  if (!Message.granted()) {
    // It answers what was sent before the last step back: what it lacks is on
    // its way already.
    if (Message.sent_at() < Peer.SteppedBackAt)
      return;
    Peer.SteppedBackAt = Now;
    Peer.Next =
        std::max(Peer.Match, std::min(Message.log_index(), Peer.Next - 1)) + 1;
    Peer.SnapshotSent =
        Peer.SnapshotSent && Now < Peer.SnapshotAt + SnapshotPatience;
    // While a snapshot is under way there is nothing to probe for.
    return sendAppend(Message.from(), Now, Peer.Next > Snapshot.Index);
  }
  Peer.SnapshotSent = false;
  Peer.Match = std::max(Peer.Match, Message.log_index());
  Peer.Next = std::max(Peer.Next, Peer.Match + 1);
  advanceCommit();
  if (Peer.Next <= lastIndex())
    sendAppend(Message.from(), Now, false);
}

void raft_core::onSnapshot(const wire::raft &Message, double Now) {
  if (Message.term() < Hard.Term)
    return;
  becomeFollower(Message.term(), Message.from(), Now);
  wire::raft Reply = make(wire::raft::APPEND_REPLY, Message.from());
  Reply.set_sent_at(Message.sent_at());
  Reply.set_granted(true);
  if (Message.log_index() <= Commit) {
    Reply.set_log_index(Commit);
    Late.push_back(std::move(Reply));
    return;
  }
  Snapshot = {.Index = Message.log_index(),
              .Term = Message.log_term(),
              .Members = Message.entries(0).data(),
              .Image = Message.snapshot()};
  Log.clear();
  Commit = Delivered = HandedOut = Synced = Snapshot.Index;
  refreshMembers();
  Install = Snapshot;
  Reply.set_log_index(Snapshot.Index);
  Late.push_back(std::move(Reply));
}

uint64_t raft_core::append(std::string Data, bool IsMembers) {
  wire::log_entry Entry;
  Entry.set_index(lastIndex() + 1);
  Entry.set_term(Hard.Term);
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
  HandedOut = std::min(HandedOut, Index - 1);
  Synced = std::min(Synced, Index - 1);
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
  if (NeedsSnapshot && !Peer.SnapshotSent) {
    wire::raft Message = make(wire::raft::SNAPSHOT, To);
    Message.set_log_index(Snapshot.Index);
    Message.set_log_term(Snapshot.Term);
    Message.set_snapshot(Snapshot.Image);
    Message.add_entries()->set_data(Snapshot.Members);
    Message.set_sent_at(Now);
    Peer.SnapshotSent = true;
    Peer.SnapshotAt = Now;
    Early.push_back(std::move(Message));
    return;
  }
  if (NeedsSnapshot && !Heartbeat)
    return;
  wire::raft Message = make(wire::raft::APPEND, To);
  uint64_t Previous = NeedsSnapshot ? lastIndex() : Peer.Next - 1;
  Message.set_log_index(Previous);
  Message.set_log_term(termAt(Previous));
  Message.set_commit(Commit);
  Message.set_sent_at(Now);
  if (unansweredBytes(Peer) <= Options.MaxUnansweredBytes)
    addEntries(Previous, Message);
  if (Message.entries().empty() && !Heartbeat)
    return;
  if (!NeedsSnapshot)
    Peer.Next += uint64_t(Message.entries_size());
  Early.push_back(std::move(Message));
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

// Entries before the snapshot are not counted: they travel in it.
size_t raft_core::unansweredBytes(const peer &Peer) const {
  size_t Bytes = 0;
  for (uint64_t I = std::max(Peer.Match, Snapshot.Index) + 1; I < Peer.Next;
       ++I)
    Bytes += entryAt(I).data().size();
  return Bytes;
}

void raft_core::synced(uint64_t Index, uint64_t Term) {
  if (Index > lastIndex() || termAt(Index) != Term)
    return;
  Synced = std::max(Synced, Index);
  if (isLeader())
    advanceCommit();
}

void raft_core::advanceCommit() {
  std::vector<uint64_t> Matches;
  for (const wire::member &Member : Members.members())
    if (Member.voter())
      Matches.push_back(matchOf(Member.id()));
  if (Matches.empty())
    return;
  std::sort(Matches.rbegin(), Matches.rend());
  uint64_t Agreed = Matches[quorum() - 1];
  if (Agreed > Commit && termAt(Agreed) == Hard.Term)
    Commit = Agreed;
}

void raft_core::compact(uint64_t Index, std::string Image) {
  if (Index <= Snapshot.Index || Index > Delivered)
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

raft_output raft_core::take() {
  raft_output Output;
  if (HardDirty)
    Output.Hard = Hard;
  HardDirty = false;
  Output.Install = std::exchange(Install, std::nullopt);
  for (uint64_t I = HandedOut + 1; I <= lastIndex(); ++I)
    Output.Entries.push_back(entryAt(I));
  HandedOut = lastIndex();
  Output.Early = std::exchange(Early, {});
  Output.Late = std::exchange(Late, {});
  for (; Delivered < Commit; ++Delivered)
    Output.Committed.push_back(entryAt(Delivered + 1));
  return Output;
}

} // namespace olivevalve
