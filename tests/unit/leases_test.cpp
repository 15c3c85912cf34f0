//===- leases_test.cpp - Configuration leases at nodes and the leader -----===//

#include "base/digest.h"
#include "boost/test/unit_test.hpp"
#include "catalog/config_replica.h"
#include "control/node_table.h"
#include "tests/unit/fixtures.h"

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(configuration_of_a_node)

wire::grant grantOf(const catalog &Config, uint64_t Since, double SentAt) {
  wire::grant Grant;
  Grant.set_sent_at(SentAt);
  Grant.set_lease_seconds(LeaseSeconds);
  Config.fillDelta(Since, *Grant.mutable_delta());
  return Grant;
}

BOOST_AUTO_TEST_CASE(applies_deltas_and_rejects_older_grants) {
  catalog Config = smallCatalog();
  wire::grant Old = grantOf(Config, 0, 10);
  config_replica Copy;
  BOOST_TEST(Copy.applyGrant(Old, 10.1));
  BOOST_TEST(Copy.config().index() == 5U);
  BOOST_TEST(Copy.hasLease(15));
  BOOST_TEST(!Copy.hasLease(16));

  wire::change_set Delete;
  Delete.add_changes()->set_kind("upstream");
  Delete.mutable_changes(0)->set_name("s");
  Delete.mutable_changes(0)->set_delete_(true);
  BOOST_REQUIRE(Config.applyChanges(Delete, 8).ok());
  wire::grant Delta = grantOf(Config, 5, 11);
  BOOST_TEST(Delta.delta().objects_size() == 1);
  BOOST_TEST(Copy.applyGrant(Delta, 11.1));
  BOOST_TEST(!Copy.config().upstream("s"));

  Old.set_sent_at(12);
  BOOST_TEST(!Copy.applyGrant(Old, 12.1));
  BOOST_TEST(Copy.config().index() == 8U);
  BOOST_TEST(Copy.leaseEnd() < 17.1);
}

BOOST_AUTO_TEST_CASE(gets_no_lease_from_a_delayed_grant) {
  config_replica Copy;
  Copy.applyGrant(grantOf(smallCatalog(), 0, 10), 30);
  BOOST_TEST(!Copy.hasLease(30));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(leases_at_the_leader)

wire::renew renewOf(const std::string &Node, uint64_t Index) {
  wire::renew Renew;
  Renew.set_node(Node);
  Renew.set_role("entry");
  Renew.set_incarnation(checksum(Node));
  Renew.set_config_index(Index);
  return Renew;
}

BOOST_AUTO_TEST_CASE(hold_up_a_change_until_renewed_or_expired) {
  node_table Table;
  Table.reset(0);
  double Now = 100;
  for (const char *Node : {"a", "b", "c"}) {
    Table.recordRenewal(Node, renewOf(Node, 4), Now);
    Table.recordGrant(Node, Now);
  }
  double WaitedSeconds = -1;
  Table.awaitInForce(5, Now, [&](double Seconds) { WaitedSeconds = Seconds; });
  Table.recordRenewal("a", renewOf("a", 5), Now + 1);
  Table.releaseLease("b");
  Table.poll(Now + 1);
  BOOST_TEST(WaitedSeconds < 0);
  // Node c does not renew, so the change waits until its lease has expired by
  // any clock within the allowed drift.
  Table.poll(Now + LeaseSeconds * 0.99);
  BOOST_TEST(WaitedSeconds < 0);
  Table.poll(Now + LeaseSeconds * (1 + 2 * MaxClockDrift));
  BOOST_TEST(WaitedSeconds > LeaseSeconds);
}

BOOST_AUTO_TEST_CASE(of_a_previous_leader_hold_up_a_change) {
  node_table Table;
  Table.reset(100);
  bool Done = false;
  Table.awaitInForce(5, 101, [&](double) { Done = true; });
  Table.poll(105);
  BOOST_TEST(!Done);
  Table.poll(106.2);
  BOOST_TEST(Done);
}

// Guards against a new leader that exceeds the allowance of a new version, the
// number of requests that it may answer. If each grant were divided by the
// entries known so far, three entries that renew one after the other would
// together get 1.8 times the allowance.
BOOST_AUTO_TEST_CASE(of_a_new_leader_do_not_exceed_the_allowance) {
  constexpr double Allowance = 12;
  node_table Table;
  Table.reset(100);
  double Granted = 0;
  for (const char *Node : {"a", "b", "c"}) {
    wire::renew Renew = renewOf(Node, 1);
    Renew.set_role("entry");
    Table.recordRenewal(Node, Renew, 101);
    Table.recordGrant(Node, 101);
    Granted += Table.perEntry(Allowance, 101);
  }
  BOOST_TEST(Granted <= Allowance);
  BOOST_TEST(Table.perEntry(Allowance, 106.5) == Allowance / 3);
}

BOOST_AUTO_TEST_CASE(share_limits_by_demand) {
  node_table Table;
  Table.reset(0);
  for (auto [Node, Rate] : {std::pair{"a", 30.0}, {"b", 10.0}}) {
    wire::renew Renew = renewOf(Node, 1);
    Renew.add_demand()->set_account("x");
    Renew.mutable_demand(0)->set_requests_per_second(Rate);
    Table.recordRenewal(Node, Renew, 10);
    Table.recordGrant(Node, 10);
  }
  double A = Table.sharesOf("a", 10)[0].share();
  double B = Table.sharesOf("b", 10)[0].share();
  BOOST_TEST(A > 2 * B);
  BOOST_TEST(A + B <= 1.0001);
}

BOOST_AUTO_TEST_SUITE_END()
