//===- measure.cpp - Measurements for docs/CAPACITY.md --------------------===//
//
// Runs real processes at several sizes and measures processor time and memory,
// from the operating system, and bytes, from the processes' metrics. Writes
// rows of experiment, role, size, quantity, value as CSV to the file named by
// OLIVEVALVE_CSV. Run by scripts/measure; not a test.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE measure
#include "tests/measure.h"
#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "ledger/pins.h"
#include <algorithm>
#include <sstream>
#include <unistd.h>

using namespace olivevalve;

namespace {

// In this time each entry polls each sidecar twice.
constexpr double WindowSeconds = 20;

/// Returns a counter from a node's metrics, for one message kind or, if \p Kind
/// is empty, summed over all kinds.
double counter(world &World, const reserved_address &Health,
               const std::string &Name, const std::string &Kind = "") {
  std::istringstream Lines(
      World
          .call(Health.text(), {.Method = "GET", .Path = "/metrics", .Key = ""})
          .Body);
  std::string Line;
  std::string Start = "olivevalve_" + Name + "_total{kind=\"" + Kind;
  double Sum = 0;
  while (std::getline(Lines, Line))
    if (Line.starts_with(Start))
      Sum += std::atof(Line.c_str() + Line.rfind(' '));
  return Sum;
}

/// Returns a configuration with one model and all sidecars as its upstreams.
json wideConfig(world &World) {
  json Config = World.defaultConfig();
  Config["upstreams"] = json::object();
  for (auto &[Name, Node] : World.Sidecars)
    Config["upstreams"][Name] = {{"address", Node->Path->address()},
                                 {"data_hall", "charguia"},
                                 {"versions", {"olive-llm@1"}},
                                 {"slots", 64}};
  Config.erase("services");
  Config["accounts"]["dispatch"].erase("services");
  return Config;
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / double(Values.size());
}

} // namespace

// Cost of leases and state updates in an idle system, and the time until a
// configuration change is in force, by number of nodes.
BOOST_AUTO_TEST_CASE(nodes) {
  csv_file Csv;
  struct node_size {
    int Entries;
    int Sidecars;
  };
  for (node_size Size : {node_size{2, 4}, node_size{10, 20}, node_size{20, 60},
                         node_size{40, 120}}) {
    world World;
    World.startControl(3);
    for (int I = 0; I < Size.Sidecars; ++I)
      World.startSidecar("s" + std::to_string(I));
    World.startSidecar("a");
    World.startSidecar("b");
    World.startSidecar("led");
    for (int I = 0; I < Size.Entries; ++I)
      World.startEntry("e" + std::to_string(I));
    BOOST_REQUIRE(World.apply(wideConfig(World), 40).value("in_force", false));
    World.run(6);
    double Nodes = Size.Entries + Size.Sidecars + 3;
    control_node &Leader = World.leader();
    std::map<const daemon_process *, resource_use> Before;
    std::map<std::string, double> Sent;
    auto All = [&](auto Each) {
      for (auto &[Name, Node] : World.Entries)
        Each("entry", *Node->Process, &Node->Health);
      for (auto &[Name, Node] : World.Sidecars)
        Each("sidecar", *Node->Process, &Node->Health);
      Each("control leader", *Leader.Process, nullptr);
    };
    All([&](const char *, daemon_process &Process, const reserved_address *) {
      Before[&Process] = resourceUseOf(Process);
    });
    entry_node &Entry = *World.Entries["e0"];
    sidecar_node &Sidecar = *World.Sidecars["s0"];
    auto Bytes = [&](const reserved_address &Health, const std::string &Kind) {
      return counter(World, Health, "link_sent_bytes", Kind) +
             counter(World, Health, "link_received_bytes", Kind);
    };
    std::map<std::string, double> First;
    for (const char *Kind : {"renew", "grant", "news", "hello", ""}) {
      First[std::string("entry ") + Kind] = Bytes(Entry.Health, Kind);
      First[std::string("sidecar ") + Kind] = Bytes(Sidecar.Health, Kind);
    }
    double Start = steadySeconds();
    World.run(WindowSeconds);
    double Took = steadySeconds() - Start;
    std::map<std::string, std::vector<double>> Cpu;
    std::map<std::string, std::vector<double>> Memory;
    All([&](const char *Role, daemon_process &Process,
            const reserved_address *) {
      resource_use Now = resourceUseOf(Process);
      Cpu[Role].push_back(100 * (Now.CpuSeconds - Before[&Process].CpuSeconds) /
                          Took);
      Memory[Role].push_back(Now.ResidentMb);
    });
    for (const auto &[Role, Values] : Cpu) {
      Csv.row("nodes", Role, Nodes, "cpu percent of a core", mean(Values));
      Csv.row("nodes", Role, Nodes, "resident MB", mean(Memory[Role]));
    }
    for (const char *Kind : {"renew", "grant", "news", "hello", ""}) {
      std::string Name = *Kind ? Kind : "all";
      Csv.row(
          "nodes", "entry", Nodes, "bytes/s " + Name,
          (Bytes(Entry.Health, Kind) - First[std::string("entry ") + Kind]) /
              Took);
      Csv.row("nodes", "sidecar", Nodes, "bytes/s " + Name,
              (Bytes(Sidecar.Health, Kind) -
               First[std::string("sidecar ") + Kind]) /
                  Took);
    }
    std::vector<double> InForce;
    for (int I = 0; I < 10; ++I)
      InForce.push_back(World
                            .putObject("template", "plan",
                                       {{"candidates", {"olive-llm"}},
                                        {"priority", I % 3}})["seconds"]
                            .get<double>());
    std::sort(InForce.begin(), InForce.end());
    Csv.row("nodes", "control leader", Nodes, "median s to in force",
            InForce[5]);
    Csv.row("nodes", "control leader", Nodes, "worst s to in force",
            InForce.back());
  }
}

// Configuration changes: processor time and memory of control, restart time.
BOOST_AUTO_TEST_CASE(changes) {
  csv_file Csv;
  for (int Changes : {100, 500, 2000}) {
    world World;
    World.startControl(1);
    World.startSidecar("a");
    World.startSidecar("b");
    World.startSidecar("led");
    World.startEntry("entry-1");
    World.apply(World.defaultConfig(), 30);
    World.untilReady(World.Entries["entry-1"]->Health);
    control_node &Control = *World.Control[0];
    resource_use Before = resourceUseOf(*Control.Process);
    for (int I = 0; I < Changes; ++I)
      World.putObject("template", "t" + std::to_string(I % 200),
                      {{"candidates", {"olive-llm"}}});
    resource_use After = resourceUseOf(*Control.Process);
    Csv.row("changes", "control", Changes, "cpu ms each",
            1000 * (After.CpuSeconds - Before.CpuSeconds) / Changes);
    Csv.row("changes", "control", Changes, "resident MB", After.ResidentMb);
    Control.Process->kill();
    double Start = steadySeconds();
    Control.Process->start();
    World.until("control leads again", [&] {
      return World
                 .call(Control.Operators.text(),
                       {.Method = "GET", .Path = "/v1/bills", .Key = ""})
                 .Status == 200;
    });
    Csv.row("changes", "control", Changes, "s from start to leading",
            steadySeconds() - Start);
  }
}

// Session pins: processor time and memory that each takes at control and at an
// entry.
BOOST_AUTO_TEST_CASE(sessions) {
  csv_file Csv;
  world World;
  World.startDefaultSystem(3);
  control_node &Leader = World.leader();
  int Done = 0;
  resource_use Control = resourceUseOf(*Leader.Process);
  resource_use Entry = resourceUseOf(*World.Entries["entry-1"]->Process);
  for (int Sessions : {10, 100, 1000, 5000, 10000}) {
    int Count = Sessions - Done;
    resource_use Before = resourceUseOf(*Leader.Process);
    double Start = steadySeconds();
    int Open = 0;
    int Finished = 0;
    std::vector<std::shared_ptr<client_response>> Answers;
    while (Finished < Count) {
      while (Open < 50 && Done < Sessions) {
        Answers.push_back(World.begin(
            World.Entries["entry-1"]->Address.text(),
            {.Body = chatBody("plan", "tokens=1 first=0 gap=0"),
             .Headers = {"X-Session: m" + std::to_string(Done++)}}));
        ++Open;
      }
      ev_run(World.Loop, EVRUN_ONCE);
      std::erase_if(Answers, [&](const auto &Answer) {
        if (!Answer->Done)
          return false;
        --Open;
        ++Finished;
        return true;
      });
    }
    double Took = steadySeconds() - Start;
    resource_use After = resourceUseOf(*Leader.Process);
    Csv.row("sessions", "control leader", Sessions, "cpu ms each",
            1000 * (After.CpuSeconds - Before.CpuSeconds) / Count);
    Csv.row("sessions", "control leader", Sessions, "resident MB added",
            After.ResidentMb - Control.ResidentMb);
    Csv.row("sessions", "entry", Sessions, "resident MB added",
            resourceUseOf(*World.Entries["entry-1"]->Process).ResidentMb -
                Entry.ResidentMb);
    Csv.row("sessions", "all", Sessions, "new sessions/s", Count / Took);
  }
}

// Up to 1.8 million pins in control's table: memory, time to write and to read
// the snapshot image.
BOOST_AUTO_TEST_CASE(pins) {
  csv_file Csv;
  pin_table Table;
  wire::claim Claim;
  Claim.set_space("session");
  size_t Held = 0;
  double Empty = resourceUseOf(getpid()).ResidentMb;
  for (size_t Count : {100000U, 500000U, 1000000U, 1800000U}) {
    double Start = steadySeconds();
    size_t Before = Held;
    for (; Held < Count; ++Held) {
      Claim.set_account("account-" + std::to_string(Held % 10));
      Claim.set_key("plan\nsession-" + std::to_string(Held));
      Claim.set_value("olive-llm@" + std::to_string(Held % 13));
      Table.claim(Claim, 1000);
    }
    double Took = steadySeconds() - Start;
    Csv.row("pins", "control", double(Count), "us each",
            1e6 * Took / double(Count - Before));
    Csv.row("pins", "control", double(Count), "resident MB added",
            resourceUseOf(getpid()).ResidentMb - Empty);
  }
  double Start = steadySeconds();
  wire::state_image Image;
  Table.save(Image);
  std::string Bytes = Image.SerializeAsString();
  Csv.row("pins", "control", double(Held), "s to write the image",
          steadySeconds() - Start);
  Csv.row("pins", "control", double(Held), "MB of image",
          double(Bytes.size()) / 1e6);
  Start = steadySeconds();
  wire::state_image Read;
  BOOST_REQUIRE(Read.ParseFromString(Bytes));
  pin_table Back;
  Back.load(Read);
  Csv.row("pins", "control", double(Held), "s to read the image",
          steadySeconds() - Start);
  BOOST_TEST(Back.size() == Held);
}

// Requests and streams: processor time and memory of entry and sidecar, added
// latency.
BOOST_AUTO_TEST_CASE(requests) {
  csv_file Csv;
  world World;
  World.startDefaultSystem(3);
  std::string Entry = World.Entries["entry-1"]->Address.text();
  std::string Engine = World.Sidecars["a"]->Engine->address();
  auto Latency = [&](const std::string &Address) {
    std::vector<double> Times;
    for (int I = 0; I < 600; ++I) {
      double Start = steadySeconds();
      client_response Answer = World.call(
          Address, {.Body = chatBody("plan", "tokens=1 first=0 gap=0")});
      BOOST_REQUIRE(Answer.Status == 200);
      Times.push_back(1000 * (steadySeconds() - Start));
    }
    std::sort(Times.begin(), Times.end());
    return Times;
  };
  std::vector<double> Direct = Latency(Engine);
  std::vector<double> Through = Latency(Entry);
  Csv.row("requests", "engine direct", 600, "median ms", Direct[300]);
  Csv.row("requests", "engine direct", 600, "p99 ms", Direct[594]);
  Csv.row("requests", "entry and sidecar", 600, "median ms", Through[300]);
  Csv.row("requests", "entry and sidecar", 600, "p99 ms", Through[594]);

  auto Burst = [&](int Count) {
    std::vector<std::shared_ptr<client_response>> Answers;
    int Sent = 0;
    int Finished = 0;
    while (Finished < Count) {
      while (Answers.size() < 32 && Sent < Count) {
        Answers.push_back(World.begin(
            Entry, {.Body = chatBody("plan", "tokens=1 first=0 gap=0")}));
        ++Sent;
      }
      ev_run(World.Loop, EVRUN_ONCE);
      std::erase_if(Answers, [&](const auto &Answer) {
        Finished += Answer->Done ? 1 : 0;
        return Answer->Done;
      });
    }
  };
  daemon_process &EntryProcess = *World.Entries["entry-1"]->Process;
  daemon_process &SidecarProcess = *World.Sidecars["a"]->Process;
  Burst(2000);
  control_node &Leader = World.leader();
  for (int Count : {5000, 20000, 100000}) {
    resource_use EntryBefore = resourceUseOf(EntryProcess);
    resource_use SidecarBefore = resourceUseOf(SidecarProcess);
    resource_use OtherBefore = resourceUseOf(*World.Sidecars["b"]->Process);
    resource_use LeaderBefore = resourceUseOf(*Leader.Process);
    double Start = steadySeconds();
    Burst(Count);
    double Took = steadySeconds() - Start;
    resource_use EntryAfter = resourceUseOf(EntryProcess);
    double Sidecars = resourceUseOf(SidecarProcess).CpuSeconds -
                      SidecarBefore.CpuSeconds +
                      resourceUseOf(*World.Sidecars["b"]->Process).CpuSeconds -
                      OtherBefore.CpuSeconds;
    double Cpu = EntryAfter.CpuSeconds - EntryBefore.CpuSeconds;
    Csv.row("requests", "entry", Count, "cpu us each", 1e6 * Cpu / Count);
    Csv.row("requests", "entry", Count, "requests/s per core", Count / Cpu);
    Csv.row("requests", "entry", Count, "requests/s reached", Count / Took);
    Csv.row("requests", "sidecar", Count, "cpu us each",
            1e6 * Sidecars / Count);
    // For bills from entry and sidecar, ratings, and response counts.
    Csv.row("requests", "control leader", Count, "cpu us each",
            1e6 *
                (resourceUseOf(*Leader.Process).CpuSeconds -
                 LeaderBefore.CpuSeconds) /
                Count);
    Csv.row("requests", "entry", Count, "resident MB", EntryAfter.ResidentMb);
    Csv.row("requests", "sidecar", Count, "resident MB",
            resourceUseOf(SidecarProcess).ResidentMb);
  }
  // Open streams: memory of entry and sidecar, processor time per token.
  json Config = World.defaultConfig();
  for (const char *Name : {"a", "b"})
    Config["upstreams"][Name]["slots"] = 1000;
  World.apply(Config);
  for (int Streams : {0, 250, 1000}) {
    std::vector<std::shared_ptr<client_response>> Answers;
    for (int I = 0; I < Streams; ++I)
      Answers.push_back(World.begin(
          Entry, {.Body = chatBody("plan", "tokens=100000 gap=50", true),
                  .Seconds = 10}));
    World.run(3);
    resource_use EntryBefore = resourceUseOf(EntryProcess);
    // All streams have the same prompt, so one sidecar may get all of them.
    // Therefore both sidecars are measured.
    daemon_process &Second = *World.Sidecars["b"]->Process;
    double SidecarsBefore = resourceUseOf(SidecarProcess).CpuSeconds +
                            resourceUseOf(Second).CpuSeconds;
    double Frames = counter(World, World.Entries["entry-1"]->Health,
                            "link_received_messages", "frame");
    World.run(4);
    Frames = counter(World, World.Entries["entry-1"]->Health,
                     "link_received_messages", "frame") -
             Frames;
    resource_use EntryNow = resourceUseOf(EntryProcess);
    double SidecarsNow = resourceUseOf(SidecarProcess).CpuSeconds +
                         resourceUseOf(Second).CpuSeconds;
    Csv.row("streams", "entry", Streams, "resident MB", EntryNow.ResidentMb);
    Csv.row("streams", "sidecar", Streams, "resident MB",
            std::max(resourceUseOf(SidecarProcess).ResidentMb,
                     resourceUseOf(Second).ResidentMb));
    if (Frames > 0) {
      Csv.row("streams", "entry", Streams, "cpu us a token",
              1e6 * (EntryNow.CpuSeconds - EntryBefore.CpuSeconds) / Frames);
      Csv.row("streams", "sidecar", Streams, "cpu us a token",
              1e6 * (SidecarsNow - SidecarsBefore) / Frames);
      Csv.row("streams", "all", Streams, "tokens/s", Frames / 4);
    }
    World.until(
        "streams end",
        [&] {
          return std::all_of(Answers.begin(), Answers.end(),
                             [](const auto &A) { return A->Done; });
        },
        20);
  }
}

// Time without a leader after the leader was killed.
BOOST_AUTO_TEST_CASE(leaders) {
  csv_file Csv;
  world World;
  World.startControl(3);
  std::vector<double> Times;
  constexpr int Kills = 15;
  for (int I = 0; I < Kills; ++I) {
    daemon_process &Old = *World.leader().Process;
    Old.kill();
    double Start = steadySeconds();
    World.leader();
    Times.push_back(steadySeconds() - Start);
    Old.start();
    World.untilAllAreVoters();
  }
  std::sort(Times.begin(), Times.end());
  Csv.row("leaders", "control", Kills, "median s", Times[Kills / 2]);
  Csv.row("leaders", "control", Kills, "worst s", Times.back());
}

// Restart time after many changes, with a single control VM so that all state
// is read from its own disk. The changes go to only 20 objects, as in
// operation, where the same objects are changed again and again.
BOOST_AUTO_TEST_CASE(restart) {
  csv_file Csv;
  world World;
  World.startControl(1);
  std::string Operators = World.Control[0]->Operators.text();
  daemon_process &Process = *World.Control[0]->Process;
  int Sent = 0;
  for (int Count : {1000, 10000, 100000}) {
    std::vector<std::shared_ptr<client_response>> Open;
    double Start = steadySeconds();
    int Before = Sent;
    while (Sent < Count || !Open.empty()) {
      while (Open.size() < 64 && Sent < Count) {
        ++Sent;
        json Change = {{"kind", "model"},
                       {"name", "m" + std::to_string(Sent % 20)},
                       {"document", {{"versions", {{"1", json::object()}}}}}};
        json Body = {{"change_id", "restart-" + std::to_string(Sent)},
                     {"changes", {Change}}};
        Open.push_back(World.begin(
            Operators,
            {.Path = "/v1/changes", .Body = Body.dump(), .Key = ""}));
      }
      ev_run(World.Loop, EVRUN_ONCE);
      std::erase_if(Open, [](const auto &Answer) {
        BOOST_REQUIRE((!Answer->Done || Answer->Status == 200));
        return Answer->Done;
      });
    }
    Csv.row("restart", "control", Count, "changes/s",
            (Count - Before) / (steadySeconds() - Start));
    uint64_t Index = World.statusOf(*World.Control[0])["config_index"];
    Process.kill();
    Start = steadySeconds();
    Process.start();
    World.leader();
    Csv.row("restart", "control", Count, "s to leading",
            steadySeconds() - Start);
    Csv.row("restart", "control", Count, "resident MB",
            resourceUseOf(Process).ResidentMb);
    BOOST_TEST(World.statusOf(*World.Control[0])["config_index"] == Index);
  }
}

// Claims: processor time of control per booking, and bookings per second.
BOOST_AUTO_TEST_CASE(claims) {
  csv_file Csv;
  world World;
  World.startDefaultSystem(3);
  control_node &Leader = World.leader();
  for (int Count : {500, 3000}) {
    resource_use Before = resourceUseOf(*Leader.Process);
    double Start = steadySeconds();
    std::vector<std::shared_ptr<client_response>> Answers;
    int Sent = 0;
    int Finished = 0;
    while (Finished < Count) {
      while (Answers.size() < 64 && Sent < Count) {
        std::string Key = std::to_string(Count) + "-" + std::to_string(Sent++);
        Answers.push_back(
            World.begin(World.Entries["entry-1"]->Address.text(),
                        {.Path = "/ledger/x",
                         .Body = "{}",
                         .Headers = {"Idempotency-Key: " + Key}}));
      }
      ev_run(World.Loop, EVRUN_ONCE);
      std::erase_if(Answers, [&](const auto &Answer) {
        Finished += Answer->Done ? 1 : 0;
        return Answer->Done;
      });
    }
    double Took = steadySeconds() - Start;
    resource_use After = resourceUseOf(*Leader.Process);
    Csv.row("claims", "control leader", Count, "cpu us each",
            1e6 * (After.CpuSeconds - Before.CpuSeconds) / Count);
    Csv.row("claims", "all", Count, "bookings/s", Count / Took);
  }
}
