//===- raft_members.cpp - Membership changes of the Raft group ------------===//
//
// The part of raft_core that changes the member list, one VM at a time: new
// members join as learners, learners are promoted to voters, and members are
// replaced or removed.
//
//===----------------------------------------------------------------------===//

#include "consensus/raft_core.h"
#include <algorithm>

namespace olivevalve {

const wire::member *raft_core::member(uint64_t Id) const {
  for (const wire::member &Member : Members.members())
    if (Member.id() == Id)
      return &Member;
  return nullptr;
}

bool raft_core::isMember() const {
  const wire::member *Self = member(Options.Id);
  return Self && Self->disk() == Options.Disk;
}

bool raft_core::shouldAnnounce(double Now) const {
  if (Aside || isLeader())
    return false;
  return !isMember() || Now > LastLeaderContact + Options.ElectionMax;
}

bool raft_core::isVoter(uint64_t Id) const {
  const wire::member *Member = member(Id);
  return Member && Member->voter();
}

bool raft_core::isReplacing() const {
  return std::any_of(Members.members().begin(), Members.members().end(),
                     [](const auto &M) { return M.joining() || M.leaving(); });
}

group_health raft_core::health(double Now) const {
  group_health Health{.WantedVoters = Options.TargetVoters,
                      .Voters = voters(voter_set::After),
                      .LossesBorne = size_t(Members.members_size())};
  for (voter_set Set : VoterSets) {
    Health.InContact = countVoters(Set, [&](uint64_t Id) {
      return Id == Options.Id ||
             secondsSinceContact(Id, Now) <= Options.ElectionMax;
    });
    size_t Spare = Health.InContact - std::min(Health.InContact, quorum(Set));
    Health.LossesBorne = std::min(Health.LossesBorne, Spare);
  }
  return Health;
}

// Handles the request of a VM to join: it has no group, or no contact with the
// leader, whose member list alone decides whether it is a member. If its id is
// that of a member with another disk, the VM has lost its disk: one change
// replaces the old member by the new one as a learner, so that it removes at
// most one voter.
void raft_core::onAnnounce(const wire::raft &Message, double Now) {
  wire::raft Reply = makeMessage(wire::raft::ANNOUNCE_REPLY, Message.from());
  Reply.set_address(Options.Address);
  if (const wire::member *LeaderMember = member(Leader))
    Reply.set_leader_address(LeaderMember->address());
  AfterSync.push_back(std::move(Reply));
  bool OtherGroup =
      !Message.group().empty() && Message.group() != HardState.Group;
  if (OtherGroup)
    return refuse(raft_refusal::OtherGroup);
  bool Ready = isLeader() && membershipCommitted() && Commit >= TermStartIndex;
  const wire::member *Existing = member(Message.from());
  bool AlreadyMember = Existing && Existing->disk() == Message.disk();
  if (!Ready || isReplacing() || AlreadyMember || Message.from() == Options.Id)
    return;
  // A voter is removed only while the leader has contact with a quorum.
  if (Existing && Existing->voter() &&
      quorumContactTime(Now, &peer::LastContact) + Options.ElectionMax < Now)
    return;
  wire::member_list Next;
  for (const wire::member &Member : Members.members())
    if (Member.id() != Message.from())
      *Next.add_members() = Member;
  wire::member *Joining = Next.add_members();
  Joining->set_id(Message.from());
  Joining->set_address(Message.address());
  Joining->set_operator_address(Message.operator_address());
  Joining->set_disk(Message.disk());
  proposeMembers(Next);
  Peers[Message.from()] = {.Next = firstIndex(), .LastContact = Now};
}

// Promotes learners that have caught up with the log while there are fewer than
// TargetVoters voters. Once there are enough, such a learner replaces the voter
// that has been silent for longest, if for the configured time.
void raft_core::maintainMembers(double Now) {
  if (!membershipCommitted() || Commit < TermStartIndex)
    return;
  if (isReplacing())
    return finishReplacement();
  bool Full = voters(voter_set::After) >= Options.TargetVoters;
  uint64_t Silent = silentVoter(Now);
  if (Full && !Silent)
    return;
  for (const wire::member &Learner : Members.members()) {
    if (Learner.voter())
      continue;
    const peer &Peer = Peers[Learner.id()];
    bool CaughtUp = Peer.Match + 16 >= Commit &&
                    Now - Peer.LastContact < Options.ElectionMin;
    if (!CaughtUp)
      continue;
    wire::member_list Next = Members;
    for (wire::member &Member : *Next.mutable_members()) {
      if (Member.id() == Learner.id()) {
        Member.set_voter(true);
        Member.set_joining(Full);
      }
      if (Full && Member.id() == Silent)
        Member.set_leaving(true);
    }
    return proposeMembers(Next);
  }
}

// Ends a replacement. If the VM that was to leave has returned and leads, it
// stays, and its successor is a learner again.
void raft_core::finishReplacement() {
  const wire::member *Self = member(Options.Id);
  bool Stays = Self && Self->leaving();
  wire::member_list Next;
  for (const wire::member &Member : Members.members()) {
    if (Member.leaving() && !Stays)
      continue;
    wire::member *Kept = Next.add_members();
    *Kept = Member;
    Kept->set_voter(Member.voter() && !(Stays && Member.joining()));
    Kept->set_joining(false);
    Kept->set_leaving(false);
  }
  proposeMembers(Next);
}

// Returns the voter that has been silent for longest, if that is longer than
// configured; otherwise 0.
uint64_t raft_core::silentVoter(double Now) const {
  uint64_t Id = 0;
  double Longest = Options.ReplaceAfterSeconds;
  for (const wire::member &Member : Members.members()) {
    double Seconds = secondsSinceContact(Member.id(), Now);
    if (!Member.voter() || Member.id() == Options.Id || Seconds <= Longest)
      continue;
    Id = Member.id();
    Longest = Seconds;
  }
  return Id;
}

bool raft_core::removeMember(uint64_t Id) {
  if (!isLeader() || !membershipCommitted() || isReplacing() ||
      Commit < TermStartIndex || Id == Options.Id || !member(Id))
    return false;
  wire::member_list Next;
  for (const wire::member &Member : Members.members())
    if (Member.id() != Id)
      *Next.add_members() = Member;
  proposeMembers(Next);
  return true;
}

void raft_core::proposeMembers(const wire::member_list &Next) {
  append(Next.SerializeAsString(), true);
  for (const wire::member &Member : Members.members())
    if (Member.id() != Options.Id && !Peers.contains(Member.id()))
      Peers[Member.id()] = {.Next = firstIndex(), .LastContact = LastNow};
  std::erase_if(Peers, [&](const auto &P) { return !member(P.first); });
  broadcast(LastNow, false);
}

// Sets Members to the newest member list in the log, committed or not, as Raft
// requires for membership changes, or else to that of the snapshot.
void raft_core::refreshMembers() {
  Members.Clear();
  MembersIndex = 0;
  for (auto It = Log.rbegin(); It != Log.rend(); ++It)
    if (It->is_members()) {
      Members.ParseFromString(It->data());
      MembersIndex = It->index();
      return;
    }
  Members.ParseFromString(Snapshot.Members);
}

} // namespace olivevalve
