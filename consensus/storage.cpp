//===- storage.cpp - Log and snapshots on disk ----------------------------===//

#include "consensus/storage.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace olivevalve {

namespace {

// A record: magic, length of the body, checksum of length and body, body.
constexpr uint32_t Magic = 0x4f56524cU;
constexpr size_t HeaderBytes = 16;
// First byte of a body.
constexpr char EntryRecord = 'E';
constexpr char HardRecord = 'H';

absl::Status failed(const std::string &What) {
  return makeError(error_kind::StorageFailed,
                   What + ": " + std::strerror(errno));
}

uint64_t recordSum(uint32_t Length, std::string_view Body) {
  return checksum(Body, Length);
}

std::string packRecord(std::string_view Body) {
  uint32_t Length = uint32_t(Body.size());
  uint64_t Sum = recordSum(Length, Body);
  std::string Record(HeaderBytes, '\0');
  std::memcpy(Record.data(), &Magic, 4);
  std::memcpy(Record.data() + 4, &Length, 4);
  std::memcpy(Record.data() + 8, &Sum, 8);
  Record += Body;
  return Record;
}

/// The body of the record at \p Offset, or none if it is not intact.
std::optional<std::string_view> recordAt(std::string_view Bytes,
                                         size_t Offset) {
  if (Bytes.size() - Offset < HeaderBytes)
    return std::nullopt;
  uint32_t FoundMagic = 0;
  uint32_t Length = 0;
  uint64_t Sum = 0;
  std::memcpy(&FoundMagic, Bytes.data() + Offset, 4);
  std::memcpy(&Length, Bytes.data() + Offset + 4, 4);
  std::memcpy(&Sum, Bytes.data() + Offset + 8, 8);
  size_t Left = Bytes.size() - Offset - HeaderBytes;
  if (FoundMagic != Magic || Length > Left)
    return std::nullopt;
  std::string_view Body = Bytes.substr(Offset + HeaderBytes, Length);
  if (recordSum(Length, Body) != Sum)
    return std::nullopt;
  return Body;
}

// A damaged length could make a damaged middle look like a torn tail, so any
// intact record further on decides.
bool intactRecordAfter(std::string_view Bytes, size_t Offset) {
  std::string_view MagicText(reinterpret_cast<const char *>(&Magic), 4);
  for (size_t At = Bytes.find(MagicText, Offset + 1);
       At != std::string_view::npos; At = Bytes.find(MagicText, At + 1))
    if (recordAt(Bytes, At))
      return true;
  return false;
}

std::string packHard(const raft_hard_state &Hard) {
  std::string Body(17, HardRecord);
  std::memcpy(Body.data() + 1, &Hard.Term, 8);
  std::memcpy(Body.data() + 9, &Hard.Vote, 8);
  return packRecord(Body + Hard.Group);
}

std::string packEntry(const wire::log_entry &Entry) {
  std::string Body(1, EntryRecord);
  Entry.AppendToString(&Body);
  return packRecord(Body);
}

std::string readAll(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

bool writeAll(int File, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count = ::write(File, Bytes.data(), Bytes.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(size_t(Count));
  }
  return true;
}

// Written aside, synced, renamed over, and the folder synced: after a crash
// either the old or the new file is there whole.
absl::Status replaceFile(const std::string &Folder, const std::string &Name,
                         std::string_view Bytes) {
  std::string Path = Folder + "/" + Name;
  std::string Aside = Path + ".new";
  int File =
      ::open(Aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (File < 0)
    return failed(Aside);
  bool Good = writeAll(File, Bytes) && fsync(File) == 0;
  close(File);
  if (!Good || rename(Aside.c_str(), Path.c_str()) != 0)
    return failed(Path);
  int Directory = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  Good = Directory >= 0 && fsync(Directory) == 0;
  if (Directory >= 0)
    close(Directory);
  return Good ? absl::OkStatus() : failed(Folder);
}

bool exists(const std::string &Path) { return access(Path.c_str(), F_OK) == 0; }

void takeHard(std::string_view Body, raft_hard_state &Hard) {
  std::memcpy(&Hard.Term, Body.data() + 1, 8);
  std::memcpy(&Hard.Vote, Body.data() + 9, 8);
  Hard.Group = std::string(Body.substr(17));
}

} // namespace

absl::StatusOr<std::unique_ptr<raft_storage>>
raft_storage::open(const std::string &Folder) {
  std::unique_ptr<raft_storage> Storage(new raft_storage());
  Storage->Folder = Folder;
  if (mkdir(Folder.c_str(), 0700) != 0 && errno != EEXIST)
    return failed(Folder);
  if (chmod(Folder.c_str(), 0700) != 0)
    return failed(Folder);
  std::string Lock = Folder + "/lock";
  Storage->LockFile = ::open(Lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (Storage->LockFile < 0)
    return failed(Lock);
  if (flock(Storage->LockFile, LOCK_EX | LOCK_NB) != 0)
    return makeError(error_kind::StorageFailed,
                     Folder + ": is used by another process");
  for (auto Step : {&raft_storage::loadIdentity, &raft_storage::loadSnapshot,
                    &raft_storage::loadLog, &raft_storage::openLog})
    if (absl::Status Status = ((*Storage).*Step)(); !Status.ok())
      return Status;
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
    return replaceFile(Folder, "identity", packRecord(hexOf(Disk)));
  }
  std::string Bytes = readAll(Path);
  auto Body = recordAt(Bytes, 0);
  if (!Body)
    return makeError(error_kind::StorageFailed,
                     Path + ": is damaged; move the folder away to let this "
                            "VM join anew as a learner");
  Disk = std::stoull(std::string(*Body), nullptr, 16);
  return absl::OkStatus();
}

absl::Status raft_storage::loadSnapshot() {
  std::string Path = Folder + "/snapshot";
  if (!exists(Path))
    return absl::OkStatus();
  std::string Bytes = readAll(Path);
  auto Body = recordAt(Bytes, 0);
  wire::raft Stored;
  if (!Body || !Stored.ParseFromArray(Body->data(), int(Body->size())))
    return makeError(error_kind::StorageFailed,
                     Path + ": is damaged; move the folder away to let this "
                            "VM join anew as a learner");
  Durable.Snapshot = {.Index = Stored.log_index(),
                      .Term = Stored.log_term(),
                      .Members = Stored.entries(0).data(),
                      .Image = Stored.snapshot()};
  Durable.Hard.Group = Stored.group();
  Durable.Hard.Term = Stored.term();
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
    if ((*Body)[0] == HardRecord) {
      takeHard(*Body, Durable.Hard);
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
  LastHard = Durable.Hard;
  LogBytes = Offset;
  CutBytes = Bytes.size() - Offset;
  if (CutBytes && intactRecordAfter(Bytes, Offset))
    return makeError(error_kind::StorageFailed,
                     absl::StrCat(Path, ": damaged at byte ", Offset,
                                  " with intact records after it; move the "
                                  "folder away to let this VM join anew as a "
                                  "learner"));
  return absl::OkStatus();
}

absl::Status raft_storage::openLog() {
  std::string Path = Folder + "/log";
  if (LogFile >= 0)
    close(LogFile);
  LogFile = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  if (LogFile < 0 || ftruncate(LogFile, off_t(LogBytes)) != 0 ||
      lseek(LogFile, off_t(LogBytes), SEEK_SET) < 0 || fsync(LogFile) != 0)
    return failed(Path);
  return absl::OkStatus();
}

absl::Status raft_storage::append(const std::string &Bytes) {
  if (!writeAll(LogFile, Bytes) || fdatasync(LogFile) != 0)
    return failed(Folder + "/log");
  LogBytes += Bytes.size();
  ++Syncs;
  return absl::OkStatus();
}

absl::Status raft_storage::write(const raft_output &Output) {
  if (Output.Hard)
    LastHard = *Output.Hard;
  if (Output.Install)
    return compact(*Output.Install, LastHard, Output.Entries);
  std::string Bytes;
  if (Output.Hard)
    Bytes += packHard(*Output.Hard);
  for (const wire::log_entry &Entry : Output.Entries)
    Bytes += packEntry(Entry);
  return Bytes.empty() ? absl::OkStatus() : append(Bytes);
}

// The snapshot goes first: a crash between the two leaves an old log whose
// entries up to the snapshot are skipped at start.
absl::Status raft_storage::compact(const raft_snapshot &Snapshot,
                                   const raft_hard_state &Hard,
                                   const std::vector<wire::log_entry> &Tail) {
  wire::raft Stored;
  Stored.set_log_index(Snapshot.Index);
  Stored.set_log_term(Snapshot.Term);
  Stored.set_group(Hard.Group);
  Stored.set_term(Hard.Term);
  Stored.set_snapshot(Snapshot.Image);
  Stored.add_entries()->set_data(Snapshot.Members);
  absl::Status Status =
      replaceFile(Folder, "snapshot", packRecord(Stored.SerializeAsString()));
  if (!Status.ok())
    return Status;
  std::string Bytes = packHard(Hard);
  for (const wire::log_entry &Entry : Tail)
    Bytes += packEntry(Entry);
  Status = replaceFile(Folder, "log", Bytes);
  if (!Status.ok())
    return Status;
  LastHard = Hard;
  LogBytes = Bytes.size();
  ++Syncs;
  return openLog();
}

} // namespace olivevalve
