//===- placement_test.cpp - Which replicas hold which versions ------------===//

#include "boost/test/unit_test.hpp"
#include "policy/placement.h"
#include "sidecar/version_loader.h"

using namespace olivevalve;

namespace {

const version_name V1{"m", "1"};
const version_name V2{"m", "2"};
const version_name V3{"m", "3"};

/// Replicas in three data halls with room for two versions each.
placement_input fleet(size_t Replicas) {
  placement_input Input;
  for (size_t I = 0; I < Replicas; ++I)
    Input.Replicas.push_back({.Name = "r" + std::to_string(I),
                              .DataHall = "hall-" + std::to_string(I % 3),
                              .MaxLoadedVersions = 2,
                              .Models = {"m"}});
  return Input;
}

size_t copies(const placement_input &Input, const version_name &Name) {
  size_t Count = 0;
  for (const placed_replica &R : Input.Replicas)
    Count += R.Usable && R.Assigned.contains(Name) ? 1 : 0;
  return Count;
}

size_t loading(const placement_input &Input) {
  size_t Count = 0;
  for (const placed_replica &R : Input.Replicas)
    for (const version_name &Name : R.Assigned)
      Count += R.Usable && !R.Loaded.contains(Name) ? 1 : 0;
  return Count;
}

/// Applies placement steps until there are none and all assigned versions are
/// loaded. Loads complete whenever no step can be taken. Returns the number of
/// steps.
size_t runToConvergence(placement_input &Input) {
  for (size_t Steps = 0; Steps < 200;) {
    if (auto Step = nextPlacement(Input)) {
      ++Steps;
      Input.Replicas[Step->Replica].Assigned = Step->Assigned;
      BOOST_TEST(Step->Assigned.size() <= 2);
      BOOST_TEST(loading(Input) <= Input.MaxConcurrentLoads);
      continue;
    }
    if (loading(Input) == 0)
      return Steps;
    for (placed_replica &R : Input.Replicas)
      R.Loaded = R.Assigned;
  }
  BOOST_FAIL("the placement does not converge within 200 steps");
  return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placing_versions)

BOOST_AUTO_TEST_CASE(places_by_demand_with_two_copies_of_each) {
  placement_input Input = fleet(6);
  Input.Versions = {{V1, 90}, {V2, 10}, {V3, 0}};
  runToConvergence(Input);
  BOOST_TEST(copies(Input, V1) == 6U);
  BOOST_TEST(copies(Input, V2) >= 2U);
  BOOST_TEST(copies(Input, V3) >= 2U);
  std::set<std::string> Halls;
  for (const placed_replica &R : Input.Replicas)
    if (R.Assigned.contains(V3))
      Halls.insert(R.DataHall);
  BOOST_TEST(Halls.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(follows_demand_without_oscillating) {
  placement_input Input = fleet(12);
  Input.Versions = {{V1, 90}, {V2, 10}, {V3, 10}};
  runToConvergence(Input);
  size_t Before = copies(Input, V3);
  Input.Versions = {{V1, 10}, {V2, 10}, {V3, 90}};
  size_t Steps = runToConvergence(Input);
  BOOST_TEST(copies(Input, V3) > Before);
  BOOST_TEST(copies(Input, V1) >= 2U);
  BOOST_TEST(Steps <= 12U);
  // A small change in demand does not justify loading a version.
  Input.Versions = {{V1, 11}, {V2, 9}, {V3, 95}};
  BOOST_TEST(!nextPlacement(Input).has_value());
}

BOOST_AUTO_TEST_CASE(removes_ended_versions_even_while_loads_run) {
  placement_input Input = fleet(3);
  Input.Versions = {{V2, 1}};
  Input.Replicas[1].Assigned = {V1, V2};
  Input.Replicas[0].Assigned = {V2};
  // Three loads in progress, which is more than the limit.
  Input.Replicas[2].Assigned = {V2};
  auto Step = nextPlacement(Input);
  BOOST_REQUIRE(Step.has_value());
  BOOST_TEST(Step->Replica == 1U);
  BOOST_TEST((Step->Assigned == std::set{V2}));
  Input.Replicas[1].Assigned = Step->Assigned;
  BOOST_TEST(!nextPlacement(Input).has_value());
}

BOOST_AUTO_TEST_CASE(restores_two_copies_after_losing_replicas) {
  placement_input Input = fleet(6);
  Input.Versions = {{V1, 50}, {V2, 5}, {V3, 5}};
  runToConvergence(Input);
  for (placed_replica &R : Input.Replicas)
    R.Usable = R.DataHall != "hall-0";
  runToConvergence(Input);
  for (const version_name &Name : {V1, V2, V3})
    BOOST_TEST(copies(Input, Name) >= 2U);
}

// Guards against removing the last copies that can serve: a copy that is still
// loading cannot, so it does not replace a loaded one.
BOOST_AUTO_TEST_CASE(never_removes_the_last_loaded_copies) {
  placement_input Input = fleet(3);
  Input.MaxConcurrentLoads = 5;
  Input.Versions = {{V1, 1}, {V2, 1000}};
  for (placed_replica &R : Input.Replicas)
    R.MaxLoadedVersions = 1;
  for (size_t I : {0, 1, 2})
    Input.Replicas[I].Assigned = {V1};
  Input.Replicas[0].Loaded = {V1};
  Input.Replicas[1].Loaded = {V1};
  BOOST_TEST(!nextPlacement(Input).has_value());
  Input.Replicas[2].Loaded = {V1};
  BOOST_TEST(nextPlacement(Input).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_unload_a_version_with_requests_in_flight) {
  version_assignment Assignment{
      .Index = 7, .Versions = {{V2, "two"}, {V3, "three"}}, .Room = 2};
  std::map<version_name, std::string> Held = {{V1, "one"}, {V2, "two"}};
  auto Busy = versionsToLoad(Assignment, Held, {V1});
  BOOST_TEST(Busy.size() == 2U);
  BOOST_TEST(Busy.contains(V1));
  BOOST_TEST(Busy.contains(V2));
  auto Free = versionsToLoad(Assignment, Held, {});
  BOOST_TEST(!Free.contains(V1));
  BOOST_TEST(Free.contains(V3));
}

BOOST_AUTO_TEST_CASE(rejects_malformed_engine_models) {
  auto Good = parseEngineModels(R"({"fence": 9, "loaded": ["a", "b"]})");
  BOOST_REQUIRE(Good.has_value());
  BOOST_TEST(Good->Fence == 9U);
  BOOST_TEST(Good->Loaded.size() == 2U);
  for (const char *Bad : {"", "[]", "{}", R"({"fence": -1, "loaded": []})",
                          R"({"fence": 1, "loaded": {}})"})
    BOOST_TEST(!parseEngineModels(Bad).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
