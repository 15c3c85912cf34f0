//===- configuration_test.cpp - Changes in force everywhere, under faults -===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/world.h"
#include <algorithm>
#include <filesystem>
#include <sys/resource.h>

using namespace olivevalve;

namespace {

constexpr double InForceBound = 9.0;

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(operators_race_and_resend) {
  world World;
  World.startControl(3);
  World.leader();
  auto Change = [&](const std::string &Id, uint64_t Expected,
                    const std::string &Target) {
    return json{{"change_id", Id},
                {"changes",
                 {{{"kind", "model"},
                   {"name", "m"},
                   {"expected_index", Expected},
                   {"document", {{"versions", {{Target, json::object()}}}}}}}}};
  };
  json First = World.operators("POST", "/v1/changes", Change("one", 0, "1"));
  BOOST_REQUIRE(First["in_force"] == true);
  uint64_t Index = First["index"];

  BOOST_TEST_CONTEXT("of two changes of one index one wins") {
    json Win = World.operators("POST", "/v1/changes", Change("x", Index, "2"));
    json Lose = World.operators("POST", "/v1/changes", Change("y", Index, "3"));
    BOOST_TEST(Win["http_status"] == 200);
    BOOST_TEST(Lose["http_status"] == 409);
    BOOST_TEST(Lose["error"]["code"] == "conflict");
  }
  BOOST_TEST_CONTEXT("a resend gets the first answer, after a new leader too") {
    World.leader().Process->kill();
    World.leader();
    json Again = World.operators("POST", "/v1/changes", Change("one", 0, "1"));
    BOOST_TEST(Again["index"] == Index);
    BOOST_TEST(Again["repeated"] == true);
    json Lost = World.operators("POST", "/v1/changes", Change("y", Index, "3"));
    BOOST_TEST(Lost["http_status"] == 409);
  }
}

struct config_fault {
  const char *What;
  enum class where { LeaderHole, EntryCut, SidecarHole, LeaderKilled } Where;
};

BOOST_AUTO_TEST_CASE(is_in_force_everywhere_within_the_bound) {
  using where = config_fault::where;
  const config_fault Cases[] = {
      {"the leader cut off silently", where::LeaderHole},
      {"an entry cut off from control", where::EntryCut},
      {"a sidecar cut off silently", where::SidecarHole},
      {"the leader killed", where::LeaderKilled},
  };
  for (const config_fault &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      world World;
      World.startUsual();
      std::string Entry1 = World.Entries["entry-1"]->Address.text();
      control_node &Leader = World.leader();
      switch (Case.Where) {
      case where::LeaderHole:
        World.isolateControl(Leader, proxy_fault::Hole);
        break;
      case where::EntryCut:
        World.isolateNode("entry-1", proxy_fault::Cut);
        break;
      case where::SidecarHole:
        World.isolateNode("sidecar-a", proxy_fault::Hole);
        break;
      case where::LeaderKilled:
        Leader.Process->kill();
        break;
      }
      // Requests go on while version 1 is withdrawn; none that begins after
      // the change is in force may run on it.
      double Asked = steadySeconds();
      json Body = {{"change_id", "withdraw"},
                   {"changes",
                    {{{"kind", "model"},
                      {"name", "olive-llm"},
                      {"document", modelWith("withdrawn", "active")}}}}};
      json Answer;
      std::vector<std::string> Operators;
      for (auto &Node : World.Control)
        if (Case.Where != where::LeaderHole || Node.get() != &Leader)
          Operators.push_back(Node->Operators.text());
      World.until(
          "the change is accepted",
          [&] {
            for (const std::string &Address : Operators) {
              caller_answer Reply = World.call(Address, {.Path = "/v1/changes",
                                                         .Body = Body.dump(),
                                                         .Key = "",
                                                         .Seconds = 12});
              if (Reply.Status == 200)
                Answer = json::parse(Reply.Body);
            }
            return !Answer.is_null();
          },
          25);
      double Took = steadySeconds() - Asked;
      BOOST_TEST_MESSAGE(Case.What << ": in force after " << Took
                                   << " s, of which waiting for leases "
                                   << Answer["seconds"]);
      BOOST_TEST(Answer["in_force"] == true);
      BOOST_TEST(Answer["seconds"].get<double>() < InForceBound);
      auto Runs = [&](const std::string &Model) {
        uint64_t Sum = 0;
        for (const char *Name : {"a", "b"})
          Sum += World.engineCounts(*World.Sidecars[Name])["runs"].value(
              Model, uint64_t(0));
        return Sum;
      };
      uint64_t Before = Runs("olive-llm@1");
      for (int I = 0; I < 20; ++I)
        for (auto &[Name, Node] : World.Entries)
          World.call(Node->Address.text(), {.Body = chatBody("plan", "x")});
      BOOST_TEST(Runs("olive-llm@1") == Before);
      if (Case.Where == where::EntryCut) {
        caller_answer Refused =
            World.call(Entry1, {.Body = chatBody("plan", "x")});
        BOOST_TEST(Refused.outcome() == "not-run");
        World.isolateNode("entry-1", proxy_fault::None);
      }
      if (Case.Where != where::LeaderKilled)
        World.isolateControl(Leader, proxy_fault::None);
      World.isolateNode("sidecar-a", proxy_fault::None);
      caller_answer Served =
          World.ask(Entry1, {.Body = chatBody("plan", "x"), .Seconds = 15});
      BOOST_TEST(Served.Status == 200);
      BOOST_TEST(Served.version() == "2");
    }
  }
}

// A follower's loss is the harder one to wait for: the leader goes on, and its
// list of voters looks whole while the lost disk still stands in it.
BOOST_AUTO_TEST_CASE(survives_lost_disks_one_after_the_other) {
  world World;
  World.startUsual();
  enum class who { Follower, Leader };
  const who Rounds[] = {who::Follower, who::Follower, who::Leader};
  uint64_t Last = 0;
  int Round = 0;
  for (who Who : Rounds) {
    // The next one is lost right after the last repair.
    control_node &Leader = World.leader();
    auto Lost = std::find_if(
        World.Control.begin(), World.Control.end(), [&](const auto &Node) {
          bool Leads = Node.get() == &Leader;
          return Who == who::Leader ? Leads : !Leads && Node->Id != Last;
        });
    Last = (*Lost)->Id;
    (*Lost)->Process->kill();
    std::filesystem::remove_all((*Lost)->Folder);
    (*Lost)->Process->start();
    World.untilAllVote();
    json Put = World.putObject("model", "extra-" + std::to_string(Round++),
                               {{"versions", {{"1", json::object()}}}});
    BOOST_TEST(Put.value("in_force", false), Put.dump());
  }
  json Objects = World.operators("GET", "/v1/objects?kind=model");
  BOOST_TEST(Objects["objects"].size() == 4U);
}

// A disk that is full ends the VM's process with a clear word; what was
// accepted stays, the others go on, and with room again it takes part again.
BOOST_AUTO_TEST_CASE(a_full_disk_stops_one_vm_and_loses_nothing) {
  world World;
  World.startControl(3);
  uint64_t Objects = 0;
  auto Put = [&] {
    // The padding makes the log the largest file of the process.
    json Padded = {
        {"versions", {{"1", {{"engine_model", std::string(20000, 'x')}}}}}};
    json Answer =
        World.putObject("model", "m" + std::to_string(++Objects), Padded);
    BOOST_TEST(Answer.value("in_force", false), Answer.dump());
  };
  for (bool LeaderFull : {false, true}) {
    BOOST_TEST_CONTEXT((LeaderFull ? "the leader's" : "a follower's")) {
      for (int I = 0; I < 5; ++I)
        Put();
      control_node &Leader = World.leader();
      control_node &Full = LeaderFull || &Leader != World.Control[0].get()
                               ? (LeaderFull ? Leader : *World.Control[0])
                               : *World.Control[1];
      uint64_t Largest = 0;
      for (const auto &File : std::filesystem::directory_iterator(Full.Folder))
        if (File.is_regular_file())
          Largest = std::max<uint64_t>(Largest, File.file_size());
      rlimit Limit{Largest + 1000, Largest + 1000};
      BOOST_REQUIRE(
          prlimit(Full.Process->pid(), RLIMIT_FSIZE, &Limit, nullptr) == 0);
      Put();
      World.until("the process ends", [&] { return !Full.Process->running(); });
      BOOST_TEST(Full.Process->exitCode() == 3);
      BOOST_TEST(Full.Process->logText().find("storage failed") !=
                 std::string::npos);
      Put();
      Full.Process->start();
      World.untilAllVote();
    }
  }
  json Kept = World.operators("GET", "/v1/objects?kind=model");
  BOOST_TEST(Kept["objects"].size() == Objects);
}

// The operators' client leaves a control VM that stands still: within the time
// for one call it finds the new leader, and the change is in force once the
// leases of the old one are over.
BOOST_AUTO_TEST_CASE(is_changed_while_the_leader_stands_still) {
  world World;
  World.startUsual(3);
  control_node &Old = World.leader();
  Old.Process->signal(SIGSTOP);
  ctl_result Set = World.ctl(
      {"--timeout", "20", "set", "account", "dispatch", "quality_target=0.7"});
  BOOST_TEST(Set.ExitCode == 0, Set.Text);
  Old.Process->signal(SIGCONT);
}

BOOST_AUTO_TEST_SUITE_END()
