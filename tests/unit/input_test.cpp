//===- input_test.cpp - Bad input on every parser -------------------------===//

#include "boost/test/unit_test.hpp"
#include "entry/chat_request.h"
#include "google/protobuf/stubs/logging.h"
#include "ledger/state_machine.h"
#include "sidecar/engine.h"
#include "tests/unit/fixtures.h"
#include <array>
#include <random>

using namespace olivevalve;

// Guards against input that crashes a parser: feeds random and damaged bytes to
// every parser. The seeds are fixed, so that each run is the same.
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
