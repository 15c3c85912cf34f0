//===- raft_core.h - Raft consensus of the control VMs ----------*- C++ -*-===//
//
// The Raft protocol as a pure state machine: its inputs are messages, ticks and
// disk completions, its outputs are messages, disk writes and committed
// entries. It uses no sockets, files or clocks, so that tests can apply events
// in any order.
//
// Extensions to basic Raft: pre-vote, check-quorum, a leader lease, learners,
// membership changes of one VM at a time, and disk identities. A voter is
// replaced by another one through a joint member list, in which each decision
// takes a quorum with the one and a quorum with the other, so that a VM that is
// away does not lower what the group bears. A voter is identified
// by its member id together with the identity of its disk. A VM that restarts
// with an empty disk has lost the votes it gave and the entries it stored, so
// it has to rejoin as a learner, and its messages under the old disk identity
// are ignored.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONSENSUS_RAFT_CORE_H
#define OLIVEVALVE_CONSENSUS_RAFT_CORE_H

#include "wire/wire.pb.h"
#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace olivevalve {

/// Settings of one member. All times are in seconds.
struct raft_options {
  uint64_t Id = 0;     ///< Member id, unique in the group and never 0.
  uint64_t Disk = 0;   ///< Identity of the disk, see raft_storage::disk().
  std::string Address; ///< Where the other members connect to.
  /// Where operators connect to; stored in the member list, so that every
  /// member can return it.
  std::string OperatorAddress;
  double Heartbeat = 0.15; ///< Interval at which a leader sends APPEND.
  /// Shortest election timeout. A follower also refuses votes for this long
  /// after its last contact with a leader; the leader lease relies on that.
  double ElectionMin = 0.7;
  double ElectionMax = 1.2; ///< Longest election timeout.
  uint64_t Seed = 1;        ///< Of the random election timeouts.
  /// Learners are promoted to voters until there are this many voters.
  size_t TargetVoters = 3;
  /// A voter without contact for this long is removed if a learner that has
  /// caught up can replace it.
  double ReplaceAfterSeconds = 30;
  size_t MaxBatchEntries = 256;   ///< Most entries in one APPEND message.
  size_t MaxBatchBytes = 1 << 20; ///< An APPEND ends once it exceeds this.
  /// Most bytes of entries sent to one follower and not acknowledged. Bounds
  /// the send queue of the leader when a follower does not read.
  size_t MaxInFlightBytes = 2 << 20;
};

/// Raft's persistent state besides the log. It must be on disk before any
/// message that depends on it is sent.
struct raft_hard_state {
  uint64_t Term = 0;
  uint64_t Vote = 0; ///< Member that got this VM's vote in Term; 0: none.
  std::string Group; ///< Random name of the group; empty before joining.
  bool operator==(const raft_hard_state &) const = default;
};

/// State of the group at the log entry Index, which replaces all entries up to
/// it.
struct raft_snapshot {
  uint64_t Index = 0;  ///< Last entry it covers; 0: there is no snapshot.
  uint64_t Term = 0;   ///< Of the entry Index.
  std::string Members; ///< Serialised wire::member_list at Index.
  std::string Image;   ///< Serialised replicated state machine at Index.
};

/// State read from the disk when the process starts.
struct raft_durable_state {
  raft_hard_state HardState;
  raft_snapshot Snapshot;
  std::vector<wire::log_entry> Entries; ///< Those after the snapshot.
};

/// Work that the caller must do after it has passed in inputs: write the hard
/// state, the snapshot and the entries, call synced() once they are on disk,
/// and send the messages.
struct raft_output {
  std::optional<raft_hard_state> HardState; ///< Unset: unchanged.
  std::optional<raft_snapshot> Install;     ///< Replaces log and state machine.
  /// To be appended to the log. Stored entries from the index of the first one
  /// on are replaced.
  std::vector<wire::log_entry> Entries;
  /// Messages that do not depend on Entries and may be sent before the sync. If
  /// the hard state is set, they too have to wait for it to be written: other
  /// members must not see a term that this VM could lose in a crash.
  std::vector<wire::raft> Immediate;
  /// Messages that must not be sent before all of the above is on disk.
  std::vector<wire::raft> AfterSync;
  /// To be applied to the state machine, in this order.
  std::vector<wire::log_entry> Committed;
  bool needsSync() const { return HardState || Install || !Entries.empty(); }
};

enum class raft_role : uint8_t { Follower, PreCandidate, Candidate, Leader };
std::string_view nameOf(raft_role Role);

/// Why a vote was refused or a message was dropped.
enum class raft_refusal : uint8_t {
  LeaderInContact,
  OlderLog,
  OtherVote, ///< The vote of the term is given, or the term is over.
  OtherGroup,
  OtherDisk, ///< The sender's disk, or the receiver's, is not the one that the
             ///< other one has in its member list.
  Last = OtherDisk
};
std::string_view nameOf(raft_refusal Refusal);

/// What the group can lose, as its leader sees it.
struct group_health {
  size_t WantedVoters = 0;
  size_t Voters = 0;
  size_t InContact = 0; ///< Voters in contact with the leader, itself included.
  /// Number of voters in contact that may be lost while the others still are a
  /// quorum.
  size_t LossesBorne = 0;
  bool operator==(const group_health &) const = default;
};

/// One member of a Raft group. Every \p Now is in seconds on a monotonic clock
/// and must not decrease from call to call.
class raft_core {
public:
  raft_core(raft_options Options, raft_durable_state Durable, double Now);

  /// Starts a new group with this VM as its only voter.
  void bootstrap(const std::string &Group, double Now);
  /// Handles timeouts; to be called several times per heartbeat interval.
  void tick(double Now);
  /// Handles a received message. Messages to another member, of another group
  /// or under another disk identity are ignored.
  void step(const wire::raft &Message, double Now);
  /// Appends a command to the log. Returns the index it will have if it is
  /// committed; none if this VM is not the leader.
  std::optional<uint64_t> propose(std::string Data);
  /// Proposes the removal of a member. False if this VM is not the leader, if
  /// \p Id is unknown or this VM itself, or if another membership change or
  /// the first entry of the leader's term is not committed yet.
  bool removeMember(uint64_t Id);
  /// Reports that the entries returned in raft_output, up to \p Index of term
  /// \p Term, are on disk.
  void synced(uint64_t Index, uint64_t Term);
  /// Discards the entries up to \p Index, which \p Image covers. Only entries
  /// already returned as committed can be discarded.
  void compact(uint64_t Index, std::string Image);
  /// Gives up leading and ignores messages, ticks and proposals until resume():
  /// the disk has refused the last output. Drops messages not yet taken.
  void standAside(double Now);
  /// Takes part again, as a follower. All outputs must be on disk.
  void resume(double Now);
  bool standsAside() const { return Aside; }
  /// Returns the work that has come up since the last call.
  raft_output takeOutput();

  raft_role role() const { return Role; }
  bool isLeader() const { return Role == raft_role::Leader; }
  /// Member id of the current leader; 0: unknown.
  uint64_t leader() const { return Leader; }
  uint64_t term() const { return HardState.Term; }
  uint64_t id() const { return Options.Id; }
  const std::string &group() const { return HardState.Group; }
  uint64_t commitIndex() const { return Commit; }
  uint64_t lastIndex() const;
  uint64_t firstIndex() const { return Snapshot.Index + 1; }
  /// The newest member list in the log, committed or not.
  const wire::member_list &members() const { return Members; }
  /// True while no other VM can have become leader and an entry of this
  /// leader's term is committed. A state machine that has applied
  /// termStartIndex() then includes every command that was acknowledged to its
  /// sender.
  bool hasLeaderLease(double Now) const;
  /// As leader: index of the first entry of its term. All entries committed by
  /// earlier leaders precede it.
  uint64_t termStartIndex() const { return TermStartIndex; }
  /// When this VM last became leader.
  double leaderSince() const { return LeaderSince; }
  /// Seconds since this leader's last contact with member \p Id; 0 if it has no
  /// such peer.
  double secondsSinceContact(uint64_t Id, double Now) const;
  /// Last log index known to be on the disk of member \p Id; 0 if unknown.
  uint64_t matchIndex(uint64_t Id) const;
  const raft_snapshot &snapshot() const { return Snapshot; }
  const raft_hard_state &hardState() const { return HardState; }
  std::vector<wire::log_entry> entriesAfterSnapshot() const {
    return {Log.begin(), Log.end()};
  }
  /// False while the newest membership change is not committed; the loss of a
  /// VM may still revert it.
  bool membershipCommitted() const { return MembersIndex <= Commit; }
  /// Log index of the entry that holds members(); 0: the snapshot does.
  uint64_t membersIndex() const { return MembersIndex; }
  /// Only to be called on the leader.
  group_health health(double Now) const;
  uint64_t refusals(raft_refusal Why) const { return Refusals[size_t(Why)]; }
  /// True if members() includes this VM with its present disk.
  bool isMember() const;
  /// True if this VM should announce itself to the others. It may have been
  /// removed while it was away, which its own log does not show.
  bool shouldAnnounce(double Now) const;

private:
  /// What the leader tracks of another member. Times are on the own clock.
  struct peer {
    uint64_t Next = 1;  ///< Index of the next entry to send.
    uint64_t Match = 0; ///< Last index known to be on the peer's disk.
    /// When the newest message that the peer has acknowledged was sent.
    double LastAckedSend = 0;
    double LastContact = 0;        ///< When the last reply was received.
    bool SnapshotInFlight = false; ///< A snapshot is sent and not acknowledged.
    double SnapshotSentAt = 0;     ///< When that snapshot was sent.
    /// When Next was last decreased after a rejected APPEND.
    double NextDecreasedAt = 0;
    /// An APPEND was rejected and none accepted since. Further entries are not
    /// sent: Next would move on, and the next rejection would start all over.
    bool Probing = false;
  };

  const wire::member *member(uint64_t Id) const;
  bool isVoter(uint64_t Id) const;
  bool senderMatchesMember(const wire::raft &Message) const;
  /// The voters with a VM that is being replaced, and with its successor. The
  /// two sets are the same while no voter is replaced.
  enum class voter_set : uint8_t { Before, After };
  static constexpr std::array<voter_set, 2> VoterSets = {voter_set::Before,
                                                         voter_set::After};
  static bool isIn(voter_set Set, const wire::member &Member) {
    bool Other = Set == voter_set::Before ? Member.joining() : Member.leaving();
    return Member.voter() && !Other;
  }
  /// True while a voter is being replaced.
  bool isReplacing() const;
  /// Number of the voters in \p Set with ids for which \p Counts is true.
  template <typename predicate>
  size_t countVoters(voter_set Set, predicate Counts) const {
    return size_t(std::count_if(
        Members.members().begin(), Members.members().end(),
        [&](const auto &M) { return isIn(Set, M) && Counts(M.id()); }));
  }
  size_t voters(voter_set Set) const {
    return countVoters(Set, [](uint64_t) { return true; });
  }
  size_t quorum(voter_set Set) const { return voters(Set) / 2 + 1; }
  /// The largest value that a quorum of each set reaches, with \p ValueOf an
  /// id.
  template <typename value_of> auto quorumValue(value_of ValueOf) const {
    using value = decltype(ValueOf(uint64_t()));
    std::optional<value> Lowest;
    for (voter_set Set : VoterSets) {
      std::vector<value> Values;
      for (const wire::member &Member : Members.members())
        if (isIn(Set, Member))
          Values.push_back(ValueOf(Member.id()));
      if (Values.empty())
        return value();
      std::sort(Values.rbegin(), Values.rend());
      value Reached = Values[Values.size() / 2];
      Lowest = std::min(Lowest.value_or(Reached), Reached);
    }
    return *Lowest;
  }
  uint64_t termAt(uint64_t Index) const;
  const wire::log_entry &entryAt(uint64_t Index) const;
  uint64_t lastTerm() const { return termAt(lastIndex()); }
  bool isLogUpToDate(uint64_t Index, uint64_t Term) const;
  wire::raft makeMessage(wire::raft::raft_purpose Purpose, uint64_t To) const;
  wire::raft makeRequest(wire::raft::raft_purpose Purpose, uint64_t To) const;
  void markHardStateDirty() { HardStateDirty = true; }

  void becomeFollower(uint64_t Term, uint64_t NewLeader, double Now);
  void startPreVote(double Now);
  void startElection(double Now);
  void becomeLeader(double Now);
  void resetElectionTimer(double Now);
  void countVote(uint64_t From, double Now);

  void refuse(raft_refusal Why) { ++Refusals[size_t(Why)]; }
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
  uint64_t silentVoter(double Now) const;
  void finishReplacement();
  void sendAppend(uint64_t To, double Now, bool Heartbeat);
  void addEntries(uint64_t Previous, wire::raft &Message) const;
  size_t inFlightBytes(const peer &Peer) const;
  void broadcast(double Now, bool Heartbeat);
  void advanceCommit();
  double quorumContactTime(double Now, double peer::*Time) const;

  raft_options Options;
  std::mt19937_64 Random;
  raft_hard_state HardState;
  raft_snapshot Snapshot;
  std::deque<wire::log_entry> Log; ///< Entries after Snapshot.
  wire::member_list Members;
  uint64_t MembersIndex = 0; ///< Entry that holds Members; 0: the snapshot.

  raft_role Role = raft_role::Follower;
  uint64_t Leader = 0;
  uint64_t Commit = 0;
  /// Last entry returned in raft_output::Committed.
  uint64_t DeliveredIndex = 0;
  uint64_t SyncedIndex = 0; ///< Last entry known to be on the own disk.
  uint64_t TakenIndex = 0;  ///< Last entry returned in raft_output::Entries.
  /// Last contact with a leader; votes are refused for ElectionMin after it.
  double LastLeaderContact = 0;
  uint64_t FormerLeader = 0;   ///< The leader of that contact; 0: none yet.
  double ElectionDeadline = 0; ///< When the election timeout ends.
  double NextHeartbeat = 0;
  double LeaderSince = 0;
  /// As leader: index of the first entry appended in the own term.
  uint64_t TermStartIndex = 0;
  std::map<uint64_t, bool> Votes; ///< Members that granted their vote.
  std::map<uint64_t, peer> Peers;

  bool Aside = false; ///< Between standAside() and resume().
  bool HardStateDirty = false;
  std::optional<raft_snapshot> Install;
  std::vector<wire::raft> Immediate;
  std::vector<wire::raft> AfterSync;
  double LastNow = 0; ///< Time of the last tick() or step().
  std::array<uint64_t, size_t(raft_refusal::Last) + 1> Refusals{};
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONSENSUS_RAFT_CORE_H
