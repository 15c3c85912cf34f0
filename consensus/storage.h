//===- storage.h - Raft log and snapshots on disk ---------------*- C++ -*-===//
//
// One folder holds the disk identity, one snapshot and one log file. Every
// record has a checksum. When the log is opened, an incomplete record at its
// end, left by a crash during a write, is truncated. A corrupt record that is
// followed by intact ones is an error: records that were synced and
// acknowledged to other members would be lost.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONSENSUS_STORAGE_H
#define OLIVEVALVE_CONSENSUS_STORAGE_H

#include "absl/status/statusor.h"
#include "consensus/raft_core.h"
#include <memory>

namespace olivevalve {

/// The persistent state of one Raft member.
class raft_storage {
public:
  /// Opens or creates the folder (mode 0700), takes an exclusive lock on it and
  /// reads what it holds. StorageFailed: an I/O error, a corrupt file, or a
  /// folder locked by another process.
  static absl::StatusOr<std::unique_ptr<raft_storage>>
  open(const std::string &Folder);
  ~raft_storage();
  raft_storage(const raft_storage &) = delete;
  raft_storage &operator=(const raft_storage &) = delete;

  /// Identity of the disk: a random number chosen when the folder is created.
  uint64_t disk() const { return Disk; }
  /// Moves out the state that open() has read; to be called once.
  raft_durable_state takeDurableState() { return std::move(Durable); }
  /// Bytes of an incomplete last record that open() has truncated.
  uint64_t truncatedBytes() const { return TruncatedBytes; }

  /// Writes and syncs the hard state, the snapshot and the entries in
  /// \p Output. After an error the state on disk is undefined and the caller
  /// must not write again.
  absl::Status write(const raft_output &Output);
  /// Replaces the snapshot, and the log by \p Hard and \p Tail, the entries
  /// after the snapshot.
  absl::Status compact(const raft_snapshot &Snapshot,
                       const raft_hard_state &Hard,
                       const std::vector<wire::log_entry> &Tail);
  /// Existing length of the log file.
  uint64_t logBytes() const { return LogBytes; }
  /// Number of synced writes since open().
  uint64_t syncs() const { return Syncs; }

private:
  raft_storage() = default;
  absl::Status loadIdentity();
  absl::Status loadSnapshot();
  absl::Status loadLog();
  absl::Status openLog();
  absl::Status append(const std::string &Bytes);

  std::string Folder;
  int LockFile = -1; ///< File descriptor; -1: not open.
  int LogFile = -1;  ///< File descriptor; -1: not open.
  uint64_t Disk = 0;
  uint64_t TruncatedBytes = 0;
  uint64_t LogBytes = 0;
  uint64_t Syncs = 0;
  raft_durable_state Durable;
  raft_hard_state LastHardState; ///< As last written or read.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONSENSUS_STORAGE_H
