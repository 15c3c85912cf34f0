//===- crowds_test.cpp - Clients that do not behave -----------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/crowd.h"
#include "tests/gateway_world.h"
#include "tests/process_use.h"
#include <sys/resource.h>

using namespace olivevalve;

namespace {

/// Memory of the smallest VM of each role, in units of 10^6 bytes.
constexpr double GatewayVmMb = 110;
constexpr double ControlVmMb = 256;
constexpr double EntryVmMb = 256;
/// A VM allows 4,096 descriptors, of which 200 are kept for files.
constexpr size_t MaxDescriptors = 4096 - 200;
/// Nothing has happened for this long.
constexpr double RestSeconds = 1;
/// A crowd that goes on for longer has not been answered or stopped.
constexpr double MaxCrowdSeconds = 120;

constexpr size_t BodyBytes = 4 << 20;
constexpr size_t PieceBytes = 64 << 10;

std::string requestLines(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Credential: k1\r\n"
         "X-Deadline-Ms: 30000\r\n";
}

std::string lengthLine(size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
}

/// Header lines of \p Line, as many as fit into \p Bytes.
std::string linesUpTo(const std::string &Line, size_t Bytes) {
  std::string All;
  while (All.size() + Line.size() <= Bytes)
    All += Line;
  return All;
}

/// A process that a crowd may not end or fill, on a VM with this memory.
struct watched_process {
  daemon_process &Process;
  double VmMb;
};

/// Lives, and has kept within the memory and the descriptors of its VM.
void checkBounds(const watched_process &Watched) {
  BOOST_REQUIRE(Watched.Process.running());
  BOOST_TEST(peakMb(Watched.Process.pid()) < Watched.VmMb);
  BOOST_TEST(openDescriptors(Watched.Process.pid()) < MaxDescriptors);
}

/// Plays a crowd until nothing happens any more, and checks the process then
/// and once the crowd has gone. Each time \p Ordinary sends one request.
void playCrowd(world &World, const watched_process &Watched,
               const crowd_options &Options,
               const std::function<client_response()> &Ordinary) {
  {
    crowd Crowd(World.Loop, Options);
    uint64_t Progress = 0;
    double RestsSince = steadySeconds();
    World.until(
        "the crowd is at rest",
        [&] {
          if (std::exchange(Progress, Crowd.progress()) != Crowd.progress())
            RestsSince = steadySeconds();
          return steadySeconds() > RestsSince + RestSeconds;
        },
        MaxCrowdSeconds);
    checkBounds(Watched);
    BOOST_TEST(Ordinary().Status == 200);
  }
  World.until("the memory is free again", [&] {
    return residentMb(Watched.Process.pid()) < Watched.VmMb / 2;
  });
  BOOST_TEST(Ordinary().Status == 200);
  checkBounds(Watched);
}

struct crowded_options {
  size_t HeaderBytes = 16 << 10;
  double SessionSeconds = 5;
};

class crowded_gateway : public gateway_world {
public:
  explicit crowded_gateway(crowded_options Options = {}) {
    for (const char *Id : {"i-1", "i-2"})
      addReplica({.Id = Id});
    json Routing = defaultRouting();
    // Nothing may end by a timeout, however slow the machine is.
    for (json &Route : Routing["routes"])
      Route["timeout_ms"] = 30000;
    Routing["limits"] = {{"max_header_bytes", Options.HeaderBytes},
                         {"max_body_bytes", BodyBytes},
                         {"header_timeout_ms", 60000},
                         {"idle_timeout_ms", 60000}};
    // Enough also while the gateway does not know how many share them.
    Routing["services"][0]["max_connections"] = 40000;
    startServing(Routing, {{"max_connections", 2500},
                           {"session_seconds", Options.SessionSeconds}});
  }
  void play(crowd_options Options) {
    Options.Address = GatewayAddress.text();
    playCrowd(*this, {*Gateway, GatewayVmMb}, Options,
              [this] { return request("/safe/x"); });
  }
  client_response requestOnNewConnection() {
    crowd Caller(Loop, {.Address = GatewayAddress.text(),
                        .Begin = requestLines("/safe/x") + lengthLine(0),
                        .Reads = true});
    const std::string Status = "HTTP/1.1 ";
    until("a response on a new connection",
          [&] { return Caller.received().size() > Status.size() + 3; });
    return {.Status = std::atoi(Caller.received().c_str() + Status.size())};
  }
};

/// Bodies that stop one byte short of their end, in chunks of \p ChunkBytes; 0:
/// with a length.
crowd_options unfinishedBodies(size_t ChunkBytes) {
  if (ChunkBytes == 0)
    return {.Clients = 60,
            .Begin = requestLines("/unsafe/x") + lengthLine(BodyBytes),
            .Repeat = std::string(PieceBytes, 'b'),
            .Repeats = BodyBytes / PieceBytes - 1,
            .End = std::string(PieceBytes - 1, 'b')};
  std::array<char, 24> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", ChunkBytes);
  std::string Chunk = Size.data() + std::string(ChunkBytes, 'b') + "\r\n";
  std::string Piece = linesUpTo(Chunk, PieceBytes);
  size_t PieceBody = Piece.size() / Chunk.size() * ChunkBytes;
  return {.Clients = 60,
          .Begin =
              requestLines("/unsafe/x") + "Transfer-Encoding: chunked\r\n\r\n",
          .Repeat = Piece,
          .Repeats = BodyBytes / PieceBody};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crowds_at_a_gateway)

// Guards against limits so tight that they refuse what a single client may do.
BOOST_AUTO_TEST_CASE(leave_the_largest_single_requests_allowed) {
  crowded_gateway World;
  std::vector<std::string> Shortest;
  for (size_t I = 0; I < 1500; ++I)
    Shortest.emplace_back("a: b");
  BOOST_TEST(World.request("/unsafe/x", {.Headers = Shortest}).Status == 200);
  BOOST_TEST(World
                 .request("/unsafe/x",
                          {.Headers = {"X-L: " + std::string(15000, 'h')}})
                 .Status == 200);
  client_response Large =
      World.request("/unsafe/x", {.Body = std::string(BodyBytes, 'b')});
  BOOST_TEST(Large.Status == 200);
  BOOST_TEST(Large.Body.size() > BodyBytes);
  checkBounds({*World.Gateway, GatewayVmMb});
}

// Guards against heads that take a multiple of what was sent.
BOOST_AUTO_TEST_CASE(with_unfinished_heads_of_short_lines_fill_no_memory) {
  crowded_gateway World;
  World.play({.Clients = 1500,
              .Begin = requestLines("/unsafe/x") + linesUpTo("a:\r\n", 15800)});
}

BOOST_AUTO_TEST_CASE(with_unfinished_heads_of_odd_lines_fill_no_memory) {
  crowded_gateway World;
  World.play({.Clients = 1500,
              .Begin = requestLines("/unsafe/x") +
                       linesUpTo("a: \t b\r\n \r\n", 15800)});
}

// Guards against the memory of such heads while they are at an upstream.
BOOST_AUTO_TEST_CASE(with_heads_of_short_lines_at_work_fill_no_memory) {
  crowded_gateway World;
  World.play({.Clients = 1000,
              .Begin = requestLines("/unsafe/x?late=5000") +
                       linesUpTo("a:\r\n", 15800) + lengthLine(0),
              .Reads = true});
}

// Guards against bodies that are bounded one by one and not together.
BOOST_AUTO_TEST_CASE(with_unfinished_bodies_fill_no_memory) {
  crowded_gateway World;
  World.play(unfinishedBodies(0));
}

BOOST_AUTO_TEST_CASE(with_unfinished_bodies_in_chunks_fill_no_memory) {
  crowded_gateway World;
  for (size_t ChunkBytes : {size_t(100), size_t(16000)})
    World.play(unfinishedBodies(ChunkBytes));
}

// Guards against copies of a body for each attempt.
BOOST_AUTO_TEST_CASE(with_whole_bodies_at_work_fill_no_memory) {
  crowded_gateway World;
  crowd_options Whole = unfinishedBodies(0);
  Whole.Begin = requestLines("/unsafe/x?late=5000") + lengthLine(BodyBytes);
  Whole.End = std::string(PieceBytes, 'b');
  Whole.Reads = true;
  World.play(Whole);
}

// Guards against requests that are answered by recursion, with a copy of what
// is left at each level.
BOOST_AUTO_TEST_CASE(that_send_short_requests_ahead_fill_no_memory) {
  crowded_gateway World;
  World.play({.Clients = 30,
              .Repeat = linesUpTo("GET / HTTP/1.1\r\n\r\n", PieceBytes),
              .Repeats = 16});
}

// Guards against responses that pile up as the next request is read before the
// last response has left.
BOOST_AUTO_TEST_CASE(that_send_requests_ahead_and_read_nothing_fill_no_memory) {
  crowded_gateway World;
  World.play({.Clients = 60,
              .Repeat = requestLines("/unsafe/x?pad=600000") + lengthLine(0),
              .Repeats = 50});
}

// Guards against streams that are not read and are bounded only one by one.
BOOST_AUTO_TEST_CASE(that_do_not_read_their_streams_fill_no_memory) {
  crowded_gateway World;
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Raw["events"] = {
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
        "data: " + std::string(PieceBytes / 2, 'e') + "\n\n"};
  World.play(
      {.Clients = 400,
       .Begin = requestLines("/stream/x?do=raw&bytes=events") + lengthLine(0)});
}

// Guards against connections that leave no descriptor for others.
BOOST_AUTO_TEST_CASE(of_more_connections_than_descriptors_lock_nobody_out) {
  constexpr rlim_t Descriptors = 256;
  rlimit Before{};
  BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &Before) == 0);
  rlimit Few{.rlim_cur = Descriptors, .rlim_max = Before.rlim_max};
  // The processes that the world starts inherit it.
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &Few) == 0);
  crowded_gateway World;
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &Before) == 0);
  crowd_options Crowd{.Address = World.GatewayAddress.text(),
                      .Clients = 600,
                      .Begin = "GET /safe/x HTTP/1.1\r\n"};
  playCrowd(World, {*World.Gateway, GatewayVmMb}, Crowd,
            [&] { return World.requestOnNewConnection(); });
  BOOST_TEST(openDescriptors(World.Gateway->pid()) < Descriptors);
}

// Guards against session ids that are remembered at their full length.
BOOST_AUTO_TEST_CASE(that_name_very_long_sessions_fill_no_memory) {
  crowded_gateway World;
  std::string Requests;
  for (size_t I = 0; I < 9000; ++I)
    Requests += requestLines("/unsafe/x") +
                "Session: " + std::string(15000, 's') + std::to_string(I) +
                "\r\n" + lengthLine(0);
  World.play({.Begin = Requests, .Reads = true});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crowds_at_other_listeners)

// Guards against operators' requests that are bounded only one by one.
BOOST_AUTO_TEST_CASE(with_unfinished_bodies_fill_no_control_vm) {
  constexpr size_t OperatorBodyBytes = 16 << 20;
  gateway_world World;
  BOOST_REQUIRE_EQUAL(World.putRouting(World.defaultRouting()).Status, 200);
  World.untilVoters(3);
  for (const auto &Node : World.Seeded) {
    playCrowd(World, {*Node->Process, ControlVmMb},
              {.Address = World.operatorAddressOf(*Node),
               .Clients = 40,
               .Begin = "POST /v1/routing HTTP/1.1\r\nHost: a.example\r\n" +
                        lengthLine(OperatorBodyBytes),
               .Repeat = std::string(PieceBytes, ' '),
               .Repeats = OperatorBodyBytes / PieceBytes - 1,
               .End = std::string(PieceBytes - 1, ' ')},
              [&] { return World.putRouting(World.defaultRouting()); });
  }
}

// Guards against callers of an entry that are bounded only one by one.
BOOST_AUTO_TEST_CASE(with_unfinished_bodies_fill_no_entry) {
  constexpr size_t EntryBodyBytes = 8 << 20;
  world World;
  World.EntrySettings = {{"caller_memory_mb", EntryVmMb / 4}};
  World.startDefaultSystem();
  entry_node &Entry = *World.Entries.begin()->second;
  playCrowd(
      World, {*Entry.Process, EntryVmMb},
      {.Address = Entry.Address.text(),
       .Clients = 80,
       .Begin = "POST /v1/chat/completions HTTP/1.1\r\nHost: a.example\r\n"
                "Authorization: Bearer demo-dispatch\r\n" +
                lengthLine(EntryBodyBytes),
       .Repeat = std::string(PieceBytes, ' '),
       .Repeats = EntryBodyBytes / PieceBytes - 1,
       .End = std::string(PieceBytes - 1, ' ')},
      [&] {
        return World.call(Entry.Address.text(),
                          {.Body = chatBody("plan", "x")});
      });
}

BOOST_AUTO_TEST_SUITE_END()
