//===- raft_members.cpp - Who belongs to the group ------------------------===//
//
// The part of raft_core that changes the membership, one VM at a time: joins,
// learners that become voters, voters that are replaced or removed.
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

bool raft_core::isVoter(uint64_t Id) const {
  const wire::member *Member = member(Id);
  return Member && Member->voter();
}

size_t raft_core::voters() const {
  return size_t(std::count_if(Members.members().begin(),
                              Members.members().end(),
                              [](const auto &M) { return M.voter(); }));
}

// A VM without a group asks to join. Under a number that is a member with
// another disk it lost its disk: the old pair is taken out and the new one
// comes in as a learner, in one change that removes at most one voter.
void raft_core::onAnnounce(const wire::raft &Message, double Now) {
  wire::raft Reply = make(wire::raft::ANNOUNCE_REPLY, Message.from());
  Reply.set_address(Options.Address);
  if (const wire::member *Known = member(Leader))
    Reply.set_leader_address(Known->address());
  Late.push_back(std::move(Reply));
  bool Ready = isLeader() && membersSettled() && Commit >= FirstOwnIndex;
  const wire::member *Present = member(Message.from());
  bool Known = Present && Present->disk() == Message.disk();
  if (!Ready || Known || Message.from() == Options.Id)
    return;
  // Taking out a voter must leave a quorum that answers.
  if (Present && Present->voter() &&
      quorumHeard(Now, &peer::LastHeard) + Options.ElectionMax < Now)
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
  Peers[Message.from()] = {.Next = firstIndex(), .LastHeard = Now};
}

// Makes voters of learners that have caught up, and takes out a voter that
// has long been silent once such a learner can stand in for it.
void raft_core::maintainMembers(double Now) {
  if (!membersSettled() || Commit < FirstOwnIndex)
    return;
  for (const wire::member &Learner : Members.members()) {
    if (Learner.voter())
      continue;
    const peer &Peer = Peers[Learner.id()];
    bool CaughtUp =
        Peer.Match + 16 >= Commit && Now - Peer.LastHeard < Options.ElectionMin;
    if (!CaughtUp)
      continue;
    wire::member_list Next = Members;
    if (voters() < Options.TargetVoters) {
      for (wire::member &Member : *Next.mutable_members())
        if (Member.id() == Learner.id())
          Member.set_voter(true);
      return proposeMembers(Next);
    }
    for (const wire::member &Member : Members.members())
      if (Member.voter() && Member.id() != Options.Id &&
          silence(Member.id(), Now) > Options.SilentSeconds) {
        removeMember(Member.id());
        return;
      }
  }
}

bool raft_core::removeMember(uint64_t Id) {
  if (!isLeader() || !membersSettled() || Commit < FirstOwnIndex ||
      Id == Options.Id || !member(Id))
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
      Peers[Member.id()] = {.Next = firstIndex(), .LastHeard = LastNow};
  std::erase_if(Peers, [&](const auto &P) { return !member(P.first); });
  broadcast(LastNow, false);
}

// The newest membership in the log is in force, committed or not.
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
