//===- failing_test.cpp - An upstream that fails its requests -------------===//
//
// Guards against sending unsafe requests to an upstream that fails them
// although the list shows it as ready. It gets few requests while the others
// succeed.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

class failing_world : public gateway_world {
public:
  explicit failing_world(size_t Upstreams) {
    for (size_t I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)});
    startServing(defaultRouting());
  }
  /// Sends unsafe requests and returns the number that failed with 500.
  int failuresOf(int Requests) {
    int Failures = 0;
    for (int I = 0; I < Requests; ++I)
      Failures += request("/unsafe/x").Status == 500;
    return Failures;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(failing_upstreams)

BOOST_AUTO_TEST_CASE(get_few_unsafe_requests) {
  failing_world World(3);
  World.Replicas["i-1"]->Fails = true;
  BOOST_TEST(World.failuresOf(300) < 30);
  BOOST_TEST_CONTEXT("an upstream that has recovered gets requests again") {
    World.Replicas["i-1"]->Fails = false;
    int Before = World.Replicas["i-1"]->runs();
    World.until("the upstream gets requests", [&] {
      World.request("/unsafe/x");
      return World.Replicas["i-1"]->runs() > Before + 10;
    });
  }
}

BOOST_AUTO_TEST_CASE(are_all_used_if_all_fail) {
  failing_world World(2);
  for (auto &[Id, Replica] : World.Replicas)
    Replica->Fails = true;
  World.failuresOf(100);
  for (auto &[Id, Replica] : World.Replicas)
    BOOST_TEST(Replica->runs() > 20);
}

BOOST_AUTO_TEST_SUITE_END()
