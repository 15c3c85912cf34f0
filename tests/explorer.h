//===- explorer.h - Random schedules for the agreement ----------*- C++ -*-===//
//
// Drives several cores through one seeded random schedule of loss, doubling,
// reordering, delay, crashes between write and sync, lost disks, freezes,
// clocks that drift, snapshots and membership changes, and checks after each
// step what must always hold. A failure names its seed; the same seed replays
// it.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_TESTS_EXPLORER_H
#define OLIVEVALVE_TESTS_EXPLORER_H

#include "consensus/raft_core.h"
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace olivevalve {

struct explorer_options {
  uint64_t Seed = 1;
  size_t Vms = 3;
  int Steps = 3000;
  /// Faults of the checker's own, which it must find.
  bool ForgetVotes = false;   ///< A crash loses term and vote.
  bool ForgetEntries = false; ///< A crash loses synced entries.
  bool KeepIdentity = false;  ///< A lost disk comes back under its old name.
};

struct explorer_result {
  std::string Violation; ///< Empty: all held.
  uint64_t Leaders = 0;
  uint64_t Committed = 0;
  uint64_t Crashes = 0;
  uint64_t LostDisks = 0;
  uint64_t Snapshots = 0;
};

class explorer {
public:
  explicit explorer(explorer_options Options);
  explorer_result run();

private:
  struct disk {
    uint64_t Identity = 0;
    raft_durable_state Synced;
    raft_durable_state Written;
  };
  struct vm {
    uint64_t Id = 0;
    std::unique_ptr<raft_core> Core;
    disk Disk;
    double Rate = 1; ///< Of its clock.
    double Offset = 0;
    double FrozenUntil = 0;
    double DownUntil = 0;
    uint64_t AppliedIndex = 0;
    uint64_t AppliedHash = 0;
  };
  struct packet {
    double At = 0;
    wire::raft Message;
  };

  double clockOf(const vm &Vm) const;
  void startVm(vm &Vm);
  void crash(vm &Vm, bool LoseDisk);
  void pump(vm &Vm);
  void persist(vm &Vm, const raft_output &Output);
  void post(const wire::raft &Message);
  void deliver();
  void announceAll();
  bool allDisksVote() const;
  void randomFault();
  void maybePropose();
  void maybeCompact(vm &Vm);
  void applyCommitted(vm &Vm, const raft_output &Output);
  void checkLeaders();
  void fail(const std::string &What);
  double chance() { return Unit(Random); }
  vm &anyVm();

  explorer_options Options;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  std::vector<vm> Vms;
  std::vector<packet> Network;
  double Now = 1000;
  double Loss = 0;
  std::map<uint64_t, uint64_t> LeaderOfTerm;
  std::map<uint64_t, uint64_t> HashAt; ///< Of all entries up to an index.
  std::map<uint64_t, std::string> EntryAt;
  std::vector<std::vector<bool>> Cut;
  explorer_result Result;
  uint64_t NextIdentity = 100;
};

} // namespace olivevalve

#endif // OLIVEVALVE_TESTS_EXPLORER_H
