//===- crash_evidence_test.cpp - Crash evidence and quarantine ------------===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "control/quarantine_manager.h"
#include "ledger/state_machine.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_causes.h"
#include <algorithm>
#include <random>

using namespace olivevalve;

namespace {

constexpr short_digest CrashingRequest = {1, 1};
constexpr short_digest HarmlessRequest = {2, 2};
constexpr double Hour = 3600;

short_digest unrelatedRequest(uint64_t Number) { return {1000 + Number, 7}; }

wire::crash_news crashReport(const std::vector<crash_report> &Reports) {
  wire::crash_news Message;
  for (const crash_report &Each : Reports) {
    wire::crash_report *Out = Message.add_crashes();
    fillName(Each.Cause, *Out->mutable_request());
    Out->set_upstream(Each.Upstream);
  }
  return Message;
}

wire::crash_news answerReport(const short_digest &Request) {
  wire::crash_news Message;
  fillName(Request, *Message.add_answered());
  return Message;
}

/// Stands in for control's replicated state: commits each change that the
/// quarantine manager proposes.
class replicated_quarantine {
public:
  size_t commitChanges(quarantine_manager &Manager, double Now) {
    auto Changes = Manager.changes(Store, Now);
    for (const wire::quarantine_change &Each : Changes)
      Store.apply(Each, Now);
    return Changes.size();
  }
  quarantine_store Store;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_attribution)

BOOST_AUTO_TEST_CASE(identity_covers_every_part_that_a_retry_repeats) {
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
  BOOST_TEST_CONTEXT(
      "bytes moved from one field to the next change the identity") {
    BOOST_TEST(!With([](auto &P) {
      P.Target = "/x/1b";
      P.Body = "ody";
    }));
  }
}

BOOST_AUTO_TEST_CASE(crashes_of_three_upstreams_quarantine_in_any_order) {
  std::vector<crash_report> Reports;
  for (uint64_t Upstream : {10, 11, 12, 10, 11, 10})
    Reports.push_back({.Cause = CrashingRequest, .Upstream = Upstream});
  std::mt19937_64 Random(1);
  for (int Turn = 0; Turn < 50; ++Turn) {
    std::shuffle(Reports.begin(), Reports.end(), Random);
    crash_evidence Evidence;
    std::set<uint64_t> Seen;
    for (const crash_report &Each : Reports) {
      Evidence.addCrash(Each, 1);
      Seen.insert(Each.Upstream);
      BOOST_TEST(Evidence.shouldQuarantine(CrashingRequest, 1) ==
                 (Seen.size() == 3));
    }
  }
}

BOOST_AUTO_TEST_CASE(one_complete_answer_prevents_quarantine) {
  crash_evidence Evidence;
  BOOST_TEST_CONTEXT("an answer before the crashes") {
    Evidence.recordResponse(HarmlessRequest, 0);
    for (uint64_t Upstream = 1; Upstream <= 9; ++Upstream)
      BOOST_TEST(!Evidence.addCrash({HarmlessRequest, Upstream}, 1));
    BOOST_TEST(!Evidence.shouldQuarantine(HarmlessRequest, 1));
  }
  BOOST_TEST_CONTEXT("an answer between the crashes") {
    for (uint64_t Upstream = 1; Upstream <= 2; ++Upstream)
      Evidence.addCrash({HarmlessRequest, Upstream}, 100);
    BOOST_TEST(Evidence.recordResponse(HarmlessRequest, 101));
    Evidence.addCrash({HarmlessRequest, 3}, 102);
    BOOST_TEST(!Evidence.shouldQuarantine(HarmlessRequest, 102));
  }
  BOOST_TEST_CONTEXT("an old answer no longer counts") {
    for (uint64_t Upstream = 4; Upstream <= 6; ++Upstream)
      Evidence.addCrash({HarmlessRequest, Upstream}, 500);
    BOOST_TEST(Evidence.shouldQuarantine(HarmlessRequest, 500));
  }
}

BOOST_AUTO_TEST_CASE(crashes_long_ago_do_not_count) {
  crash_evidence Evidence;
  Evidence.addCrash({CrashingRequest, 1}, 0);
  Evidence.addCrash({CrashingRequest, 2}, 1);
  Evidence.addCrash({CrashingRequest, 3}, Hour);
  BOOST_TEST(!Evidence.shouldQuarantine(CrashingRequest, Hour));
  BOOST_TEST(Evidence.crashedUpstreams(CrashingRequest, Hour).size() == 1U);
}

BOOST_AUTO_TEST_CASE(evidence_survives_a_flood_of_other_requests) {
  crash_evidence Evidence({.MaxCauses = 100});
  Evidence.addCrash({CrashingRequest, 1}, 0);
  Evidence.addCrash({CrashingRequest, 2}, 0);
  for (uint64_t I = 0; I < 10000; ++I) {
    Evidence.addCrash({unrelatedRequest(I), 3}, 1 + double(I) * 1e-3);
    BOOST_REQUIRE(Evidence.size() <= 100);
  }
  Evidence.addCrash({CrashingRequest, 3}, 20);
  BOOST_TEST(Evidence.shouldQuarantine(CrashingRequest, 20));
  BOOST_TEST(Evidence.verdicts({}, 20).size() == 1U);
}

// Guards against a mass crash that quarantines requests which only happened to
// be in flight, or whose reports outgrow a message. The case is a third of 860
// upstreams crashing at once, with 410 gateways and 5,000 requests per second
// of 2 s each.
BOOST_AUTO_TEST_CASE(only_the_cause_is_quarantined_after_a_mass_crash) {
  constexpr uint64_t GatewayCount = 410;
  constexpr uint64_t RequestsPerGateway = 8;
  quarantine_manager Manager;
  replicated_quarantine Control;
  for (uint64_t Gateway = 0; Gateway < GatewayCount; ++Gateway) {
    std::vector<crash_report> Reports;
    for (uint64_t I = 0; I < RequestsPerGateway; ++I)
      Reports.push_back(
          {unrelatedRequest(Gateway * RequestsPerGateway + I), I});
    if (Gateway % 137 == 0)
      Reports.push_back({CrashingRequest, 100 + Gateway});
    wire::crash_news Message = crashReport(Reports);
    BOOST_TEST(Message.ByteSizeLong() <= 400U);
    Manager.addReports(Message, 1);
  }
  BOOST_TEST(Control.commitChanges(Manager, 1) == 1U);
  BOOST_TEST(Control.Store.contains(CrashingRequest));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(combines_reports_of_different_gateways) {
  quarantine_manager Manager;
  replicated_quarantine Control;
  for (uint64_t Gateway = 1; Gateway <= 3; ++Gateway) {
    BOOST_TEST(Control.commitChanges(Manager, double(Gateway)) == 0U);
    for (int Told = 0; Told < 3; ++Told)
      Manager.addReports(crashReport({{CrashingRequest, Gateway}}),
                         double(Gateway));
  }
  BOOST_TEST(Control.commitChanges(Manager, 4) == 1U);
  BOOST_TEST(Control.Store.contains(CrashingRequest));
  BOOST_TEST(Control.Store.all().front().upstreams_size() == 3);
  BOOST_TEST_CONTEXT("the change is proposed once") {
    BOOST_TEST(Control.commitChanges(Manager, 4.1) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(releases_a_request_that_a_gateway_completed) {
  quarantine_manager Manager;
  replicated_quarantine Control;
  Manager.addReports(
      crashReport(
          {{HarmlessRequest, 1}, {HarmlessRequest, 2}, {HarmlessRequest, 3}}),
      1);
  Control.commitChanges(Manager, 1);
  BOOST_TEST(Control.Store.contains(HarmlessRequest));
  Manager.addReports(answerReport(HarmlessRequest), 5);
  Control.commitChanges(Manager, 5);
  BOOST_TEST(!Control.Store.contains(HarmlessRequest));
  BOOST_TEST_CONTEXT("late reports do not quarantine it again") {
    Manager.addReports(
        crashReport(
            {{HarmlessRequest, 1}, {HarmlessRequest, 2}, {HarmlessRequest, 3}}),
        6);
    Control.commitChanges(Manager, 8);
    BOOST_TEST(!Control.Store.contains(HarmlessRequest));
  }
}

BOOST_AUTO_TEST_CASE(releases_by_operator_and_after_its_duration) {
  quarantine_manager Manager;
  replicated_quarantine Control;
  auto ReportThreeCrashes = [&](double Now) {
    Manager.addReports(
        crashReport(
            {{CrashingRequest, 1}, {CrashingRequest, 2}, {CrashingRequest, 3}}),
        Now);
    Control.commitChanges(Manager, Now);
  };
  ReportThreeCrashes(1);
  Control.commitChanges(Manager, 2);
  BOOST_TEST(Manager.secondsLeft(CrashingRequest, 2) > Hour - 10);
  wire::quarantine_change Release;
  fillName(CrashingRequest, *Release.mutable_release());
  BOOST_TEST(Control.Store.apply(Release, 10));
  BOOST_TEST(!Control.Store.apply(Release, 10));
  ReportThreeCrashes(11);
  BOOST_TEST(!Control.Store.contains(CrashingRequest));
  BOOST_TEST_CONTEXT("later crashes quarantine it again") {
    ReportThreeCrashes(100);
    BOOST_TEST(Control.Store.contains(CrashingRequest));
    Control.commitChanges(Manager, 101);
    Control.commitChanges(Manager, 100 + Hour + 10);
    BOOST_TEST(!Control.Store.contains(CrashingRequest));
  }
}

BOOST_AUTO_TEST_CASE(survives_in_the_snapshot) {
  state_machine State;
  wire::command Command;
  fillName(CrashingRequest,
           *Command.mutable_quarantine()->mutable_add()->mutable_request());
  State.apply(1, Command.SerializeAsString());
  state_machine Next;
  BOOST_REQUIRE(Next.restore(State.image()));
  BOOST_TEST(Next.quarantine().contains(CrashingRequest));
  BOOST_TEST(Next.quarantine().revision() == State.quarantine().revision());
}

BOOST_AUTO_TEST_CASE(drops_the_oldest_when_it_is_full) {
  quarantine_store Store;
  for (uint64_t I = 0; I < 2 * quarantine_store::MaxRequests; ++I) {
    wire::quarantine_change Change;
    fillName(unrelatedRequest(I), *Change.mutable_add()->mutable_request());
    BOOST_TEST(Store.apply(Change, 0));
  }
  BOOST_TEST(Store.all().size() == quarantine_store::MaxRequests);
  BOOST_TEST(!Store.contains(unrelatedRequest(0)));
  BOOST_TEST(
      Store.contains(unrelatedRequest(2 * quarantine_store::MaxRequests - 1)));
}

// Guards against many requests that crash under a block, or beside it, and push
// the block out of the list.
BOOST_AUTO_TEST_CASE(keeps_blocks_when_it_is_full_of_requests) {
  quarantine_store Store;
  wire::quarantine_change Block;
  fillName(CrashingRequest, *Block.mutable_add()->mutable_request());
  Block.mutable_add()->set_kind(wire::CRASH_CAUSE_BLOCK);
  Store.apply(Block, 0);
  for (uint64_t I = 0; I < 2 * quarantine_store::MaxRequests; ++I) {
    wire::quarantine_change Change;
    fillName(unrelatedRequest(I), *Change.mutable_add()->mutable_request());
    Store.apply(Change, 0);
  }
  BOOST_TEST(Store.all().size() == quarantine_store::MaxRequests);
  BOOST_TEST(Store.contains(CrashingRequest));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crashing_blocks)

namespace {

constexpr short_digest BadBlock = {3, 3};
constexpr short_digest OtherBlock = {4, 4};
/// After this time a crash counts against a block.
constexpr double SettledSeconds = 2;

/// A crash of an upstream under a request with a block.
struct block_crash {
  short_digest Block = BadBlock;
  uint64_t Upstream = 0;
  uint64_t Request = 0;
  double SentAt = 0;
  double CrashedAt = 0;
  double Share = 0; ///< Of the requests that contain the block.
};

crash_report reportOf(const block_crash &Crash) {
  return {.Cause = Crash.Block,
          .Upstream = Crash.Upstream,
          .Kind = crash_cause_kind::Block,
          .Request = Crash.Request,
          .SentAt = Crash.SentAt,
          .CrashedAt = Crash.CrashedAt,
          .Share = Crash.Share,
          .Company = {.Requests = 4}};
}

/// The block in a prompt each second, at one upstream after another.
void addCrashes(crash_evidence &Evidence, const short_digest &Block,
                uint64_t First, uint64_t Last) {
  for (uint64_t I = First; I <= Last; ++I)
    Evidence.addCrash(reportOf({.Block = Block,
                                .Upstream = I,
                                .Request = 100 + I,
                                .SentAt = double(I) - 0.5,
                                .CrashedAt = double(I)}),
                      double(I));
}

std::vector<short_digest> convicted(const crash_evidence &Evidence,
                                    double Now) {
  std::vector<short_digest> Causes;
  for (const crash_verdict &Each : Evidence.verdicts({}, Now))
    Causes.push_back(Each.Cause);
  return Causes;
}

const std::vector<short_digest> OnlyBadBlock = {BadBlock};

} // namespace

BOOST_AUTO_TEST_CASE(are_convicted_by_three_crashes_that_have_settled) {
  crash_evidence Evidence;
  addCrashes(Evidence, BadBlock, 1, 2);
  BOOST_TEST(convicted(Evidence, 2 + SettledSeconds).empty());
  addCrashes(Evidence, BadBlock, 3, 3);
  BOOST_TEST(convicted(Evidence, 3).empty());
  BOOST_TEST((convicted(Evidence, 3 + SettledSeconds) == OnlyBadBlock));
  BOOST_TEST_CONTEXT("but not on the word of one process") {
    BOOST_TEST(!Evidence.shouldQuarantine(BadBlock, 3 + SettledSeconds));
  }
}

BOOST_AUTO_TEST_CASE(are_not_convicted_by_crashes_under_one_request) {
  crash_evidence Evidence;
  for (uint64_t I = 1; I <= 5; ++I)
    Evidence.addCrash(reportOf({.Upstream = I,
                                .Request = 7,
                                .SentAt = double(I) - 0.5,
                                .CrashedAt = double(I)}),
                      double(I));
  BOOST_TEST(convicted(Evidence, 5 + SettledSeconds).empty());
}

BOOST_AUTO_TEST_CASE(that_are_frequent_are_not_convicted_by_one_mass_crash) {
  crash_evidence Evidence;
  for (uint64_t I = 1; I <= 9; ++I)
    Evidence.addCrash(reportOf({.Upstream = I,
                                .Request = I,
                                .SentAt = 0.1 * double(I),
                                .CrashedAt = 1,
                                .Share = 0.8}),
                      1);
  BOOST_TEST(convicted(Evidence, 1 + SettledSeconds).empty());
  BOOST_TEST_CONTEXT("unless one more request is sent after it") {
    Evidence.addCrash(reportOf({.Upstream = 10,
                                .Request = 10,
                                .SentAt = 1.1,
                                .CrashedAt = 1.2,
                                .Share = 0.8}),
                      1.2);
    BOOST_TEST((convicted(Evidence, 1.2 + SettledSeconds) == OnlyBadBlock));
  }
}

BOOST_AUTO_TEST_CASE(that_are_rare_are_not_convicted_by_chance) {
  crash_evidence Evidence;
  for (uint64_t I = 1; I <= 30; ++I)
    for (const short_digest &Block : {OtherBlock, unrelatedRequest(I % 10)})
      Evidence.addCrash(reportOf({.Block = Block,
                                  .Upstream = I,
                                  .Request = I,
                                  .SentAt = 0.5,
                                  .CrashedAt = 1,
                                  .Share = Block == OtherBlock ? 0.9 : 0.1}),
                        1);
  BOOST_TEST(convicted(Evidence, 1 + SettledSeconds).empty());
}

BOOST_AUTO_TEST_CASE(are_cleared_only_of_crashes_before_a_response_began) {
  crash_evidence Evidence;
  addCrashes(Evidence, OtherBlock, 1, 3);
  BOOST_TEST(!Evidence.recordSurvival(OtherBlock, 0.5));
  BOOST_TEST(Evidence.recordSurvival(OtherBlock, 2.5));
  BOOST_TEST(Evidence.crashedUpstreams(OtherBlock, 4).size() == 1U);
  BOOST_TEST_CONTEXT("also if their reports come later") {
    addCrashes(Evidence, OtherBlock, 1, 2);
    BOOST_TEST(Evidence.crashedUpstreams(OtherBlock, 4).size() == 1U);
  }
  BOOST_TEST_CONTEXT("a block that was sound for long is convicted") {
    Evidence.recordSurvival(BadBlock, 0.9);
    addCrashes(Evidence, BadBlock, 1, 3);
    BOOST_TEST((convicted(Evidence, 3 + SettledSeconds) == OnlyBadBlock));
  }
}

BOOST_AUTO_TEST_CASE(explain_the_crashes_of_what_ran_beside_them) {
  crash_evidence Evidence;
  addCrashes(Evidence, BadBlock, 1, 8);
  addCrashes(Evidence, OtherBlock, 3, 6);
  for (uint64_t Upstream : {4, 5, 6})
    Evidence.addCrash({CrashingRequest, Upstream}, 6);
  BOOST_TEST((convicted(Evidence, 8 + SettledSeconds) == OnlyBadBlock));
  BOOST_TEST(Evidence.isExplained(CrashingRequest, OnlyBadBlock, 10));
  BOOST_TEST_CONTEXT("but not further crashes of another cause") {
    addCrashes(Evidence, OtherBlock, 9, 11);
    auto Verdicts = Evidence.verdicts(OnlyBadBlock, 11 + SettledSeconds);
    BOOST_REQUIRE(Verdicts.size() == 1U);
    BOOST_TEST((Verdicts[0].Cause == OtherBlock));
    BOOST_TEST(Verdicts[0].LastCrashAt == 11);
  }
}

BOOST_AUTO_TEST_CASE(that_always_come_together_are_convicted_together) {
  crash_evidence Evidence;
  addCrashes(Evidence, BadBlock, 1, 4);
  addCrashes(Evidence, OtherBlock, 1, 4);
  BOOST_TEST(convicted(Evidence, 4 + SettledSeconds).size() == 2U);
}

// Guards against a mass crash that quarantines blocks which only happened to be
// in prompts in flight: each of the crashes interrupts all of them, and
// requests that are sent again meet the next crash.
BOOST_AUTO_TEST_CASE(are_not_convicted_by_mass_crashes_that_they_survive) {
  crash_evidence Evidence;
  for (int Round = 0; Round < 20; ++Round) {
    double At = 10.0 * Round;
    for (uint64_t I = 0; I < 9; ++I) {
      double CrashedAt = At + 0.1 * double(I);
      for (const short_digest &Block : {BadBlock, OtherBlock})
        Evidence.addCrash(reportOf({.Block = Block,
                                    .Upstream = uint64_t(Round) * 10 + I,
                                    .Request = I,
                                    .SentAt = CrashedAt - 0.2,
                                    .CrashedAt = CrashedAt}),
                          CrashedAt);
    }
    for (const short_digest &Block : {BadBlock, OtherBlock})
      Evidence.recordSurvival(Block, At + 0.95);
    BOOST_TEST(convicted(Evidence, At + 9).empty());
  }
}

BOOST_AUTO_TEST_CASE(survive_a_flood_of_other_causes) {
  crash_evidence Evidence({.MaxCauses = 100});
  addCrashes(Evidence, BadBlock, 1, 2);
  for (uint64_t I = 0; I < 10000; ++I) {
    Evidence.addCrash(reportOf({.Block = unrelatedRequest(I),
                                .Upstream = 1,
                                .Request = I,
                                .CrashedAt = 2}),
                      2);
    BOOST_REQUIRE(Evidence.size() <= 100);
  }
  addCrashes(Evidence, BadBlock, 3, 500);
  BOOST_TEST(Evidence.crashedUpstreams(BadBlock, 500).size() ==
             crash_evidence::MaxCrashesOfBlock);
  BOOST_TEST((convicted(Evidence, 502) == OnlyBadBlock));
}

BOOST_AUTO_TEST_CASE(have_names_of_their_own) {
  BOOST_TEST((blockIdentity("s", "b") == blockIdentity("s", "b")));
  BOOST_TEST((blockIdentity("s", "b") != blockIdentity("t", "b")));
  BOOST_TEST((blockIdentity("s", "bc") != blockIdentity("sb", "c")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(trials)

namespace {

constexpr uint64_t Gateway = 11;
constexpr uint64_t OtherGateway = 12;

wire::crash_news wanting(const short_digest &Cause) {
  wire::crash_news Message;
  fillName(Cause, *Message.add_wanted());
  return Message;
}

/// A quarantined block and the time of its quarantine, 10.
class quarantined_block {
public:
  quarantined_block() {
    for (uint64_t I = 1; I <= 4; ++I) {
      wire::crash_news Message;
      wire::crash_report *Report = Message.add_crashes();
      fillName(CrashingRequest, *Report->mutable_request());
      Report->set_upstream(I);
      Report->set_kind(wire::CRASH_CAUSE_BLOCK);
      Report->set_under(I);
      Report->set_sent_age(0.5);
      Manager.addReports(Message, double(I));
    }
    Control.commitChanges(Manager, 10);
    BOOST_REQUIRE(Control.Store.contains(CrashingRequest));
    Control.commitChanges(Manager, 10);
  }
  /// A gateway asks, and what is due is committed.
  void ask(uint64_t By, double Now) {
    Manager.addReports(wanting(CrashingRequest), Now, By);
    Control.commitChanges(Manager, Now);
    Control.commitChanges(Manager, Now);
  }
  uint32_t trials() const { return Control.Store.all().front().trials(); }
  uint64_t holder() const { return Control.Store.all().front().trial_holder(); }

  quarantine_manager Manager;
  replicated_quarantine Control;
};

} // namespace

BOOST_AUTO_TEST_CASE(are_granted_to_one_process_at_a_time) {
  quarantined_block Block;
  BOOST_TEST_CONTEXT("not at once, and not without a request") {
    Block.ask(Gateway, 10.5);
    BOOST_TEST(Block.trials() == 0U);
    Block.Control.commitChanges(Block.Manager, 20);
    BOOST_TEST(Block.trials() == 0U);
  }
  BOOST_TEST_CONTEXT("the first one") {
    Block.ask(Gateway, 30);
    BOOST_TEST(Block.trials() == 1U);
    BOOST_TEST(Block.holder() == Gateway);
    Block.ask(OtherGateway, 33);
    BOOST_TEST(Block.trials() == 1U);
  }
  BOOST_TEST_CONTEXT("the next ones after ever longer times") {
    double Now = 33;
    for (double Delay : {60, 600, 3600, 3600}) {
      uint32_t Before = Block.trials();
      Block.ask(OtherGateway, Now + Delay - 10);
      BOOST_TEST(Block.trials() == Before);
      Now += Delay + 10;
      Block.ask(OtherGateway, Now);
      BOOST_TEST(Block.trials() == Before + 1);
      Block.ask(OtherGateway, Now + 3);
      BOOST_TEST(Block.trials() == Before + 1);
    }
  }
  BOOST_TEST_CONTEXT("a new leader starts with the longest time that is due") {
    quarantine_manager Next;
    uint32_t Before = Block.trials();
    Block.Control.commitChanges(Next, 10000);
    Next.addReports(wanting(CrashingRequest), 10010, Gateway);
    Block.Control.commitChanges(Next, 10010);
    BOOST_TEST(Block.trials() == Before);
  }
}

BOOST_AUTO_TEST_CASE(release_what_has_survived_one) {
  quarantined_block Block;
  Block.ask(Gateway, 12);
  wire::crash_news Message;
  wire::block_survival *Survival = Message.add_survivals();
  fillName(CrashingRequest, *Survival->mutable_block());
  Survival->set_begun_age(0.5);
  Block.Manager.addReports(Message, 15);
  Block.Control.commitChanges(Block.Manager, 15);
  BOOST_TEST(!Block.Control.Store.contains(CrashingRequest));
}

BOOST_AUTO_TEST_CASE(are_no_reason_to_release_what_nobody_asked_for) {
  quarantined_block Block;
  Block.Control.commitChanges(Block.Manager, 10 + Hour - 10);
  BOOST_TEST(Block.Control.Store.contains(CrashingRequest));
  Block.Control.commitChanges(Block.Manager, 10 + Hour + 10);
  BOOST_TEST(!Block.Control.Store.contains(CrashingRequest));
}

BOOST_AUTO_TEST_CASE(with_the_wrong_number_are_not_granted) {
  quarantined_block Block;
  wire::quarantine_change Change;
  fillName(CrashingRequest, *Change.mutable_trial()->mutable_cause());
  Change.mutable_trial()->set_holder(Gateway);
  for (uint32_t Number : {0U, 2U, 7U}) {
    Change.mutable_trial()->set_number(Number);
    BOOST_TEST(!Block.Control.Store.apply(Change, 0));
  }
  Change.mutable_trial()->set_number(1);
  BOOST_TEST(Block.Control.Store.apply(Change, 0));
  BOOST_TEST(!Block.Control.Store.apply(Change, 0));
}

BOOST_AUTO_TEST_CASE(let_one_request_of_their_holder_pass) {
  metrics Metrics;
  crash_reports Holder(Metrics, Gateway);
  crash_reports Other(Metrics, OtherGateway);
  request_causes Request{.Request = HarmlessRequest,
                         .Blocks = {CrashingRequest}};
  wire::quarantine_news Message;
  wire::quarantined_request *Entry = Message.add_requests();
  fillName(CrashingRequest, *Entry->mutable_request());
  Entry->set_kind(wire::CRASH_CAUSE_BLOCK);
  auto Tell = [&](uint64_t Revision, uint32_t Trials) {
    Message.set_revision(Revision);
    Entry->set_trials(Trials);
    Entry->set_trial_holder(Gateway);
    Holder.apply(Message);
    Other.apply(Message);
  };
  Tell(1, 0);
  BOOST_TEST((Holder.permissionFor(Request) == send_permission::Refused));
  BOOST_TEST_CONTEXT("control is asked for a trial") {
    wire::crash_news Told;
    Holder.fill(Told, 1);
    BOOST_REQUIRE(Told.wanted_size() == 1);
    BOOST_TEST((digestOf(Told.wanted(0)) == CrashingRequest));
  }
  Tell(2, 1);
  BOOST_TEST((Other.permissionFor(Request) == send_permission::Refused));
  BOOST_TEST((Holder.permissionFor(Request) == send_permission::Trial));
  BOOST_TEST_CONTEXT("not with a second quarantined cause") {
    wire::quarantine_news Both = Message;
    Both.set_revision(3);
    fillName(HarmlessRequest, *Both.add_requests()->mutable_request());
    crash_reports Holder(Metrics, Gateway);
    Holder.apply(Both);
    BOOST_TEST((Holder.permissionFor(Request) == send_permission::Refused));
  }
  Holder.beginTrial(Request);
  BOOST_TEST((Holder.permissionFor(Request) == send_permission::Refused));
  BOOST_TEST_CONTEXT("the same trial is not granted twice") {
    Tell(4, 1);
    BOOST_TEST((Holder.permissionFor(Request) == send_permission::Refused));
    Tell(5, 2);
    BOOST_TEST((Holder.permissionFor(Request) == send_permission::Trial));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crash_reports_of_a_gateway)

namespace {

class crash_watch_fixture {
public:
  // Nothing connects to the address, because the loop does not run.
  static watched_upstream upstreamAt(uint64_t Place) {
    return {.Key = Place,
            .Name = "i-" + std::to_string(Place),
            .Address = "127.0.0.1:1"};
  }
  void crashUnder(const short_digest &Request, uint64_t Place) {
    Watch.recordInterruptedRequest(upstreamAt(Place),
                                   {.Causes = {.Request = Request}});
    Watch.recordCrash(upstreamAt(Place), "test");
  }
  struct ev_loop *Loop = ev_default_loop(0);
  metrics Metrics;
  crash_reports Reports{Metrics};
  crash_watch Watch{Loop, Metrics, Reports};
};

} // namespace

BOOST_AUTO_TEST_CASE(make_interrupted_requests_suspects) {
  crash_watch_fixture Fixture;
  for (uint64_t Place = 1; Place <= 3; ++Place) {
    BOOST_TEST(!Fixture.Reports.refuses(CrashingRequest));
    Fixture.crashUnder(CrashingRequest, Place);
    BOOST_TEST(Fixture.Reports.suspects(CrashingRequest));
  }
  BOOST_TEST(Fixture.Reports.refuses(CrashingRequest));
}

BOOST_AUTO_TEST_CASE(include_requests_interrupted_after_the_crash) {
  crash_watch_fixture Fixture;
  for (uint64_t Place = 1; Place <= 3; ++Place) {
    Fixture.Watch.recordCrash(Fixture.upstreamAt(Place), "test");
    Fixture.Watch.recordInterruptedRequest(
        Fixture.upstreamAt(Place), {.Causes = {.Request = CrashingRequest}});
  }
  BOOST_TEST(Fixture.Reports.refuses(CrashingRequest));
}

BOOST_AUTO_TEST_CASE(exclude_requests_interrupted_before_a_later_answer) {
  crash_watch_fixture Fixture;
  for (uint64_t Place = 1; Place <= 5; ++Place) {
    Fixture.Watch.recordInterruptedRequest(
        Fixture.upstreamAt(Place), {.Causes = {.Request = CrashingRequest}});
    Fixture.Watch.recordResponse(Place, steadySeconds() + 1);
    Fixture.Watch.recordCrash(Fixture.upstreamAt(Place), "test");
  }
  BOOST_TEST(!Fixture.Reports.refuses(CrashingRequest));
}

BOOST_AUTO_TEST_CASE(of_peers_count_like_its_own) {
  crash_watch_fixture Fixture;
  Fixture.crashUnder(CrashingRequest, 1);
  Fixture.Reports.hear(
      crashReport({{CrashingRequest, 2}, {CrashingRequest, 3}}));
  BOOST_TEST(Fixture.Reports.refuses(CrashingRequest));
  BOOST_TEST_CONTEXT("only own reports are forwarded, not those of peers") {
    wire::crash_news Told;
    Fixture.Reports.fillRecent(Told);
    BOOST_REQUIRE(Told.crashes_size() == 1);
    BOOST_TEST(Told.crashes(0).upstream() == 1U);
    wire::crash_news ForControl;
    Fixture.Reports.fill(ForControl, 1);
    BOOST_TEST(ForControl.crashes_size() == 1);
  }
}

BOOST_AUTO_TEST_CASE(never_refuse_requests_that_were_answered_here) {
  crash_watch_fixture Fixture;
  Fixture.Reports.answered(HarmlessRequest);
  wire::quarantine_news Message;
  Message.set_revision(5);
  fillName(HarmlessRequest, *Message.add_requests()->mutable_request());
  fillName(CrashingRequest, *Message.add_requests()->mutable_request());
  Fixture.Reports.apply(Message);
  BOOST_TEST(!Fixture.Reports.refuses(HarmlessRequest));
  BOOST_TEST(Fixture.Reports.refuses(CrashingRequest));
  BOOST_TEST_CONTEXT("the answer is reported to control") {
    wire::crash_news Told;
    Fixture.Reports.fill(Told, 1);
    BOOST_REQUIRE(Told.answered_size() == 1);
    BOOST_TEST((digestOf(Told.answered(0)) == HarmlessRequest));
    BOOST_TEST(Told.quarantine_revision() == 5U);
  }
  BOOST_TEST_CONTEXT("an older quarantine list changes nothing") {
    wire::quarantine_news Older;
    Older.set_revision(4);
    Fixture.Reports.apply(Older);
    BOOST_TEST(Fixture.Reports.refuses(CrashingRequest));
  }
  BOOST_TEST_CONTEXT("a newer list releases requests") {
    wire::quarantine_news Newer;
    Newer.set_revision(6);
    Fixture.Reports.apply(Newer);
    BOOST_TEST(!Fixture.Reports.refuses(CrashingRequest));
  }
}

// Guards against crash reports that are lost at a control VM which is not the
// leader and therefore cannot decide on them.
BOOST_AUTO_TEST_CASE(are_resent_until_the_leader_acknowledges_them) {
  crash_watch_fixture Fixture;
  Fixture.crashUnder(CrashingRequest, 1);
  double Sent = 0;
  auto CrashesInNextMessage = [&] {
    wire::crash_news Message;
    Fixture.Reports.fill(Message, ++Sent);
    return Message.crashes_size();
  };
  BOOST_TEST(CrashesInNextMessage() == 1);
  BOOST_TEST(CrashesInNextMessage() == 1);
  Fixture.Reports.acknowledged(Sent - 1, 7); // Acknowledges an earlier message.
  BOOST_TEST(CrashesInNextMessage() == 1);
  Fixture.Reports.acknowledged(Sent, 7);
  BOOST_TEST(CrashesInNextMessage() == 0);
  Fixture.Reports.acknowledged(Sent, 8);
  BOOST_TEST(CrashesInNextMessage() == 1);
}

// Guards against a datagram with arbitrary contents that comes from a peer's
// address.
BOOST_AUTO_TEST_CASE(that_are_malformed_refuse_nothing) {
  crash_watch_fixture Fixture;
  std::mt19937_64 Random(3);
  for (int Turn = 0; Turn < 20000; ++Turn) {
    wire::crash_news Message;
    for (int I = 0; I < 5; ++I) {
      wire::crash_report *Report = Message.add_crashes();
      if (Random() % 4 != 0)
        fillName({Random(), Random()}, *Report->mutable_request());
      Report->set_upstream(Random());
      if (Random() % 2 != 0)
        Report->set_kind(wire::CRASH_CAUSE_BLOCK);
      Report->set_crash_age(float(Random()) - 1e19F);
    }
    std::string Bytes = Message.SerializeAsString();
    Bytes[Random() % Bytes.size()] = char(Random());
    wire::crash_news Parsed;
    if (Parsed.ParseFromString(Bytes))
      Fixture.Reports.hear(Parsed);
  }
  BOOST_TEST(!Fixture.Reports.refuses(CrashingRequest));
  BOOST_TEST(!Fixture.Reports.suspects(HarmlessRequest));
}

BOOST_AUTO_TEST_SUITE_END()
