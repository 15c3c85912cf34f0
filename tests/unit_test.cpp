//===- unit_test.cpp - The pure parts -------------------------------------===//

#define BOOST_TEST_MODULE unit
#include "boost/test/unit_test.hpp"
#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "catalog/node_copy.h"
#include "control/node_table.h"
#include "ctl/config_file.h"
#include "daemon/settings.h"
#include "entry/answer_text.h"
#include "entry/chat_request.h"
#include "google/protobuf/stubs/logging.h"
#include "ledger/state_machine.h"
#include "policy/limits.h"
#include "policy/replica_choice.h"
#include "policy/version_choice.h"
#include "policy/work_queue.h"
#include "sidecar/admission.h"
#include "sidecar/attempt_table.h"
#include "sidecar/engine.h"
#include "tests/temporary_folder.h"
#include <array>
#include <fstream>

using namespace olivevalve;

namespace {

wire::change_set put(const std::string &Kind, const std::string &Name,
                     const std::string &Document) {
  wire::change_set Set;
  wire::config_change *Change = Set.add_changes();
  Change->set_kind(Kind);
  Change->set_name(Name);
  Change->set_document(Document);
  return Set;
}

catalog smallCatalog() {
  catalog Catalog;
  wire::change_set Set = put("model", "m", R"({"versions":{"1":{},"2":{}}})");
  Set.MergeFrom(put("service", "led", R"({"path_prefix":"/led/"})"));
  Set.MergeFrom(
      put("account", "acc", R"({"models":["m@1"],"services":["led"]})"));
  Set.MergeFrom(put("upstream", "u",
                    R"({"address":"127.0.0.1:1","data_hall":"h",
                        "versions":["m@1","m@2"]})"));
  Set.MergeFrom(put("upstream", "s",
                    R"({"address":"127.0.0.1:2","data_hall":"h",
                        "service":"led"})"));
  absl::Status Status = Catalog.applyChanges(Set, 5);
  BOOST_REQUIRE_MESSAGE(Status.ok(), messageOf(Status));
  return Catalog;
}

std::string commandText(const std::function<void(wire::command &)> &Fill) {
  wire::command Command;
  Command.set_wall_seconds(1000);
  Fill(Command);
  return Command.SerializeAsString();
}

wire::claim claimOf(const std::string &Key, const std::string &Value) {
  wire::claim Claim;
  Claim.set_space("request");
  Claim.set_account("a");
  Claim.set_key(Key);
  Claim.set_value(Value);
  return Claim;
}

} // namespace

BOOST_AUTO_TEST_SUITE(error_kinds)

BOOST_AUTO_TEST_CASE(stand_in_the_table_in_their_own_row) {
  for (uint32_t I = 0; I <= uint32_t(error_kind::Last); ++I) {
    const error_answer &Answer = answerFor(error_kind(I));
    BOOST_TEST(uint32_t(Answer.Kind) == I);
    BOOST_TEST(!Answer.Code.empty());
    BOOST_TEST((kindOf(makeError(error_kind(I), "x")) == error_kind(I)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(name_the_field_that_is_wrong_and_what_is_allowed) {
  struct bad_case {
    const char *Kind;
    const char *Document;
    const char *Says;
  };
  const bad_case Cases[] = {
      {"model", R"({})", "must name at least one version"},
      {"model", R"({"versions":{"1":{"state":"gone"}}})", "must be one of"},
      {"model", R"({"versions":{"1":{"input_price":-1}}})", "from 0 to"},
      {"model", R"({"version":{}})", "is not a known field"},
      {"model", R"([1])", "must be an object"},
      {"model", "{\n\"versions\":", "line 2"},
      {"template", R"({"candidates":[]})", "at least one model"},
      {"template",
       R"({"candidates":["m"],"policy":{"kind":"split","weights":[1,2]}})",
       "one weight for each"},
      {"account", R"({"key_digests":["x"]})", "64 hexadecimal digits"},
      {"account", R"({"requests_per_second":"many"})", "must be a number"},
      {"upstream", R"({"address":"a:1","data_hall":"h"})",
       "either versions or service"},
      {"service", R"({"path_prefix":"/v1/x/"})", "not be '/' or under /v1/"},
      {"nonsense", R"({})", "kind must be one of"},
  };
  for (const bad_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.Document) {
      auto Document = parseDocument(Case.Kind, "x", Case.Document);
      BOOST_REQUIRE(!Document.ok());
      std::string Message(messageOf(Document.status()));
      BOOST_TEST(Message.find(Case.Says) != std::string::npos, Message);
      BOOST_TEST(Message.find("/x") != std::string::npos, Message);
    }
  }
}

BOOST_AUTO_TEST_CASE(must_not_point_at_nothing) {
  struct bad_case {
    const char *Kind;
    const char *Name;
    const char *Document;
    const char *Says;
  };
  const bad_case Cases[] = {
      {"template", "t", R"({"candidates":["none"]})", "no model or version"},
      {"template", "m", R"({"candidates":["m"]})", "name of a model"},
      {"account", "b", R"({"models":["m@9"]})", "no model or version m@9"},
      {"upstream", "v",
       R"({"address":"127.0.0.1:1","data_hall":"h","versions":["m@1"]})",
       "is that of another upstream"},
      {"service", "led2", R"({"path_prefix":"/led/"})", "another service"},
      {"model", "m", R"({"versions":{"1":{}}})", "no model or version m@2"},
  };
  for (const bad_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.Document) {
      catalog Catalog = smallCatalog();
      absl::Status Status =
          Catalog.applyChanges(put(Case.Kind, Case.Name, Case.Document), 9);
      BOOST_TEST((kindOf(Status) == error_kind::BadConfiguration));
      BOOST_TEST(messageOf(Status).find(Case.Says) != std::string_view::npos,
                 messageOf(Status));
      BOOST_TEST(Catalog.index() == 5U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_nodes_copy)

wire::grant grantOf(const catalog &Config, uint64_t Since, double SentAt) {
  wire::grant Grant;
  Grant.set_sent_at(SentAt);
  Grant.set_lease_seconds(LeaseSeconds);
  Config.fillDelta(Since, *Grant.mutable_delta());
  return Grant;
}

BOOST_AUTO_TEST_CASE(follows_deltas_and_never_goes_back) {
  catalog Config = smallCatalog();
  wire::grant Old = grantOf(Config, 0, 10);
  node_copy Copy;
  BOOST_TEST(Copy.take(Old, 10.1));
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
  BOOST_TEST(Copy.take(Delta, 11.1));
  BOOST_TEST(!Copy.config().upstream("s"));

  Old.set_sent_at(12);
  BOOST_TEST(!Copy.take(Old, 12.1));
  BOOST_TEST(Copy.config().index() == 8U);
  BOOST_TEST(Copy.leaseEnd() < 17.1);
}

BOOST_AUTO_TEST_CASE(gets_no_lease_from_a_grant_that_was_long_on_the_way) {
  node_copy Copy;
  Copy.take(grantOf(smallCatalog(), 0, 10), 30);
  BOOST_TEST(!Copy.hasLease(30));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_leaders_view)

wire::renew renewOf(const std::string &Node, uint64_t Index) {
  wire::renew Renew;
  Renew.set_node(Node);
  Renew.set_role("entry");
  Renew.set_incarnation(checksum(Node));
  Renew.set_config_index(Index);
  return Renew;
}

BOOST_AUTO_TEST_CASE(waits_for_every_lease_that_lacks_the_change) {
  node_table Table;
  Table.reset(0);
  double Now = 100;
  for (const char *Node : {"a", "b", "c"}) {
    Table.renewed(Node, renewOf(Node, 4), Now);
    Table.granted(Node, Now);
  }
  double Took = -1;
  Table.awaitInForce(5, Now, [&](double Seconds) { Took = Seconds; });
  Table.renewed("a", renewOf("a", 5), Now + 1);
  Table.left("b");
  Table.poll(Now + 1);
  BOOST_TEST(Took < 0);
  // The silent one holds the change up until its lease has surely ended.
  Table.poll(Now + LeaseSeconds * 0.99);
  BOOST_TEST(Took < 0);
  Table.poll(Now + LeaseSeconds * (1 + 2 * DriftShare));
  BOOST_TEST(Took > LeaseSeconds);
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_leases_it_does_not_know) {
  node_table Table;
  Table.reset(100);
  bool Done = false;
  Table.awaitInForce(5, 101, [&](double) { Done = true; });
  Table.poll(105);
  BOOST_TEST(!Done);
  Table.poll(106.2);
  BOOST_TEST(Done);
}

BOOST_AUTO_TEST_CASE(shares_limits_by_demand) {
  node_table Table;
  Table.reset(0);
  for (auto [Node, Rate] : {std::pair{"a", 30.0}, {"b", 10.0}}) {
    wire::renew Renew = renewOf(Node, 1);
    Renew.add_demand()->set_account("x");
    Renew.mutable_demand(0)->set_requests_per_second(Rate);
    Table.renewed(Node, Renew, 10);
    Table.granted(Node, 10);
  }
  double A = Table.sharesOf("a", 10)[0].share();
  double B = Table.sharesOf("b", 10)[0].share();
  BOOST_TEST(A > 2 * B);
  BOOST_TEST(A + B <= 1.0001);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_replicated_state)

BOOST_AUTO_TEST_CASE(gives_a_claim_to_the_first_and_only_once) {
  claim_table Table;
  BOOST_TEST(Table.claim(claimOf("k", "one"), 10).won());
  BOOST_TEST(Table.claim(claimOf("k", "one"), 11).won());
  wire::claim_result Lost = Table.claim(claimOf("k", "two"), 12);
  BOOST_TEST(!Lost.won());
  BOOST_TEST(Lost.value() == "one");
  wire::claim Replace = claimOf("k", "three");
  Replace.set_replaces("one");
  BOOST_TEST(Table.claim(Replace, 13).won());
  BOOST_TEST(!Table.claim(Replace, 14).value().empty());
  BOOST_TEST(!Table.claim(claimOf("k", "one"), 15).won());
  Table.expire(13 + 25 * 3600);
  BOOST_TEST(Table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(counts_a_bill_once_in_any_order) {
  bill_ledger Ledger;
  for (uint64_t Request : {3, 1, 2, 3, 1, 7, 6, 2}) {
    wire::bill Bill;
    Bill.set_entry(9);
    Bill.set_request(Request);
    Bill.set_account("a");
    wire::bill_item *Item = Bill.add_items();
    Item->set_model("m");
    Item->mutable_usage()->set_output_tokens(10);
    Ledger.add(Bill);
  }
  BOOST_REQUIRE(Ledger.totals().size() == 1U);
  BOOST_TEST(Ledger.totals().begin()->second.Requests == 5U);
  BOOST_TEST(Ledger.totals().begin()->second.OutputTokens == 50U);
  BOOST_TEST(Ledger.duplicates() == 3U);
  wire::state_image Image;
  Ledger.save(Image);
  BOOST_TEST(Image.ranges_size() == 2);
}

BOOST_AUTO_TEST_CASE(comes_back_whole_from_its_image) {
  state_machine State;
  auto Change = [](const std::string &Id) {
    return commandText([&](wire::command &Command) {
      *Command.mutable_change() =
          put("model", "m", R"({"versions":{"1":{},"2":{"state":"rolling"}}})");
      Command.mutable_change()->set_change_id(Id);
    });
  };
  State.apply(1, Change("first"));
  State.apply(2, commandText([](wire::command &Command) {
                *Command.mutable_claim() = claimOf("k", "v");
              }));
  for (uint64_t Index = 3; Index < 100; ++Index)
    State.apply(Index, commandText([&](wire::command &Command) {
                  Command.mutable_ratings()->set_reporter("e");
                  Command.mutable_ratings()->set_sequence(Index);
                  wire::rating *Rating =
                      Command.mutable_ratings()->add_ratings();
                  Rating->set_template_("t");
                  Rating->set_model("m");
                  Rating->set_version("2");
                  Rating->set_score(0.1);
                }));
  state_machine Back;
  BOOST_REQUIRE(Back.restore(State.image()));
  BOOST_TEST(Back.image() == State.image());
  BOOST_TEST(Back.apply(100, Change("first")).Repeated);
  auto Reports = Back.ratings().judge(Back.config());
  BOOST_REQUIRE(Reports.size() == 2U);
  BOOST_TEST((Reports[1].Verdict == guard_verdict::Stop));
  BOOST_TEST(!Back.restore("nonsense"));
}

// The guard ends a version where it is bad and nowhere else; one that is bad
// everywhere it ends whole.
BOOST_AUTO_TEST_CASE(end_a_version_only_where_it_is_bad) {
  struct bad_case {
    const char *What;
    bool OneTemplate;
    bool OneAccount;
  };
  const bad_case Cases[] = {{"for one template", true, false},
                            {"for one account", false, true},
                            {"everywhere", false, false}};
  for (const bad_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      auto Config = [](const std::string &StoppedFor) {
        catalog Catalog;
        wire::change_set Set =
            put("model", "m",
                R"({"versions":{"1":{},"2":{"state":"rolling","stopped_for":)" +
                    StoppedFor + "}}}");
        BOOST_REQUIRE(Catalog.applyChanges(Set, 1).ok());
        return Catalog;
      };
      catalog Catalog = Config("{}");
      rating_book Book;
      std::mt19937_64 Random(5);
      std::normal_distribution<double> Noise(0, 0.1);
      auto Rate = [&](const char *Version, bool MayBeBad) {
        wire::rating Rating;
        Rating.set_template_("t" + std::to_string(Random() % 4));
        Rating.set_account("a" + std::to_string(Random() % 4));
        Rating.set_model("m");
        Rating.set_version(Version);
        bool Bad = MayBeBad &&
                   (!Case.OneTemplate || Rating.template_() == "t0") &&
                   (!Case.OneAccount || Rating.account() == "a0");
        Rating.set_score(
            std::clamp((Bad ? 0.4 : 0.85) + Noise(Random), 0.0, 1.0));
        Book.add(Rating, Catalog);
      };
      for (int I = 0; I < 400; ++I)
        Rate("1", false);
      guard_report Report;
      for (int I = 0; I < 200 && Report.Stops.empty() &&
                      Report.Verdict == guard_verdict::Go;
           ++I) {
        Rate("2", true);
        Report = Book.judge(Catalog)[1];
      }
      if (!Case.OneTemplate && !Case.OneAccount) {
        BOOST_TEST((Report.Verdict == guard_verdict::Stop));
        continue;
      }
      BOOST_TEST((Report.Verdict == guard_verdict::Go));
      BOOST_REQUIRE(Report.Stops.size() == 1U);
      BOOST_TEST(Report.Stops[0].Name == (Case.OneTemplate ? "t0" : "a0"));
      Catalog = Config(Case.OneTemplate ? R"({"templates":["t0"]})"
                                        : R"({"accounts":["a0"]})");
      Report = Book.judge(Catalog)[1];
      BOOST_TEST(Report.Stops.empty());
      BOOST_TEST(Report.Evidence < 1);
      BOOST_TEST((Report.Verdict == guard_verdict::Go));
    }
  }
}

// Whatever is published when, a node that asks again and again ends up with
// every cell within a part of its error, and hears each at most once.
BOOST_AUTO_TEST_CASE(tells_nodes_the_estimates_that_moved) {
  catalog Catalog = smallCatalog();
  rating_book Book;
  estimates AtNode;
  uint64_t Known = 0;
  size_t Told = 0;
  std::mt19937_64 Random(3);
  std::normal_distribution<double> Score(0.7, 0.2);
  auto Ask = [&](size_t Most) {
    wire::estimate_table Table;
    Book.fillNews(Known, Most, Table);
    BOOST_TEST(size_t(Table.cells_size()) <= Most + 3);
    loadCells(Table.cells(), AtNode);
    Known = Table.index();
    Told += size_t(Table.cells_size());
    return Table.cells_size();
  };
  constexpr int Ratings = 20000;
  for (int I = 0; I < Ratings; ++I) {
    wire::rating Rating;
    Rating.set_template_("t" + std::to_string(Random() % 5));
    Rating.set_account("a" + std::to_string(Random() % 10));
    Rating.set_model("m");
    Rating.set_version(Random() % 2 ? "1" : "2");
    Rating.set_score(std::clamp(Score(Random), 0.0, 1.0));
    Rating.set_cost(1);
    Book.add(Rating, Catalog);
    if (I % 50 == 0)
      Ask(10);
  }
  while (Ask(10) > 0)
    BOOST_REQUIRE(Known <= Book.ratings());
  BOOST_TEST(Known == Book.ratings());
  BOOST_TEST(Told < size_t(Ratings) / 4);
  BOOST_TEST(AtNode.cells().size() == Book.quality().cells().size());
  for (const auto &[Key, Sums] : Book.quality().cells()) {
    estimate There = AtNode.of(Key, 1);
    estimate Here = Book.quality().of(Key, 1);
    BOOST_TEST(std::abs(There.Quality - Here.Quality) < Here.Error);
  }
  BOOST_TEST_MESSAGE("cells told: " << Told << " for " << Ratings
                                    << " ratings");
}

BOOST_AUTO_TEST_CASE(counts_a_batch_of_ratings_once) {
  state_machine State;
  std::string Batch = commandText([](wire::command &Command) {
    Command.mutable_ratings()->set_reporter("e");
    Command.mutable_ratings()->set_sequence(1);
    Command.mutable_ratings()->add_ratings()->set_model("m");
  });
  State.apply(1, Batch);
  State.apply(2, Batch);
  BOOST_TEST(State.ratings().ratings() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_sidecar)

BOOST_AUTO_TEST_CASE(admits_only_what_its_own_configuration_allows) {
  struct admission_case {
    const char *What;
    std::function<void(wire::attempt &, admission_state &)> Change;
    error_kind Kind;
  };
  const admission_case Cases[] = {
      {"what is allowed", [](auto &, auto &) {}, error_kind::None},
      {"another start of it",
       [](auto &A, auto &) { A.set_sidecar_incarnation(8); },
       error_kind::StaleIncarnation},
      {"no lease", [](auto &, auto &S) { S.HasLease = false; },
       error_kind::NoLease},
      {"stopping", [](auto &, auto &S) { S.Stopping = true; },
       error_kind::Draining},
      {"a version not allowed", [](auto &A, auto &) { A.set_version("2"); },
       error_kind::ModelNotAllowed},
      {"an unknown account", [](auto &A, auto &) { A.set_account("z"); },
       error_kind::Unauthorized},
      {"an upstream not configured", [](auto &, auto &S) { S.Upstream = "z"; },
       error_kind::Draining},
      {"a service's upstream", [](auto &, auto &S) { S.Upstream = "s"; },
       error_kind::NotFound},
  };
  catalog Config = smallCatalog();
  for (const admission_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      wire::attempt Attempt;
      Attempt.set_sidecar_incarnation(7);
      Attempt.set_account("acc");
      Attempt.set_model("m");
      Attempt.set_version("1");
      admission_state State{
          .Upstream = "u", .Incarnation = 7, .HasLease = true};
      Case.Change(Attempt, State);
      BOOST_TEST((kindOf(admit(Attempt, State, Config)) == Case.Kind));
    }
  }
  BOOST_TEST_CONTEXT("a withdrawn version") {
    Config
        .applyChanges(put("model", "m",
                          R"({"versions":{"1":{"state":"withdrawn"},"2":{}}})"),
                      9)
        .IgnoreError();
    wire::attempt Attempt;
    Attempt.set_account("acc");
    Attempt.set_model("m");
    Attempt.set_version("1");
    admission_state State{.Upstream = "u", .HasLease = true};
    BOOST_TEST((kindOf(admit(Attempt, State, Config)) ==
                error_kind::VersionWithdrawn));
  }
}

BOOST_AUTO_TEST_CASE(never_runs_what_was_cancelled_before_it_came) {
  attempt_table Table;
  attempt_key Key{1, 2, 3};
  BOOST_TEST(
      (Table.cancelIfNotStarted(Key, 10) == attempt_progress::NotStarted));
  BOOST_TEST((Table.progress(Key) == attempt_progress::NotStarted));
  Table.set({1, 2, 4}, attempt_progress::Running, 11);
  BOOST_TEST(
      (Table.cancelIfNotStarted({1, 2, 4}, 12) == attempt_progress::Running));
  Table.expire(5000);
  BOOST_TEST(Table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(reads_usage_from_plain_and_streamed_answers) {
  usage_scanner Scanner;
  for (int I = 0; I < 1000; ++I)
    Scanner.feed("data: {\"choices\":[{\"delta\":{\"content\":\"{}\"}}]}\n\n");
  BOOST_TEST(!Scanner.usage().has_value());
  Scanner.feed("data: {\"usa");
  Scanner.feed("ge\":{\"prompt_tokens\":7,\"completion_tokens\":9,"
               "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n");
  Scanner.feed("data: [DONE]\n\n");
  BOOST_REQUIRE(Scanner.usage().has_value());
  BOOST_TEST(Scanner.usage()->input_tokens() == 7U);
  BOOST_TEST(Scanner.usage()->cached_tokens() == 4U);
  BOOST_TEST(Scanner.usage()->output_tokens() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(a_queue_serves_and_sheds_by_priority) {
  work_queue Queue(3);
  BOOST_TEST(!Queue.push({1, 2, 0, 100}));
  BOOST_TEST(!Queue.push({2, 1, 0, 100}));
  BOOST_TEST(!Queue.push({3, 2, 0, 1}));
  BOOST_TEST(*Queue.push({4, 3, 0, 100}) == 4U);
  BOOST_TEST(*Queue.push({5, 0, 0, 100}) == 3U);
  BOOST_TEST(Queue.pop(10)->Ticket == 5U);
  BOOST_TEST(Queue.pop(10)->Ticket == 2U);
  BOOST_TEST(Queue.remove(1));
  BOOST_TEST(!Queue.pop(10));
}

BOOST_AUTO_TEST_CASE(limits_let_through_what_they_say) {
  rate_limit Rate;
  int Passed = 0;
  for (int I = 0; I < 1000; ++I)
    Passed += Rate.take(10, I * 0.01) ? 1 : 0;
  BOOST_TEST(Passed >= 100);
  BOOST_TEST(Passed <= 121);
  retry_budget Retries;
  int Retried = 0;
  for (int I = 0; I < 1000; ++I) {
    Retries.requestSeen();
    Retried += Retries.take() ? 1 : 0;
  }
  BOOST_TEST(Retried <= 106);
  circuit_breaker Breaker;
  for (int I = 0; I < 3; ++I)
    Breaker.failed(10);
  BOOST_TEST(!Breaker.allows(10.1));
  BOOST_TEST(Breaker.allows(11));
  Breaker.succeeded();
  BOOST_TEST(Breaker.allows(10.1));
}

BOOST_AUTO_TEST_CASE(a_rolling_version_runs_only_within_its_allowance) {
  std::mt19937_64 Random(1);
  estimates None;
  choice_question Question{.Policy = cheapest_policy{}};
  Question.Candidates = {{.Name = {"m", "1"}},
                         {.Name = {"m", "2"}, .Rolling = true}};
  for (int I = 0; I < 200; ++I)
    BOOST_TEST(chooseArm(Question, None, Random)->Arm.First.Version == "1");
  Question.Candidates[1].Allowance = 5;
  int New = 0;
  for (int I = 0; I < 200; ++I)
    New += chooseArm(Question, None, Random)->Rolling ? 1 : 0;
  BOOST_TEST(New > 20);
  BOOST_TEST(New < 90);
  Question.Candidates.erase(Question.Candidates.begin());
  Question.Candidates[0].Allowance = 0;
  BOOST_TEST(!chooseArm(Question, None, Random));
}

BOOST_AUTO_TEST_CASE(the_text_of_an_answer_wherever_it_is_cut) {
  std::string Stream;
  for (const char *Token : {R"(\u00e9t\u00e9)", R"( \"two\")", R"(\\)", " end"})
    Stream += std::string("data: {\"choices\":[{\"delta\":{\"content\": \"") +
              Token + "\"}}]}\n\n";
  Stream += ": a comment with \"content\":\"no\"\n\n"
            "data: {\"choices\":[{\"delta\":{\"content\":null}}]}\r\n\r\n"
            "data: [DONE]\n\n";
  const std::string Wanted = "\xc3\xa9t\xc3\xa9 \"two\"\\ end";
  for (size_t Size = 1; Size <= Stream.size(); ++Size) {
    answer_text Text;
    for (size_t At = 0; At < Stream.size(); At += Size)
      Text.feed(std::string_view(Stream).substr(At, Size));
    BOOST_REQUIRE_EQUAL(Text.text(), Wanted);
  }
  answer_text Long;
  std::string Token(1000, 'x');
  for (int I = 0; I < 100; ++I)
    Long.feed("data: {\"content\":\"" + Token + "\"}\n");
  BOOST_TEST(Long.text().size() == 16000U);
  BOOST_TEST(textOfAnswer(R"({"choices":[{"message":{"content":"hi"}}]})") ==
             "hi");
  BOOST_TEST(textOfAnswer("{\"choices\":[]}") == "{\"choices\":[]}");
}

BOOST_AUTO_TEST_CASE(body_and_directives_of_a_chat_request) {
  BOOST_TEST(parseChatRequest(R"({"model":"m","messages":[{}]})").ok());
  for (const char *Bad : {"", "[]", "{}", R"({"model":1,"messages":[{}]})",
                          R"({"model":"m","messages":[]})",
                          R"({"model":"m","messages":[{}],"stream":1})"})
    BOOST_TEST(!parseChatRequest(Bad).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings_files)

BOOST_AUTO_TEST_CASE(are_checked_whole_before_anything_starts) {
  struct bad_case {
    const char *Text;
    const char *Says;
  };
  const bad_case Cases[] = {
      {"{", "line 1"},
      {R"({"node":"n"})", "data_hall: is missing"},
      {R"({"node":"n","data_hall":"h","control_members":[]})",
       "must list at least one"},
      {R"({"nodes":"n"})", "nodes: is not a known field"},
      {R"({"node":7})", "node: is number, must be a string"},
      {R"({"node":"n","data_hall":"h",
           "control_members":[{"id":1,"address":"localhost:1"}]})",
       "must be IP:port"},
      {R"({"node":"n","data_hall":"h","health_address":"127.0.0.1:5",
           "control_members":[{"id":1,"address":"127.0.0.1:1"}],
           "entry":{"address":"127.0.0.1:5"}})",
       "used twice"},
      {R"({"node":"n","data_hall":"h",
           "control_members":[{"id":1,"address":"127.0.0.1:1"}],
           "entry":{"address":"127.0.0.1:5","max_body_bytes":1}})",
       "entry.max_body_bytes: is 1, must be from"},
      {R"({"node":"n","data_hall":"h",
           "control_members":[{"id":1,"address":"127.0.0.1:1"}]})",
       "must have a role"},
  };
  temporary_folder Folder;
  std::string Path = Folder.path() + "/s.json";
  for (const bad_case &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.Text) {
      std::ofstream(Path) << Case.Text;
      auto Settings = loadSettings(Path);
      BOOST_REQUIRE(!Settings.ok());
      std::string Message(messageOf(Settings.status()));
      BOOST_TEST(Message.find(Case.Says) != std::string::npos, Message);
      BOOST_TEST(Message.find(Path) != std::string::npos, Message);
    }
  }
  BOOST_TEST(!loadSettings(Folder.path() + "/none.json").ok());
}

BOOST_AUTO_TEST_CASE(name_the_line_of_each_fault) {
  temporary_folder Folder;
  std::string Path = Folder.path() + "/s.json";
  std::ofstream(Path) << R"({
  "node": "n", // a comment, with "quotes": and {braces}
  "data_hall": "h",
  /* and
     another */
  "control_members": [
    {"id": 1, "address": "127.0.0.1:1"},
    {"id": 1, "address": "nowhere"}
  ],
  "entry": {
    "address": "127.0.0.1:5",
    "max_body_bytes": 1
  }
})";
  auto Settings = loadSettings(Path);
  BOOST_REQUIRE(!Settings.ok());
  std::string Message(messageOf(Settings.status()));
  for (const char *Says : {"line 8: control_members[1].address: is 'nowhere'",
                           "line 8: control_members[1].id: 1 is used twice",
                           "line 12: entry.max_body_bytes: is 1, must be from"})
    BOOST_TEST(Message.find(Path + ": " + Says) != std::string::npos, Message);

  std::ofstream(Path) << R"({
  "models": {"m.1": {"versions": {"2.0": {}}}},
  "accounts": {
    "a": {"models": ["m.1"],
          "concurrent": 0},
    "b": {"models": ["none"]}
  }
})";
  auto Check = [&] {
    auto File = loadConfigFile(Path);
    BOOST_REQUIRE(File.ok());
    return std::string(messageOf(checkConfig(*File)));
  };
  std::string Fault = Check();
  BOOST_TEST(Fault.starts_with(Path + ": line 5: account/a.concurrent: is 0"),
             Fault);
  std::ofstream(Path) << R"({
  "models": {"m": {"versions": {"2.0": {}}}},
  "accounts": {
    "b": {"models": ["none"]}
  }
})";
  Fault = Check();
  BOOST_TEST(Fault.starts_with(Path + ": line 4: account/b: models: no model"),
             Fault);
}

BOOST_AUTO_TEST_SUITE_END()

// Random and broken bytes on every parser: nothing may crash. The seeds are
// fixed, so each run is the same.
BOOST_AUTO_TEST_SUITE(bad_input)

std::string mutate(std::string Bytes, std::mt19937_64 &Random) {
  int Changes = 1 + int(Random() % 6);
  for (int I = 0; I < Changes && !Bytes.empty(); ++I) {
    size_t At = Random() % Bytes.size();
    switch (Random() % 4) {
    case 0:
      Bytes[At] = char(Random());
      break;
    case 1:
      Bytes.resize(At);
      break;
    case 2:
      Bytes.insert(At, Bytes.substr(0, Random() % 40));
      break;
    default:
      Bytes.erase(At, 1 + Random() % 8);
    }
  }
  return Bytes;
}

BOOST_AUTO_TEST_CASE(never_crashes_a_parser) {
  google::protobuf::SetLogHandler(nullptr);
  std::mt19937_64 Random(42);
  catalog Config = smallCatalog();
  wire::config_delta Whole;
  Config.fillDelta(0, Whole);
  state_machine State;
  State.apply(1, commandText([](wire::command &Command) {
                *Command.mutable_change() =
                    put("model", "m", R"({"versions":{"1":{}}})");
              }));
  const std::array<std::string, KindNames.size()> Documents = {
      R"({"versions":{"1":{"state":"rolling","input_price":2}}})",
      R"({"candidates":["m@1"],"policy":{"kind":"split","weights":[1]}})",
      R"({"models":["m"],"templates":{"t":{"priority":1}}})",
      R"({"address":"127.0.0.1:1","data_hall":"h","versions":["m@1"]})",
      R"({"path_prefix":"/x/","repeatable_methods":["GET"]})",
      R"({"draining":true})"};
  std::string Chat = R"({"model":"m","messages":[{"content":"x"}]})";
  int Accepted = 0;
  for (int I = 0; I < 20000; ++I) {
    size_t Kind = Random() % KindNames.size();
    Accepted +=
        parseDocument(KindNames[Kind], "x", mutate(Documents[Kind], Random))
                .ok()
            ? 1
            : 0;
    Accepted += parseChatRequest(mutate(Chat, Random)).ok() ? 1 : 0;
    std::string File = mutate(Documents[Kind], Random);
    if (parseJson(File, "file").ok())
      Accepted += field_lines(File).lineOf("versions.1") == 1 ? 1 : 0;
    usage_scanner Scanner;
    Scanner.feed(mutate("{\"usage\":{\"prompt_tokens\":1}}", Random));
    Scanner.usage();
    if (I % 20)
      continue;
    wire::config_delta Delta;
    if (Delta.ParseFromString(mutate(Whole.SerializeAsString(), Random))) {
      catalog Copy;
      Copy.applyDelta(Delta);
    }
    state_machine Copy;
    Copy.restore(mutate(State.image(), Random));
    Copy.apply(5, mutate(State.image(), Random));
  }
  // Some mutations leave a good document, or nothing was parsed at all.
  BOOST_TEST(Accepted > 100);
}

BOOST_AUTO_TEST_SUITE_END()
