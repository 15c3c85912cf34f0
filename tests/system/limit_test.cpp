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
#include <algorithm>
#include <array>
#include <list>

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
    /// Limits that its log had named before the present life of its process.
    size_t LimitsBefore = 0;

    /// Limits that its log names, from own responses and from other gateways.
    size_t limitsLogged() const {
      const std::string Line = "\"upstream states a request limit\"";
      std::string Text = Process->logText();
      size_t Count = 0;
      for (size_t At = 0; (At = Text.find(Line, At)) != std::string::npos;
           At += Line.size())
        ++Count;
      return Count;
    }
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
    std::vector<std::shared_ptr<client_response>> Answers;
    for (member &Each : Fleet)
      for (const request_path &Path : RequestPaths)
        Answers.push_back(beginAt(Each, Path));
    for (const auto &Answer : Answers) {
      until("the request is answered", [&] { return Answer->Done; });
      ++Statuses[Answer->Status];
    }
    run(0.02);
  }
  void sendFor(double Seconds) {
    for (double End = steadySeconds() + Seconds; steadySeconds() < End;)
      sendRound();
  }
  /// Lets the upstream state the limit, and sends requests until each gateway
  /// knows it and the grace period is over.
  void stateLimit(replica &Replica, const std::string &Limit) {
    Replica.RequestLimit = Limit;
    until("all gateways know the limit", [&] {
      sendRound();
      return std::all_of(Fleet.begin(), Fleet.end(), [](const member &Each) {
        return Each.limitsLogged() > Each.LimitsBefore;
      });
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

BOOST_AUTO_TEST_CASE(stay_within_it_while_a_gateway_restarts) {
  limit_world World(4, 3);
  replica &Limited = *World.Replicas["i-1"];
  World.stateLimit(Limited, std::to_string(LimitPerSecond));
  auto &Restarted = World.Fleet.front();
  Restarted.Process->kill();
  Restarted.LimitsBefore = Restarted.limitsLogged();
  Restarted.Process->start();
  World.until("the gateway serves again",
              [&] { return World.serves(Restarted); });
  World.stateLimit(Limited, std::to_string(LimitPerSecond));
  double Since = steadySeconds();
  World.sendFor(WindowSeconds + 1);
  BOOST_TEST(Limited.maxArrivals(Since, WindowSeconds) <= MaxInWindow);
}

BOOST_AUTO_TEST_CASE(are_used_at_their_limit_and_more_once_it_ends) {
  limit_world World(3, 2);
  replica &Limited = *World.Replicas["i-1"];
  World.stateLimit(Limited, std::to_string(LimitPerSecond));
  int Before = Limited.arrivals();
  World.sendFor(2 * WindowSeconds);
  BOOST_TEST(Limited.arrivals() - Before >=
             int(LimitPerSecond * WindowSeconds));
  BOOST_TEST_CONTEXT("a response without a limit ends it at all gateways") {
    Limited.RequestLimit = "";
    Before = Limited.arrivals();
    World.until("the upstream gets more requests", [&] {
      World.sendRound();
      return Limited.arrivals() > Before + 2 * MaxInWindow;
    });
    for (auto &Each : World.Fleet)
      BOOST_TEST(Each.Process->logText().find(
                     "upstream states no request limit any more") !=
                 std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(that_one_gateway_was_told_of_are_known_to_the_others) {
  limit_world World(3, 2);
  replica &Limited = *World.Replicas["i-1"];
  Limited.RequestLimit = std::to_string(LimitPerSecond);
  auto &Told = World.Fleet.front();
  World.until("a gateway is told", [&] {
    auto Answer = World.beginAt(Told, RequestPaths[0]);
    World.until("a response", [&] { return Answer->Done; });
    return !Answer->header("server-limit").empty();
  });
  World.until("the other one knows it", [&] {
    return World.Fleet.back().Process->logText().find(
               "\"known_from\":\"another gateway\"") != std::string::npos;
  });
}

BOOST_AUTO_TEST_CASE(
    refuse_callers_at_once_with_retry_after_if_all_are_limited) {
  limit_world World(2, 1);
  for (auto &[Id, Replica] : World.Replicas)
    Replica->RequestLimit = "0.5";
  auto &Gateway = World.Fleet.front();
  std::shared_ptr<client_response> Answer;
  double SentAt = 0;
  World.until("a request is refused", [&] {
    SentAt = steadySeconds();
    Answer = World.beginAt(Gateway, RequestPaths[0]);
    World.until("a response", [&] { return Answer->Done; });
    return Answer->Status == 503;
  });
  BOOST_TEST(Answer->outcome() == "not-run");
  std::set<std::string> Advice;
  for (int I = 0; I < 4; ++I) {
    int Before =
        World.Replicas["i-1"]->arrivals() + World.Replicas["i-2"]->arrivals();
    Answer = World.beginAt(Gateway, RequestPaths[0]);
    World.until("a response", [&] { return Answer->Done; });
    int After =
        World.Replicas["i-1"]->arrivals() + World.Replicas["i-2"]->arrivals();
    BOOST_TEST((Answer->Status == 503) == (After == Before));
    if (Answer->Status != 503)
      continue;
    Advice.insert(Answer->header("retry-after"));
    double Seconds = std::atof(Answer->header("retry-after").c_str());
    BOOST_TEST(Seconds > 0);
    BOOST_TEST(Seconds < 5);
  }
  BOOST_TEST(Advice.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(with_an_invalid_limit_are_not_limited) {
  limit_world World(2, 1);
  replica &Odd = *World.Replicas["i-1"];
  for (const char *Invalid : {"-5", "nan", "inf", "soon", "1e999"}) {
    Odd.RequestLimit = Invalid;
    int Before = Odd.arrivals();
    World.until("the upstream gets many requests", [&] {
      World.sendRound();
      return Odd.arrivals() > Before + MaxInWindow;
    });
  }
  BOOST_TEST(World.Fleet.front().Process->logText().find(
                 "upstream states a request limit") == std::string::npos);
  BOOST_TEST_CONTEXT("an invalid value does not end a limit") {
    World.stateLimit(Odd, std::to_string(LimitPerSecond));
    Odd.RequestLimit = "soon";
    double Since = steadySeconds();
    World.sendFor(WindowSeconds);
    BOOST_TEST(Odd.maxArrivals(Since, WindowSeconds) <= MaxInWindow);
  }
}

BOOST_AUTO_TEST_SUITE_END()
