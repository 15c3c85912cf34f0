//===- log_writer.h - Writes log lines without blocking ---------*- C++ -*-===//
//
// Keeps the threads that log from waiting for the reader of the log. Lines are
// held in memory, within a bound, until a thread of the writer has written
// them. The file may be shared with other processes, so its flags are left
// alone and each write holds whole lines that a pipe takes at once.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_BASE_LOG_WRITER_H
#define OLIVEVALVE_BASE_LOG_WRITER_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace olivevalve {

struct log_writer_options {
  int File = 1; ///< Descriptor to write to.
  /// Most bytes held in memory. About 300 lines of a gateway.
  size_t MaxBytes = 256 << 10;
  /// Lines written with lower importance are dropped beyond this.
  size_t MaxMinorBytes = 192 << 10;
};

/// How lines compete for the room in memory.
enum class log_importance : uint8_t { Minor, Major };

/// All functions may be called from any thread; none of them waits for the
/// file, except for flush().
class log_writer {
public:
  /// Starts the thread. The writer lives until the end of the process, since
  /// the thread may never return from a write.
  static log_writer &start(log_writer_options Options = {});

  /// Adds a line and its end. Drops and counts it if there is no room.
  void write(log_importance Importance, std::string_view Line);
  /// Returns the number of lines dropped since the last call. While much is
  /// held it returns 0, so that one report covers all lines dropped while
  /// nobody read.
  uint64_t takeDropped();
  /// Number of lines dropped since the start.
  uint64_t dropped() const;
  /// Bytes held in memory.
  size_t heldBytes() const;
  /// Waits until everything is written, for \p Seconds at most. Returns false
  /// if something is left.
  bool flush(double Seconds);

private:
  explicit log_writer(log_writer_options Options) : Options(Options) {}
  void run();
  void writeOut(std::string_view Text);
  bool writePart(std::string_view Part) const;

  log_writer_options Options;
  mutable std::mutex Mutex;
  std::condition_variable Changed; ///< For the thread of the writer.
  std::condition_variable Written; ///< For flush().
  std::string Pending;
  size_t InProgress = 0; ///< Bytes that the thread is writing.
  uint64_t Dropped = 0;
  uint64_t Reported = 0; ///< Of Dropped: already returned by takeDropped().
  unsigned Flushes = 0;  ///< Calls of flush() in progress.
};

} // namespace olivevalve

#endif // OLIVEVALVE_BASE_LOG_WRITER_H
