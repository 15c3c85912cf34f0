//===- replicated_log.h - The agreement at work -----------------*- C++ -*-===//
//
// Drives the pure core with real time, disk and messages. Commands proposed in
// one turn of the loop share one sync. A disk that fails ends the process:
// what was promised can no longer be kept here.
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

struct control_peer {
  uint64_t Id = 0;
  std::string Address;
};

/// The number of a control VM that is known by its address alone.
uint64_t controlIdOf(const std::string &Address);

struct replicated_log_options {
  uint64_t Id = 0;
  std::string Address; ///< Where nodes and other control VMs connect.
  std::string OperatorAddress;
  std::string Folder;
  /// All control VMs, this one included; or some that this one may ask when it
  /// joins, this one included or not.
  std::vector<control_peer> Peers;
  /// False: this VM joins a group and never starts one.
  bool MayBootstrap = true;
  size_t TargetVoters = 3;
  double SilentSeconds = 30;
  uint64_t SnapshotBytes = 8 << 20; ///< Log size that calls for a snapshot.
};

class replicated_log {
public:
  /// Null result: leadership was lost, the command may or may not be there.
  using result_handler = std::function<void(const apply_result *)>;

  static absl::StatusOr<std::unique_ptr<replicated_log>>
  open(link_context &Context, struct ev_loop *Loop,
       replicated_log_options Options);

  void step(const wire::raft &Message);
  /// False if this VM does not lead.
  bool propose(wire::command Command, result_handler Handler);
  const state_machine &state() const { return State; }
  const raft_core &core() const { return *Core; }
  const raft_storage &storage() const { return *Storage; }
  bool removeMember(uint64_t Id) { return Core->removeMember(Id); }
  /// VMs to ask from now on when this one has to join.
  void setPeers(std::vector<control_peer> Peers) {
    Options.Peers = std::move(Peers);
  }

  std::function<void(uint64_t Index, const apply_result &)> OnApplied;
  std::function<void()> OnStorageFailed;

private:
  replicated_log(link_context &Context, struct ev_loop *Loop,
                 replicated_log_options Options);
  void tick();
  void flush();
  void send(const std::vector<wire::raft> &Messages);
  bool write(const raft_output &Output);
  void apply(const wire::log_entry &Entry);
  void snapshotIfDue();
  void announce(double Now);
  void announceTo(uint64_t Id);
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
  struct waiter {
    uint64_t Term = 0;
    result_handler Handler;
  };
  std::map<uint64_t, waiter> Waiters;
  std::map<uint64_t, double> EmptyPeers;     ///< Said to have no group, when.
  std::map<uint64_t, std::string> Strangers; ///< Addresses of VMs that join.
  std::string JoinAddress; ///< Of the leader, as another member says.
  double NextAnnounce = 0;
  bool Failed = false;
  bool HadLeadership = false;
  timer Timer;
  timer Soon; ///< Makes the loop turn once more, so that flush() runs.
  before_wait Prepare;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONTROL_REPLICATED_LOG_H
