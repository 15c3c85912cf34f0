//===- crash_evidence_test.cpp - What is held against a request -----------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "control/quarantine_keeper.h"
#include "ledger/state_machine.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_identity.h"
#include <algorithm>
#include <random>

using namespace olivevalve;

namespace {

constexpr short_digest Guilty = {1, 1};
constexpr short_digest Popular = {2, 2};
constexpr double Hour = 3600;

short_digest stranger(uint64_t Number) { return {1000 + Number, 7}; }

wire::crash_news newsOf(const std::vector<crash_report> &Reports) {
  wire::crash_news News;
  for (const crash_report &Each : Reports) {
    wire::crash_report *Out = News.add_crashes();
    fillName(Each.Request, *Out->mutable_request());
    Out->set_upstream(Each.Upstream);
  }
  return News;
}

wire::crash_news newsOfAnswer(const short_digest &Request) {
  wire::crash_news News;
  fillName(Request, *News.add_answered());
  return News;
}

/// Control as the gateways see it: what the keeper proposes is agreed on.
class agreed_quarantine {
public:
  size_t agree(quarantine_manager &Keeper, double Now) {
    auto Changes = Keeper.changes(Book, Now);
    for (const wire::quarantine_change &Each : Changes)
      Book.apply(Each, Now);
    return Changes.size();
  }
  quarantine_store Book;
};

} // namespace

BOOST_AUTO_TEST_SUITE(requests_that_upstreams_end_under)

BOOST_AUTO_TEST_CASE(are_told_apart_by_all_that_comes_again) {
  const request_parts Parts = {.Account = "dispatch",
                               .Method = "POST",
                               .Host = "a.example",
                               .Target = "/x/1",
                               .Body = "body"};
  auto With = [&](auto Change) {
    request_parts Changed = Parts;
    Change(Changed);
    return identityOf(Changed) == identityOf(Parts);
  };
  BOOST_TEST(With([](auto &P) { P.Host = "A.Example"; }));
  BOOST_TEST(!With([](auto &P) { P.Account = "other"; }));
  BOOST_TEST(!With([](auto &P) { P.Method = "PUT"; }));
  BOOST_TEST(!With([](auto &P) { P.Host = "b.example"; }));
  BOOST_TEST(!With([](auto &P) { P.Target = "/x/2"; }));
  BOOST_TEST(!With([](auto &P) { P.Body = "bodz"; }));
  BOOST_TEST_CONTEXT("also where one field could end in the next") {
    BOOST_TEST(!With([](auto &P) {
      P.Target = "/x/1b";
      P.Body = "ody";
    }));
  }
}

BOOST_AUTO_TEST_CASE(are_convicted_by_three_upstreams_in_any_order) {
  std::vector<crash_report> Reports;
  for (uint64_t Upstream : {10, 11, 12, 10, 11, 10})
    Reports.push_back({.Request = Guilty, .Upstream = Upstream});
  std::mt19937_64 Random(1);
  for (int Turn = 0; Turn < 50; ++Turn) {
    std::shuffle(Reports.begin(), Reports.end(), Random);
    crash_evidence Evidence;
    std::set<uint64_t> Seen;
    for (const crash_report &Each : Reports) {
      Evidence.addCrash(Each, 1);
      Seen.insert(Each.Upstream);
      BOOST_TEST(Evidence.shouldQuarantine(Guilty, 1) == (Seen.size() == 3));
    }
  }
}

BOOST_AUTO_TEST_CASE(are_acquitted_by_one_whole_answer) {
  crash_evidence Evidence;
  BOOST_TEST_CONTEXT("that came before the upstreams ended") {
    Evidence.recordResponse(Popular, 0);
    for (uint64_t Upstream = 1; Upstream <= 9; ++Upstream)
      BOOST_TEST(!Evidence.addCrash({Popular, Upstream}, 1));
    BOOST_TEST(!Evidence.shouldQuarantine(Popular, 1));
  }
  BOOST_TEST_CONTEXT("that came in between") {
    for (uint64_t Upstream = 1; Upstream <= 2; ++Upstream)
      Evidence.addCrash({Popular, Upstream}, 100);
    BOOST_TEST(Evidence.recordResponse(Popular, 101));
    Evidence.addCrash({Popular, 3}, 102);
    BOOST_TEST(!Evidence.shouldQuarantine(Popular, 102));
  }
  BOOST_TEST_CONTEXT("but not for ever") {
    for (uint64_t Upstream = 4; Upstream <= 6; ++Upstream)
      Evidence.addCrash({Popular, Upstream}, 500);
    BOOST_TEST(Evidence.shouldQuarantine(Popular, 500));
  }
}

BOOST_AUTO_TEST_CASE(are_not_held_to_ends_long_past) {
  crash_evidence Evidence;
  Evidence.addCrash({Guilty, 1}, 0);
  Evidence.addCrash({Guilty, 2}, 1);
  Evidence.addCrash({Guilty, 3}, Hour);
  BOOST_TEST(!Evidence.shouldQuarantine(Guilty, Hour));
  BOOST_TEST(Evidence.crashedUpstreams(Guilty, Hour).size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_not_pushed_out_by_a_flood_of_strangers) {
  crash_evidence Evidence({.MaxRequests = 100});
  Evidence.addCrash({Guilty, 1}, 0);
  Evidence.addCrash({Guilty, 2}, 0);
  for (uint64_t I = 0; I < 10000; ++I) {
    Evidence.addCrash({stranger(I), 3}, 1 + double(I) * 1e-3);
    BOOST_REQUIRE(Evidence.size() <= 100);
  }
  Evidence.addCrash({Guilty, 3}, 20);
  BOOST_TEST(Evidence.shouldQuarantine(Guilty, 20));
  BOOST_TEST(Evidence.requestsToQuarantine(20).size() == 1U);
}

// A third of 860 upstreams end at once before 410 gateways with 5,000 requests
// a second, each 2 s long.
BOOST_AUTO_TEST_CASE(are_found_when_a_third_of_the_fleet_ends_at_once) {
  constexpr uint64_t GatewayCount = 410;
  constexpr uint64_t UnderEach = 8;
  quarantine_manager Keeper;
  agreed_quarantine Control;
  for (uint64_t Gateway = 0; Gateway < GatewayCount; ++Gateway) {
    std::vector<crash_report> Reports;
    for (uint64_t I = 0; I < UnderEach; ++I)
      Reports.push_back({stranger(Gateway * UnderEach + I), I});
    if (Gateway % 137 == 0)
      Reports.push_back({Guilty, 100 + Gateway});
    wire::crash_news News = newsOf(Reports);
    BOOST_TEST(News.ByteSizeLong() <= 400U);
    Keeper.addReports(News, 1);
  }
  BOOST_TEST(Control.agree(Keeper, 1) == 1U);
  BOOST_TEST(Control.Book.contains(Guilty));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(joins_what_different_gateways_saw) {
  quarantine_manager Keeper;
  agreed_quarantine Control;
  for (uint64_t Gateway = 1; Gateway <= 3; ++Gateway) {
    BOOST_TEST(Control.agree(Keeper, double(Gateway)) == 0U);
    for (int Told = 0; Told < 3; ++Told)
      Keeper.addReports(newsOf({{Guilty, Gateway}}), double(Gateway));
  }
  BOOST_TEST(Control.agree(Keeper, 4) == 1U);
  BOOST_TEST(Control.Book.contains(Guilty));
  BOOST_TEST(Control.Book.all().front().upstreams_size() == 3);
  BOOST_TEST_CONTEXT("and is proposed once") {
    BOOST_TEST(Control.agree(Keeper, 4.1) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(is_left_by_what_some_gateway_answered) {
  quarantine_manager Keeper;
  agreed_quarantine Control;
  Keeper.addReports(newsOf({{Popular, 1}, {Popular, 2}, {Popular, 3}}), 1);
  Control.agree(Keeper, 1);
  BOOST_TEST(Control.Book.contains(Popular));
  Keeper.addReports(newsOfAnswer(Popular), 5);
  Control.agree(Keeper, 5);
  BOOST_TEST(!Control.Book.contains(Popular));
  BOOST_TEST_CONTEXT("and not entered again by reports told late") {
    Keeper.addReports(newsOf({{Popular, 1}, {Popular, 2}, {Popular, 3}}), 6);
    Control.agree(Keeper, 8);
    BOOST_TEST(!Control.Book.contains(Popular));
  }
}

BOOST_AUTO_TEST_CASE(is_left_by_an_operators_word_and_by_time) {
  quarantine_manager Keeper;
  agreed_quarantine Control;
  auto Convict = [&](double Now) {
    Keeper.addReports(newsOf({{Guilty, 1}, {Guilty, 2}, {Guilty, 3}}), Now);
    Control.agree(Keeper, Now);
  };
  Convict(1);
  Control.agree(Keeper, 2);
  BOOST_TEST(Keeper.secondsLeft(Guilty, 2) > Hour - 10);
  wire::quarantine_change Release;
  fillName(Guilty, *Release.mutable_release());
  BOOST_TEST(Control.Book.apply(Release, 10));
  BOOST_TEST(!Control.Book.apply(Release, 10));
  Convict(11);
  BOOST_TEST(!Control.Book.contains(Guilty));
  BOOST_TEST_CONTEXT("and is judged anew after it") {
    Convict(100);
    BOOST_TEST(Control.Book.contains(Guilty));
    Control.agree(Keeper, 101);
    Control.agree(Keeper, 100 + Hour + 10);
    BOOST_TEST(!Control.Book.contains(Guilty));
  }
}

BOOST_AUTO_TEST_CASE(outlives_every_process_in_the_snapshot) {
  state_machine State;
  wire::command Command;
  fillName(Guilty,
           *Command.mutable_quarantine()->mutable_add()->mutable_request());
  State.apply(1, Command.SerializeAsString());
  state_machine Next;
  BOOST_REQUIRE(Next.restore(State.image()));
  BOOST_TEST(Next.quarantine().contains(Guilty));
  BOOST_TEST(Next.quarantine().revision() == State.quarantine().revision());
}

BOOST_AUTO_TEST_CASE(keeps_the_newest_when_it_is_full) {
  quarantine_store Book;
  for (uint64_t I = 0; I < 2 * quarantine_store::MaxRequests; ++I) {
    wire::quarantine_change Change;
    fillName(stranger(I), *Change.mutable_add()->mutable_request());
    BOOST_TEST(Book.apply(Change, 0));
  }
  BOOST_TEST(Book.all().size() == quarantine_store::MaxRequests);
  BOOST_TEST(!Book.contains(stranger(0)));
  BOOST_TEST(Book.contains(stranger(2 * quarantine_store::MaxRequests - 1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ends_of_upstreams)

namespace {

class watched_world {
public:
  // Nothing is asked of it in these tests: the loop does not run.
  static watched_upstream upstreamAt(uint64_t Place) {
    return {.Key = Place,
            .Name = "i-" + std::to_string(Place),
            .Address = "127.0.0.1:1"};
  }
  void endsUnder(const short_digest &Request, uint64_t Place) {
    Watch.recordInterruptedRequest(upstreamAt(Place), Request);
    Watch.recordCrash(upstreamAt(Place), "test");
  }
  struct ev_loop *Loop = ev_default_loop(0);
  metrics Metrics;
  crash_reports Reports{Metrics};
  crash_watch Watch{Loop, Metrics, Reports};
};

} // namespace

BOOST_AUTO_TEST_CASE(make_suspect_what_was_broken_off_there) {
  watched_world World;
  for (uint64_t Place = 1; Place <= 3; ++Place) {
    BOOST_TEST(!World.Reports.refuses(Guilty));
    World.endsUnder(Guilty, Place);
    BOOST_TEST(World.Reports.suspects(Guilty));
  }
  BOOST_TEST(World.Reports.refuses(Guilty));
}

BOOST_AUTO_TEST_CASE(are_held_against_what_breaks_off_after_them_too) {
  watched_world World;
  for (uint64_t Place = 1; Place <= 3; ++Place) {
    World.Watch.recordCrash(World.upstreamAt(Place), "test");
    World.Watch.recordInterruptedRequest(World.upstreamAt(Place), Guilty);
  }
  BOOST_TEST(World.Reports.refuses(Guilty));
}

BOOST_AUTO_TEST_CASE(are_not_supposed_of_those_that_answer_on) {
  watched_world World;
  for (uint64_t Place = 1; Place <= 5; ++Place) {
    World.Watch.recordInterruptedRequest(World.upstreamAt(Place), Guilty);
    World.Watch.recordResponse(Place, steadySeconds() + 1);
    World.Watch.recordCrash(World.upstreamAt(Place), "test");
  }
  BOOST_TEST(!World.Reports.refuses(Guilty));
}

BOOST_AUTO_TEST_CASE(told_by_others_count_like_the_own) {
  watched_world World;
  World.endsUnder(Guilty, 1);
  World.Reports.hear(newsOf({{Guilty, 2}, {Guilty, 3}}));
  BOOST_TEST(World.Reports.refuses(Guilty));
  BOOST_TEST_CONTEXT("and those of the own are told on, not those heard") {
    wire::crash_news Told;
    World.Reports.fillRecent(Told);
    BOOST_REQUIRE(Told.crashes_size() == 1);
    BOOST_TEST(Told.crashes(0).upstream() == 1U);
    wire::crash_news ToControl;
    World.Reports.fill(ToControl, 1);
    BOOST_TEST(ToControl.crashes_size() == 1);
  }
}

BOOST_AUTO_TEST_CASE(do_not_bar_what_was_answered_here_whoever_says_so) {
  watched_world World;
  World.Reports.answered(Popular);
  wire::quarantine_news News;
  News.set_revision(5);
  fillName(Popular, *News.add_requests()->mutable_request());
  fillName(Guilty, *News.add_requests()->mutable_request());
  World.Reports.apply(News);
  BOOST_TEST(!World.Reports.refuses(Popular));
  BOOST_TEST(World.Reports.refuses(Guilty));
  BOOST_TEST_CONTEXT("and control is told") {
    wire::crash_news Told;
    World.Reports.fill(Told, 1);
    BOOST_REQUIRE(Told.answered_size() == 1);
    BOOST_TEST((digestOf(Told.answered(0)) == Popular));
    BOOST_TEST(Told.quarantine_revision() == 5U);
  }
  BOOST_TEST_CONTEXT("older news change nothing") {
    wire::quarantine_news Old;
    Old.set_revision(4);
    World.Reports.apply(Old);
    BOOST_TEST(World.Reports.refuses(Guilty));
  }
  BOOST_TEST_CONTEXT("news that let go do") {
    wire::quarantine_news Free;
    Free.set_revision(6);
    World.Reports.apply(Free);
    BOOST_TEST(!World.Reports.refuses(Guilty));
  }
}

// A VM that does not lead can decide nothing.
BOOST_AUTO_TEST_CASE(are_told_with_each_message_until_the_leader_has_it) {
  watched_world World;
  World.endsUnder(Guilty, 1);
  double Sent = 0;
  auto Tells = [&] {
    wire::crash_news News;
    World.Reports.fill(News, ++Sent);
    return News.crashes_size();
  };
  BOOST_TEST(Tells() == 1);
  BOOST_TEST(Tells() == 1);
  World.Reports.acknowledged(Sent - 1, 7); // A message before.
  BOOST_TEST(Tells() == 1);
  World.Reports.acknowledged(Sent, 7);
  BOOST_TEST(Tells() == 0);
  World.Reports.acknowledged(Sent, 8);
  BOOST_TEST(Tells() == 1);
}

// Anything may stand in a datagram of the right sender's address.
BOOST_AUTO_TEST_CASE(told_in_garbage_bar_nothing) {
  watched_world World;
  std::mt19937_64 Random(3);
  for (int Turn = 0; Turn < 20000; ++Turn) {
    wire::crash_news News;
    for (int I = 0; I < 5; ++I) {
      wire::crash_report *Report = News.add_crashes();
      if (Random() % 4 != 0)
        fillName({Random(), Random()}, *Report->mutable_request());
      Report->set_upstream(Random());
    }
    std::string Bytes = News.SerializeAsString();
    Bytes[Random() % Bytes.size()] = char(Random());
    wire::crash_news Garbled;
    if (Garbled.ParseFromString(Bytes))
      World.Reports.hear(Garbled);
  }
  BOOST_TEST(!World.Reports.refuses(Guilty));
  BOOST_TEST(!World.Reports.suspects(Popular));
}

BOOST_AUTO_TEST_SUITE_END()
