//===- evacuation_test.cpp - Evacuated data halls in the replicated state -===//

#include "base/error.h"
#include "boost/test/unit_test.hpp"
#include "gateway/upstream_table.h"
#include "lease/evacuated_halls.h"
#include "ledger/state_machine.h"
#include "tests/unit/fixtures.h"

using namespace olivevalve;

namespace {

std::string orderText(const std::string &Hall, bool Restore) {
  return commandText([&](wire::command &Command) {
    Command.mutable_evacuation()->set_data_hall(Hall);
    Command.mutable_evacuation()->set_restore(Restore);
  });
}

wire::evacuation_news evacuationUpdate(uint64_t Revision,
                                       const std::vector<std::string> &Halls) {
  wire::evacuation_news Update;
  Update.set_revision(Revision);
  for (const std::string &Hall : Halls)
    Update.add_evacuations()->set_data_hall(Hall);
  return Update;
}

platform::listed_upstream listedIn(const std::string &Id,
                                   const std::string &Hall) {
  return {.Id = Id, .Service = "s", .DataHall = Hall, .Version = "v1"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations)

BOOST_AUTO_TEST_CASE(ordered_or_restored_twice_have_no_further_effect) {
  state_machine State;
  uint64_t Index = 0;
  auto Order = [&](const std::string &Hall, bool Restore) {
    return State.apply(++Index, orderText(Hall, Restore)).Status;
  };
  BOOST_TEST(Order("lac", true).ok());
  BOOST_TEST(State.evacuations().revision() == 0U);
  BOOST_TEST(Order("lac", false).ok());
  BOOST_TEST(Order("lac", false).ok());
  BOOST_TEST(State.evacuations().revision() == 1U);
  BOOST_TEST(State.evacuations().contains("lac"));
  BOOST_TEST(Order("lac", true).ok());
  BOOST_TEST(Order("lac", true).ok());
  BOOST_TEST(State.evacuations().revision() == 2U);
  BOOST_TEST(!State.evacuations().contains("lac"));
}

BOOST_AUTO_TEST_CASE(are_kept_in_snapshots) {
  state_machine State;
  State.apply(1, orderText("lac", false));
  State.apply(2, orderText("charguia", false));
  State.apply(3, orderText("lac", true));
  state_machine Restored;
  BOOST_REQUIRE(Restored.restore(State.image()));
  BOOST_TEST(Restored.evacuations().contains("charguia"));
  BOOST_TEST(!Restored.evacuations().contains("lac"));
  BOOST_TEST(Restored.evacuations().revision() == 3U);
}

BOOST_AUTO_TEST_CASE(are_bounded_in_number) {
  state_machine State;
  uint64_t Index = 0;
  for (size_t I = 0; I < evacuation_store::MaxHalls; ++I)
    State.apply(++Index, orderText("hall-" + std::to_string(I), false));
  absl::Status Refused = State.apply(++Index, orderText("more", false)).Status;
  BOOST_TEST((kindOf(Refused) == error_kind::Conflict));
  BOOST_TEST(State.apply(++Index, orderText("hall-1", true)).Status.ok());
  BOOST_TEST(State.apply(++Index, orderText("more", false)).Status.ok());
}

BOOST_AUTO_TEST_CASE(are_not_undone_by_stale_updates) {
  evacuated_halls Halls;
  BOOST_TEST(Halls.applyUpdate(evacuationUpdate(2, {"lac"})));
  BOOST_TEST(!Halls.applyUpdate(evacuationUpdate(1, {})));
  BOOST_TEST(!Halls.applyUpdate(evacuationUpdate(2, {"charguia"})));
  BOOST_TEST(!Halls.applyUpdate({}));
  BOOST_TEST(Halls.contains("lac"));
  BOOST_TEST(Halls.applyUpdate(evacuationUpdate(3, {})));
  BOOST_TEST(!Halls.contains("lac"));
}

BOOST_AUTO_TEST_CASE(apply_to_upstreams_that_are_listed_later) {
  upstream_table Table;
  Table.update({listedIn("a", "lac"), listedIn("b", "charguia")}, 0);
  BOOST_TEST(Table.setEvacuated({"lac"}).empty());
  Table.update(
      {listedIn("a", "lac"), listedIn("b", "charguia"), listedIn("c", "lac")},
      1);
  for (const auto &Each : Table.ofService("s"))
    BOOST_TEST(Each->acceptsRequests(1) == (Each->Listed.DataHall != "lac"));
  BOOST_TEST(!Table.allEvacuated("s"));
  BOOST_TEST_CONTEXT("a change returns the upstreams that were restored") {
    BOOST_TEST(Table.setEvacuated({"charguia"}).size() == 2U);
    BOOST_TEST(Table.setEvacuated({"charguia", "lac"}).empty());
    BOOST_TEST(Table.allEvacuated("s"));
    BOOST_TEST(!Table.allEvacuated("nothing of this name"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
