//===- placement_test.cpp - Loading of versions as assigned by control ----===//

#include "boost/test/unit_test.hpp"
#include "tests/world.h"

using namespace olivevalve;

namespace {

constexpr const char *Names[] = {"p1", "p2", "p3", "p4"};

json rollingModel(const std::string &State1, const std::string &State3) {
  json Model = modelWithVersionStates(State1, "active");
  if (!State3.empty())
    Model["versions"]["3"] = {{"state", State3}};
  return Model;
}

/// Four upstreams managed by control in two data halls, each with room for two
/// versions.
class placement_world : public world {
public:
  placement_world() {
    startControl(3);
    for (const char *Name : Names)
      startSidecar(Name, hallOf(Name));
    startEntry("entry-1");
    json Account = usualAccount();
    json Upstreams;
    for (const char *Name : Names)
      Upstreams[Name] = {{"address", Sidecars[Name]->Path->address()},
                         {"data_hall", hallOf(Name)},
                         {"room", 2},
                         {"models", {"olive-llm"}},
                         {"slots", 64}};
    BOOST_REQUIRE(
        apply({{"models", {{"olive-llm", rollingModel("active", "")}}},
               {"templates", {{"plan", {{"candidates", {"olive-llm"}}}}}},
               {"accounts", {{"dispatch", Account}}},
               {"upstreams", Upstreams}},
              30)
            .value("in_force", false));
    untilReady(Entries["entry-1"]->Health);
  }

  static std::string hallOf(const std::string &Name) {
    return Name < "p3" ? "charguia" : "lac";
  }

  /// Number of engines that have the version loaded, among those whose sidecar
  /// is running.
  size_t loadedCount(const std::string &Version) {
    size_t Count = 0;
    for (const char *Name : Names) {
      if (!Sidecars[Name]->Process->running())
        continue;
      json Loaded = engineCounts(*Sidecars[Name])["loaded"];
      Count += std::count(Loaded.begin(), Loaded.end(), Version);
    }
    return Count;
  }

  void untilLoaded(const std::string &Version, size_t MinCount) {
    until(
        Version + " is loaded by " + std::to_string(MinCount),
        [&] { return loadedCount(Version) >= MinCount; }, 60);
  }

  client_response requestVersion(const std::string &Version) {
    return ask(Entries["entry-1"]->Address.text(),
               {.Body = chatBody("olive-llm@" + Version, "x")});
  }

  uint64_t sum(const std::string &Count) {
    uint64_t Sum = 0;
    for (const char *Name : Names)
      Sum += engineCounts(*Sidecars[Name])[Count].get<uint64_t>();
    return Sum;
  }

private:
  json usualAccount() {
    return {
        {"key_digests",
         {"8636848d98db4b818d5867459be7dc6a435aeaa35e63b1ad4b10a308d3d1ce54"}},
        {"models", {"olive-llm"}}};
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

// Guards against versions that are not loaded or unloaded as assigned because
// the leader is killed, an engine restarts, or an old order arrives late.
BOOST_AUTO_TEST_CASE(loads_and_unloads_versions_under_faults) {
  placement_world World;
  World.untilLoaded("olive-llm@1", 4);
  World.untilLoaded("olive-llm@2", 4);
  for (const char *Version : {"1", "2"})
    BOOST_TEST(World.requestVersion(Version).Status == 200);

  BOOST_TEST_MESSAGE("the leader is killed right after a new version is added");
  World.putObject("model", "olive-llm", rollingModel("active", "rolling"));
  World.leader().Process->kill();
  World.untilLoaded("olive-llm@3", 2);
  BOOST_TEST(World.requestVersion("3").Status == 200);
  for (auto &Node : World.Control)
    if (!Node->Process->running())
      Node->Process->start();

  BOOST_TEST_MESSAGE("an old version is withdrawn");
  json Answer = World.putObject("model", "olive-llm",
                                rollingModel("withdrawn", "active"), 40);
  BOOST_TEST(Answer.value("in_force", false));
  World.until(
      "version 1 is unloaded",
      [&] { return World.loadedCount("olive-llm@1") == 0; }, 60);
  World.untilLoaded("olive-llm@3", 4);

  BOOST_TEST_MESSAGE("an engine restarts with no version loaded");
  World.configureEngine(*World.Sidecars["p1"]->Engine,
                        {{"forget_models", true}});
  World.untilLoaded("olive-llm@3", 4);

  BOOST_TEST_MESSAGE("a late order of a sidecar that has since been replaced");
  stand_in &Engine = *World.Sidecars["p2"]->Engine;
  client_response Late = World.call(
      Engine.address(), {.Method = "PUT",
                         .Path = "/models",
                         .Body = R"({"fence": 1, "models": ["olive-llm@1"]})"});
  BOOST_TEST(Late.Status == 409);
  BOOST_TEST(World.requestVersion("3").Status == 200);
  BOOST_TEST(World.sum("unheld") == 0U);
}

// Guards against serving a version from too few upstreams: when one of the only
// two that have it loaded is lost, control assigns the version to another one.
BOOST_AUTO_TEST_CASE(replaces_a_lost_upstream) {
  placement_world World;
  World.putObject("model", "olive-llm", rollingModel("active", "rolling"));
  World.untilLoaded("olive-llm@3", 2);
  World.until("every version is loaded twice", [&] {
    return World.loadedCount("olive-llm@1") >= 2 &&
           World.loadedCount("olive-llm@2") >= 2;
  });
  std::string Lost;
  for (const char *Name : Names) {
    json Loaded = World.engineCounts(*World.Sidecars[Name])["loaded"];
    if (std::count(Loaded.begin(), Loaded.end(), "olive-llm@3"))
      Lost = Name;
  }
  World.Sidecars[Lost]->Process->kill();
  World.untilLoaded("olive-llm@3", 2);
  BOOST_TEST(World.requestVersion("3").Status == 200);

  BOOST_TEST_MESSAGE(
      "the upstream returns, and a change by an operator does not "
      "undo the assignments of control");
  World.Sidecars[Lost]->Process->start();
  World.untilLoaded("olive-llm@3", 2);
  json Upstream = {{"address", World.Sidecars["p1"]->Path->address()},
                   {"data_hall", "charguia"},
                   {"room", 2},
                   {"models", {"olive-llm"}},
                   {"slots", 32}};
  BOOST_TEST(
      World.putObject("upstream", "p1", Upstream).value("in_force", false));
  for (const char *Version : {"1", "2", "3"})
    BOOST_TEST(World.requestVersion(Version).Status == 200);
  BOOST_TEST(World.sum("unheld") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
