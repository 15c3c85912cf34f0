//===- control_test.cpp - Control's view of gateways and roll-outs --------===//

#include "boost/test/unit_test.hpp"
#include "control/rollout_driver.h"

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

BOOST_AUTO_TEST_CASE(tallies_of_all_starts_add_up_however_often_they_are_told) {
  gateway_table Table;
  Table.watched("a", watchOf(1, 10, 1, "v1"), 0);
  Table.watched("a", watchOf(1, 20, 2, "v1"), 1);
  Table.watched("a", watchOf(2, 5, 0, "v1"), 2); // Started anew.
  Table.watched("b", watchOf(3, 7, 7, "v2"), 2);
  BOOST_TEST(Table.answersOf("llm", "v1").Answers == 25U);
  BOOST_TEST(Table.answersOf("llm", "v1").Failures == 2U);
  BOOST_TEST(Table.answersOfOthers("llm", "v2").Answers == 25U);
  BOOST_TEST(Table.answersOf("ledger", "v1").Answers == 0U);
}

BOOST_AUTO_TEST_CASE(staying_sessions_reach_each_gateway_once) {
  gateway_table Table;
  wire::watch Watch = watchOf(1, 0, 0, "v1");
  Watch.add_staying(7);
  Table.watched("a", Watch, 1);
  Table.watched("b", watchOf(2, 0, 0, "v1"), 1);
  auto Told = [&](const char *Peer, double Now) {
    wire::notice Notice;
    Table.fillStaying(Peer, Now, Notice);
    return Notice.staying_size();
  };
  BOOST_TEST(Told("b", 1.1) == 1);
  BOOST_TEST(Told("b", 1.2) == 0);
  Table.forgetSilent(30);
  BOOST_TEST(Table.gateways().empty());
  BOOST_TEST(Told("c", 30) == 0);
}

BOOST_AUTO_TEST_CASE(a_roll_out_is_judged_by_what_was_counted_since_its_order) {
  gateway_table Gateways;
  Gateways.watched("a", watchOf(1, 100, 90, "v1"), 0);
  rollout_book Book;
  wire::rollout Order;
  Order.set_service("llm");
  Order.set_target_version("v2");
  Order.set_duration_seconds(20);
  BOOST_TEST(Book.begin(Order, 1000).ok());
  rollout_driver Driver;
  BOOST_TEST(Driver.steps(Book, Gateways, 50, 1000).empty());
  Gateways.watched("a", watchOf(1, 200, 91, "v1"), 51);
  Gateways.watched("b", watchOf(2, 20, 10, "v2"), 51);
  auto Steps = Driver.steps(Book, Gateways, 52, 1002);
  BOOST_REQUIRE(Steps.size() == 1U);
  BOOST_TEST(Steps[0].to() == wire::REVERTED);
  // A new leader learns from the order's time how far it is.
  rollout_driver Next;
  Gateways.watched("b", watchOf(2, 40, 0, "v2"), 500);
  BOOST_TEST(Next.steps(Book, Gateways, 500, 1005).empty());
  Steps = Next.steps(Book, Gateways, 515, 1020);
  BOOST_REQUIRE(Steps.size() == 1U);
  BOOST_TEST(Steps[0].to() == wire::SHIFT);
}

BOOST_AUTO_TEST_SUITE_END()
