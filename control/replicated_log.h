//===- replicated_log.h - Raft with disk, network and timers ----*- C++ -*-===//
//
// Connects the Raft core, which does no input or output itself, to the clock,
// the disk and the links between control VMs. Commands proposed in one
// iteration of the event loop share one sync. While the disk has no room for a
// write, this VM stands aside: it keeps what it has and takes part again once
// the write is on the disk. The process terminates if the disk fails, because
// it can no longer persist its vote and log entries.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONTROL_REPLICATED_LOG_H
#define OLIVEVALVE_CONTROL_REPLICATED_LOG_H

#include "consensus/raft_core.h"
#include "consensus/storage.h"
#include "ledger/state_machine.h"
#include "net/link.h"
#include <functional>
#include <map>
#include <memory>

namespace olivevalve {

/// A control VM as named in the settings.
struct control_peer {
  uint64_t Id = 0;
  std::string Address;
};

/// The id of a control VM of which only the address is known: a hash of the
/// address with the top bit set.
uint64_t controlIdOf(const std::string &Address);

struct replicated_log_options {
  uint64_t Id = 0;     ///< Of this VM.
  std::string Address; ///< Where nodes and other control VMs connect to it.
  std::string OperatorAddress; ///< Passed on to the other members.
  std::string Folder;          ///< Of the log and the snapshot.
  disk_calls *Disk = &disk_calls::ofSystem(); ///< Not owned.
  /// All control VMs, including this one; or, for a VM that joins a group, some
  /// VMs to send its announcement to, which may or may not include this one.
  std::vector<control_peer> Peers;
  /// False: this VM only joins an existing group and never starts one.
  bool MayBootstrap = true;
  size_t TargetVoters = 3; ///< Learners become voters up to this count.
  double ReplaceAfterSeconds =
      30; ///< A silent voter may be replaced after this.
  /// A snapshot is taken when the log has grown to this size.
  uint64_t SnapshotBytes = 8 << 20;
};

class replicated_log {
public:
  /// Called once the command has been applied. A null result means that
  /// leadership was lost: the command may or may not be committed.
  using result_handler = std::function<void(const apply_result *)>;

  /// Errors: StorageFailed if the folder or its snapshot cannot be read.
  static absl::StatusOr<std::unique_ptr<replicated_log>>
  open(link_context &Context, struct ev_loop *Loop,
       replicated_log_options Options);

  /// Handles a Raft message from another control VM.
  void step(const wire::raft &Message);
  /// Proposes \p Command. Returns false, and does not call \p Handler, if this
  /// VM is not the leader.
  bool propose(wire::command Command, result_handler Handler);
  const state_machine &state() const { return State; }
  /// True while this VM is the only leader and state() includes every command
  /// that was acknowledged to its sender. Entries are committed when a message
  /// is handled and applied before the next wait of the event loop; between the
  /// two, a new leader still has the state of its time as a follower.
  bool hasLeaderLease(double Now) const {
    return Core->hasLeaderLease(Now) &&
           State.appliedIndex() >= Core->termStartIndex();
  }
  const raft_core &core() const { return *Core; }
  const raft_storage &storage() const { return *Storage; }
  /// Starts the removal of a member. Returns false if this VM is not the
  /// leader, \p Id is this VM or no member, or another membership change is in
  /// progress.
  bool removeMember(uint64_t Id) { return Core->removeMember(Id); }
  /// Replaces the VMs to which this VM announces itself when it has to join.
  void setPeers(std::vector<control_peer> Peers) {
    Options.Peers = std::move(Peers);
  }

  /// True while a write waits for room on the disk.
  bool isDiskFull() const { return Refused.has_value(); }
  /// Number of times that this VM has begun to stand aside for a full disk.
  uint64_t timesDiskFull() const { return TimesDiskFull; }

  /// Called for every committed entry once it has been applied.
  std::function<void(uint64_t Index, const apply_result &)> OnApplied;
  /// Called when a write has failed; nothing is written from then on.
  std::function<void()> OnStorageFailed;

private:
  replicated_log(link_context &Context, struct ev_loop *Loop,
                 replicated_log_options Options);
  void tick();
  void flush();
  void send(const std::vector<wire::raft> &Messages);
  bool write(const raft_output &Output);
  void finish(const raft_output &Output);
  void apply(const wire::log_entry &Entry);
  void snapshotIfDue();
  absl::Status takeSnapshot();
  void standAside(raft_output Output, const absl::Status &Status);
  void retryRefused(double Now);
  void fail(std::string_view What, const absl::Status &Status);
  void announce(double Now);
  void announceTo(uint64_t Id);
  void logMembers();
  void logHealth(double Now);
  bool mayStartGroup(double Now) const;
  std::string addressOf(uint64_t Id) const;
  void onAnnounceReply(const wire::raft &Message);
  client_link *linkTo(uint64_t Id);
  void dropHandlers();

  link_context &Context;
  struct ev_loop *Loop;
  replicated_log_options Options;
  std::unique_ptr<raft_storage> Storage;
  std::unique_ptr<raft_core> Core;
  state_machine State;
  std::map<uint64_t, std::unique_ptr<client_link>> Links;
  struct pending_proposal {
    uint64_t Term = 0;
    result_handler Handler;
  };
  std::map<uint64_t, pending_proposal> PendingProposals;
  /// When each peer last replied that it belongs to no group.
  std::map<uint64_t, double> EmptyPeers;
  /// Addresses of VMs that are neither members nor in the settings: VMs that
  /// announced themselves, and the leader of the group to join.
  std::map<uint64_t, std::string> LearnedAddresses;
  /// Address of the leader, from the reply of a member to an announcement.
  std::string JoinAddress;
  double NextAnnounce = 0;
  wire::member_list LoggedMembers;
  std::optional<uint64_t> LoggedMembersIndex;
  group_health LoggedHealth;
  bool Failed = false;
  /// The output that the disk has refused, without its messages.
  std::optional<raft_output> Refused;
  double RefusedSince = 0;
  double NextRetry = 0;    ///< Of the refused output.
  double NextSnapshot = 0; ///< No snapshot is tried before this time.
  uint64_t TimesDiskFull = 0;
  bool HadLeadership = false;
  timer Timer;
  /// Wakes the event loop so that flush() runs without delay.
  timer WakeUp;
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_REPLICATED_LOG_H
