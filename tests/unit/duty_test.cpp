//===- duty_test.cpp - Usage reports and who sends them -------------------===//
//
// Guards against usage that is counted twice, lost or reported in two versions
// when messages are lost or repeated, leaders change, gateways restart and
// clocks jump.
//
//===----------------------------------------------------------------------===//

#include "boost/test/unit_test.hpp"
#include "duty/agreed_clock.h"
#include "duty/duty_holder.h"
#include "duty/usage_collector.h"
#include "duty/usage_meter.h"
#include "duty/usage_schedule.h"
#include "ledger/duties.h"
#include "platform/duty_client.h"
#include <deque>
#include <limits>
#include <random>

using namespace olivevalve;

namespace {

constexpr double WindowSeconds = 5;
constexpr double Wall = 1'000'000; ///< Unix time at steady time 0.

wire::usage_window reportOf(uint64_t Window, uint64_t Requests) {
  wire::usage_window Report;
  Report.set_window(Window);
  wire::account_count *Count = Report.add_counts();
  Count->set_account("dispatch");
  Count->set_requests(Requests);
  return Report;
}

uint64_t requestsOf(const wire::usage_window &Report,
                    const std::string &Account) {
  for (const wire::account_count &Count : Report.counts())
    if (Count.account() == Account)
      return Count.requests();
  return 0;
}

/// Gateways that count and a leader that sums up, with messages that are lost,
/// repeated and late, and leaders and gateways that are replaced.
class usage_run {
public:
  explicit usage_run(uint64_t Seed) : Random(Seed) {
    for (uint64_t I = 0; I < 5; ++I)
      startGateway(I);
  }

  void run(double Seconds) {
    for (double End = Now + Seconds; Now < End;) {
      Now += 0.1;
      for (gateway &Gateway : Gateways)
        step(Gateway);
      deliver();
      if (chance() < 0.01)
        changeLeader();
      if (chance() < 0.01)
        restart(Random() % Gateways.size());
    }
  }

  /// Lets all messages arrive.
  void settle() {
    Faults = false;
    Counting = false;
    run(3);
  }

  usage_collector Collector;
  std::map<std::string, uint64_t> Truth; ///< Requests by account.
  double Now = 1000;

private:
  struct gateway {
    uint64_t Incarnation = 0;
    std::string Node;
    usage_meter Meter{WindowSeconds, 0, 0};
  };
  struct watch {
    double At = 0;
    double SentAt = 0;
    uint64_t Incarnation = 0;
    std::string Node;
    wire::usage_update Update;
  };

  double chance() { return Unit(Random); }

  void startGateway(uint64_t Index) {
    gateway Gateway{.Incarnation = ++LastIncarnation,
                    .Node = "gateway-" + std::to_string(Index)};
    Gateway.Meter = usage_meter(WindowSeconds, Wall + Now, Now);
    if (Index < Gateways.size())
      Gateways[Index] = std::move(Gateway);
    else
      Gateways.push_back(std::move(Gateway));
  }

  // A planned stop: all that was counted is told before the process ends.
  void restart(uint64_t Index) {
    if (!Faults)
      return;
    wire::usage_status Forget;
    Forget.set_term(std::numeric_limits<uint64_t>::max());
    Gateways[Index].Meter.acknowledge(Forget, 0);
    Ended.push_back(watchOf(Gateways[Index]));
    record(Ended.back());
    startGateway(Index);
  }

  // The new leader is told again; the totals of gateways that have ended are
  // played again here, as a real one would only be off by them.
  void changeLeader() {
    if (!Faults)
      return;
    ++Term;
    Collector.reset();
    for (const watch &Each : Ended)
      record(Each);
  }

  bool record(const watch &Watch) {
    return Collector.record(Watch.Incarnation, Watch.Node, Watch.Update, Term,
                            0, Now);
  }

  watch watchOf(gateway &Gateway) {
    watch Watch{.At = Now,
                .SentAt = Now,
                .Incarnation = Gateway.Incarnation,
                .Node = Gateway.Node};
    usage_meter All = Gateway.Meter;
    All.fill(Watch.Update, Wall + Now, Now);
    return Watch;
  }

  void step(gateway &Gateway) {
    if (Counting && chance() < 0.5) {
      std::string Account = "account-" + std::to_string(Random() % 3);
      Gateway.Meter.record(Account, Now, Now);
      ++Truth[Account];
    }
    watch Watch = watchOf(Gateway);
    if (Faults && chance() < 0.3)
      return; // Lost.
    Watch.At += Faults ? chance() : 0;
    Network.push_back(Watch);
    if (Faults && chance() < 0.1)
      Network.push_back(Watch);
  }

  void deliver() {
    std::deque<watch> Later;
    for (watch &Watch : Network) {
      if (Watch.At > Now) {
        Later.push_back(std::move(Watch));
        continue;
      }
      wire::usage_status Status;
      Status.set_recorded(record(Watch));
      Status.set_term(Term);
      if (Faults && chance() < 0.3)
        continue; // The notice is lost.
      for (gateway &Gateway : Gateways)
        if (Gateway.Incarnation == Watch.Incarnation)
          Gateway.Meter.acknowledge(Status, Watch.SentAt);
    }
    Network = std::move(Later);
  }

  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Unit{0, 1};
  std::vector<gateway> Gateways;
  std::deque<watch> Network;
  std::vector<watch> Ended;
  uint64_t Term = 1;
  uint64_t LastIncarnation = 0;
  bool Faults = true;
  bool Counting = true;
};

} // namespace

BOOST_AUTO_TEST_SUITE(usage)

BOOST_AUTO_TEST_SUITE(of_gateways)

BOOST_AUTO_TEST_CASE(is_summed_up_exactly_although_messages_are_lost) {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    usage_run Run(Seed);
    Run.run(30);
    Run.settle();
    std::map<std::string, uint64_t> Sum;
    for (uint64_t Window = uint64_t((Wall + 999) / WindowSeconds);
         Window <= uint64_t((Wall + Run.Now) / WindowSeconds); ++Window) {
      wire::usage_window Total = Run.Collector.total(Window);
      for (const wire::account_count &Count : Total.counts())
        Sum[Count.account()] += Count.requests();
    }
    BOOST_TEST_CONTEXT("seed " << Seed)
    BOOST_TEST((Sum == Run.Truth));
  }
}

BOOST_AUTO_TEST_CASE(is_counted_in_the_window_in_which_it_began) {
  usage_meter Meter(WindowSeconds, Wall, 0);
  Meter.record("a", 4.9, 5.1);
  Meter.record("a", 5.1, 5.2);
  wire::usage_update Update;
  Meter.fill(Update, Wall, 5.2);
  BOOST_REQUIRE(Update.windows_size() == 2);
  BOOST_TEST(Update.windows(0).window() == 200000U);
  BOOST_TEST(Update.windows(1).window() == 200001U);
  BOOST_TEST_CONTEXT("which is complete once late responses are counted") {
    BOOST_TEST(Update.complete_before() == 200000U);
    Meter.fill(Update, Wall, 5.9);
    BOOST_TEST(Update.complete_before() == 200001U);
  }
  BOOST_TEST_CONTEXT("by the agreed clock, whatever the own one shows") {
    Meter.setWall(Wall + 5, 0);
    Meter.record("b", 4.9, 5);
    wire::usage_update Later;
    Meter.fill(Later, Wall + 70, 6);
    BOOST_TEST(requestsOf(Later.windows(1), "b") == 1U);
  }
}

BOOST_AUTO_TEST_CASE(is_forgotten_once_its_report_is_committed) {
  usage_meter Meter(WindowSeconds, Wall, 0);
  Meter.record("a", 1, 1);
  Meter.record("a", 2, 3);
  wire::usage_status Status;
  Status.set_term(1);
  Status.set_recorded(true);
  Status.set_next_window(200001);
  BOOST_TEST(Meter.acknowledge(Status, 4) == 0U);
  wire::usage_update Update;
  Meter.fill(Update, Wall, 6);
  BOOST_TEST(Update.windows_size() == 0);
  BOOST_TEST_CONTEXT("and counted as late if the report lacks it") {
    Meter.record("a", 1, 6);
    BOOST_TEST(Meter.acknowledge(Status, 5) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(is_complete_when_all_that_report_say_so) {
  usage_collector Collector;
  BOOST_TEST(!Collector.complete(7));
  wire::usage_update Update;
  Update.set_complete_before(8);
  Collector.record(1, "one", Update, 1, 0, 0);
  Update.set_complete_before(7);
  Collector.record(2, "two", Update, 1, 0, 0);
  BOOST_TEST(!Collector.complete(7));
  BOOST_TEST_CONTEXT("a later start replaces one that has ended") {
    Update.set_complete_before(8);
    Collector.record(3, "two", Update, 1, 0, 1);
    BOOST_TEST(Collector.complete(7));
    BOOST_TEST(Collector.reporters() == 2U);
  }
  BOOST_TEST_CONTEXT("a silent one is not waited for for ever") {
    BOOST_TEST(!Collector.complete(8));
    Update.set_complete_before(9);
    Collector.record(3, "two", Update, 1, 0, 10.5);
    Collector.forget(0, 10.5);
    BOOST_TEST(Collector.complete(8));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_window)

BOOST_AUTO_TEST_CASE(is_fixed_when_complete_or_after_half_of_the_delay) {
  usage_schedule Schedule{.WindowSeconds = 5, .DelaySeconds = 10};
  auto Fix = [&](bool Complete, double Wall) {
    return Schedule.windowToFix(100, Complete, 120, Wall).value_or(0);
  };
  BOOST_TEST(Fix(true, 504.9) == 0U);
  BOOST_TEST(Fix(true, 505.1) == 100U);
  BOOST_TEST(Fix(false, 509.9) == 0U);
  BOOST_TEST(Fix(false, 510.1) == 100U);
  BOOST_TEST_CONTEXT("windows that are too old are left out") {
    BOOST_TEST(Fix(false, 5 * 1000) == 880U);
  }
}

BOOST_AUTO_TEST_CASE(is_reported_oldest_first_but_not_behind_overdue_ones) {
  usage_schedule Schedule{.WindowSeconds = 5, .DelaySeconds = 10};
  std::map<uint64_t, wire::usage_window> Reports;
  BOOST_TEST(!Schedule.reportToSend(Reports, 520));
  for (uint64_t Window : {100, 101, 102})
    Reports[Window] = reportOf(Window, 1);
  BOOST_TEST(Schedule.reportToSend(Reports, 514)->window() == 100U);
  BOOST_TEST(Schedule.reportToSend(Reports, 516)->window() == 101U);
  BOOST_TEST(Schedule.reportToSend(Reports, 600)->window() == 100U);
}

BOOST_AUTO_TEST_CASE(is_fixed_once_and_kept_until_the_platform_answers) {
  duty_store Store;
  Store.fix(reportOf(100, 7));
  Store.fix(reportOf(100, 8));
  BOOST_TEST(requestsOf(Store.pending().at(100), "dispatch") == 7U);
  BOOST_TEST(Store.nextWindow() == 101U);
  wire::duty_claim Claim;
  Claim.set_node("core-1");
  Claim.set_first_window(7);
  Store.claim(12, Claim);
  BOOST_TEST_CONTEXT("also through a snapshot") {
    wire::state_image Image;
    Store.save(Image);
    duty_store Loaded;
    Loaded.load(Image);
    BOOST_TEST(Loaded.pending().at(100).SerializeAsString() ==
               Store.pending().at(100).SerializeAsString());
    BOOST_TEST(Loaded.token() == 12U);
    BOOST_TEST(Loaded.nextWindow() == 101U);
  }
  wire::usage_result Result;
  Result.set_window(100);
  Result.set_accepted(true);
  Store.finish(Result);
  Store.finish(Result);
  BOOST_TEST(Store.pending().empty());
  BOOST_TEST(Store.lastAccepted() == 100U);
  BOOST_TEST(Store.missed() == 0U);
  BOOST_TEST_CONTEXT("windows left out and reports dropped count as missed") {
    Store.fix(reportOf(104, 1));
    BOOST_TEST(Store.missed() == 3U);
    for (uint64_t I = 0; I < duty_store::MaxPendingReports; ++I)
      Store.fix(reportOf(105 + I, 1));
    BOOST_TEST(Store.pending().size() == duty_store::MaxPendingReports);
    BOOST_TEST(Store.missed() == 4U);
  }
}

// Guards against windows that are lost because the first leaders end before
// they have fixed any report.
BOOST_AUTO_TEST_CASE(is_reported_from_the_first_claim_on) {
  duty_store Store;
  wire::duty_claim Claim;
  Claim.set_first_window(50);
  Store.claim(3, Claim);
  BOOST_TEST(Store.nextWindow() == 50U);
  Claim.set_first_window(60);
  Store.claim(4, Claim);
  BOOST_TEST(Store.nextWindow() == 50U);
}

BOOST_AUTO_TEST_CASE(has_the_same_body_whenever_it_is_sent) {
  wire::usage_window Report = reportOf(353445120, 412);
  wire::account_count *Count = Report.add_counts();
  Count->set_account("a\"b");
  Count->set_requests(3);
  BOOST_TEST(platform::usageBody(Report) ==
             R"({"counts":{"a\"b":3,"dispatch":412},"windowId":353445120})");
  BOOST_TEST(platform::usageBody(wire::usage_window()) ==
             R"({"counts":{},"windowId":0})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(clock_is_right_while_most_clocks_are) {
  agreed_clock Clock;
  BOOST_TEST(Clock.wallSeconds(Wall, 0) == Wall);
  for (uint64_t Source = 1; Source <= 6; ++Source)
    Clock.record(Source, Wall + 1 + 0.001 * double(Source), 1);
  Clock.record(7, Wall + 500, 1);
  BOOST_TEST(std::abs(Clock.wallSeconds(Wall - 900, 1) - (Wall + 1)) < 0.01);
  BOOST_TEST_CONTEXT("clocks not heard of any more do not count") {
    Clock.record(7, Wall + 500, 9);
    Clock.record(8, Wall + 500, 9);
    BOOST_TEST(Clock.wallSeconds(Wall + 9, 9) == Wall + 500);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(holder_of_duties)

BOOST_AUTO_TEST_CASE(calls_with_its_own_committed_token_under_its_lease) {
  duty_holder Holder(3);
  const leadership Leads{.HasLease = true, .Term = 4};
  const leadership Lost{.HasLease = false, .Term = 4};
  BOOST_TEST(!Holder.shouldClaim(Lost, 0));
  BOOST_TEST(Holder.shouldClaim(Leads, 1));
  BOOST_TEST(!Holder.shouldClaim(Leads, 1.1));
  BOOST_TEST(!Holder.token(Leads, 0, 1.1));
  Holder.claimed(20, 2);
  BOOST_TEST_CONTEXT("not before the lease of an earlier holder has passed") {
    BOOST_TEST(!Holder.token(Leads, 20, 4.9));
    BOOST_TEST(Holder.token(Leads, 20, 5.1).value_or(0) == 20U);
  }
  BOOST_TEST_CONTEXT("not without its leader lease, nor after a newer claim") {
    BOOST_TEST(!Holder.token(Lost, 20, 6));
    BOOST_TEST(!Holder.token(Leads, 21, 6));
    BOOST_TEST(!Holder.token({.HasLease = true, .Term = 5}, 20, 6));
  }
  BOOST_TEST_CONTEXT("never again with a token that was refused") {
    Holder.refused(19, 6);
    BOOST_TEST(Holder.token(Leads, 20, 6).has_value());
    Holder.refused(20, 6);
    BOOST_TEST(!Holder.token(Leads, 20, 60));
    BOOST_TEST(!Holder.shouldClaim(Leads, 8.9));
    BOOST_TEST(Holder.shouldClaim(Leads, 9.1));
  }
  BOOST_TEST_CONTEXT("claims anew in each term, or if the claim was lost") {
    Holder.claimFailed();
    BOOST_TEST(Holder.shouldClaim(Leads, 10));
    BOOST_TEST(Holder.shouldClaim({.HasLease = true, .Term = 6}, 10));
  }
}

BOOST_AUTO_TEST_SUITE_END()
