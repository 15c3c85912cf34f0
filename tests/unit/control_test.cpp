//===- control_test.cpp - Control's view of gateways and roll-outs --------===//

#include "boost/test/unit_test.hpp"
#include "control/rollout_driver.h"
#include "control/upstream_list_publisher.h"
#include "gateway/upstream_list_copy.h"
#include <algorithm>
#include <map>
#include <random>

using namespace olivevalve;

namespace {

wire::watch watchOf(uint64_t Incarnation, uint64_t Answers, uint64_t Failures,
                    const std::string &Version) {
  wire::watch Watch;
  Watch.set_incarnation(Incarnation);
  wire::version_tally *Tally = Watch.add_tallies();
  Tally->set_service("llm");
  Tally->set_version(Version);
  Tally->set_answers(Answers);
  Tally->set_failures(Failures);
  return Watch;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateways_at_control)

BOOST_AUTO_TEST_CASE(tallies_of_all_incarnations_add_up_without_duplicates) {
  gateway_table Table;
  Table.recordWatch("a", watchOf(1, 10, 1, "v1"), 0);
  Table.recordWatch("a", watchOf(1, 20, 2, "v1"), 1);
  Table.recordWatch("a", watchOf(2, 5, 0, "v1"), 2); // Restarted.
  Table.recordWatch("b", watchOf(3, 7, 7, "v2"), 2);
  BOOST_TEST(Table.answersOf("llm", "v1").Answers == 25U);
  BOOST_TEST(Table.answersOf("llm", "v1").Failures == 2U);
  BOOST_TEST(Table.answersOfOthers("llm", "v2").Answers == 25U);
  BOOST_TEST(Table.answersOf("ledger", "v1").Answers == 0U);
}

// Guards against a new leader that counts only the gateways that have polled it
// so far. It would report 1 to the first gateway and 2 to the second, their
// shares of a common limit would overlap, and they would keep them if that
// leader was lost.
BOOST_AUTO_TEST_CASE(are_not_counted_before_all_can_have_polled_a_new_leader) {
  constexpr double PollIntervalSeconds = 0.1;
  gateway_table Table;
  double Now = 100;
  Table.beginLeadership(Now);
  double Shares = 0; // Sum of the shares, by the reported counts.
  for (uint64_t Id = 1; Id <= 10; ++Id, Now += PollIntervalSeconds) {
    std::string Peer = "gateway/" + std::to_string(Id);
    Table.recordWatch(Peer, watchOf(Id, 0, 0, "v1"), Now);
    auto Count = Table.count(Now);
    Shares += Count ? 1.0 / *Count : 0;
  }
  BOOST_TEST(Shares <= 1);
  auto Count = Table.count(Now + 2);
  BOOST_REQUIRE(Count.has_value());
  BOOST_TEST(*Count == 10U);
}

// Guards against a restarted gateway that is counted together with its previous
// incarnation for 10 s. All gateways would receive too high a count, and load
// updates from fewer gateways than that.
BOOST_AUTO_TEST_CASE(that_restart_are_counted_once) {
  gateway_table Table;
  auto Poll = [&](const std::string &Node, uint64_t Incarnation, double Now) {
    wire::watch Watch = watchOf(Incarnation, 5, 0, "v1");
    Watch.set_node(Node);
    Watch.set_news_address(Node + ":1");
    std::string Peer = "gateway/" + std::to_string(Incarnation);
    Table.recordWatch(Peer, Watch, Now);
    wire::notice Notice;
    Table.fillAddresses(Peer, Notice);
    return Notice.news_addresses_size();
  };
  Poll("edge-1", 1, 10);
  Poll("edge-2", 2, 10);
  int Addresses = Poll("edge-1", 3, 11);
  BOOST_TEST(Addresses == 2);
  BOOST_TEST(*Table.count(11) == 2U);
  BOOST_TEST(Table.answersOf("llm", "v1").Answers == 15U);
}

BOOST_AUTO_TEST_CASE(staying_sessions_are_sent_to_each_gateway_once) {
  gateway_table Table;
  wire::watch Watch = watchOf(1, 0, 0, "v1");
  Watch.add_staying(7);
  Watch.add_canary_sessions(8);
  Table.recordWatch("a", Watch, 1);
  Table.recordWatch("b", watchOf(2, 0, 0, "v1"), 1);
  auto Sent = [&](const char *Peer, double Now) {
    wire::notice Notice;
    Table.fillSessions(Peer, Now, Notice);
    BOOST_TEST(Notice.canary_sessions_size() == Notice.staying_size());
    return Notice.staying_size();
  };
  BOOST_TEST(Sent("b", 1.1) == 1);
  BOOST_TEST(Sent("b", 1.2) == 0);
  Table.forgetSilent(30);
  BOOST_TEST(Table.gateways().empty());
  BOOST_TEST(Sent("c", 30) == 0);
}

BOOST_AUTO_TEST_CASE(a_roll_out_is_judged_by_answers_since_its_order) {
  gateway_table Gateways;
  Gateways.recordWatch("a", watchOf(1, 100, 90, "v1"), 0);
  rollout_store Store;
  wire::rollout Order;
  Order.set_service("llm");
  Order.set_target_version("v2");
  Order.set_duration_seconds(20);
  BOOST_TEST(Store.begin(Order, 1000).ok());
  rollout_driver Driver;
  BOOST_TEST(!Driver.judge(Store, Gateways, 50, 1000)[0].isDue());
  Gateways.recordWatch("a", watchOf(1, 200, 91, "v1"), 51);
  Gateways.recordWatch("b", watchOf(2, 20, 10, "v2"), 51);
  auto Judged = Driver.judge(Store, Gateways, 52, 1002);
  BOOST_REQUIRE(Judged.size() == 1U);
  BOOST_TEST(Judged[0].isDue());
  BOOST_TEST(Judged[0].Step.to() == wire::REVERTED);
  // A new leader derives the progress of the roll-out from the order's time.
  rollout_driver Next;
  Gateways.recordWatch("b", watchOf(2, 40, 0, "v2"), 500);
  BOOST_TEST(!Next.judge(Store, Gateways, 500, 1005)[0].isDue());
  Judged = Next.judge(Store, Gateways, 515, 1020);
  BOOST_REQUIRE(Judged.size() == 1U);
  BOOST_TEST(Judged[0].isDue());
  BOOST_TEST(Judged[0].Step.to() == wire::SHIFT);
}

BOOST_AUTO_TEST_CASE(a_roll_out_is_held_once_its_requests_are_used_up) {
  gateway_table Gateways;
  rollout_store Store;
  wire::rollout Order;
  Order.set_service("llm");
  Order.set_target_version("v2");
  Order.set_duration_seconds(20);
  BOOST_TEST(Store.begin(Order, 1000).ok());
  rollout_driver Driver({.Share = 0.15, .Slack = 10});
  auto JudgedAt = [&](double Seconds, uint64_t Old, uint64_t New) {
    wire::watch Watch = watchOf(1, Old, 0, "v1");
    Watch.mutable_tallies(0)->set_sent(Old);
    *Watch.add_tallies() = watchOf(1, New, 0, "v2").tallies(0);
    Watch.mutable_tallies(1)->set_sent(New);
    Gateways.recordWatch("a", Watch, 50 + Seconds);
    return Driver.judge(Store, Gateways, 50 + Seconds, 1000 + Seconds)[0];
  };
  BOOST_TEST(!JudgedAt(0, 0, 0).isDue());
  BOOST_TEST(!JudgedAt(5, 500, 50).isDue());
  rollout_judgement Judged = JudgedAt(8, 800, 150);
  BOOST_TEST(Judged.isDue());
  BOOST_TEST(Judged.Step.to() == wire::HOLD);
  Store.step(Judged.Step);
  BOOST_TEST(!JudgedAt(9, 900, 155).isDue());
  BOOST_TEST(JudgedAt(17, 1700, 160).Step.to() == wire::SHIFT);
}

BOOST_AUTO_TEST_CASE(a_gateway_reports_all_of_its_tallies_each_time) {
  gateway_table Gateways;
  wire::watch Watch = watchOf(1, 9, 0, "v2");
  Watch.mutable_tallies(0)->set_upstream(7);
  Gateways.recordWatch("a", Watch, 0);
  Gateways.recordWatch("b", watchOf(2, 5, 0, "v2"), 0);
  Gateways.recordWatch("a", watchOf(1, 10, 0, "v2"), 1);
  BOOST_TEST(Gateways.answersOf("llm", "v2").Answers == 15U);
  BOOST_TEST(Gateways.answersByUpstream("llm", "v2").empty());
}

// Guards against an upstream of the last roll-out taken for this one's worst.
BOOST_AUTO_TEST_CASE(a_version_that_is_ordered_again_is_judged_anew) {
  gateway_table Gateways;
  wire::watch Watch = watchOf(1, 100, 0, "v1");
  Watch.mutable_tallies(0)->set_judged(100);
  auto AddUpstream = [&](uint64_t Key, uint64_t Judged, uint64_t Bad) {
    wire::version_tally *Tally = Watch.add_tallies();
    Tally->set_service("llm");
    Tally->set_version("v2");
    Tally->set_upstream(Key);
    Tally->set_judged(Judged);
    Tally->set_bad(Bad);
  };
  AddUpstream(7, 40, 38);
  Gateways.recordWatch("a", Watch, 50);
  rollout_store Store;
  wire::rollout Order;
  Order.set_service("llm");
  Order.set_target_version("v2");
  Order.set_duration_seconds(20);
  BOOST_TEST(Store.begin(Order, 1000).ok());
  rollout_driver Driver;
  BOOST_TEST(!Driver.judge(Store, Gateways, 50, 1000)[0].isDue());
  AddUpstream(8, 8, 6);
  AddUpstream(9, 8, 6);
  Gateways.recordWatch("a", Watch, 55);
  rollout_judgement Judged = Driver.judge(Store, Gateways, 55, 1005)[0];
  BOOST_TEST(Judged.Facts.New.Judged == 16U);
  BOOST_TEST(Judged.Decision.EvidenceOfOthers > 3);
  BOOST_TEST(Judged.Step.to() == wire::REVERTED);
}

BOOST_AUTO_TEST_CASE(responses_of_a_canary_are_known_by_upstream) {
  gateway_table Gateways;
  for (uint64_t Gateway : {1, 2}) {
    wire::watch Watch = watchOf(Gateway, 9, 0, "v2");
    for (uint64_t Upstream : {7, 8}) {
      *Watch.add_tallies() = Watch.tallies(0);
      wire::version_tally *Tally = Watch.mutable_tallies(int(Upstream) - 6);
      Tally->set_answers(0);
      Tally->set_upstream(Upstream);
      Tally->set_judged(4);
      Tally->set_bad(Upstream - 6);
    }
    Gateways.recordWatch("g" + std::to_string(Gateway), Watch, 0);
  }
  auto ByUpstream = Gateways.answersByUpstream("llm", "v2");
  BOOST_REQUIRE(ByUpstream.size() == 2U);
  BOOST_TEST(ByUpstream[7].Bad == 2U);
  BOOST_TEST(ByUpstream[8].Bad == 4U);
  BOOST_TEST(Gateways.answersOf("llm", "v2").Judged == 16U);
  BOOST_TEST(Gateways.answersOf("llm", "v2").Answers == 18U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(list_of_upstreams_at_control)

namespace {

platform::listed_upstream upstreamOf(const std::string &Id,
                                     bool Leaving = false) {
  return {
      .Id = Id, .Service = "llm", .Address = "10.0.0.1:80", .Leaving = Leaving};
}

/// The list that a gateway holds: whether an upstream is leaving, by its id.
using held_upstreams = std::map<std::string, bool>;

void applyUpdate(held_upstreams &Held, const wire::upstream_list &Sent) {
  if (Sent.whole())
    Held.clear();
  for (const std::string &Id : Sent.gone())
    Held.erase(Id);
  for (const wire::listed_upstream &Each : Sent.upstreams())
    Held[Each.id()] = Each.leaving();
}

} // namespace

BOOST_AUTO_TEST_CASE(is_sent_complete_first_and_as_changes_later) {
  upstream_history History;
  BOOST_TEST(History.revision() == 0U);
  BOOST_TEST(History.setList({upstreamOf("a"), upstreamOf("b")}));
  BOOST_TEST(!History.setList({upstreamOf("b"), upstreamOf("a")}));
  wire::upstream_list First = History.changesSince(0);
  BOOST_TEST(First.whole());
  BOOST_TEST(First.upstreams_size() == 2);
  uint64_t Held = History.revision();
  BOOST_TEST(History.setList({upstreamOf("a", true), upstreamOf("c")}));
  wire::upstream_list Next = History.changesSince(Held);
  BOOST_TEST(!Next.whole());
  BOOST_TEST(Next.since() == Held);
  BOOST_TEST(Next.upstreams_size() == 2);
  BOOST_TEST(Next.gone_size() == 1);
  BOOST_TEST(Next.gone(0) == "b");
}

BOOST_AUTO_TEST_CASE(brings_every_gateway_to_the_same_state) {
  upstream_history History;
  std::mt19937_64 Random(5);
  std::vector<std::pair<uint64_t, held_upstreams>> Holders;
  for (int Round = 0; Round < 120; ++Round) {
    std::vector<platform::listed_upstream> Listed;
    for (char Id = 'a'; Id < 'k'; ++Id)
      if (Random() % 3 != 0)
        Listed.push_back(upstreamOf(std::string(1, Id), Random() % 4 == 0));
    History.setList(Listed);
    held_upstreams Now;
    applyUpdate(Now, History.changesSince(0));
    BOOST_TEST(Now.size() == Listed.size());
    // Some gateways have missed a few changes, some more than control keeps.
    for (auto &[Revision, Held] : Holders)
      if (Random() % 20 == 0 || Round == 119) {
        applyUpdate(Held, History.changesSince(Revision));
        Revision = History.revision();
        BOOST_TEST((Held == Now));
      }
    Holders.push_back({History.revision(), Now});
  }
}

BOOST_AUTO_TEST_CASE(is_sent_complete_to_a_gateway_with_another_list) {
  upstream_history Old;
  upstream_history New;
  Old.setList({upstreamOf("a")});
  New.setList({upstreamOf("b")});
  uint64_t Before = New.revision();
  New.setList({upstreamOf("b"), upstreamOf("c")});
  BOOST_TEST(New.changesSince(Old.revision()).whole());
  BOOST_TEST(Old.changesSince(New.revision()).whole());
  BOOST_TEST(New.changesSince(New.revision() + 1).whole());
  BOOST_TEST(!New.changesSince(Before).whole());
}

BOOST_AUTO_TEST_CASE(is_not_sent_again_by_a_new_leader) {
  std::vector<platform::listed_upstream> Listed;
  for (int I = 0; I < 3000; ++I)
    Listed.push_back(upstreamOf("i-" + std::to_string(I)));
  upstream_history Old;
  Old.setList(Listed);
  upstream_copy Copy;
  BOOST_TEST(Copy.apply(Old.changesSince(0)));
  BOOST_TEST(Copy.revision() == Old.revision());
  // Another control VM reads the same list in a different order and computes
  // the same revision.
  upstream_history New;
  std::shuffle(Listed.begin(), Listed.end(), std::mt19937_64(2));
  New.setList(Listed);
  BOOST_TEST(New.revision() == Copy.revision());
  // So does a gateway that reads the list from the platform itself.
  upstream_copy Own;
  Own.set(Listed);
  BOOST_TEST(Own.revision() == New.revision());
  Listed.front().Leaving = true;
  New.setList(Listed);
  wire::upstream_list Sent = New.changesSince(Copy.revision());
  BOOST_TEST(!Sent.whole());
  BOOST_TEST(Sent.upstreams_size() == 1);
  BOOST_TEST(Copy.apply(Sent));
  BOOST_TEST(Copy.revision() == New.revision());
}

BOOST_AUTO_TEST_CASE(takes_less_than_40_bytes_per_entry) {
  std::vector<platform::listed_upstream> Listed;
  std::mt19937_64 Random(3);
  for (int I = 0; I < 3000; ++I)
    Listed.push_back({.Id = "i-" + std::to_string(10000000 + I),
                      .Service = "olive-llm",
                      .Address = "10.128.0." + std::to_string(I % 250) + ":" +
                                 std::to_string(1024 + Random() % 60000),
                      .DataHall = I % 2 == 0 ? "hall-laval" : "hall-levis",
                      .Version = "v1",
                      .Slots = 128,
                      .StartedMs = 1777922648118 + Random() % 100000});
  upstream_history History;
  History.setList(Listed);
  wire::upstream_list Sent = History.changesSince(0);
  // With all names in text it would be 70 bytes per entry.
  BOOST_TEST(Sent.ByteSizeLong() < 40 * Listed.size());
  upstream_copy Copy;
  BOOST_TEST(Copy.apply(Sent));
  BOOST_TEST(Copy.revision() == History.revision());
}

// Guards against a corrupted list that is applied in part: a list is applied
// completely or changes nothing.
BOOST_AUTO_TEST_CASE(is_applied_completely_or_not_at_all) {
  upstream_history History;
  History.setList({upstreamOf("a"), upstreamOf("b"), upstreamOf("c")});
  std::string Bytes = History.changesSince(0).SerializeAsString();
  std::mt19937_64 Random(4);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Corrupted = Bytes;
    for (uint64_t I = 0, Count = 1 + Random() % 4; I < Count; ++I)
      Corrupted[Random() % Corrupted.size()] = char(Random());
    wire::upstream_list Sent;
    if (!Sent.ParseFromString(Corrupted))
      continue;
    upstream_copy Copy;
    Copy.set({upstreamOf("z")});
    uint64_t Held = Copy.revision();
    if (!Copy.apply(Sent))
      BOOST_TEST(Copy.revision() == Held);
  }
}

BOOST_AUTO_TEST_CASE(rejects_changes_to_another_list) {
  upstream_history History;
  History.setList({upstreamOf("a")});
  uint64_t First = History.revision();
  History.setList({upstreamOf("a"), upstreamOf("b")});
  upstream_copy Copy;
  Copy.set({upstreamOf("c")});
  uint64_t Held = Copy.revision();
  BOOST_TEST(!Copy.apply(History.changesSince(First)));
  BOOST_TEST(Copy.revision() == Held);
  BOOST_TEST(Copy.list().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
