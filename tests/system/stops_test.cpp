//===- stops_test.cpp - Sessions and planned stops ------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/world.h"
#include <set>

using namespace olivevalve;

namespace {

/// A load balancer like that of the platform. It polls the readiness of each
/// entry and stops sending requests to an entry after two failed polls, until
/// the entry is ready again.
class balancer {
public:
  explicit balancer(world &World) : World(World) {}

  void poll() {
    if (steadySeconds() < NextPoll)
      return;
    NextPoll = steadySeconds() + 0.2;
    for (auto &[Name, Node] : World.Entries)
      Misses[Name] = World.ready(Node->Health) ? 0 : Misses[Name] + 1;
  }
  bool sendsTo(const std::string &Entry) { return Misses[Entry] < 2; }

private:
  world &World;
  std::map<std::string, int> Misses;
  double NextPoll = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(sessions_and_stops)

BOOST_AUTO_TEST_CASE(a_session_keeps_its_version) {
  world World;
  World.startDefaultSystem();
  auto SendRequest = [&](const std::string &Entry, int Session) {
    return World.ask(World.Entries[Entry]->Address.text(),
                     {.Body = chatBody("plan", "x"),
                      .Headers = {"X-Session: s" + std::to_string(Session)}});
  };
  constexpr int Sessions = 30;
  std::map<int, std::string> Pinned;
  for (int I = 0; I < Sessions; ++I)
    Pinned[I] = SendRequest("entry-1", I).version();
  std::set<std::string> Used;
  for (const auto &[Session, Version] : Pinned)
    Used.insert(Version);
  BOOST_TEST(Used.size() == 2U);
  BOOST_TEST_CONTEXT(
      "the version stays at the other entry, after new weights") {
    json Weights = {{"candidates", {"olive-llm@1", "olive-llm@2"}},
                    {"policy", {{"kind", "split"}, {"weights", {0, 1}}}}};
    World.putObject("template", "plan", Weights);
    for (int I = 0; I < Sessions; ++I)
      BOOST_TEST(SendRequest("entry-2", I).version() == Pinned[I]);
  }
  BOOST_TEST_CONTEXT(
      "the version stays after the loss of the entry and the leader") {
    World.Entries["entry-1"]->Process->kill();
    World.leader().Process->kill();
    World.Entries["entry-1"]->Process->start();
    World.until("the entry is ready",
                [&] { return World.ready(World.Entries["entry-1"]->Health); });
    for (int I = 0; I < Sessions; ++I)
      BOOST_TEST(SendRequest("entry-1", I).version() == Pinned[I]);
  }
  BOOST_TEST_CONTEXT("the version changes when it is withdrawn") {
    World.putObject("model", "olive-llm",
                    modelWithVersionStates("withdrawn", "active"));
    for (int I = 0; I < Sessions; ++I)
      BOOST_TEST(SendRequest("entry-2", I).version() == "2");
  }
}

// Guards against aborting requests in a rolling restart: streams are in flight
// through every process while each one is stopped and started again.
BOOST_AUTO_TEST_CASE(a_rolling_restart_aborts_no_request) {
  world World;
  World.ExtraSettings = {{"unready_seconds", 1}};
  World.startDefaultSystem();
  balancer Balancer(World);
  struct tally {
    int Complete = 0;
    int Aborted = 0;
    int Refused = 0;
  } Tally;
  std::vector<std::shared_ptr<client_response>> Open;
  auto Collect = [&] {
    std::erase_if(Open, [&](const auto &Answer) {
      if (!Answer->Done)
        return false;
      bool Complete = Answer->Status == 200 && Answer->Error.empty() &&
                      Answer->Body.ends_with("data: [DONE]\n\n");
      if (Complete)
        ++Tally.Complete;
      else if (Answer->Status == 503 && Answer->outcome() == "not-run")
        BOOST_TEST(++Tally.Refused == 0, Answer->Body);
      else
        ++Tally.Aborted;
      return true;
    });
  };
  auto Send = [&] {
    Balancer.poll();
    for (auto &[Name, Node] : World.Entries)
      if (Balancer.sendsTo(Name) && Open.size() < 200)
        Open.push_back(
            World.begin(Node->Address.text(),
                        {.Body = chatBody("plan", "tokens=60 gap=4", true)}));
  };
  double Until = 0;
  auto Load = [&](const std::function<bool()> &Over) {
    Until = steadySeconds() + 30;
    while (!Over()) {
      BOOST_REQUIRE(steadySeconds() < Until);
      Send();
      World.run(0.02);
      Collect();
    }
  };
  auto LoadFor = [&](double Seconds) {
    double End = steadySeconds() + Seconds;
    Load([&] { return steadySeconds() >= End; });
  };
  auto Restart = [&](daemon_process &Process, const reserved_address *Health) {
    Process.signal(SIGTERM);
    Load([&] { return !Process.running(); });
    BOOST_TEST(Process.exitCode() == 0);
    Process.start();
    if (Health)
      Load([&] { return World.ready(*Health); });
    LoadFor(1.0);
  };
  LoadFor(0.5);
  for (auto &[Name, Node] : World.Entries)
    Restart(*Node->Process, &Node->Health);
  for (auto &[Name, Node] : World.Sidecars)
    Restart(*Node->Process, &Node->Health);
  for (auto &Node : World.Control)
    Restart(*Node->Process, nullptr);
  LoadFor(0.5);
  World.until("all requests are answered", [&] {
    Collect();
    return Open.empty();
  });
  BOOST_TEST_MESSAGE("complete " << Tally.Complete << ", aborted "
                                 << Tally.Aborted << ", refused "
                                 << Tally.Refused);
  BOOST_TEST(Tally.Complete > 500);
  BOOST_TEST(Tally.Aborted == 0);
  BOOST_TEST(Tally.Refused == 0);
}

// Guards against losing requests when an operator drains an entry and puts it
// back into service. The operator sees when no more requests run on it, and a
// request that still arrives is served. Also drains an upstream.
BOOST_AUTO_TEST_CASE(an_operator_drains_an_entry_and_an_upstream) {
  world World;
  World.startDefaultSystem(1);
  entry_node &Entry = *World.Entries["entry-1"];
  auto Running = World.begin(Entry.Address.text(),
                             {.Body = chatBody("plan", "tokens=40 gap=20")});
  BOOST_TEST(World.ctl({"drain", "entry-1"}).ExitCode == 0);
  BOOST_TEST(!World.ready(Entry.Health));
  BOOST_TEST(World.ready(World.Entries["entry-2"]->Health));
  client_response Late =
      World.call(Entry.Address.text(), {.Body = chatBody("plan", "x")});
  BOOST_TEST(Late.Status == 200);
  auto Listed = [&](const std::string &Name) {
    json Nodes = json::parse(World.ctl({"nodes", "-o", "json"}).Text);
    for (const json &Node : Nodes["nodes"])
      if (Node["node"] == Name)
        return Node;
    return json();
  };
  World.until("no more requests run at the entry", [&] {
    return Running->Done && Listed("entry-1")["open_requests"] == 0;
  });
  BOOST_TEST(Running->Status == 200);
  BOOST_TEST(Listed("entry-1")["draining"] == true);
  BOOST_TEST(World.ctl({"undrain", "entry-1"}).ExitCode == 0);
  World.untilReady(Entry.Health);

  BOOST_TEST(World.ctl({"drain", "a"}).ExitCode == 0);
  uint64_t Before = World.engineCounts(*World.Sidecars["a"])["started"];
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(World.call(Entry.Address.text(), {.Body = chatBody("plan", "x")})
                   .upstream() == "b");
  BOOST_TEST(World.engineCounts(*World.Sidecars["a"])["started"] == Before);

  ctl_result Wrong = World.ctl({"drain", "nobody"});
  BOOST_TEST(Wrong.ExitCode == 1);
  BOOST_TEST(Wrong.Text.find("nobody: neither an upstream nor an entry") !=
                 std::string::npos,
             Wrong.Text);
}

BOOST_AUTO_TEST_SUITE_END()
