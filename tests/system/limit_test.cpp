//===- limit_test.cpp - Upstreams that state a request limit --------------===//
//
// Guards against sending an upstream more requests than the limit that it
// states for all gateways together, through any of the paths that choose an
// upstream.
//
//===----------------------------------------------------------------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"

using namespace olivevalve;

namespace {

constexpr double LimitPerSecond = 2;
constexpr double WindowSeconds = 4;
constexpr double Ratio = 1.5;
constexpr double Slack = 5;
/// Limit on the requests that the upstream gets within any window.
constexpr int MaxInWindow = int(Ratio * LimitPerSecond * WindowSeconds + Slack);
// Requests in flight when a gateway gets to know the limit may still arrive for
// this long.
constexpr double GraceSeconds = 0.5;

const client_request AnyModel = {
    .Headers = {"X-Model: *", "X-Token-Count: 100,20"}};
const client_request NoModel;

/// Requests that reach upstreams in different ways: a first attempt, one for a
/// larger model, a retry elsewhere, a resumed stream.
struct request_path {
  const char *Target;
  const client_request &Request;
};
const std::array<request_path, 4> RequestPaths = {{
    {"/safe/x", NoModel},
    {"/stream/x?events=3", AnyModel},
    {"/safe/x?do=refuse", NoModel},
    {"/stream/x?events=4&break=2", AnyModel},
}};

/// Several gateways before the same upstreams, which report low confidence: a
/// request that lets the router choose is repeated for a larger model.
class limit_world : public gateway_world {
public:
  limit_world(size_t Upstreams, size_t Gateways) {
    for (size_t I = 1; I <= Upstreams; ++I)
      addReplica({.Id = "i-" + std::to_string(I)}).Confidence = 0.1;
    BOOST_REQUIRE_EQUAL(putRouting(defaultRouting()).Status, 200);
    for (size_t I = 1; I <= Gateways; ++I) {
      auto &Added = Fleet.emplace_back();
      Added.Process = makeGateway("gateway-" + std::to_string(I), Added.Address,
                                  Added.Health);
      Added.Process->start();
    }
    for (member &Each : Fleet)
      until("a gateway serves", [&] { return serves(Each); });
  }
  ~limit_world() {
    for (member &Each : Fleet)
      Each.Process->kill();
  }

  struct member {
    reserved_address Address;
    reserved_address Health;
    std::unique_ptr<daemon_process> Process;
    /// When a response with the limit was last seen by a caller; 0: never.
    double ToldAt = 0;
  };

  bool serves(member &Gateway) {
    auto Answer = beginAt(Gateway, RequestPaths[0]);
    until("a response", [&] { return Answer->Done; });
    return Answer->Status == 200;
  }
  std::shared_ptr<client_response> beginAt(member &Gateway,
                                           const request_path &Path) {
    return beginRequestAt(Gateway.Address.text(), Path.Target, Path.Request);
  }
  /// Sends one request of each path through each gateway, and waits for the
  /// responses. Counts them by status.
  void sendRound() {
    std::vector<std::pair<member *, std::shared_ptr<client_response>>> Answers;
    for (member &Each : Fleet)
      for (const request_path &Path : RequestPaths)
        Answers.emplace_back(&Each, beginAt(Each, Path));
    for (auto &[Gateway, Answer] : Answers) {
      until("the request is answered", [&, A = Answer] { return A->Done; });
      ++Statuses[Answer->Status];
      if (!Answer->header("server-limit").empty())
        Gateway->ToldAt = steadySeconds();
    }
    run(0.02);
  }
  void sendFor(double Seconds) {
    for (double End = steadySeconds() + Seconds; steadySeconds() < End;)
      sendRound();
  }
  /// Lets the upstream state the limit, and sends requests until each gateway
  /// has passed on such a response and the grace period is over.
  void stateLimit(replica &Replica, const std::string &Limit) {
    Replica.RequestLimit = Limit;
    until("all gateways are told", [&] {
      sendRound();
      return std::all_of(Fleet.begin(), Fleet.end(),
                         [](const member &Each) { return Each.ToldAt > 0; });
    });
    sendFor(GraceSeconds);
  }

  std::list<member> Fleet;
  std::map<int, int> Statuses;
};

} // namespace

BOOST_AUTO_TEST_SUITE(limited_upstreams)

BOOST_AUTO_TEST_CASE(get_no_more_than_their_limit_from_all_gateways) {
  limit_world World(4, 3);
  replica &Limited = *World.Replicas["i-1"];
  World.stateLimit(Limited, std::to_string(LimitPerSecond));
  double Since = steadySeconds();
  World.sendFor(2 * WindowSeconds);
  BOOST_TEST(Limited.maxArrivals(Since, WindowSeconds) <= MaxInWindow);
}

BOOST_AUTO_TEST_SUITE_END()
