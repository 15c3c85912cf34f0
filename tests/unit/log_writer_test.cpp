//===- log_writer_test.cpp - Logs that are not read -----------------------===//

#include "base/log_writer.h"
#include "boost/test/unit_test.hpp"
#include <array>
#include <climits>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace olivevalve;

namespace {

constexpr double LongEnough = 20; // Seconds; nothing waits this long.

/// A pipe as the standard output of a process and its reader.
class log_pipe {
public:
  explicit log_pipe(int Flags = 0) {
    BOOST_REQUIRE(pipe2(Ends.data(), O_CLOEXEC) == 0);
    if (Flags)
      BOOST_REQUIRE(fcntl(Ends[1], F_SETFL, Flags) == 0);
  }
  ~log_pipe() { closeReader(); }
  log_pipe(const log_pipe &) = delete;
  log_pipe &operator=(const log_pipe &) = delete;

  // The end that is written to stays open: the writer's thread has it.
  int file() const { return Ends[1]; }
  void closeReader() {
    if (Ends[0] >= 0)
      close(std::exchange(Ends[0], -1));
  }
  /// Fills the pipe, so that a write waits for the reader. Returns the number
  /// of lines that it holds.
  size_t fill() const {
    std::string Line(PIPE_BUF - 1, 'f');
    Line += '\n';
    BOOST_REQUIRE(fcntl(Ends[1], F_SETFL, O_NONBLOCK) == 0);
    size_t Lines = 0;
    while (::write(Ends[1], Line.data(), Line.size()) > 0)
      ++Lines;
    BOOST_REQUIRE(fcntl(Ends[1], F_SETFL, 0) == 0);
    return Lines;
  }
  /// Reads until \p Lines lines have arrived.
  std::vector<std::string> read(size_t Lines) {
    std::vector<std::string> Found;
    std::array<char, 4096> Buffer{};
    while (Found.size() < Lines) {
      size_t End = Unread.find('\n');
      if (End != std::string::npos) {
        Found.push_back(Unread.substr(0, End));
        Unread.erase(0, End + 1);
        continue;
      }
      ssize_t Count = ::read(Ends[0], Buffer.data(), Buffer.size());
      BOOST_REQUIRE(Count > 0);
      Unread.append(Buffer.data(), size_t(Count));
    }
    return Found;
  }

private:
  std::array<int, 2> Ends{-1, -1};
  std::string Unread; ///< Read and not returned yet.
};

std::string line(size_t Number) {
  return std::to_string(Number) + ":" + std::string(Number % 900, 'x') + ".";
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_log_that_nobody_reads)

// Guards against a process that hangs while the reader of its log stands still.
BOOST_AUTO_TEST_CASE(holds_nobody_up_and_is_bounded) {
  constexpr size_t Lines = 3000;
  log_pipe Pipe;
  size_t Filler = Pipe.fill();
  log_writer &Writer = log_writer::start(
      {.File = Pipe.file(), .MaxBytes = 64 << 10, .MaxMinorBytes = 48 << 10});
  for (size_t I = 0; I < Lines; ++I)
    Writer.write(log_importance::Minor, line(I));
  BOOST_TEST(Writer.heldBytes() <= size_t(48 << 10));
  uint64_t Dropped = Writer.dropped();
  BOOST_TEST(Dropped > 0U);
  BOOST_TEST_CONTEXT("there is room left for what matters more") {
    Writer.write(log_importance::Major, std::to_string(Lines) + ":.");
    BOOST_TEST(Writer.dropped() == Dropped);
  }
  BOOST_TEST_CONTEXT("a stop waits for a bounded time")
  BOOST_TEST(!Writer.flush(0.05));
  BOOST_TEST_CONTEXT("the loss is told once, when the log is read again") {
    BOOST_TEST(Writer.takeDropped() == 0U);
    Pipe.read(Filler);
    size_t Last = 0;
    for (const std::string &Read : Pipe.read(Lines + 1 - Dropped)) {
      size_t Number = std::stoul(Read);
      BOOST_REQUIRE((Read == line(Number) || Number == Lines));
      BOOST_REQUIRE((Number == 0 || Number > Last));
      Last = Number;
    }
    BOOST_TEST(Last == Lines);
    BOOST_TEST(Writer.flush(LongEnough));
    BOOST_TEST(Writer.takeDropped() == Dropped);
    BOOST_TEST(Writer.takeDropped() == 0U);
  }
  BOOST_TEST_CONTEXT("and later lines are written") {
    Writer.write(log_importance::Minor, "later");
    BOOST_TEST(Pipe.read(1).front() == "later");
  }
}

BOOST_AUTO_TEST_CASE(is_discarded_if_its_reader_has_ended) {
  log_pipe Pipe;
  log_writer &Writer = log_writer::start({.File = Pipe.file()});
  Pipe.closeReader();
  for (size_t I = 0; I < 10; ++I)
    Writer.write(log_importance::Major, line(I));
  BOOST_TEST(Writer.flush(LongEnough));
  BOOST_TEST(Writer.dropped() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_log_that_is_shared)

// Guards against lines that other processes' lines are mixed into.
BOOST_AUTO_TEST_CASE(has_whole_lines_of_each_writer_in_order) {
  constexpr size_t Lines = 500;
  for (int Flags : {0, O_NONBLOCK}) {
    log_pipe Pipe(Flags);
    std::array<log_writer *, 2> Writers{};
    for (log_writer *&Each : Writers)
      Each = &log_writer::start(
          {.File = Pipe.file(), .MaxBytes = 1 << 20, .MaxMinorBytes = 1 << 20});
    for (size_t I = 0; I < Lines; ++I)
      for (size_t Each = 0; Each < Writers.size(); ++Each)
        Writers[Each]->write(log_importance::Minor,
                             std::string(1, char('a' + Each)) + line(I));
    std::array<size_t, 2> Next{};
    for (const std::string &Read : Pipe.read(2 * Lines)) {
      size_t Each = size_t(Read.front() - 'a');
      BOOST_REQUIRE(Each < Writers.size());
      BOOST_REQUIRE(Read.substr(1) == line(Next[Each]++));
    }
    for (log_writer *Each : Writers)
      BOOST_TEST(Each->dropped() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(has_lines_longer_than_a_pipe_takes_at_once) {
  log_pipe Pipe;
  log_writer &Writer = log_writer::start({.File = Pipe.file()});
  std::string Long(100'000, 'l');
  Writer.write(log_importance::Minor, "first");
  Writer.write(log_importance::Minor, Long);
  Writer.write(log_importance::Minor, "last");
  std::vector<std::string> Read = Pipe.read(3);
  BOOST_TEST(Read[0] == "first");
  BOOST_TEST((Read[1] == Long));
  BOOST_TEST(Read[2] == "last");
}

BOOST_AUTO_TEST_SUITE_END()
