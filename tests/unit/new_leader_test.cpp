//===- new_leader_test.cpp - Operators' requests to a new leader ----------===//

#include "base/clock.h"
#include "base/error.h"
#include "boost/test/unit_test.hpp"
#include "control/routing_api.h"
#include "ledger/state_machine.h"
#include "net/http_client.h"
#include "tests/temporary_folder.h"
#include "tests/unit/fixtures.h"

using namespace olivevalve;

namespace {

constexpr const char *Group = "g";
constexpr uint64_t SelfId = 1;
constexpr uint64_t OtherId = 2;
constexpr uint64_t OtherDisk = 77;
constexpr uint64_t FormerTerm = 4;

// Long enough that a change of it is stored as a patch.
std::string documentOf(uint64_t Version) {
  std::string Text =
      R"({"version": )" + std::to_string(Version) +
      R"(, "services": [{"name": "s", "health_path": "/"}], "routes": [)";
  for (int I = 0; I < 20; ++I)
    Text += std::string(I ? "," : "") + R"({"name": "r)" + std::to_string(I) +
            R"(", "host": "h", "path_prefix": "/r)" + std::to_string(I) +
            R"(/", "kind": "safe", "timeout_ms": 2000, "service": "s"})";
  return Text + "]}";
}

std::string routingCommand(const wire::routing_change &Change) {
  return commandText(
      [&](wire::command &Command) { *Command.mutable_routing() = Change; });
}

struct http_answer {
  int Status = 0;
  std::string Body;
};

/// The survivor of a group of two voters whose leader has committed routing 2.
/// Its state machine has applied routing 1, and its log holds routing 2, of
/// which it does not know yet that it is committed.
class survivor {
public:
  survivor() {
    store();
    replicated_log_options Options{.Id = SelfId, .Address = "127.0.0.1:1"};
    Options.Folder = path();
    auto Opened = replicated_log::open(Context, Loop, Options);
    BOOST_REQUIRE(Opened.ok());
    Log = *std::move(Opened);
    Api = std::make_unique<routing_api>(*Log);
    BOOST_REQUIRE(Server.bind("127.0.0.1:0"));
  }
  ~survivor() { Log.reset(); }
  survivor(const survivor &) = delete;
  survivor &operator=(const survivor &) = delete;

  /// Elects this VM, up to the reply that commits the first entry of its term.
  void elect() {
    until([&] { return Log->core().role() == raft_role::PreCandidate; });
    reply(wire::raft::PRE_VOTE_REPLY, Log->core().term() + 1);
    reply(wire::raft::VOTE_REPLY, Log->core().term());
    BOOST_REQUIRE(Log->core().isLeader());
    // The entry is on the own disk after the next turn.
    turn();
  }
  /// Handles the reply that commits the first entry of the term.
  void commit() {
    reply(wire::raft::APPEND_REPLY, Log->core().term());
    BOOST_REQUIRE(Log->core().commitIndex() == Log->core().lastIndex());
  }
  void turn() { ev_run(Loop, EVRUN_NOWAIT); }
  template <typename Condition> void until(const Condition &Holds) {
    double End = steadySeconds() + 20;
    while (!Holds() && steadySeconds() < End)
      ev_run(Loop, EVRUN_ONCE);
    BOOST_REQUIRE(Holds());
  }

  /// One operator's request. \p Before runs in the same turn of the event loop
  /// as the request is handled in, just before it.
  http_answer call(const std::string &Method, const std::string &Body,
                   const std::function<void()> &Before = {}) {
    BeforeRequest = Before;
    http_answer Answer;
    bool Done = false;
    Client.start({.Method = Method,
                  .Url = "http://" + Server.address() + "/v1/routing",
                  .Body = Body,
                  .TimeoutSeconds = 10,
                  .OnHead = [&](int Status,
                                std::string_view) { Answer.Status = Status; },
                  .OnBytes =
                      [&](std::string_view Bytes) {
                        Answer.Body += Bytes;
                        return true;
                      },
                  .OnDone =
                      [&](const fetch_result &Result) {
                        Answer.Status = Result.Status;
                        Done = true;
                      }});
    until([&] {
      if (!BeforeRequest)
        acknowledge();
      return Done;
    });
    return Answer;
  }

  /// Confirms all entries on behalf of the other voter.
  void acknowledge() {
    if (Log->core().isLeader() &&
        Log->core().matchIndex(OtherId) < Log->core().matchIndex(SelfId))
      reply(wire::raft::APPEND_REPLY, Log->core().term());
  }

  temporary_folder Folder;
  std::shared_ptr<struct ev_loop> OwnedLoop{ev_loop_new(0), ev_loop_destroy};
  struct ev_loop *Loop = OwnedLoop.get();
  link_context Context;
  std::unique_ptr<replicated_log> Log;
  std::unique_ptr<routing_api> Api;
  std::function<void()> BeforeRequest;
  http_server Server{
      Loop, {}, [this](const std::shared_ptr<http_exchange> &Exchange) {
        if (auto Before = std::exchange(BeforeRequest, {}))
          Before();
        Api->handle(Exchange);
      }};
  http_client Client{Loop};

private:
  std::string path() const { return Folder.path() + "/d"; }

  void store() {
    auto Storage = raft_storage::open(path());
    BOOST_REQUIRE(Storage.ok());
    wire::member_list Members;
    for (uint64_t Id : {SelfId, OtherId}) {
      wire::member *Member = Members.add_members();
      Member->set_id(Id);
      Member->set_address("127.0.0.1:" + std::to_string(Id));
      Member->set_disk(Id == SelfId ? (*Storage)->disk() : OtherDisk);
      Member->set_voter(true);
    }
    state_machine State;
    State.apply(1, routingCommand(makeRoutingChange(0, "", 1, documentOf(1))));
    raft_output Output;
    Output.HardState = raft_hard_state{.Term = FormerTerm, .Group = Group};
    Output.Install = raft_snapshot{.Index = 1,
                                   .Term = FormerTerm,
                                   .Members = Members.SerializeAsString(),
                                   .Image = State.image()};
    BOOST_REQUIRE((*Storage)->write(Output).ok());
    raft_output Tail;
    wire::log_entry &Entry = Tail.Entries.emplace_back();
    Entry.set_index(2);
    Entry.set_term(FormerTerm);
    Entry.set_data(
        routingCommand(makeRoutingChange(1, documentOf(1), 2, documentOf(2))));
    BOOST_REQUIRE((*Storage)->write(Tail).ok());
  }

  void reply(wire::raft::raft_purpose Purpose, uint64_t Term) {
    wire::raft Message;
    Message.set_purpose(Purpose);
    Message.set_group(Group);
    Message.set_from(OtherId);
    Message.set_to(SelfId);
    Message.set_disk(OtherDisk);
    Message.set_term(Term);
    Message.set_granted(true);
    Message.set_log_index(Log->core().lastIndex());
    Message.set_sent_at(steadySeconds());
    Log->step(Message);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(new_leaders)

BOOST_AUTO_TEST_SUITE(in_the_turn_that_commits_their_first_entry)

// Guards against a leader that answers from its state as a follower.
BOOST_AUTO_TEST_CASE(lead_only_once_the_committed_entries_are_applied) {
  survivor Vm;
  Vm.elect();
  Vm.commit();
  BOOST_TEST(Vm.Log->state().routing().version() == 1U);
  BOOST_TEST(!Vm.Log->hasLeaderLease(steadySeconds()));
  Vm.turn();
  BOOST_TEST(Vm.Log->state().routing().version() == 2U);
  BOOST_TEST(Vm.Log->hasLeaderLease(steadySeconds()));
}

// Guards against a read that returns less than what was acknowledged.
BOOST_AUTO_TEST_CASE(return_no_older_configuration) {
  survivor Vm;
  Vm.elect();
  http_answer Read = Vm.call("GET", "", [&] { Vm.commit(); });
  BOOST_TEST((Read.Status == 503 || Read.Body == documentOf(2)));
  BOOST_TEST(Vm.call("GET", "").Body == documentOf(2));
}

// Guards against a change that is encoded against a state that is out of date.
BOOST_AUTO_TEST_CASE(do_not_lose_a_change) {
  survivor Vm;
  Vm.elect();
  http_answer First = Vm.call("POST", documentOf(3), [&] { Vm.commit(); });
  BOOST_TEST(First.Body.find("changed by another") == std::string::npos);
  BOOST_TEST(Vm.call("POST", documentOf(3)).Status == 200);
  BOOST_TEST(Vm.call("GET", "").Body == documentOf(3));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a refused change that is left out when it is sent again.
BOOST_AUTO_TEST_CASE(apply_a_change_that_they_refused_before) {
  survivor Vm;
  Vm.elect();
  Vm.commit();
  Vm.turn();
  // Another change that precedes it in the log.
  auto Overtake = [&] {
    wire::command Other;
    *Other.mutable_routing() = makeRoutingChange(0, "", 5, documentOf(5));
    Vm.Log->propose(Other, [](const apply_result *) {});
  };
  BOOST_TEST(Vm.call("POST", documentOf(6), Overtake).Status == 503);
  BOOST_TEST(Vm.call("POST", documentOf(6)).Status == 200);
  BOOST_TEST(Vm.call("GET", "").Body == documentOf(6));
}

// Guards against an acknowledged change that no VM can read from the log.
BOOST_AUTO_TEST_CASE(refuse_a_document_that_is_not_utf_8) {
  survivor Vm;
  Vm.elect();
  Vm.commit();
  Vm.turn();
  http_answer Refused = Vm.call("POST", documentOf(3) + "//\xff\n");
  BOOST_TEST(Refused.Status == 400);
  BOOST_TEST(Refused.Body.find("UTF-8") != std::string::npos);
  BOOST_TEST(Vm.call("POST", documentOf(4)).Status == 200);
  BOOST_TEST(Vm.call("GET", "").Body == documentOf(4));
}

BOOST_AUTO_TEST_CASE(acknowledge_versions_that_are_not_newer) {
  survivor Vm;
  Vm.elect();
  Vm.commit();
  Vm.turn();
  for (uint64_t Version : {4, 4, 3, 2, 1})
    BOOST_TEST(Vm.call("POST", documentOf(Version)).Status == 200);
  BOOST_TEST(Vm.call("GET", "").Body == documentOf(4));
}

BOOST_AUTO_TEST_SUITE_END()
