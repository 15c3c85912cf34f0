//===- state_test.cpp - The replicated state ------------------------------===//

#include "boost/test/unit_test.hpp"
#include "ledger/state_machine.h"
#include "tests/unit/fixtures.h"
#include <algorithm>
#include <cmath>
#include <random>

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(replicated_state)

BOOST_AUTO_TEST_CASE(grants_a_claim_only_to_the_first_value) {
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

BOOST_AUTO_TEST_CASE(keeps_a_session_on_its_first_version_while_in_use) {
  pin_table Table;
  BOOST_TEST(Table.claim(claimOf("s", "m@1"), 10).won());
  BOOST_TEST(Table.claim(claimOf("s", "m@1"), 11).won());
  wire::claim_result Lost = Table.claim(claimOf("s", "m@2"), 3000);
  BOOST_TEST(!Lost.won());
  BOOST_TEST(Lost.value() == "m@1");
  wire::claim Other = claimOf("s", "m@2");
  Other.set_account("another");
  BOOST_TEST(Table.claim(Other, 3000).won());
  wire::claim Replace = claimOf("s", "m@3");
  Replace.set_replaces("m@2");
  BOOST_TEST(!Table.claim(Replace, 3001).won());
  Replace.set_replaces("m@1");
  BOOST_TEST(Table.claim(Replace, 3001).won());

  wire::state_image Image;
  Table.save(Image);
  pin_table Restored;
  Restored.load(Image);
  BOOST_TEST(Restored.claim(claimOf("s", "m@1"), 6000).value() == "m@3");
  Restored.expire(6700); // The other pin was unused for an hour.
  BOOST_TEST(Restored.size() == 1U);
  Restored.expire(9600);
  BOOST_TEST(Restored.size() == 0U);
}

BOOST_AUTO_TEST_CASE(loads_pins_from_images_that_store_them_as_claims) {
  wire::state_image Image;
  wire::stored_claim *Old = Image.add_claims();
  Old->set_space("session");
  Old->set_account(claimOf("s", "").account());
  Old->set_key("s");
  Old->set_value("m@1");
  Old->set_touched(100);
  pin_table Pins;
  Pins.load(Image);
  BOOST_TEST(Pins.claim(claimOf("s", "m@2"), 200).value() == "m@1");
  claim_table Claims;
  Claims.load(Image);
  BOOST_TEST(Claims.size() == 0U);
}

BOOST_AUTO_TEST_CASE(counts_a_repeated_bill_once_in_any_order) {
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

BOOST_AUTO_TEST_CASE(is_restored_completely_from_its_image) {
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
  state_machine Restored;
  BOOST_REQUIRE(Restored.restore(State.image()));
  BOOST_TEST(Restored.image() == State.image());
  BOOST_TEST(Restored.apply(100, Change("first")).Repeated);
  auto Reports = Restored.ratings().evaluate(Restored.config());
  BOOST_REQUIRE(Reports.size() == 2U);
  BOOST_TEST((Reports[1].Verdict == guard_verdict::Stop));
  BOOST_TEST(!Restored.restore("nonsense"));
}

// Guards against a version that is stopped where it is good, or that goes on
// where it is bad: one that is bad for a single template or account is stopped
// only there, one that is bad everywhere is stopped completely.
BOOST_AUTO_TEST_CASE(stops_a_version_only_where_it_is_bad) {
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
      rating_store Store;
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
        Store.add(Rating, Catalog);
      };
      for (int I = 0; I < 400; ++I)
        Rate("1", false);
      guard_report Report;
      for (int I = 0; I < 200 && Report.StoppedScopes.empty() &&
                      Report.Verdict == guard_verdict::Go;
           ++I) {
        Rate("2", true);
        Report = Store.evaluate(Catalog)[1];
      }
      if (!Case.OneTemplate && !Case.OneAccount) {
        BOOST_TEST((Report.Verdict == guard_verdict::Stop));
        continue;
      }
      BOOST_TEST((Report.Verdict == guard_verdict::Go));
      BOOST_REQUIRE(Report.StoppedScopes.size() == 1U);
      BOOST_TEST(Report.StoppedScopes[0].Name ==
                 (Case.OneTemplate ? "t0" : "a0"));
      Catalog = Config(Case.OneTemplate ? R"({"templates":["t0"]})"
                                        : R"({"accounts":["a0"]})");
      Report = Store.evaluate(Catalog)[1];
      BOOST_TEST(Report.StoppedScopes.empty());
      BOOST_TEST(Report.Evidence < 1);
      BOOST_TEST((Report.Verdict == guard_verdict::Go));
    }
  }
}

// Guards against nodes with outdated estimates: a node that polls repeatedly
// ends up with every cell within its error, whatever the order of ratings and
// polls, and is not sent all cells again each time.
BOOST_AUTO_TEST_CASE(sends_nodes_the_estimates_that_changed) {
  catalog Catalog = smallCatalog();
  rating_store Store;
  estimates AtNode;
  uint64_t HeldIndex = 0;
  size_t SentCells = 0;
  std::mt19937_64 Random(3);
  std::normal_distribution<double> Score(0.7, 0.2);
  auto Poll = [&](size_t MaxCells) {
    wire::estimate_table Table;
    Store.fillEstimateTable(HeldIndex, MaxCells, Table);
    BOOST_TEST(size_t(Table.cells_size()) <= MaxCells + 3);
    loadCells(Table.cells(), AtNode);
    HeldIndex = Table.index();
    SentCells += size_t(Table.cells_size());
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
    Store.add(Rating, Catalog);
    if (I % 50 == 0)
      Poll(10);
  }
  while (Poll(10) > 0)
    BOOST_REQUIRE(HeldIndex <= Store.ratings());
  BOOST_TEST(HeldIndex == Store.ratings());
  BOOST_TEST(SentCells < size_t(Ratings) / 4);
  BOOST_TEST(AtNode.cells().size() == Store.quality().cells().size());
  for (const auto &[Key, Sums] : Store.quality().cells()) {
    estimate There = AtNode.of(Key, 1);
    estimate Here = Store.quality().of(Key, 1);
    BOOST_TEST(std::abs(There.Quality - Here.Quality) < Here.Error);
  }
  BOOST_TEST_MESSAGE("cells sent: " << SentCells << " for " << Ratings
                                    << " ratings");
}

BOOST_AUTO_TEST_CASE(counts_a_repeated_batch_of_ratings_once) {
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
