//===- full_disk_test.cpp - Control VMs without room on their disks -------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "control/replicated_log.h"
#include "tests/temporary_folder.h"
#include <cerrno>
#include <filesystem>

using namespace olivevalve;

namespace {

enum class disk_call : uint8_t {
  Write,
  SyncLog,
  SyncFile,
  Rename,
  Truncate,
  Allocate
};

/// Answers one kind of call with an error; a write leaves half of its bytes.
class faulty_disk : public disk_calls {
public:
  ssize_t write(int File, const char *Bytes, size_t Count) override {
    if (!hasRoom(Count)) {
      errno = ENOSPC;
      return -1;
    }
    if (!fails(disk_call::Write))
      return disk_calls::write(File, Bytes, Count);
    disk_calls::write(File, Bytes, Count / 2);
    errno = Error;
    return -1;
  }
  int syncData(int File) override {
    return fails(disk_call::SyncLog) ? -1 : disk_calls::syncData(File);
  }
  int sync(int File) override {
    return fails(disk_call::SyncFile) ? -1 : disk_calls::sync(File);
  }
  int rename(const char *From, const char *To) override {
    return fails(disk_call::Rename) ? -1 : disk_calls::rename(From, To);
  }
  int truncate(int File, off_t Bytes) override {
    return fails(disk_call::Truncate) ? -1 : disk_calls::truncate(File, Bytes);
  }
  int allocate(int File, off_t Bytes) override {
    if (!hasRoom(size_t(Bytes))) {
      errno = ENOSPC;
      return -1;
    }
    return fails(disk_call::Allocate) ? -1 : disk_calls::allocate(File, Bytes);
  }

  std::optional<disk_call> Failing; ///< None: all calls are carried out.
  int Error = ENOSPC;
  /// Set: calls fail only while this file exists.
  std::string WhileExists;
  std::string Folder;  ///< Whose files Capacity bounds.
  size_t Capacity = 0; ///< In bytes; 0: not bounded.

private:
  bool hasRoom(size_t Bytes) const {
    if (Capacity == 0)
      return true;
    for (const auto &File : std::filesystem::directory_iterator(Folder))
      Bytes += File.file_size();
    return Bytes <= Capacity;
  }
  bool fails(disk_call Call) const {
    errno = Error;
    return Failing == Call &&
           (WhileExists.empty() || std::filesystem::exists(WhileExists));
  }
};

raft_output entry(uint64_t Index) {
  raft_output Output;
  Output.HardState = raft_hard_state{.Term = 5, .Vote = 2, .Group = "g"};
  wire::log_entry &Entry = Output.Entries.emplace_back();
  Entry.set_index(Index);
  Entry.set_term(5);
  Entry.set_data(std::string(100, 'x'));
  return Output;
}

size_t entriesIn(const std::string &Folder) {
  auto Storage = raft_storage::open(Folder);
  BOOST_REQUIRE_MESSAGE(Storage.ok(), Storage.status().ToString());
  return (*Storage)->takeDurableState().Entries.size();
}

/// A control group of one VM on a disk that can be filled.
class lone_control_vm {
public:
  lone_control_vm() {
    replicated_log_options Options{.Id = 1, .Address = "127.0.0.1:1"};
    Options.Folder = Folder.path() + "/d";
    Options.Disk = &Disk;
    Options.Peers = {{.Id = 1, .Address = "127.0.0.1:1"}};
    auto Opened = replicated_log::open(Context, Loop, Options);
    BOOST_REQUIRE(Opened.ok());
    Log = *std::move(Opened);
    Log->OnStorageFailed = [this] { ++Failures; };
    until([&] { return leads(); });
  }
  ~lone_control_vm() {
    Log.reset();
    ev_loop_destroy(Loop);
  }
  lone_control_vm(const lone_control_vm &) = delete;
  lone_control_vm &operator=(const lone_control_vm &) = delete;

  bool leads() const { return Log->hasLeaderLease(steadySeconds()); }
  uint64_t applied() const { return Log->state().appliedIndex(); }
  template <typename Condition> void until(const Condition &Holds) {
    double End = steadySeconds() + 20;
    while (!Holds() && steadySeconds() < End)
      ev_run(Loop, EVRUN_ONCE);
    BOOST_REQUIRE(Holds());
  }
  /// Proposes a command; counts how its handler was called.
  void propose(const wire::command &Command = {}) {
    BOOST_REQUIRE(Log->propose(Command, [this](const apply_result *Result) {
      ++(Result ? Applied : Unknown);
    }));
  }

  temporary_folder Folder;
  faulty_disk Disk;
  struct ev_loop *Loop = ev_loop_new(0);
  link_context Context;
  std::unique_ptr<replicated_log> Log;
  int Failures = 0;
  int Applied = 0;
  int Unknown = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(full_disks)

BOOST_AUTO_TEST_SUITE(of_the_storage)

enum class disk_answer : uint8_t { Refused, Failed, GoesOn };

struct call_case {
  disk_call Call;
  bool Snapshot; ///< The log is replaced by a snapshot, not appended to.
  disk_answer NoRoom;
  disk_answer OtherError;
};

// Guards against a refused write that ends the VM or spoils what is stored, and
// against going on after a failure that leaves the disk's content unknown.
BOOST_AUTO_TEST_CASE(refuse_a_write_or_fail) {
  using enum disk_answer;
  const call_case Cases[] = {
      {disk_call::Write, false, Refused, Failed},
      {disk_call::SyncLog, false, Failed, Failed},
      {disk_call::Write, true, Refused, Failed},
      {disk_call::SyncFile, true, Failed, Failed},
      {disk_call::Rename, true, Refused, Failed},
      {disk_call::Allocate, true, GoesOn, GoesOn},
  };
  for (const call_case &Case : Cases)
    for (int Error : {ENOSPC, EDQUOT, EFBIG, EIO, EROFS}) {
      BOOST_TEST_CONTEXT("call " << int(Case.Call) << ", snapshot "
                                 << Case.Snapshot << ", " << strerror(Error)) {
        temporary_folder Folder;
        std::string Path = Folder.path() + "/d";
        faulty_disk Disk;
        auto Storage = raft_storage::open(Path, Disk);
        BOOST_REQUIRE(Storage.ok());
        BOOST_REQUIRE((*Storage)->write(entry(1)).ok());
        auto Change = [&] {
          if (!Case.Snapshot)
            return (*Storage)->write(entry(2));
          raft_output Tail = entry(2);
          return (*Storage)->compact(
              {.Index = 1, .Term = 5, .Image = std::string(200 << 10, 'i')},
              *Tail.HardState, Tail.Entries);
        };
        Disk.Failing = Case.Call;
        Disk.Error = Error;
        bool NoRoom = Error != EIO && Error != EROFS;
        disk_answer Expected = NoRoom ? Case.NoRoom : Case.OtherError;
        absl::Status Status = Change();
        BOOST_TEST(Status.ok() == (Expected == GoesOn));
        BOOST_TEST((*Storage)->isFull() == (Expected == Refused));
        Disk.Failing.reset();
        if (Expected != Refused)
          continue;
        BOOST_TEST((*Storage)->prepareRetry().ok());
        BOOST_TEST(Change().ok());
        BOOST_TEST((*Storage)->write(entry(3)).ok());
        Storage->reset();
        BOOST_TEST(entriesIn(Path) == (Case.Snapshot ? 2U : 3U));
      }
    }
}

// Guards against records written after the rest of a refused write, which would
// count as corrupt, and against taking part without a reserve.
BOOST_AUTO_TEST_CASE(is_not_ready_while_the_rest_or_the_reserve_fails) {
  temporary_folder Folder;
  std::string Path = Folder.path() + "/d";
  faulty_disk Disk;
  Disk.Failing = disk_call::Allocate;
  auto Storage = raft_storage::open(Path, Disk);
  BOOST_REQUIRE(Storage.ok());
  BOOST_TEST((*Storage)->reserveBytes() == 0U);
  Disk.Failing = disk_call::Write;
  BOOST_TEST(!(*Storage)->write(entry(1)).ok());
  for (disk_call Call : {disk_call::Truncate, disk_call::Allocate}) {
    Disk.Failing = Call;
    BOOST_TEST(!(*Storage)->prepareRetry().ok());
    BOOST_TEST((*Storage)->isFull());
  }
  BOOST_TEST_CONTEXT("an error of the truncation fails") {
    Disk.Failing = disk_call::Write;
    BOOST_TEST(!(*Storage)->write(entry(1)).ok());
    Disk.Failing = disk_call::Truncate;
    Disk.Error = EIO;
    BOOST_TEST(!(*Storage)->prepareRetry().ok());
    BOOST_TEST(!(*Storage)->isFull());
  }
  Disk.Failing.reset();
  BOOST_TEST((*Storage)->prepareRetry().ok());
  BOOST_TEST((*Storage)->reserveBytes() > 0U);
  BOOST_TEST((*Storage)->write(entry(1)).ok());
  Storage->reset();
  BOOST_TEST(entriesIn(Path) == 1U);
}

// Guards against a log that cannot be cut, as there is no room for the
// snapshot.
BOOST_AUTO_TEST_CASE(cuts_the_log_with_the_room_of_the_reserve) {
  temporary_folder Folder;
  std::string Path = Folder.path() + "/d";
  faulty_disk Disk;
  auto Storage = raft_storage::open(Path, Disk);
  BOOST_REQUIRE(Storage.ok());
  for (uint64_t Index = 1; Index <= 50; ++Index)
    BOOST_REQUIRE((*Storage)->write(entry(Index)).ok());
  uint64_t Before = (*Storage)->logBytes();
  Disk.Failing = disk_call::Write;
  Disk.WhileExists = Path + "/reserve";
  raft_output Tail = entry(50);
  BOOST_TEST((*Storage)
                 ->compact({.Index = 49, .Term = 5, .Image = "image"},
                           *Tail.HardState, Tail.Entries)
                 .ok());
  BOOST_TEST((*Storage)->logBytes() < Before / 10);
  Storage->reset();
  BOOST_TEST(entriesIn(Path) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_control_vm)

// Guards against a process that ends for want of room, and against a leader
// that goes on without being able to store what it accepts.
BOOST_AUTO_TEST_CASE(stand_aside_until_there_is_room) {
  lone_control_vm Vm;
  Vm.propose();
  Vm.until([&] { return Vm.Applied == 1; });
  uint64_t Before = Vm.applied();
  Vm.Disk.Failing = disk_call::Write;
  Vm.propose();
  Vm.until([&] { return Vm.Unknown == 1; });
  BOOST_TEST(Vm.Log->isDiskFull());
  BOOST_TEST(!Vm.leads());
  BOOST_TEST(!Vm.Log->propose({}, {}));
  BOOST_TEST(Vm.applied() == Before);
  Vm.Disk.Failing.reset();
  Vm.until([&] { return Vm.leads(); });
  BOOST_TEST(!Vm.Log->isDiskFull());
  BOOST_TEST(Vm.Log->timesDiskFull() == 1U);
  BOOST_TEST(Vm.applied() > Before);
  Vm.propose();
  Vm.until([&] { return Vm.Applied == 2; });
  BOOST_TEST(Vm.Failures == 0);
  uint64_t Last = Vm.applied();
  Vm.Log.reset();
  auto Storage = raft_storage::open(Vm.Folder.path() + "/d");
  BOOST_REQUIRE(Storage.ok());
  raft_durable_state Durable = (*Storage)->takeDurableState();
  BOOST_TEST(Durable.Snapshot.Index + Durable.Entries.size() == Last);
}

// Guards against a VM that stays aside though its own log takes up the disk,
// and against a reserve that is not there when the log has to be cut.
BOOST_AUTO_TEST_CASE(make_room_by_cutting_its_log) {
  lone_control_vm Vm;
  Vm.Disk.Folder = Vm.Folder.path() + "/d";
  Vm.Disk.Capacity = Vm.Log->storage().reserveBytes() + (200 << 10);
  uint64_t LogBytes = 0;
  for (int I = 0; I < 500 && Vm.Unknown == 0; ++I) {
    wire::command Command;
    Command.mutable_change()->set_author(std::string(2000, 'x'));
    int Answers = Vm.Applied + Vm.Unknown;
    LogBytes = std::max(LogBytes, Vm.Log->storage().logBytes());
    Vm.propose(Command);
    Vm.until([&] { return Vm.Applied + Vm.Unknown > Answers; });
  }
  BOOST_TEST(Vm.Unknown == 1);
  BOOST_TEST(LogBytes > 100U << 10);
  Vm.until([&] { return Vm.leads(); });
  BOOST_TEST(Vm.Log->storage().logBytes() < LogBytes / 10);
  BOOST_TEST(Vm.Log->storage().reserveBytes() > 0U);
  int Applied = Vm.Applied;
  Vm.propose();
  Vm.until([&] { return Vm.Applied > Applied; });
}

// Guards against a VM that goes on when it does not know what is on its disk.
BOOST_AUTO_TEST_CASE(end_it_if_a_sync_fails) {
  lone_control_vm Vm;
  Vm.Disk.Failing = disk_call::SyncLog;
  Vm.propose();
  Vm.until([&] { return Vm.Failures == 1; });
  BOOST_TEST(!Vm.leads());
  Vm.Disk.Failing.reset();
  Vm.until([&] { return Vm.Unknown == 1; });
  BOOST_TEST(!Vm.Log->isDiskFull());
  BOOST_TEST(Vm.Failures == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
