//===- network_faults_test.cpp - Faults between an entry and its sidecars -===//

#include "boost/test/unit_test.hpp"
#include "net/link.h"
#include "tests/world.h"
#include <algorithm>
#include <set>

using namespace olivevalve;

namespace {

/// One message that a misbehaving sidecar sends in response to an attempt.
struct response_step {
  enum class kind : uint8_t { Frame, End } Kind;
  /// Sequence number of a frame, or the number of frames reported by an end.
  uint32_t Number;
  /// Carries the id of another request.
  bool OfAnotherRequest = false;
  /// Carries the number of an earlier attempt.
  bool OfEarlierAttempt = false;
};

struct response_case {
  const char *What;
  std::vector<response_step> Steps;
  /// Whether the caller gets a complete response; otherwise it gets an error.
  bool Complete;
};

constexpr std::array<std::string_view, 4> FrameTexts = {"one ", "two ", "three",
                                                        "four"};

/// Speaks the protocol of a sidecar and responds to attempts with the given
/// steps.
class misbehaving_sidecar {
public:
  explicit misbehaving_sidecar(world &World)
      : Server(Context, World.Loop,
               [this](const std::string &Peer, const wire::envelope &Message) {
                 receive(Peer, Message);
               }),
        Timer(World.Loop, [this] { sendReport(); }) {
    BOOST_REQUIRE(Server.bind("127.0.0.1:0"));
    Timer.startRepeating(0.5);
  }
  std::string address() const { return Server.address(); }

  std::vector<response_step> Steps;

private:
  void receive(const std::string &Peer, const wire::envelope &Message) {
    if (Message.has_hello()) {
      Peers.insert(Peer);
      sendReport();
    }
    if (Message.has_attempt())
      answer(Peer, Message.attempt().id());
  }

  void sendReport() {
    wire::envelope Message;
    Message.mutable_news()->set_upstream("rough");
    Message.mutable_news()->set_incarnation(7);
    Message.mutable_news()->set_has_lease(true);
    Message.mutable_news()->set_slots(8);
    for (const std::string &Peer : Peers)
      Server.send(Peer, Message);
  }

  void answer(const std::string &Peer, const wire::attempt_id &Id) {
    wire::envelope Head;
    *Head.mutable_head()->mutable_id() = Id;
    Head.mutable_head()->set_status(200);
    Head.mutable_head()->set_content_type("text/event-stream");
    Server.send(Peer, Head);
    for (const response_step &Step : Steps) {
      wire::attempt_id Of = Id;
      if (Step.OfAnotherRequest)
        Of.set_request(Id.request() + 1000);
      if (Step.OfEarlierAttempt)
        Of.set_number(Id.number() - 1);
      bool Wrong = Step.OfAnotherRequest || Step.OfEarlierAttempt;
      wire::envelope Message;
      if (Step.Kind == response_step::kind::End) {
        *Message.mutable_end()->mutable_id() = Of;
        Message.mutable_end()->set_frames(Step.Number);
      } else {
        *Message.mutable_frame()->mutable_id() = Of;
        Message.mutable_frame()->set_sequence(Step.Number);
        Message.mutable_frame()->set_data(
            Wrong ? "WRONG" : std::string(FrameTexts[Step.Number]));
      }
      Server.send(Peer, Message);
    }
  }

  link_context Context;
  server_link Server;
  std::set<std::string> Peers;
  timer Timer;
};

constexpr auto Frame = response_step::kind::Frame;
constexpr auto End = response_step::kind::End;

const std::vector<response_step> CorrectSteps = {
    {Frame, 0}, {Frame, 1}, {Frame, 2}, {End, 3}};

const response_case ResponseCases[] = {
    {"frames of another request in between",
     {{Frame, 0}, {Frame, 1, true}, {Frame, 1}, {Frame, 2}, {End, 3}},
     true},
    {"frames of an earlier attempt in between",
     {{Frame, 0}, {Frame, 1, false, true}, {Frame, 1}, {Frame, 2}, {End, 3}},
     true},
    {"the end of another request first",
     {{End, 0, true}, {Frame, 0}, {Frame, 1}, {Frame, 2}, {End, 3}},
     true},
    {"a late frame after the end",
     {{Frame, 0}, {Frame, 1}, {Frame, 2}, {End, 3}, {Frame, 3}},
     true},
    {"a duplicate frame",
     {{Frame, 0}, {Frame, 0}, {Frame, 1}, {Frame, 2}, {End, 3}},
     false},
    {"a missing frame", {{Frame, 0}, {Frame, 2}, {End, 2}}, false},
    {"two frames swapped",
     {{Frame, 0}, {Frame, 2}, {Frame, 1}, {End, 3}},
     false},
    {"the last frame is missing", {{Frame, 0}, {Frame, 1}, {End, 3}}, false},
    {"an end that reports too few frames",
     {{Frame, 0}, {Frame, 1}, {Frame, 2}, {End, 2}},
     false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_sidecar_faults)

// Guards against mixing up, truncating or duplicating responses: whatever the
// sidecar sends, a caller gets the complete response to its own request or an
// error.
BOOST_AUTO_TEST_CASE(misplaced_duplicate_or_missing_frames_give_an_error) {
  world World;
  World.startDefaultSystem(1);
  misbehaving_sidecar Misbehaving(World);
  json Config = World.defaultConfig();
  Config["models"]["rough"] = {{"versions", {{"1", json::object()}}}};
  Config["accounts"]["dispatch"]["models"] = {"olive-llm", "rough"};
  Config["upstreams"]["rough"] = {{"address", Misbehaving.address()},
                                  {"data_hall", "charguia"},
                                  {"versions", {"rough@1"}}};
  BOOST_REQUIRE(World.apply(Config).value("in_force", false));
  std::string Entry = World.Entries["entry-1"]->Address.text();
  auto SendRequest = [&](bool Stream) {
    return World.ask(Entry, {.Body = chatBody("rough", "x", Stream)});
  };
  for (const response_case &Case : ResponseCases)
    for (bool Stream : {false, true}) {
      BOOST_TEST_CONTEXT(Case.What << (Stream ? ", streamed" : ", plain")) {
        Misbehaving.Steps = Case.Steps;
        client_response Answer = SendRequest(Stream);
        if (Case.Complete) {
          BOOST_TEST(Answer.Status == 200);
          BOOST_TEST(Answer.Error == "");
          BOOST_TEST(Answer.Body == "one two three");
        } else {
          bool Broken = Answer.Error != "" || Answer.outcome() == "unknown";
          BOOST_TEST(Broken, Answer.Status << " " << Answer.Body);
        }
        BOOST_TEST(Answer.Body.find("WRONG") == std::string::npos);
        // A complete response in between closes the circuit breaker.
        Misbehaving.Steps = CorrectSteps;
        BOOST_TEST(SendRequest(Stream).Body == "one two three");
      }
    }
}

struct path_fault {
  const char *What;
  proxy_fault Fault;
};

// Guards against reporting a wrong outcome under network faults. Each fault is
// applied to the path to one engine and to the service, and the reported
// outcomes are compared with what ran.
BOOST_AUTO_TEST_CASE(network_faults_cause_no_wrong_outcomes) {
  const path_fault Cases[] = {
      {"connections are cut", proxy_fault::Cut},
      {"bytes are lost in both directions", proxy_fault::DropAll},
      {"bytes are lost towards the sidecar", proxy_fault::DropToServer},
      {"bytes are lost towards the entry", proxy_fault::DropToClient},
      {"connections are half closed", proxy_fault::HalfClose},
      {"bytes arrive in small pieces", proxy_fault::Drip},
      {"the path is slow", proxy_fault::Slow},
  };
  world World;
  World.startDefaultSystem(1);
  sidecar_node &Service = *World.Sidecars["led"];
  int Booking = 0;
  for (const path_fault &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.What) {
      std::map<std::string, std::shared_ptr<client_response>> Bookings;
      std::map<int, std::shared_ptr<client_response>> Plain;
      std::vector<std::shared_ptr<client_response>> Streams;
      auto SendAll = [&] {
        for (auto &[Name, Node] : World.Entries) {
          std::string Entry = Node->Address.text();
          std::string Key = "path-" + std::to_string(++Booking);
          client_request Book = booking(Key, 30);
          Book.Headers.push_back("X-Deadline-Ms: 4000");
          Bookings[Key] = World.begin(Entry, Book);
          int Tokens = 2 + int(Plain.size());
          Plain[Tokens] = World.begin(
              Entry,
              {.Body = chatBody("plan", "tokens=" + std::to_string(Tokens)),
               .Headers = {"X-Deadline-Ms: 4000"}});
          Streams.push_back(World.begin(
              Entry, {.Body = chatBody("plan", "tokens=20 gap=5", true),
                      .Headers = {"X-Deadline-Ms: 4000"}}));
        }
      };
      SendAll();
      World.run(0.05);
      for (const char *Name : {"a", "led"})
        World.Sidecars[Name]->Path->set(Case.Fault);
      SendAll();
      auto AllDone = [](const auto &Answers) {
        return std::all_of(Answers.begin(), Answers.end(),
                           [](const auto &A) { return A.second->Done; });
      };
      World.until("all requests are answered", [&] {
        return AllDone(Bookings) && AllDone(Plain) &&
               std::all_of(Streams.begin(), Streams.end(),
                           [](const auto &A) { return A->Done; });
      });
      // TCP does not lose bytes in the middle of a connection. A fault that
      // swallowed bytes must end in a reset, or later bytes would be read as
      // the rest of a swallowed message.
      for (const char *Name : {"a", "led"}) {
        World.Sidecars[Name]->Path->set(proxy_fault::Cut);
        World.Sidecars[Name]->Path->set(proxy_fault::None);
      }
      json Counts = World.engineCounts(Service);
      int Served = 0;
      for (const auto &[Key, Answer] : Bookings) {
        uint64_t Runs = bookingRuns(Counts, Key);
        BOOST_TEST(Runs <= 1U);
        BOOST_TEST((Answer->Status != 200 || Runs == 1));
        BOOST_TEST((Answer->outcome() != "not-run" || Runs == 0));
        Served += Answer->Status == 200 ? 1 : 0;
      }
      for (const auto &[Tokens, Answer] : Plain) {
        Served += Answer->Status == 200 ? 1 : 0;
        if (Answer->Status == 200)
          BOOST_TEST(json::parse(Answer->Body)["usage"]["completion_tokens"] ==
                     Tokens);
      }
      for (const auto &Answer : Streams) {
        Served += Answer->Status == 200 && Answer->Error.empty() ? 1 : 0;
        if (Answer->Status == 200 && Answer->Error.empty())
          BOOST_TEST(Answer->Body.ends_with("data: [DONE]\n\n"));
      }
      BOOST_TEST_MESSAGE(Case.What << ": served " << Served << " of 12");
      for (auto &Item : World.Entries) {
        std::string Entry = Item.second->Address.text();
        World.until("the entry serves as before", [&] {
          std::string Key = "path-" + std::to_string(++Booking);
          return World.call(Entry, booking(Key)).Status == 200 &&
                 World.call(Entry, {.Body = chatBody("plan", "x")}).Status ==
                     200;
        });
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
