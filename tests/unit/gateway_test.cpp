//===- gateway_test.cpp - The gateway's parts, without sockets ------------===//

#include "boost/test/unit_test.hpp"
#include "gateway/peer_work.h"
#include "gateway/response_times.h"
#include "gateway/selection.h"
#include "gateway/session_pins.h"
#include "gateway/software_versions.h"
#include "gateway/upstream_table.h"
#include "policy/list_poll.h"
#include <algorithm>
#include <cmath>

using namespace olivevalve;
using namespace std::string_literals;

namespace {

platform::listed_upstream listed(const std::string &Id,
                                 const std::string &Version = "v1") {
  return {.Id = Id,
          .Service = "llm",
          .Address = "127.0.0.1:1",
          .DataHall = "lac",
          .Version = Version,
          .Slots = 8};
}

wire::notice noticeOf(wire::rollout_stage Stage) {
  wire::notice Notice;
  wire::rollout *Rollout = Notice.add_rollouts();
  Rollout->set_service("llm");
  Rollout->set_target_version("v2");
  Rollout->set_stage(Stage);
  return Notice;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_SUITE(peer_gateway_work)

namespace {

wire::work_news workReport(uint64_t Gateway, uint64_t Sequence,
                           bool Complete = false) {
  wire::work_news Report;
  Report.set_gateway(Gateway);
  Report.set_sequence(Sequence);
  Report.set_whole(Complete);
  return Report;
}

void addWork(wire::work_news &Report, uint64_t Upstream, uint32_t PromptMs,
             uint32_t InFlight) {
  wire::upstream_work *Work = Report.add_works();
  Work->set_upstream(Upstream);
  Work->set_prompt_ms(PromptMs);
  Work->set_in_flight(InFlight);
}

} // namespace

BOOST_AUTO_TEST_CASE(sums_the_latest_report_of_each_gateway) {
  peer_work_totals Totals;
  auto First = workReport(1, 1);
  addWork(First, 7, 300, 2);
  addWork(First, 8, 0, 1);
  auto Second = workReport(2, 5);
  addWork(Second, 7, 200, 1);
  Totals.update(First, 0);
  Totals.update(Second, 0);
  BOOST_TEST(Totals.at(7).InFlight == 3U);
  BOOST_TEST(std::abs(Totals.at(7).PrefillSeconds - 0.5) < 1e-9);
  auto Later = workReport(1, 2);
  addWork(Later, 7, 0, 1);
  Totals.update(Later, 1);
  Totals.update(First, 1); // Arrives out of order.
  BOOST_TEST(Totals.at(7).InFlight == 2U);
  BOOST_TEST(Totals.at(8).InFlight == 1U);
  BOOST_TEST(Totals.at(9).InFlight == 0U);
}

BOOST_AUTO_TEST_CASE(is_repaired_by_a_full_report_after_a_lost_one) {
  peer_work_totals Totals;
  auto First = workReport(1, 1);
  addWork(First, 7, 300, 2);
  Totals.update(First, 0);
  auto Complete = workReport(1, 3, true);
  addWork(Complete, 8, 100, 1);
  Totals.update(Complete, 1);
  BOOST_TEST(Totals.at(7).InFlight == 0U);
  BOOST_TEST(Totals.at(8).InFlight == 1U);
}

BOOST_AUTO_TEST_CASE(is_dropped_when_its_gateway_falls_silent) {
  peer_work_totals Totals;
  auto First = workReport(1, 1);
  addWork(First, 7, 300, 2);
  Totals.update(First, 0);
  auto Second = workReport(2, 1);
  addWork(Second, 7, 100, 1);
  Totals.update(Second, 4);
  Totals.forgetSilent(4.5);
  BOOST_TEST(Totals.gateways() == 1U);
  BOOST_TEST(Totals.at(7).InFlight == 1U);
  BOOST_TEST(std::abs(Totals.at(7).PrefillSeconds - 0.1) < 1e-9);
}

// Guards against gateways that ignore load and crash reports of their peers: an
// upstream reports its load to one gateway, which forwards it to the others.
BOOST_AUTO_TEST_CASE(forwards_reported_loads_and_crashes) {
  struct ev_loop *Loop = ev_loop_new(0);
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  const upstream &Full = *Table.all().at("i-1");
  {
    peer_work Sender(Loop, Table, {.Incarnation = 1, .Address = "127.0.0.1:0"});
    peer_work Receiver(Loop, Table,
                       {.Incarnation = 2, .Address = "127.0.0.1:0"});
    BOOST_REQUIRE(Sender.bind());
    BOOST_REQUIRE(Receiver.bind());
    Sender.setGateways({Receiver.address()});
    Receiver.setGateways({Sender.address()});
    BOOST_TEST(Sender.receivesFromAll(2));
    BOOST_TEST(!Sender.receivesFromAll(3));
    std::map<uint64_t, uint32_t> ReceivedLoads;
    Receiver.OnLoad = [&](uint64_t Key, uint32_t Load) {
      ReceivedLoads[Key] = Load;
    };
    Sender.reportLoad(Full, 0);
    Sender.reportLoad(Full, 48);
    while (ReceivedLoads.empty())
      ev_run(Loop, EVRUN_ONCE);
    BOOST_TEST(ReceivedLoads.size() == 1U);
    BOOST_TEST(ReceivedLoads[Full.Key] == 48U);
    // A crash is forwarded too, exactly once.
    std::vector<uint64_t> ReportedCrashes;
    Receiver.OnCrash = [&](uint64_t Key) { ReportedCrashes.push_back(Key); };
    ReceivedLoads.clear();
    Sender.reportCrash(Full);
    while (ReportedCrashes.empty())
      ev_run(Loop, EVRUN_ONCE);
    Sender.reportLoad(Full, 1);
    while (ReceivedLoads.empty())
      ev_run(Loop, EVRUN_ONCE);
    BOOST_TEST(ReportedCrashes == std::vector<uint64_t>{Full.Key},
               boost::test_tools::per_element());
  }
  ev_loop_destroy(Loop);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(table_of_upstreams)

BOOST_AUTO_TEST_CASE(
    keeps_counters_across_updates_and_returns_removed_upstreams) {
  upstream_table Table;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  auto First = Table.all().at("i-1");
  First->InFlight = 3;
  auto Removed = Table.update({listed("i-1"), listed("i-3")}, 0);
  BOOST_REQUIRE(Removed.size() == 1U);
  BOOST_TEST(Removed[0]->Gone);
  BOOST_TEST(!Removed[0]->acceptsRequests(0));
  BOOST_TEST(Table.all().at("i-1")->InFlight == 3U);
  // All gateways order the upstreams equally, whatever the order of the list.
  upstream_table Other;
  Other.update({listed("i-3"), listed("i-1")}, 0);
  for (size_t I = 0; I < 2; ++I)
    BOOST_TEST(Other.ofService("llm")[I]->Listed.Id ==
               Table.ofService("llm")[I]->Listed.Id);
}

// Guards against every gateway losing a request to each crashed upstream:
// without reports from its peers, a gateway notices a crash only by its own
// failed request.
BOOST_AUTO_TEST_CASE(avoids_upstreams_that_peers_report_crashed) {
  upstream_table Table;
  std::vector<platform::listed_upstream> Listed;
  for (int I = 0; I < 6; ++I)
    Listed.push_back(listed("i-" + std::to_string(I)));
  Table.update(Listed, 0);
  auto First = Table.all().at("i-0");
  BOOST_TEST(Table.presumeCrashed(First->Key, 10));
  BOOST_TEST(First->suspect(10.5));
  BOOST_TEST(First->acceptsRequests(0));
  BOOST_TEST(!First->suspect(20));
  BOOST_TEST(Table.presumeCrashed(First->Key, 20));
  First->recordResponse();
  BOOST_TEST(!First->suspect(20.1));
  BOOST_TEST(!Table.presumeCrashed(12345, 30)); // Unknown key.

  // At most half of the upstreams may be suspects: a report that all crashed is
  // wrong, or leaves no better choice.
  for (const auto &Each : Table.ofService("llm"))
    Table.presumeCrashed(Each->Key, 40);
  auto Suspects = std::count_if(
      Table.ofService("llm").begin(), Table.ofService("llm").end(),
      [](const auto &Each) { return Each->suspect(41); });
  BOOST_TEST(Suspects == 3);
}

// Guards against state carried over to a restarted upstream: it keeps its id
// but has lost its cache and its requests, and late reports about the previous
// incarnation must not apply to it.
BOOST_AUTO_TEST_CASE(resets_state_when_an_upstream_restarts) {
  auto Started = [](uint64_t StartedMs, bool Leaving = false) {
    platform::listed_upstream Listed = listed("i-1");
    Listed.StartedMs = StartedMs;
    Listed.Leaving = Leaving;
    return Listed;
  };
  upstream_table Table;
  Table.update({Started(1000)}, 0);
  auto First = Table.all().at("i-1");
  First->recordFailure(0);
  First->recordLoad(7, 0);
  // With no start time, or the same one, it is the same incarnation.
  BOOST_TEST(Table.update({Started(0)}, 0).empty());
  BOOST_TEST(Table.update({Started(1000)}, 0).empty());
  BOOST_TEST((Table.all().at("i-1") == First));

  auto Removed = Table.update({Started(2000)}, 0);
  BOOST_REQUIRE(Removed.size() == 1U);
  BOOST_TEST((Removed[0] == First));
  BOOST_TEST(First->Gone);
  auto Second = Table.all().at("i-1");
  BOOST_TEST(Second->acceptsRequests(0));
  BOOST_TEST(!Second->unrecovered(0.1));
  BOOST_TEST(Second->load(0.1) == 0);
  // The prefix cache model and the reported work are stored by the key of the
  // incarnation, so the new incarnation needs a different key.
  BOOST_TEST(Second->Key != First->Key);
  BOOST_TEST(Table.has(Second->Key));
  BOOST_TEST(!Table.has(First->Key));

  // A stale list does not restore the previous incarnation, nor does its
  // leaving flag apply to the new one.
  BOOST_TEST(Table.update({Started(1000, true)}, 0).empty());
  BOOST_TEST((Table.all().at("i-1") == Second));
  BOOST_TEST(Second->acceptsRequests(0));
  // A gateway that first sees the upstream now computes the same key.
  upstream_table Other;
  Other.update({Started(2000)}, 0);
  BOOST_TEST(Other.all().at("i-1")->Key == Second->Key);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_upstreams_in_backoff) {
  gateway_state State;
  State.Routing = std::make_shared<const routing_table>(routing_config());
  upstream_table &Table = State.Upstreams;
  Table.update({listed("i-1"), listed("i-2")}, 0);
  auto First = Table.all().at("i-1");
  const std::string &Service = First->Listed.Service;
  First->backOff(3, 10);
  First->backOff(1, 11); // The longer backoff wins.
  BOOST_TEST(!First->acceptsRequests(12.9));
  BOOST_TEST(First->acceptsRequests(13));
  BOOST_TEST_CONTEXT("backoff does not count as a failure") {
    BOOST_TEST(!First->suspect(11));
    BOOST_TEST(!First->unrecovered(11));
  }
  BOOST_TEST_CONTEXT("an excessive Retry-After is capped") {
    First->backOff(31536000, 20);
    BOOST_TEST(!First->acceptsRequests(21));
    BOOST_TEST(First->acceptsRequests(20 + 60));
  }
  BOOST_TEST_CONTEXT("the soonest end of a backoff is known") {
    BOOST_TEST(reopeningOf(State, Service, 30).Seconds == 0);
    auto Second = Table.all().at("i-2");
    Second->backOff(5, 30);
    BOOST_TEST(reopeningOf(State, Service, 31).Seconds == 4);
    Second->markLeaving();
    BOOST_TEST(reopeningOf(State, Service, 31).Seconds == 49);
    First->markLeaving();
    BOOST_TEST(reopeningOf(State, Service, 31).Seconds == 0);
  }
  BOOST_TEST_CONTEXT("a leaving upstream stays so when a later list names it") {
    Table.update({listed("i-1"), listed("i-2")}, 0);
    BOOST_TEST(Table.all().at("i-1")->leaving());
  }
}

BOOST_AUTO_TEST_CASE(adjusts_reported_load_by_own_requests_since) {
  upstream Upstream;
  Upstream.InFlight = 2;
  BOOST_TEST(Upstream.load(10) == 2);
  Upstream.recordLoad(7, 10);
  BOOST_TEST(Upstream.load(10.1) == 7);
  Upstream.InFlight = 4;
  BOOST_TEST(Upstream.load(10.1) == 9);
  BOOST_TEST(Upstream.load(20) == 4);
  // Requests of peer gateways that the reported load already includes are not
  // counted twice.
  Upstream.recordLoad(12, 30, 5);
  BOOST_TEST(Upstream.load(30.1, 5) == 12);
  BOOST_TEST(Upstream.load(30.1, 7) == 14);
  BOOST_TEST(Upstream.load(30.1, 1) == 8);
  Upstream.recordLoad(4000000000U, 40, 0);
  BOOST_TEST(Upstream.load(40.1) < 100);
  Upstream.recordLoad(12, 30, 5);
  BOOST_TEST(Upstream.hasFreshLoad(31));
  BOOST_TEST(!Upstream.hasFreshLoad(33));
}

BOOST_AUTO_TEST_CASE(suspects_a_failing_upstream_longer_each_time) {
  upstream Upstream;
  Upstream.recordFailure(0);
  BOOST_TEST(Upstream.suspect(0.4));
  BOOST_TEST(!Upstream.suspect(0.6));
  Upstream.recordFailure(1);
  BOOST_TEST(Upstream.suspect(1.9));
  Upstream.recordResponse();
  Upstream.recordFailure(3);
  BOOST_TEST(!Upstream.suspect(3.6));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(times_of_responses)

BOOST_AUTO_TEST_CASE(leave_out_the_time_to_the_first_event) {
  response_timing Timing;
  Timing.begin(true, 10);
  BOOST_TEST(!Timing.leastSecondsPerUnit(20).has_value());
  Timing.receive(50, 20);
  BOOST_TEST(!Timing.secondsPerUnit().has_value());
  BOOST_TEST_CONTEXT("the next event has not come yet") {
    BOOST_TEST(*Timing.leastSecondsPerUnit(25) == 0.1);
  }
  Timing.receive(100, 22);
  BOOST_TEST(*Timing.secondsPerUnit() == 0.02);
}

BOOST_AUTO_TEST_CASE(of_plain_responses_are_those_of_the_whole) {
  response_timing Timing;
  Timing.begin(false, 10);
  Timing.receive(50, 11);
  BOOST_TEST(!Timing.secondsPerUnit().has_value());
  BOOST_TEST(*Timing.leastSecondsPerUnit(12) == 2);
  Timing.receiveWhole(13);
  BOOST_TEST(*Timing.secondsPerUnit() == 3);
}

BOOST_AUTO_TEST_CASE(are_compared_within_a_class_once_it_is_known) {
  usual_paces Paces;
  for (int I = 0; I < 7; ++I)
    Paces.record(1, 0.5);
  BOOST_TEST(!Paces.ratio(1, 1).has_value());
  Paces.record(1, 0.5);
  BOOST_TEST(*Paces.ratio(1, 1) == 2, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!Paces.ratio(2, 1).has_value());
  BOOST_TEST_CONTEXT("what is usual follows a burst") {
    for (int I = 0; I < 60; ++I)
      Paces.record(1, 1.5);
    BOOST_TEST(*Paces.ratio(1, 1.5) < 1.2);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(versions_during_a_rollout)

BOOST_AUTO_TEST_CASE(of_a_session_is_kept_during_a_canary) {
  upstream_table Upstreams;
  Upstreams.update({listed("i-1"), listed("i-2", "v2")}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::CANARY), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v1");
  int Tried = 0;
  for (uint64_t Draw = 0; Draw < 1'000'000; Draw += 997) {
    BOOST_TEST(Versions.versionFor("llm", "v1", "v1", Draw, 0.06) == "v1");
    BOOST_TEST(Versions.versionFor("llm", "v1", "v2", Draw, 0.06) == "v2");
    Tried += Versions.versionFor("llm", "v1", "", Draw, 0.06) == "v2";
  }
  BOOST_TEST(Tried > 40);
  BOOST_TEST(Tried < 80);
}

BOOST_AUTO_TEST_CASE(moves_sessions_after_shift_and_back_after_revert) {
  upstream_table Upstreams;
  Upstreams.update({listed("i-1"), listed("i-2", "v2")}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::SHIFT), Upstreams);
  BOOST_TEST(Versions.versionFor("llm", "v1", "v1", 1, 0.06) == "v2");
  Versions.apply(noticeOf(wire::COMPLETED), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v2");
  Versions.apply(noticeOf(wire::REVERTED), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v1");
  BOOST_TEST(Versions.versionFor("llm", "v1", "v2", 1, 0.06) == "v1");
  BOOST_TEST(Versions.revertedVersion("llm") == "v2");
}

BOOST_AUTO_TEST_CASE(of_a_session_is_kept_during_a_hold_and_no_other_begins) {
  upstream_table Upstreams;
  Upstreams.update({listed("i-1"), listed("i-2", "v2")}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::HOLD), Upstreams);
  BOOST_TEST(Versions.target("llm") == "v2");
  for (uint64_t Draw = 0; Draw < 1'000'000; Draw += 997) {
    BOOST_TEST(Versions.versionFor("llm", "v1", "", Draw, 0.06) == "v1");
    BOOST_TEST(Versions.versionFor("llm", "v1", "v2", Draw, 0.06) == "v2");
  }
}

BOOST_AUTO_TEST_CASE(are_judged_by_upstream_with_responses_in_progress) {
  upstream_table Upstreams;
  platform::listed_upstream New = listed("i-2", "v2");
  Upstreams.update({listed("i-1"), New}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::CANARY), Upstreams);
  Versions.countPace(listed("i-1"), 7, 9);
  Versions.countPace(New, 8, 1.5);
  Versions.countFailure(New, 8);
  Versions.countInProgress(New, 8, true);
  Versions.countInProgress(New, 8, false);
  auto Reported = [&](uint64_t Upstream) {
    wire::watch Watch;
    Versions.fillTallies(Watch);
    for (const wire::version_tally &Tally : Watch.tallies())
      if (Tally.upstream() == Upstream)
        return std::pair<uint64_t, uint64_t>(Tally.judged(), Tally.bad());
    return std::pair<uint64_t, uint64_t>(0, 0);
  };
  BOOST_TEST((Reported(8) == std::pair<uint64_t, uint64_t>(4, 2)));
  BOOST_TEST_CONTEXT("one that is no longer in progress is not counted again")
  BOOST_TEST((Reported(8) == std::pair<uint64_t, uint64_t>(2, 1)));
  BOOST_TEST((Reported(0) == std::pair<uint64_t, uint64_t>(1, 1)));
  BOOST_TEST((Reported(7) == std::pair<uint64_t, uint64_t>(0, 0)));
}

// Guards against watch messages that grow with each roll-out of the past.
BOOST_AUTO_TEST_CASE(are_reported_by_upstream_only_while_a_canary_needs_it) {
  upstream_table Upstreams;
  Upstreams.update({listed("i-1"), listed("i-2", "v2")}, 0);
  software_versions Versions;
  Versions.apply(noticeOf(wire::CANARY), Upstreams);
  for (uint64_t Key = 1; Key <= 5; ++Key)
    Versions.countPace(listed("i-2", "v2"), Key, 9);
  for (wire::rollout_stage Stage : {wire::SHIFT, wire::REVERTED}) {
    Versions.apply(noticeOf(Stage), Upstreams);
    wire::watch Watch;
    Versions.fillTallies(Watch);
    BOOST_REQUIRE(Watch.tallies_size() == 1);
    BOOST_TEST(Watch.tallies(0).upstream() == 0U);
    BOOST_TEST(Watch.tallies(0).judged() == 5U);
    BOOST_TEST(Watch.tallies(0).bad() == 5U);
  }
}

BOOST_AUTO_TEST_SUITE(at_a_gateway_that_starts_during_it)

constexpr wire::rollout_stage NotCompleted[] = {wire::CANARY, wire::HOLD,
                                                wire::SHIFT, wire::REVERTED};

wire::notice noticeTo(const std::string &Target, wire::rollout_stage Stage,
                      const std::string &Former) {
  wire::notice Notice = noticeOf(Stage);
  Notice.mutable_rollouts(0)->set_target_version(Target);
  Notice.mutable_rollouts(0)->set_former_version(Former);
  return Notice;
}

// Guards against sessions that move to the new version at a gateway that takes
// it for the stable one.
BOOST_AUTO_TEST_CASE(take_the_recorded_version_for_the_stable_one) {
  using list = std::vector<platform::listed_upstream>;
  const list Lists[] = {
      {listed("i-1", "v9"), listed("i-2", "v10")},
      {listed("i-1", "v9"), listed("i-2", "v10"), listed("i-3", "v10")},
      {listed("i-1", "v9"), listed("i-2", "v8"), listed("i-3", "v8")},
      {listed("i-2", "v10")}};
  for (wire::rollout_stage Stage : NotCompleted)
    for (const list &List : Lists) {
      upstream_table Upstreams;
      software_versions Versions;
      Versions.apply(noticeTo("v10", Stage, "v9"), Upstreams);
      Upstreams.update(List, 0);
      BOOST_TEST(Upstreams.stableVersion("llm") == "v9");
      if (Stage == wire::CANARY || Stage == wire::HOLD)
        BOOST_TEST(Versions.versionFor("llm", Upstreams.stableVersion("llm"),
                                       "v9", 1, 0.06) == "v9");
      Versions.apply(noticeTo("v10", wire::COMPLETED, "v9"), Upstreams);
      BOOST_TEST(Upstreams.stableVersion("llm") == "v10");
    }
}

BOOST_AUTO_TEST_CASE(never_take_the_new_version_if_none_is_recorded) {
  for (wire::rollout_stage Stage : NotCompleted)
    BOOST_TEST_CONTEXT(wire::rollout_stage_Name(Stage)) {
      upstream_table Upstreams;
      software_versions Versions;
      Versions.apply(noticeTo("v10", Stage, ""), Upstreams);
      BOOST_TEST_CONTEXT("the new upstreams are listed first")
      Upstreams.update({listed("i-2", "v10")}, 0);
      BOOST_TEST(Upstreams.stableVersion("llm").empty());
      BOOST_TEST_CONTEXT("of the others, the version of most upstreams")
      Upstreams.update({listed("i-1", "v9"), listed("i-4", "v9"),
                        listed("i-2", "v10"), listed("i-3", "v10"),
                        listed("i-5", "v10"), listed("i-6", "v8")},
                       1);
      BOOST_TEST(Upstreams.stableVersion("llm") == "v9");
    }
}

BOOST_AUTO_TEST_CASE(correct_a_choice_made_before_the_rollout_was_known) {
  upstream_table Upstreams;
  software_versions Versions;
  Upstreams.update({listed("i-1", "v9"), listed("i-2", "v10"),
                    listed("i-3", "v10"), listed("i-4", "v9"),
                    listed("i-5", "v8")},
                   0);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v10");
  Versions.apply(noticeTo("v10", wire::CANARY, ""), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v9");
  Versions.apply(noticeTo("v10", wire::HOLD, "v8"), Upstreams);
  BOOST_TEST(Upstreams.stableVersion("llm") == "v8");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(tallies_are_reported_per_version) {
  software_versions Versions;
  Versions.count("llm", "v1", false, 0.5);
  Versions.count("llm", "v1", true, 1);
  Versions.count("llm", "v2", false, 2);
  wire::watch Watch;
  Versions.fillTallies(Watch);
  BOOST_REQUIRE(Watch.tallies_size() == 2);
  BOOST_TEST(Watch.tallies(0).answers() == 2U);
  BOOST_TEST(Watch.tallies(0).failures() == 1U);
  BOOST_TEST(Watch.tallies(0).seconds() == 1.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_session_pin_expires_after_its_lifetime) {
  session_pins Pins;
  Pins.setLifetime(10);
  Pins.touch("llm", "s", {.Version = "v1"});
  BOOST_REQUIRE(Pins.find("llm", "s", 9));
  BOOST_TEST(Pins.find("llm", "s", 9)->Version == "v1");
  BOOST_TEST(!Pins.find("ledger", "s", 9));
  BOOST_TEST(!Pins.find("llm", "s", 11));
  Pins.forgetOld(11);
  BOOST_TEST(Pins.size() == 0U);
  BOOST_TEST_CONTEXT("long ids are told apart") {
    std::string Long(15000, 's');
    Pins.touch("llm", Long + "1", {.Version = "v1"});
    Pins.touch("llm", Long + "2", {.Version = "v2"});
    BOOST_TEST(Pins.find("llm", Long + "1", 1)->Version == "v1");
    BOOST_TEST(Pins.find("llm", Long + "2", 1)->Version == "v2");
    BOOST_TEST(!Pins.find("llm", Long + "3", 1));
  }
  BOOST_TEST_CONTEXT("their number is bounded, and those that exist are kept") {
    for (size_t I = 0; I < 2 * session_pins::MaxPins; ++I)
      Pins.touch("llm", std::to_string(I), {.Version = "v1", .TouchedAt = 2});
    BOOST_TEST(Pins.size() == session_pins::MaxPins);
    Pins.touch("llm", "0", {.Version = "v3", .TouchedAt = 2});
    BOOST_TEST(Pins.find("llm", "0", 2)->Version == "v3");
    Pins.forgetOld(20);
    BOOST_TEST(Pins.size() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(stable_pins_are_reported_once_and_expire) {
  session_pins Pins;
  Pins.setLifetime(10);
  Pins.stable().pin(7, 0);
  Pins.stable().pin(7, 1);
  Pins.stable().apply(8, 1);
  BOOST_TEST(Pins.stable().takeUnreported().size() == 1U);
  BOOST_TEST(Pins.stable().takeUnreported().empty());
  BOOST_TEST(Pins.isPinnedToStable(7, 10.5));
  BOOST_TEST(Pins.isPinnedToStable(8, 10.5));
  BOOST_TEST(!Pins.isPinnedToStable(7, 12));
  BOOST_TEST(!Pins.isPinnedToStable(9, 1));
  BOOST_TEST_CONTEXT("those of a canary are apart") {
    Pins.canary().pin(9, 1);
    BOOST_TEST(Pins.isPinnedToCanary(9, 2));
    BOOST_TEST(!Pins.isPinnedToStable(9, 2));
    BOOST_TEST(!Pins.isPinnedToCanary(7, 2));
    Pins.forgetOld(30);
    BOOST_TEST(!Pins.isPinnedToCanary(9, 2));
  }
}

// Guards against a flood of calls when control's leader is lost: with 386
// gateways and four pages, 1,544 calls reached the platform at once, which
// takes 130 a second, while control needed the list most.
BOOST_AUTO_TEST_CASE(polls_of_the_list_are_spread_by_the_size_of_the_fleet) {
  struct spread_case {
    uint32_t Gateways;
    size_t Upstreams;
    double CallsPerSecond; ///< That the platform takes.
    double EntriesPerPage;
  };
  const spread_case Cases[] = {{3, 21, 40, 50},
                               {32, 60, 40, 50},
                               {386, 620, 130, 200},
                               {772, 1240, 130, 200},
                               {1000, 1000, 130, 200}};
  for (const spread_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Gateways << " gateways") {
      double Spread =
          std::max(0.4, listPollSpread(Case.Gateways, Case.Upstreams));
      double Calls = Case.Gateways *
                     std::ceil(double(Case.Upstreams) / Case.EntriesPerPage);
      BOOST_TEST(Calls / Spread <= Case.CallsPerSecond);
      BOOST_TEST(Spread <= 60);
    }
  BOOST_TEST(listPollSpread(0, 620) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
