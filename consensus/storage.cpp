//===- storage.cpp - Raft log and snapshots on disk -----------------------===//

#include "consensus/storage.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace olivevalve {

namespace {

// A record is a header of magic (4 bytes), length of the body (4 bytes) and
// checksum of length and body (8 bytes), followed by the body. Integers are in
// the byte order of the machine.
constexpr uint32_t Magic = 0x4f56524cU;
constexpr size_t HeaderBytes = 16;
// Type of a log record, the first byte of its body.
constexpr char EntryRecord = 'E';
constexpr char HardStateRecord = 'H';
// The reserve holds a new snapshot twice as large as the present one, or, with
// a small one, this much: a batch of entries after it.
constexpr uint64_t MinReserveBytes = 256 << 10;

absl::Status ioError(const std::string &What) {
  return makeError(error_kind::StorageFailed,
                   What + ": " + std::strerror(errno));
}

uint64_t recordChecksum(uint32_t Length, std::string_view Body) {
  return checksum(Body, Length);
}

std::string encodeRecord(std::string_view Body) {
  uint32_t Length = uint32_t(Body.size());
  uint64_t Checksum = recordChecksum(Length, Body);
  std::string Record(HeaderBytes, '\0');
  std::memcpy(Record.data(), &Magic, 4);
  std::memcpy(Record.data() + 4, &Length, 4);
  std::memcpy(Record.data() + 8, &Checksum, 8);
  Record += Body;
  return Record;
}

/// Returns the body of the record at \p Offset; none if the record is
/// incomplete or corrupt.
std::optional<std::string_view> recordAt(std::string_view Bytes,
                                         size_t Offset) {
  if (Bytes.size() - Offset < HeaderBytes)
    return std::nullopt;
  uint32_t FoundMagic = 0;
  uint32_t Length = 0;
  uint64_t Checksum = 0;
  std::memcpy(&FoundMagic, Bytes.data() + Offset, 4);
  std::memcpy(&Length, Bytes.data() + Offset + 4, 4);
  std::memcpy(&Checksum, Bytes.data() + Offset + 8, 8);
  size_t Left = Bytes.size() - Offset - HeaderBytes;
  if (FoundMagic != Magic || Length > Left)
    return std::nullopt;
  std::string_view Body = Bytes.substr(Offset + HeaderBytes, Length);
  if (recordChecksum(Length, Body) != Checksum)
    return std::nullopt;
  return Body;
}

// Tells a corrupt record in the middle of the log from an incomplete one at its
// end. The length of a corrupt record cannot be trusted, so any intact record
// at a later offset counts.
bool hasIntactRecordAfter(std::string_view Bytes, size_t Offset) {
  std::string_view MagicText(reinterpret_cast<const char *>(&Magic), 4);
  for (size_t At = Bytes.find(MagicText, Offset + 1);
       At != std::string_view::npos; At = Bytes.find(MagicText, At + 1))
    if (recordAt(Bytes, At))
      return true;
  return false;
}

std::string encodeHardState(const raft_hard_state &Hard) {
  std::string Body(17, HardStateRecord);
  std::memcpy(Body.data() + 1, &Hard.Term, 8);
  std::memcpy(Body.data() + 9, &Hard.Vote, 8);
  return encodeRecord(Body + Hard.Group);
}

std::string encodeEntry(const wire::log_entry &Entry) {
  std::string Body(1, EntryRecord);
  Entry.AppendToString(&Body);
  return encodeRecord(Body);
}

std::string readAll(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// A quota and the limit on a file's size refuse a write as a full disk does.
bool meansNoRoom(int Error) {
  return Error == ENOSPC || Error == EDQUOT || Error == EFBIG;
}

bool exists(const std::string &Path) { return access(Path.c_str(), F_OK) == 0; }

void decodeHardState(std::string_view Body, raft_hard_state &Hard) {
  std::memcpy(&Hard.Term, Body.data() + 1, 8);
  std::memcpy(&Hard.Vote, Body.data() + 9, 8);
  Hard.Group = std::string(Body.substr(17));
}

} // namespace

ssize_t disk_calls::write(int File, const char *Bytes, size_t Count) {
  return ::write(File, Bytes, Count);
}

int disk_calls::sync(int File) { return fsync(File); }

int disk_calls::syncData(int File) { return fdatasync(File); }

int disk_calls::rename(const char *From, const char *To) {
  return std::rename(From, To);
}

int disk_calls::truncate(int File, off_t Bytes) {
  return ftruncate(File, Bytes);
}

int disk_calls::allocate(int File, off_t Bytes) {
  errno = posix_fallocate(File, 0, Bytes);
  return errno == 0 ? 0 : -1;
}

disk_calls &disk_calls::ofSystem() {
  static disk_calls System;
  return System;
}

absl::StatusOr<std::unique_ptr<raft_storage>>
raft_storage::open(const std::string &Folder, disk_calls &Calls) {
  std::unique_ptr<raft_storage> Storage(new raft_storage(Folder, Calls));
  if (mkdir(Folder.c_str(), 0700) != 0 && errno != EEXIST)
    return ioError(Folder);
  if (chmod(Folder.c_str(), 0700) != 0)
    return ioError(Folder);
  std::string Lock = Folder + "/lock";
  Storage->LockFile = ::open(Lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (Storage->LockFile < 0)
    return ioError(Lock);
  if (flock(Storage->LockFile, LOCK_EX | LOCK_NB) != 0)
    return makeError(error_kind::StorageFailed,
                     Folder + ": is locked by another process");
  for (auto Step : {&raft_storage::loadIdentity, &raft_storage::loadSnapshot,
                    &raft_storage::loadLog, &raft_storage::openLog})
    if (absl::Status Status = ((*Storage).*Step)(); !Status.ok())
      return Status;
  // Without room for the reserve the VM starts, and finds out with its first
  // write whether there is room for that.
  (void)Storage->keepReserve();
  Storage->Full = false;
  return Storage;
}

raft_storage::~raft_storage() {
  if (LogFile >= 0)
    close(LogFile);
  if (LockFile >= 0)
    close(LockFile);
}

absl::Status raft_storage::loadIdentity() {
  std::string Path = Folder + "/identity";
  if (!exists(Path)) {
    Disk = randomIncarnation();
    return replaceFile("identity", encodeRecord(hexOf(Disk)));
  }
  std::string Bytes = readAll(Path);
  auto Body = recordAt(Bytes, 0);
  if (!Body || !absl::SimpleHexAtoi({Body->data(), Body->size()}, &Disk))
    return makeError(error_kind::StorageFailed,
                     Path + ": is corrupt; move the folder away to let this "
                            "VM rejoin as a learner");
  return absl::OkStatus();
}

absl::Status raft_storage::loadSnapshot() {
  std::string Path = Folder + "/snapshot";
  if (!exists(Path))
    return absl::OkStatus();
  std::string Bytes = readAll(Path);
  SnapshotBytes = Bytes.size();
  auto Body = recordAt(Bytes, 0);
  wire::raft Stored;
  if (!Body || !Stored.ParseFromArray(Body->data(), int(Body->size())))
    return makeError(error_kind::StorageFailed,
                     Path + ": is corrupt; move the folder away to let this "
                            "VM rejoin as a learner");
  Durable.Snapshot = {.Index = Stored.log_index(),
                      .Term = Stored.log_term(),
                      .Members = Stored.entries(0).data(),
                      .Image = Stored.snapshot()};
  Durable.HardState.Group = Stored.group();
  Durable.HardState.Term = Stored.term();
  return absl::OkStatus();
}

absl::Status raft_storage::loadLog() {
  std::string Path = Folder + "/log";
  if (!exists(Path))
    return absl::OkStatus();
  std::string Bytes = readAll(Path);
  size_t Offset = 0;
  while (Offset < Bytes.size()) {
    auto Body = recordAt(Bytes, Offset);
    if (!Body)
      break;
    wire::log_entry Entry;
    if ((*Body)[0] == HardStateRecord) {
      decodeHardState(*Body, Durable.HardState);
    } else if (Entry.ParseFromArray(Body->data() + 1, int(Body->size() - 1))) {
      auto &Entries = Durable.Entries;
      while (!Entries.empty() && Entries.back().index() >= Entry.index())
        Entries.pop_back();
      uint64_t Expected = Durable.Snapshot.Index + Entries.size() + 1;
      if (Entry.index() == Expected)
        Entries.push_back(std::move(Entry));
      else if (Entry.index() > Expected)
        return makeError(error_kind::StorageFailed,
                         absl::StrCat(Path, ": entry ", Expected,
                                      " is missing before ", Entry.index()));
    }
    Offset += HeaderBytes + Body->size();
  }
  LastHardState = Durable.HardState;
  LogBytes = Offset;
  TruncatedBytes = Bytes.size() - Offset;
  if (TruncatedBytes && hasIntactRecordAfter(Bytes, Offset))
    return makeError(error_kind::StorageFailed,
                     absl::StrCat(Path, ": corrupt record at byte ", Offset,
                                  ", followed by intact records; move the "
                                  "folder away to let this VM rejoin as a "
                                  "learner"));
  return absl::OkStatus();
}

absl::Status raft_storage::openLog() {
  std::string Path = Folder + "/log";
  if (LogFile >= 0)
    close(LogFile);
  LogFile = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  if (LogFile < 0 || Calls.truncate(LogFile, off_t(LogBytes)) != 0 ||
      lseek(LogFile, off_t(LogBytes), SEEK_SET) < 0 || Calls.sync(LogFile) != 0)
    return ioError(Path);
  return absl::OkStatus();
}

bool raft_storage::writeAll(int File, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count = Calls.write(File, Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(size_t(Count));
  }
  return true;
}

// Only for calls that change nothing when they find no room, never for a sync:
// what is on the disk after a failed sync is unknown, whatever its error.
absl::Status raft_storage::refusedOrFailed(const std::string &What) {
  Full = meansNoRoom(errno);
  return ioError(What);
}

// Replaces a file atomically: writes and syncs a temporary file, renames it and
// syncs the folder. After a crash either the old or the new file is complete.
absl::Status raft_storage::replaceFile(const std::string &Name,
                                       std::string_view Bytes) {
  std::string Path = Folder + "/" + Name;
  std::string TempPath = Path + ".new";
  int File =
      ::open(TempPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (File < 0)
    return refusedOrFailed(TempPath);
  absl::Status Status;
  if (!writeAll(File, Bytes))
    Status = refusedOrFailed(TempPath);
  else if (Calls.sync(File) != 0)
    Status = ioError(TempPath);
  close(File);
  if (Status.ok() && Calls.rename(TempPath.c_str(), Path.c_str()) != 0)
    Status = refusedOrFailed(Path);
  if (!Status.ok()) {
    unlink(TempPath.c_str());
    return Status;
  }
  int Directory = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool Done = Directory >= 0 && Calls.sync(Directory) == 0;
  Status = Done ? absl::OkStatus() : ioError(Folder);
  if (Directory >= 0)
    close(Directory);
  return Status;
}

// A refused write may have left whole or partial records at the end of the log.
// Records written after them would be lost, or the partial one would count as
// corrupt.
absl::Status raft_storage::cutPartialRecords() {
  if (!PartialRecords)
    return absl::OkStatus();
  if (Calls.truncate(LogFile, off_t(LogBytes)) != 0)
    return refusedOrFailed(Folder + "/log");
  if (lseek(LogFile, off_t(LogBytes), SEEK_SET) < 0)
    return ioError(Folder + "/log");
  PartialRecords = false;
  return absl::OkStatus();
}

absl::Status raft_storage::append(const std::string &Bytes) {
  if (absl::Status Status = cutPartialRecords(); !Status.ok())
    return Status;
  PartialRecords = true;
  if (!writeAll(LogFile, Bytes))
    return refusedOrFailed(Folder + "/log");
  if (Calls.syncData(LogFile) != 0)
    return ioError(Folder + "/log");
  PartialRecords = false;
  LogBytes += Bytes.size();
  ++Syncs;
  return absl::OkStatus();
}

absl::Status raft_storage::write(const raft_output &Output) {
  Full = false;
  raft_hard_state Hard = Output.HardState.value_or(LastHardState);
  if (Output.Install)
    return compact(*Output.Install, Hard, Output.Entries);
  std::string Bytes;
  if (Output.HardState)
    Bytes += encodeHardState(Hard);
  for (const wire::log_entry &Entry : Output.Entries)
    Bytes += encodeEntry(Entry);
  absl::Status Status = Bytes.empty() ? absl::OkStatus() : append(Bytes);
  if (Status.ok())
    LastHardState = std::move(Hard);
  return Status;
}

absl::Status raft_storage::compact(const raft_snapshot &Snapshot,
                                   const raft_hard_state &Hard,
                                   const std::vector<wire::log_entry> &Tail) {
  Full = false;
  absl::Status Status = replaceSnapshotAndLog(Snapshot, Hard, Tail);
  if (!Status.ok() && Full && ReserveBytes > 0) {
    releaseReserve();
    Full = false;
    Status = replaceSnapshotAndLog(Snapshot, Hard, Tail);
  }
  if (!Status.ok())
    return Status;
  (void)keepReserve();
  Full = false;
  return Status;
}

// The snapshot is written before the log. After a crash between the two writes,
// loadLog() skips the entries of the old log that the new snapshot covers.
absl::Status
raft_storage::replaceSnapshotAndLog(const raft_snapshot &Snapshot,
                                    const raft_hard_state &Hard,
                                    const std::vector<wire::log_entry> &Tail) {
  wire::raft Stored;
  Stored.set_log_index(Snapshot.Index);
  Stored.set_log_term(Snapshot.Term);
  Stored.set_group(Hard.Group);
  Stored.set_term(Hard.Term);
  Stored.set_snapshot(Snapshot.Image);
  Stored.add_entries()->set_data(Snapshot.Members);
  std::string Bytes = encodeRecord(Stored.SerializeAsString());
  absl::Status Status = replaceFile("snapshot", Bytes);
  if (!Status.ok())
    return Status;
  SnapshotBytes = Bytes.size();
  Bytes = encodeHardState(Hard);
  for (const wire::log_entry &Entry : Tail)
    Bytes += encodeEntry(Entry);
  Status = replaceFile("log", Bytes);
  if (!Status.ok())
    return Status;
  LastHardState = Hard;
  LogBytes = Bytes.size();
  PartialRecords = false;
  ++Syncs;
  return openLog();
}

// A file system that cannot assign blocks ahead leaves the VM without a
// reserve.
absl::Status raft_storage::keepReserve() {
  uint64_t Wanted = std::max(MinReserveBytes, 2 * SnapshotBytes);
  if (ReserveBytes >= Wanted)
    return absl::OkStatus();
  std::string Path = Folder + "/reserve";
  int File = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  bool Held = File >= 0 && Calls.allocate(File, off_t(Wanted)) == 0;
  absl::Status Status = Held ? absl::OkStatus() : refusedOrFailed(Path);
  if (File >= 0)
    close(File);
  if (Held)
    ReserveBytes = Wanted;
  else if (ReserveBytes == 0)
    releaseReserve();
  return Full ? Status : absl::OkStatus();
}

void raft_storage::releaseReserve() {
  unlink((Folder + "/reserve").c_str());
  ReserveBytes = 0;
}

absl::Status raft_storage::prepareRetry() {
  Full = false;
  absl::Status Status = cutPartialRecords();
  return Status.ok() ? keepReserve() : Status;
}

} // namespace olivevalve
