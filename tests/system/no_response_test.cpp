//===- no_response_test.cpp - Bytes of upstreams that are no response -----===//

#include "base/clock.h"
#include "boost/test/unit_test.hpp"
#include "tests/gateway_world.h"
#include "tests/process_use.h"

using namespace olivevalve;

namespace {

constexpr size_t PartBytes = 64 << 10;
/// Memory of the smallest VM that a gateway runs on, in units of 10^6 bytes.
constexpr double VmMb = 110;

std::string repeated(const std::string &Text, size_t Count) {
  std::string All;
  for (size_t I = 0; I < Count; ++I)
    All += Text;
  return All;
}

std::string part() { return std::string(PartBytes, 'x'); }

/// Bytes without end, by name.
const std::map<std::string, raw_bytes> &endless() {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  static const std::map<std::string, raw_bytes> All = {
      {"interim", {"", repeated("HTTP/1.1 103 Early Hints\r\n\r\n", 2000)}},
      {"head", {Ok, repeated("X-More: more\r\n", 4000)}},
      {"other",
       {"",
        Ok + "X-Attempt-Id: other\r\nContent-Length: 65536\r\n\r\n" + part()}},
      {"close", {Ok + "\r\n", part()}},
      {"chunks",
       {Ok + "Transfer-Encoding: chunked\r\n\r\n",
        "10000\r\n" + part() + "\r\n"}},
      {"length", {Ok + "Content-Length: 999999999999\r\n\r\n", part()}},
      {"event", {Ok + "Content-Type: text/event-stream\r\n\r\n", part()}}};
  return All;
}

class raw_world : public gateway_world {
public:
  raw_world() {
    for (const char *Id : {"i-1", "i-2"})
      addReplica({.Id = Id}).Raw = endless();
    json Routing = defaultRouting();
    // The requests must not end by their timeout, however slow the machine is.
    for (json &Route : Routing["routes"])
      Route["timeout_ms"] = 25000;
    // Enough also while the gateway does not know how many share them.
    Routing["services"][0]["max_connections"] = 2000;
    startServing(Routing);
  }
  /// All upstreams answer requests for \p Name with these bytes.
  void setRaw(const std::string &Name, raw_bytes Bytes) {
    for (auto &[Id, Replica] : Replicas)
      Replica->Raw[Name] = Bytes;
  }
  static std::string rawPath(const std::string &Route,
                             const std::string &Name) {
    return "/" + Route + "/x?do=raw&bytes=" + Name;
  }
  double peakMb() const { return olivevalve::peakMb(Gateway->pid()); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(bytes_that_are_no_response)

// Guards against a status such as 000 that callers get as an answer.
BOOST_AUTO_TEST_CASE(are_not_passed_on_and_end_the_request_at_once) {
  raw_world World;
  const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  const std::string FirstLines[] = {
      "HTTP/1.1 000 X",  "HTTP/1.1 099 X",
      "HTTP/1.1 20 OK",  "HTTP/1.1 600 X",
      "HTTP/1.1 999 X",  "HTTP/1.1 0200 OK",
      "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols"};
  for (const std::string &Line : FirstLines)
    for (const std::string &Rest :
         {std::string("\r\nwrong"),
          "Upgrade: other\r\nConnection: Upgrade\r\n\r\n" + Ok,
          "Content-Length: 5\r\n\r\nwrong" + Ok})
      for (bool Closes : {true, false})
        for (const char *Route : {"unsafe", "safe", "stream"})
          BOOST_TEST_CONTEXT(Route << ", closes " << Closes << ": " << Line
                                   << " " << Rest) {
            // Without a close, silence follows.
            World.setRaw("line", {Line + "\r\n" + Rest, Closes ? "" : "\r\n"});
            client_response Answer =
                World.request(World.rawPath(Route, "line"));
            BOOST_TEST(Answer.Status == 502);
            BOOST_TEST(Answer.outcome() == "unknown");
            BOOST_TEST(Answer.Body.find("wrong") == std::string::npos);
            if (Route == std::string("unsafe"))
              BOOST_TEST(World.runs(World.LastId) == 1);
          }
}

BOOST_AUTO_TEST_CASE(do_not_hide_interim_responses) {
  raw_world World;
  World.setRaw(
      "early",
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
       "x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
       ""});
  client_response Answer = World.request(World.rawPath("unsafe", "early"));
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "good");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bytes_without_end)

// Guards against a request that waits for its timeout and a gateway that reads
// and keeps all that comes.
BOOST_AUTO_TEST_CASE(end_their_request_and_are_not_kept) {
  raw_world World;
  for (const auto &[Name, Bytes] : endless())
    for (const char *Route : {"unsafe", "safe", "stream"})
      BOOST_TEST_CONTEXT(Route << ", " << Name) {
        client_response Answer = World.request(World.rawPath(Route, Name));
        BOOST_TEST(Answer.Status == 502);
        if (Route == std::string("unsafe"))
          BOOST_TEST(World.runs(World.LastId) == 1);
        BOOST_TEST(World.peakMb() < VmMb);
      }
  BOOST_TEST(World.request("/safe/x").Status == 200);
}

// Guards against several such responses that fill the memory together.
BOOST_AUTO_TEST_CASE(from_several_upstreams_do_not_fill_the_memory) {
  constexpr int AtOnce = 12;
  constexpr int SoundBytes = 15 << 20;
  for (const char *Name : {"close", "chunks", "event"})
    BOOST_TEST_CONTEXT(Name) {
      raw_world World;
      std::vector<std::shared_ptr<client_response>> Endless;
      for (int I = 0; I < AtOnce; ++I)
        Endless.push_back(World.beginRequest(World.rawPath(
            Name == std::string("event") ? "stream" : "unsafe", Name)));
      auto Large =
          World.beginRequest("/unsafe/x?pad=" + std::to_string(SoundBytes));
      for (int I = 0; I < 40; ++I)
        BOOST_TEST(World.request("/safe/x").Status == 200);
      for (const auto &Each : Endless) {
        World.until("it is answered", [&] { return Each->Done; });
        BOOST_TEST(Each->Status == 502);
      }
      World.until("the sound response is there", [&] { return Large->Done; });
      BOOST_TEST(Large->Status == 200);
      BOOST_TEST(Large->Error == "");
      BOOST_TEST(Large->Body.size() > size_t(SoundBytes));
      BOOST_TEST(World.peakMb() < VmMb);
    }
}

BOOST_AUTO_TEST_SUITE_END()
