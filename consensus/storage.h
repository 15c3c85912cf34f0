//===- storage.h - Raft log and snapshots on disk ---------------*- C++ -*-===//
//
// One folder holds the disk identity, one snapshot and one log file. Every
// record has a checksum. When the log is opened, an incomplete record at its
// end, left by a crash during a write, is truncated. A corrupt record that is
// followed by intact ones is an error: records that were synced and
// acknowledged to other members would be lost.
//
// A write that finds no room is refused and leaves the stored state as it was.
// A reserve file holds the room that replacing the log by a snapshot needs.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CONSENSUS_STORAGE_H
#define OLIVEVALVE_CONSENSUS_STORAGE_H

#include "absl/status/statusor.h"
#include "consensus/raft_core.h"
#include <memory>
#include <sys/types.h>

namespace olivevalve {

/// The calls by which raft_storage changes the disk; they return and set errno
/// as the system's own do.
class disk_calls {
public:
  virtual ~disk_calls() = default;
  virtual ssize_t write(int File, const char *Bytes, size_t Count);
  virtual int sync(int File);
  virtual int syncData(int File);
  virtual int rename(const char *From, const char *To);
  virtual int truncate(int File, off_t Bytes);
  /// Assigns blocks for the first \p Bytes of a file.
  virtual int allocate(int File, off_t Bytes);
  /// The operating system's calls.
  static disk_calls &ofSystem();
};

/// The persistent state of one Raft member.
class raft_storage {
public:
  /// Opens or creates the folder (mode 0700), takes an exclusive lock on it and
  /// reads what it holds. StorageFailed: an I/O error, a corrupt file, or a
  /// folder locked by another process.
  static absl::StatusOr<std::unique_ptr<raft_storage>>
  open(const std::string &Folder, disk_calls &Calls = disk_calls::ofSystem());
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
  /// \p Output. After an error with isFull() the state on disk is as before,
  /// save that records of \p Output may be read after a crash; the same write
  /// may be tried again. After any other error the state on disk is undefined
  /// and the caller must not write again.
  absl::Status write(const raft_output &Output);
  /// Replaces the snapshot, and the log by \p Hard and \p Tail, the entries
  /// after the snapshot. Uses the reserve if there is no other room. Errors are
  /// as those of write().
  absl::Status compact(const raft_snapshot &Snapshot,
                       const raft_hard_state &Hard,
                       const std::vector<wire::log_entry> &Tail);
  /// True if the last write() or compact() was refused because there was no
  /// room.
  bool isFull() const { return Full; }
  /// Checks that there is room again: cuts off what a refused write has left,
  /// and sets up the reserve. Errors are as those of write().
  absl::Status prepareRetry();
  /// Bytes that the reserve file holds.
  uint64_t reserveBytes() const { return ReserveBytes; }
  /// Existing length of the log file.
  uint64_t logBytes() const { return LogBytes; }
  /// Number of synced writes since open().
  uint64_t syncs() const { return Syncs; }

private:
  raft_storage(std::string Folder, disk_calls &Calls)
      : Folder(std::move(Folder)), Calls(Calls) {}
  absl::Status loadIdentity();
  absl::Status loadSnapshot();
  absl::Status loadLog();
  absl::Status openLog();
  absl::Status append(const std::string &Bytes);
  absl::Status cutPartialRecords();
  bool writeAll(int File, std::string_view Bytes);
  absl::Status replaceFile(const std::string &Name, std::string_view Bytes);
  absl::Status replaceSnapshotAndLog(const raft_snapshot &Snapshot,
                                     const raft_hard_state &Hard,
                                     const std::vector<wire::log_entry> &Tail);
  absl::Status keepReserve();
  void releaseReserve();
  absl::Status refusedOrFailed(const std::string &What);

  std::string Folder;
  disk_calls &Calls;
  int LockFile = -1; ///< File descriptor; -1: not open.
  int LogFile = -1;  ///< File descriptor; -1: not open.
  uint64_t Disk = 0;
  uint64_t TruncatedBytes = 0;
  uint64_t LogBytes = 0;
  uint64_t Syncs = 0;
  uint64_t SnapshotBytes = 0;  ///< Length of the snapshot file.
  uint64_t ReserveBytes = 0;   ///< Length of the reserve file; 0: none.
  bool PartialRecords = false; ///< The log file is longer than LogBytes.
  bool Full = false;
  raft_durable_state Durable;
  raft_hard_state LastHardState; ///< As last written or read.
};

} // namespace olivevalve

#endif // OLIVEVALVE_CONSENSUS_STORAGE_H
