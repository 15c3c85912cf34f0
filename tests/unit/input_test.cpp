//===- input_test.cpp - Bad input on every parser -------------------------===//

#include "base/error.h"
#include "base/fields.h"
#include "boost/test/unit_test.hpp"
#include "catalog/routing.h"
#include "entry/chat_request.h"
#include "entry/rater.h"
#include "google/protobuf/stubs/logging.h"
#include "ledger/state_machine.h"
#include "platform/headers.h"
#include "platform/upstream_list.h"
#include "sidecar/engine.h"
#include "sidecar/version_loader.h"
#include "tests/unit/fixtures.h"
#include <array>
#include <cstdlib>
#include <random>

using namespace olivevalve;

// Guards against input that crashes a parser: feeds random and damaged bytes to
// every parser. The seeds are fixed, so that each run is the same.
BOOST_AUTO_TEST_SUITE(bad_input)

// Text with a special meaning in JSON or in a header.
constexpr std::array<std::string_view, 12> Fragments = {
    "1e999",   "-1e999", "1e-999",   "{\"a\":",
    "[[[[",    "\"",     "/*\"*/",   "//\"\n",
    "\\ud800", "null",   "\xff\xfe", "99999999999999999999"};

std::string mutate(std::string Bytes, std::mt19937_64 &Random) {
  int Changes = 1 + int(Random() % 6);
  for (int I = 0; I < Changes && !Bytes.empty(); ++I) {
    size_t At = Random() % Bytes.size();
    switch (Random() % 5) {
    case 0:
      Bytes[At] = char(Random());
      break;
    case 1:
      Bytes.resize(At);
      break;
    case 2:
      Bytes.insert(At, Bytes.substr(0, Random() % 40));
      break;
    case 3:
      Bytes.insert(At, Fragments[Random() % Fragments.size()]);
      break;
    default:
      Bytes.erase(At, 1 + Random() % 8);
    }
  }
  return Bytes;
}

// OLIVEVALVE_INPUTS: rounds of a longer run.
int inputRounds() {
  const char *Rounds = std::getenv("OLIVEVALVE_INPUTS");
  return Rounds ? std::atoi(Rounds) : 20000;
}

// Guards against ending the process on a number that the library rejects.
BOOST_AUTO_TEST_CASE(beyond_the_range_of_a_number_names_the_field) {
  for (const char *Number : {"1e999", "-1e999", "1e309"}) {
    auto Value = parseJson(
        "{\"routes\":[{\"a\":1},\n{\"timeout\":" + std::string(Number) + "}]}",
        "request");
    BOOST_REQUIRE(!Value.ok());
    BOOST_TEST((kindOf(Value.status()) == error_kind::BadRequest));
    BOOST_TEST(messageOf(Value.status()) ==
               "request: line 2: routes[1].timeout: " + std::string(Number) +
                   " is beyond the range of a number");
  }
  auto Long = parseJson("[" + std::string(1000, '9') + "]", "request");
  BOOST_REQUIRE(!Long.ok());
  BOOST_TEST(messageOf(Long.status()).size() < 200U);
  BOOST_TEST(parseJson("[1e-999, 1e308]", "request").ok());
}

// Guards against nesting that a comment hides from the depth check.
BOOST_AUTO_TEST_CASE(nested_too_deeply_is_refused_whatever_comments_it_has) {
  for (const char *Comment : {"", "/*\"*/", "// \"\n"})
    for (const char *Bracket : {"[", "{\"a\":"}) {
      std::string Text = Comment;
      for (int I = 0; I < 400'000; ++I)
        Text += Bracket;
      auto Value = parseJson(Text, "request");
      BOOST_REQUIRE(!Value.ok());
      BOOST_TEST(messageOf(Value.status()).ends_with("deeper than 64 levels"));
    }
  std::string Deep(MaxJsonDepth, '[');
  BOOST_TEST(
      parseJson(Deep + std::string(MaxJsonDepth, ']') + " // \" [[", "").ok());
}

BOOST_AUTO_TEST_CASE(of_many_errors_is_reported_in_few_lines) {
  json Many;
  for (int I = 0; I < 100'000; ++I)
    Many["unknown" + std::to_string(I)] = I;
  fault_list Faults;
  object_reader(Many, "", Faults).finish();
  std::string Text = Faults.text();
  BOOST_TEST(Text.size() < 10'000U);
  BOOST_TEST(Text.ends_with("and 99950 more errors"));
}

BOOST_AUTO_TEST_CASE(that_is_not_utf8_can_be_written_as_json) {
  BOOST_TEST(jsonText({{"account", "\xff\xfe"}}) ==
             "{\"account\":\"\xEF\xBF\xBD\xEF\xBF\xBD\"}");
}

// Guards against ending an entry that adds a member to a non-object.
BOOST_AUTO_TEST_CASE(in_stream_options_is_refused) {
  auto Body = [](const std::string &Options) {
    return R"({"model":"m","messages":[{}],"stream":true,"stream_options":)" +
           Options + "}";
  };
  for (const char *Options : {"1", "\"x\"", "[]", "true"})
    BOOST_TEST(!parseChatRequest(Body(Options)).ok(), Options);
  for (const char *Options : {"{}", "null", "{\"a\":1}"}) {
    auto Request = parseChatRequest(Body(Options));
    BOOST_REQUIRE(Request.ok());
    BOOST_TEST(engineBody(*Request, "m-1").find("\"include_usage\":true") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(does_not_crash_a_parser) {
  google::protobuf::SetLogHandler(nullptr);
  std::mt19937_64 Random(42);
  catalog Config = smallCatalog();
  wire::config_delta FullDelta;
  Config.fillDelta(0, FullDelta);
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
      R"({"draining":true})",
      R"({"versions":["m@1"]})"};
  std::string Chat = R"({"model":"m","stream":true,"stream_options":{},)"
                     R"("messages":[{"content":"x"}]})";
  std::string Routing =
      R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
      R"("timeout_ms":100,"service":"s"}],"services":[{"name":"s"}]})";
  std::string List =
      R"({"upstreams":[{"id":"a","service":"s","address":"10.0.0.1:80",)"
      R"("data_hall":"l","version":"v1","slots":8,"state":"ready",)"
      R"("cold_ms":0}],"next_page":null})";
  int Accepted = 0;
  int Rounds = inputRounds();
  for (int I = 0; I < Rounds; ++I) {
    size_t Kind = Random() % KindNames.size();
    Accepted +=
        parseDocument(KindNames[Kind], "x", mutate(Documents[Kind], Random))
                .ok()
            ? 1
            : 0;
    auto Request = parseChatRequest(mutate(Chat, Random));
    Accepted += Request.ok() ? 1 : 0;
    if (Request.ok())
      engineBody(*Request, "m-1");
    Accepted += readRouting(mutate(Routing, Random)).ok() ? 1 : 0;
    for (transfer_end End : {transfer_end::Framed, transfer_end::Closed})
      Accepted +=
          platform::readUpstreamPage(mutate(List, Random), End).ok() ? 1 : 0;
    parseEngineLoad(mutate(R"({"kv_cache_usage":0.5})", Random), 0);
    parseEngineModels(mutate(R"({"fence":1,"loaded":["m"]})", Random));
    std::string File = mutate(Documents[Kind], Random);
    if (parseJson(File, "file").ok())
      Accepted += field_lines(File).lineOf("versions.1") == 1 ? 1 : 0;
    usage_scanner Scanner;
    Scanner.feed(mutate("{\"usage\":{\"prompt_tokens\":1}}", Random));
    Scanner.usage();
    if (I % 20)
      continue;
    wire::config_delta Delta;
    if (Delta.ParseFromString(mutate(FullDelta.SerializeAsString(), Random))) {
      catalog Copy;
      Copy.applyDelta(Delta);
    }
    state_machine Copy;
    Copy.restore(mutate(State.image(), Random));
    Copy.apply(5, mutate(State.image(), Random));
  }
  // Some mutations leave a valid document. If none does, the parsers reject
  // everything and the test shows nothing.
  BOOST_TEST(Accepted > 100);
}

BOOST_AUTO_TEST_SUITE_END()
