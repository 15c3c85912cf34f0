//===- raft_core.h - Agreement of the control VMs ---------------*- C++ -*-===//
//
// The Raft protocol as a pure state machine: messages, ticks and disk
// completions go in; messages, writes and committed entries come out. No
// sockets, files or clocks, so that tests can drive any order of events.
//
// Beyond the basic protocol: pre-vote, check-quorum, a leader lease, learners,
// one membership change at a time, and disk identities. A voter is the pair of
// a number and a disk; a VM that comes back with another disk is a stranger
// that must join as a learner, and votes under the old pair count for nothing.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONSENSUS_RAFT_CORE_H
#define OLIVEVALVE_CONSENSUS_RAFT_CORE_H

#include "wire/wire.pb.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace olivevalve {

/// Times are seconds. Followers refuse votes for ElectionMin after they heard
/// a leader, which is what the leader lease rests on.
struct raft_options {
  uint64_t Id = 0;
  uint64_t Disk = 0;
  std::string Address;
  std::string OperatorAddress; ///< Told to the other members.
  double Heartbeat = 0.15;
  double ElectionMin = 0.7;
  double ElectionMax = 1.2;
  uint64_t Seed = 1;
  size_t TargetVoters = 3;   ///< Learners become voters up to this count.
  double SilentSeconds = 30; ///< A silent voter may be replaced after this.
  size_t MaxBatchEntries = 256;
  size_t MaxBatchBytes = 1 << 20;
  /// Sent to one follower and not answered yet; bounds what the leader holds
  /// for one that does not read.
  size_t MaxUnansweredBytes = 2 << 20;
};

/// Term and vote; must be durable before any message that follows from them.
struct raft_hard_state {
  uint64_t Term = 0;
  uint64_t Vote = 0;
  std::string Group; ///< Random name of the group; empty before joining.
  bool operator==(const raft_hard_state &) const = default;
};

struct raft_snapshot {
  uint64_t Index = 0;
  uint64_t Term = 0;
  std::string Members; ///< Serialised wire::member_list at Index.
  std::string Image;   ///< The state machine's.
};

/// What a VM finds on its disk at start.
struct raft_durable {
  raft_hard_state Hard;
  raft_snapshot Snapshot;
  std::vector<wire::log_entry> Entries; ///< Those after the snapshot.
};

/// What has to be done after inputs: write Hard, Install and Entries; once they
/// are on disk call synced(), then send Late. Early may be sent before the
/// sync, but not while Hard is unwritten: a term must not be seen before it
/// is sure to be remembered.
struct raft_output {
  std::optional<raft_hard_state> Hard;
  std::optional<raft_snapshot> Install; ///< Replaces log and state machine.
  std::vector<wire::log_entry> Entries; ///< The first cuts off what is there.
  std::vector<wire::raft> Early;
  std::vector<wire::raft> Late;
  std::vector<wire::log_entry> Committed;
  bool needsSync() const { return Hard || Install || !Entries.empty(); }
};

enum class raft_role : uint8_t { Follower, PreCandidate, Candidate, Leader };
std::string_view nameOf(raft_role Role);

class raft_core {
public:
  raft_core(raft_options Options, raft_durable Durable, double Now);

  /// Starts a new group with this VM as its only voter.
  void bootstrap(const std::string &Group, double Now);
  void tick(double Now);
  void step(const wire::raft &Message, double Now);
  /// The index the command will have if it is committed; none if not leader.
  std::optional<uint64_t> propose(std::string Data);
  /// Removes a member; false if not leader, unknown, itself, or another
  /// membership change is still under way.
  bool removeMember(uint64_t Id);
  /// All entries handed out up to \p Index of term \p Term are on disk.
  void synced(uint64_t Index, uint64_t Term);
  /// Forgets entries up to \p Index, covered by the durable \p Image.
  void compact(uint64_t Index, std::string Image);
  raft_output take();

  raft_role role() const { return Role; }
  bool isLeader() const { return Role == raft_role::Leader; }
  uint64_t leader() const { return Leader; }
  uint64_t term() const { return Hard.Term; }
  uint64_t id() const { return Options.Id; }
  const std::string &group() const { return Hard.Group; }
  uint64_t commitIndex() const { return Commit; }
  uint64_t lastIndex() const;
  uint64_t firstIndex() const { return Snapshot.Index + 1; }
  const wire::member_list &members() const { return Members; }
  /// True while no other VM can have become leader, and an entry of the own
  /// term is committed, so that the state machine holds all that was accepted.
  bool hasLeaderLease(double Now) const;
  double leaderSince() const { return LeaderSince; }
  /// Seconds since \p Id was last heard, as leader.
  double silence(uint64_t Id, double Now) const;
  uint64_t matchOf(uint64_t Id) const;
  const raft_snapshot &snapshot() const { return Snapshot; }
  const raft_hard_state &hardState() const { return Hard; }
  std::vector<wire::log_entry> entriesAfterSnapshot() const {
    return {Log.begin(), Log.end()};
  }
  /// False while a change of members is not yet committed: the loss of a VM may
  /// still undo it.
  bool membersSettled() const { return MembersIndex <= Commit; }
  /// True if the members in force include this VM with this disk.
  bool isMember() const;

private:
  struct peer {
    uint64_t Next = 1;
    uint64_t Match = 0;
    double LastSentAcked = 0; ///< Own clock, when the last acked was sent.
    double LastHeard = 0;
    bool SnapshotSent = false;
    double SnapshotAt = 0;
    double SteppedBackAt = 0; ///< When entries were begun to be sent again.
  };

  const wire::member *member(uint64_t Id) const;
  bool isVoter(uint64_t Id) const;
  bool knownSender(const wire::raft &Message) const;
  size_t voters() const;
  size_t quorum() const { return voters() / 2 + 1; }
  uint64_t termAt(uint64_t Index) const;
  const wire::log_entry &entryAt(uint64_t Index) const;
  uint64_t lastTerm() const { return termAt(lastIndex()); }
  bool upToDate(uint64_t Index, uint64_t Term) const;
  wire::raft make(wire::raft::raft_purpose Purpose, uint64_t To) const;
  void saveHard() { HardDirty = true; }

  void becomeFollower(uint64_t Term, uint64_t NewLeader, double Now);
  void startPreVote(double Now);
  void startVote(double Now);
  void becomeLeader(double Now);
  void resetElection(double Now);
  void countVote(uint64_t From, double Now);

  void onVoteRequest(const wire::raft &Message, double Now);
  void onVoteReply(const wire::raft &Message, double Now);
  void onAppend(const wire::raft &Message, double Now);
  void onAppendReply(const wire::raft &Message, double Now);
  void onSnapshot(const wire::raft &Message, double Now);
  void onAnnounce(const wire::raft &Message, double Now);

  uint64_t append(std::string Data, bool IsMembers);
  void truncateFrom(uint64_t Index);
  void refreshMembers();
  void proposeMembers(const wire::member_list &Next);
  void maintainMembers(double Now);
  void sendAppend(uint64_t To, double Now, bool Heartbeat);
  void addEntries(uint64_t Previous, wire::raft &Message) const;
  size_t unansweredBytes(const peer &Peer) const;
  void broadcast(double Now, bool Heartbeat);
  void advanceCommit();
  double quorumHeard(double Now, double peer::*Time) const;

  raft_options Options;
  std::mt19937_64 Random;
  raft_hard_state Hard;
  raft_snapshot Snapshot;
  std::deque<wire::log_entry> Log;
  wire::member_list Members;
  uint64_t MembersIndex = 0;

  raft_role Role = raft_role::Follower;
  uint64_t Leader = 0;
  uint64_t Commit = 0;
  uint64_t Delivered = 0; ///< Committed entries handed out.
  uint64_t Synced = 0;
  uint64_t HandedOut = 0; ///< Entries given to the disk.
  double LeaderContact = 0;
  double ElectionAt = 0;
  double NextHeartbeat = 0;
  double LeaderSince = 0;
  uint64_t FirstOwnIndex = 0;
  std::map<uint64_t, bool> Votes;
  std::map<uint64_t, peer> Peers;

  bool HardDirty = false;
  std::optional<raft_snapshot> Install;
  std::vector<wire::raft> Early;
  std::vector<wire::raft> Late;
  double LastNow = 0;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONSENSUS_RAFT_CORE_H
