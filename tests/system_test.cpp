//===- system_test.cpp - The promises, with real processes ----------------===//
//
// Each promise under the faults that threaten it. The table of promises is
// docs/PROMISES.md.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE system
#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "net/link.h"
#include "tests/world.h"
#include <arpa/inet.h>
#include <array>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

using namespace olivevalve;

namespace {

constexpr double InForceBound = 9.0;

json modelWith(const std::string &State1, const std::string &State2) {
  return {
      {"versions",
       {{"1", {{"state", State1}, {"input_price", 1}, {"output_price", 2}}},
        {"2", {{"state", State2}, {"input_price", 1}, {"output_price", 2}}}}}};
}

uint64_t runsOf(const json &Counts, const std::string &Key) {
  return Counts["runs"].value("service " + Key, uint64_t(0));
}

void sendRaw(const std::string &Address, const std::string &Bytes) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Where.sin_port =
      htons(uint16_t(std::stoi(Address.substr(Address.rfind(':') + 1))));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) == 0)
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  close(Socket);
}

caller_request booking(const std::string &Key, int Milliseconds = 0) {
  return {.Path = "/ledger/assignments",
          .Body = "{\"note\":\"first=" + std::to_string(Milliseconds) + "\"}",
          .Headers = {"Idempotency-Key: " + Key}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_whole_path)

BOOST_AUTO_TEST_CASE(answers_plain_streamed_and_service_requests) {
  world World;
  World.startUsual(1);
  std::string Entry = World.Entries["entry-1"]->Address.text();

  BOOST_TEST_CONTEXT("a plain answer says what ran") {
    caller_answer Answer =
        World.call(Entry, {.Body = chatBody("plan", "tokens=3")});
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(!Answer.version().empty());
    BOOST_TEST(!Answer.upstream().empty());
    BOOST_TEST(json::parse(Answer.Body)["usage"]["completion_tokens"] == 3);
  }
  BOOST_TEST_CONTEXT("a stream ends as the engine ended it") {
    caller_answer Answer =
        World.call(Entry, {.Body = chatBody("plan", "tokens=40", true)});
    BOOST_TEST(Answer.Status == 200);
    BOOST_TEST(Answer.Error == "");
    BOOST_TEST(Answer.Body.ends_with("data: [DONE]\n\n"));
  }
  BOOST_TEST_CONTEXT("a stream that breaks off ends in an error") {
    caller_answer Answer =
        World.call(Entry, {.Body = chatBody("plan", "tokens=40 cut=10", true)});
    BOOST_TEST(Answer.Error != "");
  }
  BOOST_TEST_CONTEXT("a caller that leaves ends the work at the engine") {
    auto Cancelled = [&] {
      return World.engineCounts(*World.Sidecars["a"])["cancelled"]
                 .get<uint64_t>() +
             World.engineCounts(*World.Sidecars["b"])["cancelled"]
                 .get<uint64_t>();
    };
    uint64_t Before = Cancelled();
    caller_answer Left = World.call(
        Entry, {.Body = chatBody("plan", "tokens=100000 gap=5", true),
                .Seconds = 0.3});
    BOOST_TEST(Left.Error != "");
    World.until("the engine stops", [&] { return Cancelled() > Before; });
  }
  struct refusal_case {
    const char *What;
    caller_request Request;
    int Status;
    const char *Code;
  };
  std::string Good = chatBody("plan", "x");
  std::string Deep(200, '[');
  const refusal_case Cases[] = {
      {"a wrong key", {.Body = Good, .Key = "x"}, 401, "invalid_api_key"},
      {"no key", {.Body = Good, .Key = ""}, 401, "invalid_api_key"},
      {"broken JSON", {.Body = "{\"model\":"}, 400, "bad_request"},
      {"deep JSON", {.Body = Deep}, 400, "bad_request"},
      {"no messages", {.Body = "{\"model\":\"plan\"}"}, 400, "bad_request"},
      {"an unknown model", {.Body = chatBody("nope", "x")}, 404, "not_found"},
      {"an unknown path", {.Path = "/nope", .Body = Good}, 404, "not_found"},
      {"a body too large",
       {.Body = std::string(9 << 20, 'x')},
       413,
       "body_too_large"},
      {"a deadline that is none",
       {.Body = Good, .Headers = {"X-Deadline-Ms: soon"}},
       400,
       "bad_request"},
      {"a key that is no text",
       {.Path = "/ledger/book",
        .Body = "{}",
        .Headers = {"Idempotency-Key: \xff\xfe"}},
       400,
       "bad_request"},
      {"a booking without a key",
       {.Path = "/ledger/book", .Body = "{}"},
       400,
       "idempotency_key_required"},
  };
  for (const refusal_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      caller_answer Answer = World.call(Entry, Case.Request);
      BOOST_TEST(Answer.Status == Case.Status);
      BOOST_TEST(Answer.outcome() == "not-run");
      json Body = json::parse(Answer.Body, nullptr, false);
      BOOST_REQUIRE(Body.is_object());
      BOOST_TEST(Body["error"]["code"] == Case.Code);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_that_may_run_once)

struct once_fault {
  const char *What;
  enum class at {
    None,
    EntryKilled,
    SidecarKilled,
    LeaderKilled,
    CutToSidecar,
    CallerGone,
    Engine
  } At;
};

// In each case a caller books, something dies while the booking runs, and the
// caller asks again with the same key at the other entry.
BOOST_AUTO_TEST_CASE(run_once_whatever_dies) {
  using at = once_fault::at;
  const once_fault Cases[] = {
      {"nothing", at::None},
      {"the entry is killed while it runs", at::EntryKilled},
      {"the sidecar is killed while it runs", at::SidecarKilled},
      {"the leader is killed while it runs", at::LeaderKilled},
      {"the path to the sidecar is cut while it runs", at::CutToSidecar},
      {"the caller leaves while it runs", at::CallerGone},
  };
  world World;
  World.startUsual();
  int Number = 0;
  for (const once_fault &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      std::string Key = "booking-" + std::to_string(++Number);
      sidecar_node &Sidecar = *World.Sidecars["led"];
      caller_request Request = booking(Key, 700);
      if (Case.At == at::CallerGone)
        Request.Seconds = 0.4;
      auto First =
          World.begin(World.Entries["entry-1"]->Address.text(), Request);
      World.until("the booking runs", [&] {
        return runsOf(World.engineCounts(Sidecar), Key) == 1;
      });
      if (Case.At == at::EntryKilled)
        World.Entries["entry-1"]->Process->kill();
      if (Case.At == at::SidecarKilled)
        Sidecar.Process->kill();
      if (Case.At == at::LeaderKilled)
        World.leader().Process->kill();
      if (Case.At == at::CutToSidecar)
        Sidecar.Path->set(proxy_fault::Cut);
      if (Case.At == at::SidecarKilled)
        Sidecar.Process->start();
      World.run(0.3);
      Sidecar.Path->set(proxy_fault::None);
      caller_answer Again;
      World.until(
          "the caller learns the outcome",
          [&] {
            Again = World.call(World.Entries["entry-2"]->Address.text(),
                               booking(Key, 700));
            return Again.Status == 200 || Again.Status == 502;
          },
          25);
      BOOST_TEST(runsOf(World.engineCounts(Sidecar), Key) == 1U);
      if (Case.At == at::SidecarKilled)
        BOOST_TEST(Again.outcome() == "unknown");
      else
        BOOST_TEST(Again.Status == 200);
      World.until("the first caller has an answer",
                  [&] { return First->Done; });
      // "not run" must never be said of a request that ran.
      BOOST_TEST(First->outcome() != "not-run");
      for (auto &[Name, Node] : World.Entries)
        if (!Node->Process->running())
          Node->Process->start();
      for (auto &Node : World.Control)
        if (!Node->Process->running())
          Node->Process->start();
      for (auto &[Name, Node] : World.Entries)
        World.untilReady(Node->Health);
      World.untilAllVote();
      World.until("the sidecar serves", [&] {
        return World
                   .call(World.Entries["entry-1"]->Address.text(),
                         {.Method = "GET", .Path = "/ledger/x"})
                   .Status == 200;
      });
    }
  }
  BOOST_TEST_CONTEXT("a key used for another request is refused") {
    caller_answer Other = World.call(World.Entries["entry-2"]->Address.text(),
                                     booking("booking-1", 1));
    BOOST_TEST(Other.Status == 422);
    BOOST_TEST(Other.outcome() == "not-run");
  }
}

BOOST_AUTO_TEST_CASE(that_never_started_can_be_sent_again) {
  world World;
  World.startUsual();
  sidecar_node &Sidecar = *World.Sidecars["led"];
  // The attempt falls into a hole on the way; the truth is found out when the
  // path is back, and the key is free again.
  Sidecar.Path->set(proxy_fault::HoleToServer);
  caller_request Request = booking("lost", 0);
  Request.Headers.push_back("X-Deadline-Ms: 9000");
  auto First = World.begin(World.Entries["entry-1"]->Address.text(), Request);
  World.run(1);
  Sidecar.Path->set(proxy_fault::Cut);
  Sidecar.Path->set(proxy_fault::None);
  World.until("an answer", [&] { return First->Done; });
  uint64_t Runs = runsOf(World.engineCounts(Sidecar), "lost");
  BOOST_TEST(Runs <= 1U);
  if (First->Status == 200)
    BOOST_TEST(Runs == 1U);
  if (First->outcome() == "not-run")
    BOOST_TEST(Runs == 0U);
  caller_answer Again;
  World.until("the caller gets its booking", [&] {
    Again = World.call(World.Entries["entry-2"]->Address.text(),
                       booking("lost", 0));
    return Again.Status == 200;
  });
  BOOST_TEST(runsOf(World.engineCounts(Sidecar), "lost") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bills)

BOOST_AUTO_TEST_CASE(add_up_to_what_answered_callers_got) {
  world World;
  World.startUsual();
  std::map<std::string, std::pair<uint64_t, uint64_t>> Got; // by version
  auto Note = [&](const caller_answer &Answer) {
    if (Answer.Status != 200 || !Answer.Error.empty())
      return;
    auto &Line = Got[Answer.version()];
    ++Line.first;
    Line.second +=
        json::parse(Answer.Body)["usage"]["completion_tokens"].get<uint64_t>();
  };
  auto Send = [&](int Count) {
    std::vector<std::shared_ptr<caller_answer>> Answers;
    for (int I = 0; I < Count; ++I)
      for (auto &[Name, Node] : World.Entries)
        if (Node->Process->running())
          Answers.push_back(World.begin(
              Node->Address.text(),
              {.Body = chatBody("plan", "tokens=" + std::to_string(2 + I))}));
    World.until("all answers", [&] {
      return std::all_of(Answers.begin(), Answers.end(),
                         [](const auto &A) { return A->Done; });
    });
    for (const auto &Answer : Answers)
      Note(*Answer);
  };
  auto Billed = [&] {
    std::map<std::string, std::pair<uint64_t, uint64_t>> Sums;
    json Bills = World.operators("GET", "/v1/bills");
    for (const json &Bill : Bills["bills"])
      if (Bill["model"] == "olive-llm")
        Sums[Bill["version"]] = {Bill["requests"], Bill["output_tokens"]};
    return Sums;
  };
  // The two warm-up requests have been billed too.
  World.until("the warm-up is billed", [&] {
    uint64_t Sum = 0;
    for (const auto &[Version, Line] : Billed())
      Sum += Line.first;
    return Sum == 2;
  });
  Got = Billed();
  Send(20);
  // The leader dies with bills on their way, then an entry right after its
  // callers were answered: the sidecars' copies stand in.
  World.leader().Process->kill();
  Send(20);
  World.Entries["entry-1"]->Process->kill();
  auto Show = [&] {
    std::string Text;
    for (const auto &[Version, Line] : Billed())
      Text += " version " + Version + ": billed " + std::to_string(Line.first) +
              " requests, " + std::to_string(Line.second) +
              " tokens; answered " + std::to_string(Got[Version].first) + ", " +
              std::to_string(Got[Version].second);
    BOOST_TEST_MESSAGE(Text);
  };
  double ShowAt = steadySeconds() + 20;
  World.until("all is billed", [&] {
    if (steadySeconds() > ShowAt)
      Show();
    return Billed() == Got;
  });
  Send(10);
  World.until("all is billed again", [&] { return Billed() == Got; });
  // And it stays so, whatever copies come late.
  World.run(5);
  BOOST_TEST((Billed() == Got));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sessions_and_stops)

BOOST_AUTO_TEST_CASE(a_session_keeps_its_version) {
  world World;
  World.startUsual();
  auto Ask = [&](const std::string &Entry, int Session) {
    return World.ask(World.Entries[Entry]->Address.text(),
                     {.Body = chatBody("plan", "x"),
                      .Headers = {"X-Session: s" + std::to_string(Session)}});
  };
  constexpr int Sessions = 30;
  std::map<int, std::string> Pinned;
  for (int I = 0; I < Sessions; ++I)
    Pinned[I] = Ask("entry-1", I).version();
  std::set<std::string> Used;
  for (const auto &[Session, Version] : Pinned)
    Used.insert(Version);
  BOOST_TEST(Used.size() == 2U);
  BOOST_TEST_CONTEXT("at the other entry, after new weights") {
    json Weights = {{"candidates", {"olive-llm@1", "olive-llm@2"}},
                    {"policy", {{"kind", "split"}, {"weights", {0, 1}}}}};
    World.putObject("template", "plan", Weights);
    for (int I = 0; I < Sessions; ++I)
      BOOST_TEST(Ask("entry-2", I).version() == Pinned[I]);
  }
  BOOST_TEST_CONTEXT("after its entry died and a new leader came") {
    World.Entries["entry-1"]->Process->kill();
    World.leader().Process->kill();
    World.Entries["entry-1"]->Process->start();
    World.until("ready",
                [&] { return World.ready(World.Entries["entry-1"]->Health); });
    for (int I = 0; I < Sessions; ++I)
      BOOST_TEST(Ask("entry-1", I).version() == Pinned[I]);
  }
  BOOST_TEST_CONTEXT("but not when its version is withdrawn") {
    World.putObject("model", "olive-llm", modelWith("withdrawn", "active"));
    for (int I = 0; I < Sessions; ++I)
      BOOST_TEST(Ask("entry-2", I).version() == "2");
  }
}

// Streams run through every process while each is stopped and started anew.
BOOST_AUTO_TEST_CASE(a_rolling_restart_cuts_no_request) {
  world World;
  World.startUsual();
  struct tally {
    int Whole = 0;
    int Cut = 0;
    int Refused = 0;
  } Tally;
  std::vector<std::shared_ptr<caller_answer>> Open;
  std::set<std::string> Stopped;
  auto Collect = [&] {
    std::erase_if(Open, [&](const auto &Answer) {
      if (!Answer->Done)
        return false;
      bool Whole = Answer->Status == 200 && Answer->Error.empty() &&
                   Answer->Body.ends_with("data: [DONE]\n\n");
      if (Whole)
        ++Tally.Whole;
      else if (Answer->Status == 503 && Answer->outcome() == "not-run")
        ++Tally.Refused;
      else
        ++Tally.Cut;
      return true;
    });
  };
  // The platform's balancer sends nothing to an entry that is not ready.
  auto Send = [&] {
    for (auto &[Name, Node] : World.Entries)
      if (!Stopped.contains(Name) && Open.size() < 200)
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
  auto Restart = [&](const std::string &Name, daemon_process &Process,
                     const reserved_address *Health) {
    Stopped.insert(Name);
    LoadFor(0.2);
    Process.signal(SIGTERM);
    Load([&] { return !Process.running(); });
    BOOST_TEST(Process.exitCode() == 0);
    Process.start();
    if (Health)
      Load([&] { return World.ready(*Health); });
    LoadFor(1.0);
    Stopped.erase(Name);
  };
  LoadFor(0.5);
  for (auto &[Name, Node] : World.Entries)
    Restart(Name, *Node->Process, &Node->Health);
  for (auto &[Name, Node] : World.Sidecars)
    Restart(Name, *Node->Process, &Node->Health);
  for (auto &Node : World.Control)
    Restart("control", *Node->Process, nullptr);
  LoadFor(0.5);
  World.until("all answers", [&] {
    Collect();
    return Open.empty();
  });
  BOOST_TEST_MESSAGE("whole " << Tally.Whole << ", cut " << Tally.Cut
                              << ", refused " << Tally.Refused);
  BOOST_TEST(Tally.Whole > 500);
  BOOST_TEST(Tally.Cut == 0);
  BOOST_TEST(Tally.Refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(versions_and_overload)

// A version that rolls out and is bad is stopped without an operator, and
// sessions and traffic go back to the last good one.
BOOST_AUTO_TEST_CASE(a_bad_roll_out_is_stopped_by_the_guard) {
  world World;
  World.startUsual();
  std::string Entry = World.Entries["entry-1"]->Address.text();
  for (const char *Name : {"a", "b"})
    World.steerEngine(*World.Sidecars[Name]->Engine,
                      {{"qualities", {{"olive-llm@2", 0.3}}}});
  json Template = {{"candidates", {"olive-llm"}},
                   {"policy", {{"kind", "cheapest"}}}};
  World.putObject("template", "plan", Template);
  json Model = modelWith("active", "rolling");
  Model["versions"]["2"]["exposure_budget"] = 25;
  World.putObject("model", "olive-llm", Model);
  auto State = [&] {
    json Versions = World.operators("GET", "/v1/versions");
    for (const json &Version : Versions["versions"])
      if (Version["version"] == "2")
        return Version;
    return json();
  };
  int OnBad = 0;
  int Sent = 0;
  World.until(
      "the guard stops the version",
      [&] {
        for (int I = 0; I < 10; ++I) {
          caller_answer Answer = World.call(
              Entry, {.Body = chatBody("plan", "n" + std::to_string(Sent++))});
          BOOST_TEST(Answer.Status == 200);
          OnBad += Answer.version() == "2" ? 1 : 0;
        }
        return State()["state"] == "stopped";
      },
      40);
  BOOST_TEST_MESSAGE("answers by the bad version: " << OnBad << " of " << Sent);
  // Its budget, and what ratings earned before they told against it.
  BOOST_TEST(OnBad <= 60);
  caller_answer After = World.call(Entry, {.Body = chatBody("plan", "x")});
  BOOST_TEST(After.version() == "1");
}

// A burst far above capacity: goodput during it, and after it all is as before.
BOOST_AUTO_TEST_CASE(an_overload_does_not_stick) {
  world World;
  World.startUsual(1);
  json Config = World.usualConfig();
  for (const char *Name : {"a", "b"})
    Config["upstreams"][Name]["slots"] = 4;
  World.apply(Config);
  std::string Entry = World.Entries["entry-1"]->Address.text();
  struct goodput {
    int Good = 0;
    int NotRun = 0;
    int Other = 0;
  };
  auto Drive = [&](int Count, size_t AtOnce) {
    goodput Result;
    std::vector<std::shared_ptr<caller_answer>> Open;
    int Sent = 0;
    while (Result.Good + Result.NotRun + Result.Other < Count) {
      while (Sent < Count && Open.size() < AtOnce) {
        Open.push_back(
            World.begin(Entry, {.Body = chatBody("plan", "first=20 tokens=2"),
                                .Headers = {"X-Deadline-Ms: 800"}}));
        ++Sent;
      }
      World.run(0.01);
      std::erase_if(Open, [&](const auto &Answer) {
        if (!Answer->Done)
          return false;
        if (Answer->Status == 200)
          ++Result.Good;
        else if (Answer->outcome() == "not-run")
          ++Result.NotRun;
        else
          ++Result.Other;
        return true;
      });
    }
    return Result;
  };
  auto Started = [&] {
    uint64_t Sum = 0;
    for (const char *Name : {"a", "b"})
      Sum +=
          World.engineCounts(*World.Sidecars[Name])["started"].get<uint64_t>();
    return Sum;
  };
  goodput Before = Drive(60, 4);
  uint64_t StartedBefore = Started();
  goodput During = Drive(1500, 900);
  uint64_t Ran = Started() - StartedBefore;
  goodput After = Drive(60, 4);
  BOOST_TEST_MESSAGE("good before "
                     << Before.Good << "/60, during " << During.Good
                     << "/1500 (not run " << During.NotRun << ", other "
                     << During.Other << ", started at engines " << Ran
                     << "), after " << After.Good << "/60");
  BOOST_TEST(Before.Good == 60);
  BOOST_TEST(During.Good > 100);
  BOOST_TEST(After.Good == 60);
  // Every "not run" is held against what the engines started.
  BOOST_TEST(Ran <= uint64_t(During.Good + During.Other));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(strangers)

BOOST_AUTO_TEST_CASE(are_kept_out_and_do_no_harm) {
  world World;
  std::array<char, 41> Public{};
  std::array<char, 41> Secret{};
  BOOST_REQUIRE(zmq_curve_keypair(Public.data(), Secret.data()) == 0);
  std::string Prefix = World.Folder.path() + "/system";
  std::ofstream(Prefix + ".public") << Public.data() << "\n";
  std::ofstream(Prefix + ".secret") << Secret.data() << "\n";
  World.ExtraSettings = {{"keys",
                          {{"public_file", Prefix + ".public"},
                           {"secret_file", Prefix + ".secret"}}}};
  World.startUsual(3);
  sidecar_node &Sidecar = *World.Sidecars["a"];
  uint64_t Before = World.engineCounts(Sidecar)["started"];

  std::array<char, 41> OtherPublic{};
  std::array<char, 41> OtherSecret{};
  zmq_curve_keypair(OtherPublic.data(), OtherSecret.data());
  struct stranger {
    const char *What;
    link_keys Keys;
  };
  const stranger Strangers[] = {
      {"without a key", {}},
      {"with a key of its own", {OtherPublic.data(), OtherSecret.data()}},
  };
  for (const stranger &Stranger : Strangers) {
    BOOST_TEST_CONTEXT(Stranger.What) {
      link_context Context(Stranger.Keys);
      int Heard = 0;
      client_link Link(Context, World.Loop, "stranger",
                       [&](const wire::envelope &) { ++Heard; });
      Link.connect(Sidecar.Address.text());
      wire::envelope Hello;
      Hello.mutable_hello();
      for (int I = 0; I < 20; ++I) {
        Link.send(Hello);
        World.run(0.05);
      }
      BOOST_TEST(Heard == 0);
    }
  }
  // Random bytes on every port, while valid traffic keeps its answers.
  std::mt19937_64 Random(7);
  std::vector<std::string> Ports = {Sidecar.Address.text(),
                                    World.Control[0]->Address.text(),
                                    World.Control[0]->Operators.text(),
                                    World.Entries["entry-1"]->Address.text()};
  for (int I = 0; I < 60; ++I) {
    std::string Bytes(200, 0);
    for (char &C : Bytes)
      C = char(Random());
    sendRaw(Ports[size_t(I) % Ports.size()], Bytes);
    caller_answer Answer = World.call(World.Entries["entry-1"]->Address.text(),
                                      {.Body = chatBody("plan", "x")});
    BOOST_TEST(Answer.Status == 200);
  }
  BOOST_TEST(World.engineCounts(Sidecar)["started"].get<uint64_t>() <=
             Before + 60);
  for (auto &[Name, Node] : World.Entries)
    BOOST_TEST(Node->Process->running());
  for (auto &[Name, Node] : World.Sidecars)
    BOOST_TEST(Node->Process->running());
  for (auto &Node : World.Control) {
    BOOST_TEST(Node->Process->running());
    BOOST_TEST(Node->Process->logText().find(Secret.data()) ==
               std::string::npos);
  }
}

// A peer that holds the system's key but sends attempts doubled, late or for
// another start of the sidecar: none runs twice.
BOOST_AUTO_TEST_CASE(doubled_and_late_attempts_run_once) {
  world World;
  World.startUsual(1);
  sidecar_node &Sidecar = *World.Sidecars["led"];
  link_context Context;
  uint64_t Incarnation = 0;
  int Refused = 0;
  int Ends = 0;
  client_link Link(Context, World.Loop, "rough",
                   [&](const wire::envelope &Message) {
                     if (Message.has_news())
                       Incarnation = Message.news().incarnation();
                     Refused += Message.has_refused() ? 1 : 0;
                     Ends += Message.has_end() ? 1 : 0;
                   });
  Link.connect(Sidecar.Address.text());
  wire::envelope Hello;
  Hello.mutable_hello();
  World.until("news", [&] {
    Link.send(Hello);
    return Incarnation != 0;
  });
  auto Attempt = [&](uint64_t Request, uint64_t Start) {
    wire::envelope Message;
    wire::attempt *A = Message.mutable_attempt();
    A->mutable_id()->set_entry(99);
    A->mutable_id()->set_request(Request);
    A->set_sidecar_incarnation(Start);
    A->set_account("dispatch");
    A->set_method("POST");
    A->set_path("/ledger/x");
    A->set_idempotency_key("rough-" + std::to_string(Request));
    A->set_budget_ms(5000);
    return Message;
  };
  wire::envelope Doubled = Attempt(1, Incarnation);
  for (int I = 0; I < 5; ++I)
    Link.send(Doubled);
  World.until("an end", [&] { return Ends == 1; });
  Link.send(Doubled);
  Link.send(Attempt(2, Incarnation + 1));
  wire::envelope Cancel;
  *Cancel.mutable_cancel()->mutable_id() = Attempt(3, 0).attempt().id();
  Cancel.mutable_cancel()->set_only_if_not_started(true);
  Cancel.mutable_cancel()->set_sidecar_incarnation(Incarnation);
  Link.send(Cancel);
  Link.send(Attempt(3, Incarnation));
  World.until("refusals", [&] { return Refused >= 2; });
  json Counts = World.engineCounts(Sidecar);
  BOOST_TEST(runsOf(Counts, "rough-1") == 1U);
  BOOST_TEST(runsOf(Counts, "rough-2") == 0U);
  BOOST_TEST(runsOf(Counts, "rough-3") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
