//===- sidecar_test.cpp - Admission, attempts and usage at a sidecar ------===//

#include "base/error.h"
#include "boost/test/unit_test.hpp"
#include "sidecar/admission.h"
#include "sidecar/attempt_table.h"
#include "sidecar/engine.h"
#include "tests/unit/fixtures.h"

using namespace olivevalve;

BOOST_AUTO_TEST_SUITE(a_sidecar)

BOOST_AUTO_TEST_CASE(refuses_attempts_that_its_configuration_does_not_allow) {
  struct admission_case {
    const char *What;
    std::function<void(wire::attempt &, admission_state &)> Change;
    error_kind Kind;
  };
  const admission_case Cases[] = {
      {"an allowed attempt", [](auto &, auto &) {}, error_kind::None},
      {"another incarnation of the sidecar",
       [](auto &A, auto &) { A.set_sidecar_incarnation(8); },
       error_kind::StaleIncarnation},
      {"no lease", [](auto &, auto &S) { S.HasLease = false; },
       error_kind::NoLease},
      {"a sidecar that is stopping", [](auto &, auto &S) { S.Stopping = true; },
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

BOOST_AUTO_TEST_CASE(does_not_start_an_attempt_cancelled_before_it_arrived) {
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

BOOST_AUTO_TEST_CASE(reads_usage_split_across_reads_of_a_streamed_answer) {
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
