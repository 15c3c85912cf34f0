//===- once_test.cpp - Requests that may run only once --------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/world.h"

using namespace olivevalve;

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

// Guards against running a request with an idempotency key twice. In each case
// a process or a connection fails while a booking runs, and the caller sends
// the request again with the same key to the other entry.
BOOST_AUTO_TEST_CASE(run_once_under_any_single_fault) {
  using at = once_fault::at;
  const once_fault Cases[] = {
      {"nothing fails", at::None},
      {"the entry is killed while it runs", at::EntryKilled},
      {"the sidecar is killed while it runs", at::SidecarKilled},
      {"the leader is killed while it runs", at::LeaderKilled},
      {"the path to the sidecar is cut while it runs", at::CutToSidecar},
      {"the caller disconnects while it runs", at::CallerGone},
  };
  world World;
  World.startDefaultSystem();
  int Number = 0;
  for (const once_fault &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      std::string Key = "booking-" + std::to_string(++Number);
      sidecar_node &Sidecar = *World.Sidecars["led"];
      client_request Request = booking(Key, 700);
      if (Case.At == at::CallerGone)
        Request.Seconds = 0.4;
      auto First =
          World.begin(World.Entries["entry-1"]->Address.text(), Request);
      World.until("the booking runs", [&] {
        return bookingRuns(World.engineCounts(Sidecar), Key) == 1;
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
      client_response Again;
      World.until(
          "the caller receives the outcome",
          [&] {
            Again = World.call(World.Entries["entry-2"]->Address.text(),
                               booking(Key, 700));
            return Again.Status == 200 || Again.Status == 502;
          },
          25);
      BOOST_TEST(bookingRuns(World.engineCounts(Sidecar), Key) == 1U);
      if (Case.At == at::SidecarKilled)
        BOOST_TEST(Again.outcome() == "unknown");
      else
        BOOST_TEST(Again.Status == 200);
      World.until("the first request is answered", [&] { return First->Done; });
      // A request that ran must never be reported as "not run".
      BOOST_TEST(First->outcome() != "not-run");
      for (auto &[Name, Node] : World.Entries)
        if (!Node->Process->running())
          Node->Process->start();
      for (auto &Node : World.Control)
        if (!Node->Process->running())
          Node->Process->start();
      for (auto &[Name, Node] : World.Entries)
        World.untilReady(Node->Health);
      World.untilAllAreVoters();
      World.until("the sidecar serves", [&] {
        return World
                   .call(World.Entries["entry-1"]->Address.text(),
                         {.Method = "GET", .Path = "/ledger/x"})
                   .Status == 200;
      });
    }
  }
  BOOST_TEST_CONTEXT("a key used for another request is refused") {
    client_response Other = World.call(World.Entries["entry-2"]->Address.text(),
                                       booking("booking-1", 1));
    BOOST_TEST(Other.Status == 422);
    BOOST_TEST(Other.outcome() == "not-run");
  }
}

BOOST_AUTO_TEST_CASE(
    with_an_outcome_too_large_to_store_are_not_replayed_empty) {
  world World;
  World.startDefaultSystem();
  std::string Entry = World.Entries["entry-1"]->Address.text();
  for (int Bytes : {1000, 70000}) {
    bool Stored = Bytes == 1000;
    BOOST_TEST_CONTEXT(Bytes << " bytes") {
      client_request Request{
          .Path = "/ledger/assignments",
          .Body = "{\"note\":\"pad=" + std::to_string(Bytes) + "\"}",
          .Headers = {"Idempotency-Key: large-" + std::to_string(Bytes)}};
      client_response First = World.ask(Entry, Request);
      BOOST_TEST(First.Status == 200);
      client_response Again;
      World.until("the outcome is stored", [&] {
        Again = World.call(Entry, Request);
        return Again.Status != 409;
      });
      BOOST_TEST(Again.Status == (Stored ? 200 : 502));
      BOOST_TEST(Again.outcome() == (Stored ? "" : "ran"));
      if (Stored)
        BOOST_TEST(Again.Body == First.Body);
    }
  }
}

BOOST_AUTO_TEST_CASE(that_never_started_can_be_retried) {
  world World;
  World.startDefaultSystem();
  sidecar_node &Sidecar = *World.Sidecars["led"];
  // The attempt is lost on the way to the sidecar. Once the path is restored,
  // the entry finds out that it never ran and the key can be used again.
  Sidecar.Path->set(proxy_fault::DropToServer);
  client_request Request = booking("lost", 0);
  Request.Headers.push_back("X-Deadline-Ms: 9000");
  auto First = World.begin(World.Entries["entry-1"]->Address.text(), Request);
  World.run(1);
  Sidecar.Path->set(proxy_fault::Cut);
  Sidecar.Path->set(proxy_fault::None);
  World.until("the request is answered", [&] { return First->Done; });
  uint64_t Runs = bookingRuns(World.engineCounts(Sidecar), "lost");
  BOOST_TEST(Runs <= 1U);
  if (First->Status == 200)
    BOOST_TEST(Runs == 1U);
  if (First->outcome() == "not-run")
    BOOST_TEST(Runs == 0U);
  client_response Again;
  World.until("the booking succeeds", [&] {
    Again = World.call(World.Entries["entry-2"]->Address.text(),
                       booking("lost", 0));
    return Again.Status == 200;
  });
  BOOST_TEST(bookingRuns(World.engineCounts(Sidecar), "lost") == 1U);
}

// Guards against a key that stays claimed for ever. The entry that claimed it
// is killed before its attempt reaches the sidecar; another entry finds out
// that the attempt never started and runs the request.
BOOST_AUTO_TEST_CASE(whose_entry_is_killed_before_sending_can_be_retried) {
  world World;
  World.startDefaultSystem();
  sidecar_node &Sidecar = *World.Sidecars["led"];
  uint64_t Before = World.statusOf(World.leader())["claims"];
  Sidecar.Path->set(proxy_fault::DropToServer);
  auto First = World.begin(World.Entries["entry-1"]->Address.text(),
                           booking("orphan", 0));
  World.until("the claim is committed", [&] {
    return World.statusOf(World.leader())["claims"] == Before + 1;
  });
  World.Entries["entry-1"]->Process->kill();
  Sidecar.Path->set(proxy_fault::Cut);
  Sidecar.Path->set(proxy_fault::None);
  BOOST_TEST(bookingRuns(World.engineCounts(Sidecar), "orphan") == 0U);
  World.until("the booking succeeds", [&] {
    client_response Again = World.call(World.Entries["entry-2"]->Address.text(),
                                       booking("orphan", 0));
    return Again.Status == 200;
  });
  BOOST_TEST(bookingRuns(World.engineCounts(Sidecar), "orphan") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
