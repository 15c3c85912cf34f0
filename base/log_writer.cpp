//===- log_writer.cpp - Writes log lines without blocking -----------------===//

#include "base/log_writer.h"
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <csignal>
#include <poll.h>
#include <thread>
#include <unistd.h>

namespace olivevalve {

namespace {

// Lines that follow within this time share a wake-up of the thread. A process
// that is killed loses the lines of this time.
constexpr std::chrono::milliseconds GatherTime{20};

// The first lines of Text, as many as a pipe takes without mixing them with
// those of other writers; one line if it is longer than that.
std::string_view nextPart(std::string_view Text) {
  if (Text.size() <= PIPE_BUF)
    return Text;
  size_t End = Text.rfind('\n', PIPE_BUF - 1);
  if (End == std::string_view::npos)
    End = Text.find('\n');
  return Text.substr(0, End + 1);
}

} // namespace

log_writer &log_writer::start(log_writer_options Options) {
  auto *Writer = new log_writer(Options);
  // The thread inherits the mask: signals are left to the other threads.
  sigset_t All;
  sigset_t Before;
  sigfillset(&All);
  pthread_sigmask(SIG_SETMASK, &All, &Before);
  std::thread([Writer] { Writer->run(); }).detach();
  pthread_sigmask(SIG_SETMASK, &Before, nullptr);
  return *Writer;
}

void log_writer::write(log_importance Importance, std::string_view Line) {
  std::lock_guard Lock(Mutex);
  size_t Bound = Importance == log_importance::Major ? Options.MaxBytes
                                                     : Options.MaxMinorBytes;
  if (Pending.size() + InProgress + Line.size() + 1 > Bound) {
    ++Dropped;
    return;
  }
  bool MayWait = Pending.empty();
  Pending += Line;
  Pending += '\n';
  if (MayWait)
    Changed.notify_one();
}

uint64_t log_writer::takeDropped() {
  std::lock_guard Lock(Mutex);
  if (Pending.size() + InProgress > Options.MaxBytes / 4)
    return 0;
  uint64_t Count = Dropped - Reported;
  Reported = Dropped;
  return Count;
}

uint64_t log_writer::dropped() const {
  std::lock_guard Lock(Mutex);
  return Dropped;
}

size_t log_writer::heldBytes() const {
  std::lock_guard Lock(Mutex);
  return Pending.size() + InProgress;
}

bool log_writer::flush(double Seconds) {
  std::unique_lock Lock(Mutex);
  ++Flushes;
  Changed.notify_one();
  bool Done =
      Written.wait_for(Lock, std::chrono::duration<double>(Seconds),
                       [this] { return Pending.empty() && InProgress == 0; });
  --Flushes;
  return Done;
}

void log_writer::run() {
  std::string Text;
  std::unique_lock Lock(Mutex);
  for (;;) {
    Changed.wait(Lock, [this] { return !Pending.empty(); });
    Changed.wait_for(Lock, GatherTime, [this] { return Flushes > 0; });
    Text.swap(Pending);
    InProgress = Text.size();
    Lock.unlock();
    writeOut(Text);
    Text.clear();
    Lock.lock();
    InProgress = 0;
    Written.notify_all();
  }
}

void log_writer::writeOut(std::string_view Text) {
  while (!Text.empty()) {
    std::string_view Part = nextPart(Text);
    bool Good = writePart(Part);
    Text.remove_prefix(Part.size());
    std::lock_guard Lock(Mutex);
    InProgress -= Part.size();
    if (!Good)
      Dropped += uint64_t(std::count(Part.begin(), Part.end(), '\n'));
  }
}

// Returns false if the file takes no more bytes, as when its reader has ended.
bool log_writer::writePart(std::string_view Part) const {
  while (!Part.empty()) {
    ssize_t Count = ::write(Options.File, Part.data(), Part.size());
    if (Count >= 0) {
      Part.remove_prefix(size_t(Count));
      continue;
    }
    if (errno == EAGAIN) {
      // Another process has made the shared file non-blocking.
      pollfd Poll{.fd = Options.File, .events = POLLOUT, .revents = 0};
      ::poll(&Poll, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

} // namespace olivevalve
