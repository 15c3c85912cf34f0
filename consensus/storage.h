//===- storage.h - Log and snapshots on disk --------------------*- C++ -*-===//
//
// One folder holds the disk's identity, one snapshot and one log file. Every
// record carries a checksum. At start a torn tail is cut off; damage before
// intact records stops the process, since synced promises would be lost.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONSENSUS_STORAGE_H
#define OLIVEVALVE_CONSENSUS_STORAGE_H

#include "absl/status/statusor.h"
#include "consensus/raft_core.h"
#include <memory>

namespace olivevalve {

class raft_storage {
public:
  /// Opens or creates the folder (mode 0700) and locks it against a second
  /// process.
  static absl::StatusOr<std::unique_ptr<raft_storage>>
  open(const std::string &Folder);
  ~raft_storage();
  raft_storage(const raft_storage &) = delete;
  raft_storage &operator=(const raft_storage &) = delete;

  /// Random, written at first start; a new disk gets another.
  uint64_t disk() const { return Disk; }
  /// What was found; taken once.
  raft_durable takeDurable() { return std::move(Durable); }
  /// Bytes of a torn tail cut off at start.
  uint64_t cutBytes() const { return CutBytes; }

  /// Writes what an output asks for and syncs it. After an error nothing more
  /// may be written: the caller must stop.
  absl::Status write(const raft_output &Output);
  /// Replaces snapshot and log: \p Tail are the entries after it.
  absl::Status compact(const raft_snapshot &Snapshot,
                       const raft_hard_state &Hard,
                       const std::vector<wire::log_entry> &Tail);
  uint64_t logBytes() const { return LogBytes; }
  uint64_t syncs() const { return Syncs; }

private:
  raft_storage() = default;
  absl::Status loadIdentity();
  absl::Status loadSnapshot();
  absl::Status loadLog();
  absl::Status openLog();
  absl::Status append(const std::string &Bytes);

  std::string Folder;
  int LockFile = -1;
  int LogFile = -1;
  uint64_t Disk = 0;
  uint64_t CutBytes = 0;
  uint64_t LogBytes = 0;
  uint64_t Syncs = 0;
  raft_durable Durable;
  raft_hard_state LastHard;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONSENSUS_STORAGE_H
