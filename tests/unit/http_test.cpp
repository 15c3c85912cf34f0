//===- http_test.cpp - HTTP messages, platform headers, upstream list -----===//

#include "base/fields.h"
#include "boost/test/unit_test.hpp"
#include "net/http_client.h"
#include "net/http_reader.h"
#include "net/status_line.h"
#include "net/tcp_stream.h"
#include "platform/headers.h"
#include "platform/upstream_list.h"
#include <random>

using namespace olivevalve;
using namespace std::string_literals;

namespace {

const std::string Post = "POST /lohu930/2f?a=%2e HTTP/1.1\r\n"
                         "Host: ficu95.example\r\n"
                         "X-Attempt-Id: 9c41d07be2a35f68\r\n"
                         "X-Model: *\r\n"
                         "X-Token-Count: 1460,80\r\n"
                         "X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4:250\r\n"
                         "X-Length-Hint: 70\r\n"
                         "X-Deadline-Ms: 25000\r\n"
                         "X-Credential: secret\r\n"
                         "X-Tenant: somebody\r\n"
                         "X-Kv-Hold: h\r\n"
                         "X-Odd: kept  as is\r\n"
                         "Connection: keep-alive, x-mine\r\n"
                         "X-Mine: tied\r\n"
                         "Transfer-Encoding: chunked\r\n"
                         "\r\n"
                         "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

/// A reader and the body bytes that it has delivered.
struct read_message {
  explicit read_message(http_side Side) : Reader(Side) {
    Reader.OnBody = [this](std::string_view Bytes) { Body.append(Bytes); };
  }
  http_reader Reader;
  std::string Body;
};

http_head headOf(const std::string &Text) {
  read_message Message(http_side::Request);
  Message.Reader.feed(Text);
  BOOST_REQUIRE(Message.Reader.done());
  return Message.Reader.head();
}

} // namespace

/// A server in the loop of its client, which sends the same bytes to each.
class raw_server {
public:
  raw_server(struct ev_loop *Loop, std::string Begin, std::string Repeat)
      : Begin(std::move(Begin)), Repeat(std::move(Repeat)),
        Listener(Loop, [this, Loop](int Socket) { accept(Loop, Socket); }),
        Pump(Loop, [this] { send(); }) {
    BOOST_REQUIRE(Listener.bind("127.0.0.1:0"));
    Pump.startRepeating(0.001);
  }
  const std::string &address() const { return Listener.address(); }

private:
  void accept(struct ev_loop *Loop, int Socket) {
    Stream.emplace(Loop, Socket);
    Stream->OnBytes = [](std::string_view) {};
    Stream->OnEnd = [this](bool) { Stream->close(); };
    Stream->write(Begin);
  }
  void send() {
    if (Stream && Stream->open() && Stream->unsent() == 0)
      Stream->write(Repeat);
  }

  std::string Begin;
  std::string Repeat;
  std::optional<tcp_stream> Stream;
  tcp_listener Listener;
  timer Pump;
};

fetch_result resultOf(const std::string &Begin, const std::string &Repeat,
                      size_t MaxBodyBytes) {
  std::unique_ptr<struct ev_loop, decltype(&ev_loop_destroy)> Loop(
      ev_loop_new(0), ev_loop_destroy);
  raw_server Server(Loop.get(), Begin, Repeat);
  http_client Client(Loop.get());
  std::optional<fetch_result> Ended;
  Client.start({.Url = "http://" + Server.address() + "/",
                .TimeoutSeconds = 20,
                .MaxBodyBytes = MaxBodyBytes,
                .OnBytes = [](std::string_view) { return true; },
                .OnDone = [&](const fetch_result &Result) { Ended = Result; }});
  while (!Ended)
    ev_run(Loop.get(), EVRUN_ONCE);
  return *Ended;
}

BOOST_AUTO_TEST_SUITE(responses_to_the_client)

// Guards against a status such as 000 that counts as a response.
BOOST_AUTO_TEST_CASE(without_a_status_of_the_protocol_are_errors) {
  for (const char *Line : {"HTTP/1.1 000 X", "HTTP/1.1 101 Switching Protocols",
                           "HTTP/1.1 600 X", "HTTP/1.1 099 X"})
    BOOST_TEST_CONTEXT(Line) {
      fetch_result Result =
          resultOf(Line + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"
                          "Content-Length: 0\r\n\r\n"s,
                   "", 0);
      BOOST_TEST(Result.Status == 0);
      BOOST_TEST(Result.Error != "");
      BOOST_TEST(!Result.TimedOut);
    }
}

BOOST_AUTO_TEST_CASE(without_end_are_errors) {
  std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::pair<std::string, std::string> Cases[] = {
      {Ok + "\r\n", std::string(4096, 'x')},
      {Ok + "Transfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + std::string(4096, 'x') + "\r\n"},
      {Ok, "X-More: " + std::string(1000, 'm') + "\r\n"},
      {"", "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(1000, 'l') +
               "\r\n\r\n"}};
  for (const auto &[Begin, Repeat] : Cases)
    BOOST_TEST_CONTEXT(Begin << Repeat.substr(0, 40)) {
      fetch_result Result = resultOf(Begin, Repeat, 64 << 10);
      BOOST_TEST(Result.Error != "");
      BOOST_TEST(!Result.TimedOut);
    }
}

BOOST_AUTO_TEST_CASE(within_the_bound_are_complete) {
  fetch_result Result = resultOf(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
      "4\r\n\r\ngood",
      "", 4);
  BOOST_TEST(Result.Status == 200);
  BOOST_TEST(Result.Error == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(http_messages)

BOOST_AUTO_TEST_CASE(are_parsed_equally_wherever_the_bytes_are_cut) {
  std::string Two = Post + "GET / HTTP/1.1\r\n\r\n";
  for (size_t Cut = 0; Cut < Post.size(); ++Cut) {
    read_message Message(http_side::Request);
    BOOST_TEST(Message.Reader.feed(Two.substr(0, Cut)) == Cut);
    BOOST_TEST(Message.Reader.feed(Two.substr(Cut)) == Post.size() - Cut);
    BOOST_REQUIRE(Message.Reader.done());
    BOOST_TEST(Message.Body == "abcde");
    BOOST_TEST(Message.Reader.head().Target == "/lohu930/2f?a=%2e");
    BOOST_TEST(*Message.Reader.head().find("x-odd") == "kept  as is");
  }
}

// Guards against heads that take a multiple of their bytes.
BOOST_AUTO_TEST_CASE(
    of_very_many_short_headers_take_little_more_than_was_sent) {
  std::string Sent = "GET / HTTP/1.1\r\n";
  size_t Count = 0;
  for (; Sent.size() < 16000; ++Count)
    Sent += Count % 2 ? "b:\r\n" : "a:1\r\n";
  read_message Message(http_side::Request);
  for (char Byte : Sent + "\r\n")
    Message.Reader.feed({&Byte, 1});
  BOOST_REQUIRE(Message.Reader.done());
  const http_head &Head = Message.Reader.head();
  BOOST_TEST(Head.Lines.heldBytes() <= 2 * Sent.size());
  size_t Index = 0;
  for (header_view Line : Head.Lines) {
    BOOST_TEST(Line.Name == (Index % 2 ? "b" : "a"));
    BOOST_TEST(Line.Value == (Index++ % 2 ? "" : "1"));
  }
  BOOST_TEST(Index == Count);
}

BOOST_AUTO_TEST_CASE(with_a_header_over_several_lines_keep_its_value_together) {
  http_head Head =
      headOf("GET / HTTP/1.1\r\nA: one\r\n  two\r\nB:\r\nC: x:y\r\n\r\n");
  BOOST_TEST(*Head.find("a") == "one  two");
  BOOST_TEST(*Head.find("b") == "");
  BOOST_TEST(*Head.find("c") == "x:y");
  BOOST_TEST(!Head.find("d"));
}

BOOST_AUTO_TEST_CASE(that_allow_request_smuggling_are_refused) {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Length = "Content-Length: 3\r\n";
  const std::string Start = "POST / HTTP/1.1\r\n";
  const std::string NoBody = "\r\n0\r\n\r\n";
  const std::string Cases[] = {
      Start + Length + Chunked + NoBody,
      Start + Chunked + Length + NoBody,
      Start + Length + "Content-Length: 4\r\n\r\nabcd",
      Start + "Content-Length: +3\r\n\r\nabc",
      Start + "Content-Length: 3, 3\r\n\r\nabc",
      Start + "Transfer-Encoding: gzip, chunked\r\n" + NoBody,
      Start + "Transfer-Encoding: identity\r\n\r\n",
      Start + Chunked + "\r\nzz\r\n",
      Start + "X-A: a\0b\r\n\r\n"s,
      Start + "X A: b\r\n\r\n",
      Start + "Host: a\r\nHost: b\r\n\r\n",
      "CONNECT a:1 HTTP/1.1\r\n\r\n",
      "GARBAGE\r\n\r\n",
  };
  for (const std::string &Case : Cases) {
    read_message Message(http_side::Request);
    Message.Reader.feed(Case);
    BOOST_TEST(Message.Reader.failed(), Case);
    BOOST_TEST(!Message.Reader.done());
  }
}

BOOST_AUTO_TEST_CASE(with_a_truncated_response_body_are_not_complete) {
  struct answer_case {
    std::string Text;
    bool DoneBefore; ///< Complete before the connection is closed.
    bool DoneAfter;
  };
  const answer_case Cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
       "\r\n",
       true, true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       false, false},
      {"HTTP/1.1 200 OK\r\n\r\nok", false, true},
      {"HTTP/1.1 204 None\r\n\r\n", true, true},
      {"HTTP/1.1 200 OK\r\nContent-", false, false},
  };
  for (const answer_case &Case : Cases) {
    read_message Message(http_side::Answer);
    Message.Reader.feed(Case.Text);
    BOOST_TEST(Message.Reader.done() == Case.DoneBefore, Case.Text);
    BOOST_TEST(Message.Reader.endOfInput() == Case.DoneAfter, Case.Text);
  }
}

// Guards against a first line that is no response and is taken for one.
BOOST_AUTO_TEST_CASE(begin_with_a_status_of_the_protocol) {
  using enum response_kind;
  const std::pair<std::string, response_kind> Cases[] = {
      {"HTTP/1.1 200 OK", Final},
      {"HTTP/1.1 200", Final},
      {"HTTP/1.1 200 ", Final},
      {"HTTP/1.0 599 X", Final},
      {"HTTP/1.1 100 Continue", Interim},
      {"HTTP/1.1 103 Early Hints", Interim},
      {"HTTP/1.1 101 Switching Protocols", None},
      {"HTTP/1.1 000 X", None},
      {"HTTP/1.1 099 X", None},
      {"HTTP/1.1 600 X", None},
      {"HTTP/1.1 20 OK", None},
      {"HTTP/1.1 2000 OK", None},
      {"HTTP/1.1 0200 OK", None},
      {"HTTP/1.1  200 OK", None},
      {"HTTP/1.1 20x OK", None},
      {"HTTP/2.0 200 OK", None},
      {"HTTP/0.9 200 OK", None},
      {"HTTP/1.1", None},
      {"", None}};
  for (const auto &[Line, Kind] : Cases)
    BOOST_TEST_CONTEXT(Line) {
      BOOST_TEST((responseKindOf(Line) == Kind));
      BOOST_TEST((responseKindOf(Line + "\r\n") == Kind));
      BOOST_TEST_CONTEXT("the reader agrees, wherever the bytes are cut")
      for (size_t Cut = 0; Cut < Line.size(); ++Cut) {
        read_message Message(http_side::Answer);
        std::string Text = "\r\n" + Line + "\r\nContent-Length: 0\r\n\r\n";
        Message.Reader.feed(Text.substr(0, Cut));
        Message.Reader.feed(Text.substr(Cut));
        BOOST_TEST(Message.Reader.failed() == (Kind == None));
        BOOST_TEST(Message.Reader.head().IsInterim == (Kind == Interim));
      }
    }
}

BOOST_AUTO_TEST_CASE(with_random_bytes_do_not_crash_the_reader) {
  std::mt19937_64 Random(7);
  for (int I = 0; I < 20000; ++I) {
    std::string Text = Post;
    for (int J = 0; J < 4; ++J) {
      size_t At = Random() % Text.size();
      if (Random() % 2)
        Text[At] = char(Random());
      else
        Text.erase(At, Random() % 5);
    }
    read_message Message(http_side::Request);
    size_t Cut = Random() % Text.size();
    size_t Taken = Message.Reader.feed(Text.substr(0, Cut));
    if (Taken == Cut)
      Message.Reader.feed(Text.substr(Cut));
    platform::readCaller(Message.Reader.head());
    platform::readAnswer(Message.Reader.head());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_headers)

BOOST_AUTO_TEST_CASE(of_a_request_are_parsed) {
  platform::caller_facts Facts = platform::readCaller(headOf(Post));
  BOOST_TEST(Facts.AttemptId == "9c41d07be2a35f68");
  BOOST_TEST(*Facts.DeadlineSeconds == 25);
  BOOST_TEST(Facts.Credential == "secret");
  BOOST_REQUIRE(Facts.Model.has_value());
  BOOST_TEST(Facts.Model->PromptTokens == 1460U);
  BOOST_TEST(Facts.Model->MaxOutputTokens == 80U);
  BOOST_TEST(*Facts.Model->OutputTokensHint == 70U);
  BOOST_REQUIRE(Facts.Model->PrefixBlocks.size() == 3U);
  BOOST_TEST(Facts.Model->PrefixBlocks[0].Id == 0x5c1e07a2U);
  BOOST_TEST(Facts.Model->PrefixBlocks[2].Tokens == 250U);
  BOOST_TEST_CONTEXT("a token count of three figures keeps the first two") {
    std::string Three = Post;
    Three.replace(Three.find("1460,80"), 7, "1460,80,9");
    Facts = platform::readCaller(headOf(Three));
    BOOST_TEST(Facts.Model->PromptTokens == 1460U);
    BOOST_TEST(Facts.Model->MaxOutputTokens == 80U);
  }
}

// Guards against a negative deadline from a conversion out of range.
BOOST_AUTO_TEST_CASE(with_an_absurdly_long_deadline_ask_for_a_long_one) {
  for (const char *Deadline : {"1e300", "1e19", "99999999999999999999999"}) {
    std::string Long = Post;
    Long.replace(Long.find("25000"), 5, Deadline);
    platform::caller_facts Facts = platform::readCaller(headOf(Long));
    BOOST_REQUIRE(Facts.DeadlineSeconds.has_value());
    std::string Text = platform::writeRequestHead(
        headOf(Post),
        {.Instance = "i-1", .DeadlineSeconds = *Facts.DeadlineSeconds}, 5);
    BOOST_TEST(Text.find("X-Deadline-Ms: 1000000000000\r\n") !=
                   std::string::npos,
               Text);
  }
}

BOOST_AUTO_TEST_CASE(of_callers_and_connections_do_not_reach_an_upstream) {
  std::string Text = platform::writeRequestHead(headOf(Post),
                                                {.Instance = "i-1",
                                                 .DeadlineSeconds = 1.25,
                                                 .Account = "hule930",
                                                 .Model = "large",
                                                 .LastEventId = "12",
                                                 .Priority = 1,
                                                 .SendPriority = true},
                                                5);
  http_head Head = headOf(Text + "abcde");
  auto ExpectHeader = [&](const char *Name, const char *Value) {
    auto Found = Head.find(Name);
    BOOST_TEST_CONTEXT(Name)
    BOOST_TEST((Found ? *Found : "(none)") == Value);
  };
  BOOST_TEST(Head.Target == "/lohu930/2f?a=%2e");
  ExpectHeader("Host", "ficu95.example");
  ExpectHeader("X-Attempt-Id", "9c41d07be2a35f68");
  ExpectHeader("X-Odd", "kept  as is");
  ExpectHeader("X-Model", "large");
  ExpectHeader("X-Tenant", "hule930");
  ExpectHeader("X-Expect-Instance", "i-1");
  ExpectHeader("X-Deadline-Ms", "1250");
  ExpectHeader("Last-Event-Id", "12");
  ExpectHeader("X-Request-Priority", "1");
  ExpectHeader("Content-Length", "5");
  for (const char *Name : {"X-Credential", "X-Kv-Hold", "Connection", "X-Mine",
                           "Transfer-Encoding"})
    ExpectHeader(Name, "(none)");
}

BOOST_AUTO_TEST_CASE(show_whether_the_request_was_executed) {
  auto Facts = [](const std::string &Text) {
    read_message Message(http_side::Answer);
    Message.Reader.feed(Text);
    return platform::readAnswer(Message.Reader.head());
  };
  platform::answer_facts Good =
      Facts("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Load: 3,1,8\r\n"
            "X-Confidence: 40\r\nContent-Length: 0\r\n\r\n");
  BOOST_TEST(Good.AttemptId == "a");
  BOOST_TEST(!Good.NotRun);
  BOOST_TEST(Good.Load->Running == 3U);
  BOOST_TEST(Good.Load->Slots == 8U);
  BOOST_TEST(*Good.Confidence == 0.4);
  BOOST_TEST(Facts("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n")
                 .NotRun);
  BOOST_TEST(Facts("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n").NotRun);
  BOOST_TEST(!Facts("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").NotRun);
}

BOOST_AUTO_TEST_CASE(carry_a_load_of_which_all_known_figures_are_used) {
  struct load_case {
    const char *Value;
    int Running; ///< -1: no load.
    uint32_t Waiting = 0;
    uint32_t Slots = 0;
    double Slowdown = -1; ///< -1: not given.
    bool Unknown = false;
  };
  const load_case Cases[] = {
      {"3,1,8", 3, 1, 8},
      {"3,1,8,100", 3, 1, 8, 1},
      {"3,1,8,250", 3, 1, 8, 2.5},
      {"0,0,64,0", 0, 0, 64, 0},
      {"3,1,8,250,7", 3, 1, 8, 2.5, true},
      {"3,1,8,", 3, 1, 8},
      {"3,1", 3, 1, 0, -1, true},
      {"3", 3, 0, 0, -1, true},
      {"3,x", 3, 0, 0, -1, true},
      {"3,1,8,slow", 3, 1, 8, -1, true},
      {"3,1,8,-5", 3, 1, 8, -1, true},
      {"3,1,8,4294967296", 3, 1, 8, -1, true},
      {"x,1,8,100", -1, 0, 0, -1, true},
      {"", -1, 0, 0, -1, true},
  };
  for (const load_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Value) {
      read_message Message(http_side::Answer);
      Message.Reader.feed("HTTP/1.1 200 OK\r\nX-Server-Load: "s + Case.Value +
                          "\r\nContent-Length: 0\r\n\r\n");
      auto Facts = platform::readAnswer(Message.Reader.head());
      BOOST_TEST(Facts.Load.has_value() == (Case.Running >= 0));
      BOOST_TEST(Facts.UnknownLoad == (Case.Unknown ? Case.Value : ""));
      if (!Facts.Load)
        continue;
      BOOST_TEST(int(Facts.Load->Running) == Case.Running);
      BOOST_TEST(Facts.Load->Waiting == Case.Waiting);
      BOOST_TEST(Facts.Load->Slots == Case.Slots);
      BOOST_TEST(Facts.Load->Slowdown.value_or(-1) == Case.Slowdown);
    }
}

BOOST_AUTO_TEST_CASE(carry_the_request_limit_of_the_upstream) {
  auto Facts = [](const std::string &Start, const std::string &Lines) {
    read_message Message(http_side::Answer);
    Message.Reader.feed("HTTP/1.1 " + Start + "\r\n" + Lines +
                        "Content-Length: 0\r\n\r\n");
    return platform::readAnswer(Message.Reader.head());
  };
  struct limit_case {
    std::string Lines;
    double PerSecond; ///< -1: no valid limit.
    std::string Odd;
  };
  const std::string Long(400, '9');
  const limit_case Cases[] = {
      {"", -1, ""},
      {"Server-Limit: 1.7\r\n", 1.7, ""},
      {"server-limit: 50\r\n", 50, ""},
      {"Server-Limit: 0\r\n", 0, ""},
      {"Server-Limit: 3\r\nServer-Limit: 1.5\r\n", 1.5, ""},
      {"Server-Limit: 3\r\nServer-Limit: x\r\n", 3, "x"},
      {"Server-Limit: -2\r\n", -1, "-2"},
      {"Server-Limit: nan\r\n", -1, "nan"},
      {"Server-Limit: inf\r\n", -1, "inf"},
      {"Server-Limit: 2 a second\r\n", -1, "2 a second"},
      {"Server-Limit: " + Long + "\r\n", -1, Long.substr(0, 64)},
  };
  for (const limit_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Lines) {
      auto Parsed = Facts("200 OK", Case.Lines);
      BOOST_TEST(Parsed.RequestLimit.value_or(-1) == Case.PerSecond);
      BOOST_TEST(Parsed.MalformedRequestLimit == Case.Odd);
    }
  BOOST_TEST_CONTEXT("another incarnation states its own limit") {
    BOOST_TEST(!Facts("421 Other", "Server-Limit: 2\r\n").RequestLimit);
  }
  BOOST_TEST_CONTEXT("headers that are not read are reported") {
    BOOST_TEST(Facts("200 OK", "Server-Mood: 1\r\n").UnreadHeader ==
               "Server-Mood");
    BOOST_TEST(Facts("200 OK", "X-Server-Load: 1,0,8\r\nServer: a\r\n"
                               "Server-Limit: 2\r\nServer-Leaving: 1\r\n")
                   .UnreadHeader.empty());
  }
}

BOOST_AUTO_TEST_CASE(carry_retry_after_and_leaving_of_the_upstream) {
  auto Facts = [](const std::string &Start, const std::string &Lines) {
    read_message Message(http_side::Answer);
    Message.Reader.feed("HTTP/1.1 " + Start + "\r\n" + Lines +
                        "Content-Length: 0\r\n\r\n");
    return platform::readAnswer(Message.Reader.head());
  };
  struct backoff_case {
    std::string Lines;
    double Seconds; ///< -1: no valid Retry-After.
    std::string Odd;
  };
  const backoff_case Cases[] = {
      {"", -1, ""},
      {"Retry-After: 3\r\n", 3, ""},
      {"retry-after: 0.25\r\n", 0.25, ""},
      {"Retry-After: 0\r\n", 0, ""},
      {"Retry-After: 2\r\nRetry-After: 5\r\nRetry-After: 1\r\n", 5, ""},
      {"Retry-After: 2\r\nRetry-After: x\r\n", 2, "x"},
      {"Retry-After: 31536000\r\n", 31536000, ""},
      {"Retry-After: -1\r\n", -1, "-1"},
      {"Retry-After: nan\r\n", -1, "nan"},
      {"Retry-After: inf\r\n", -1, "inf"},
      {"Retry-After: 1e999\r\n", -1, "1e999"},
      {"Retry-After: 3 s\r\n", -1, "3 s"},
      {"Retry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n", -1,
       "Fri, 04 Dec 2026 08:00:00 GMT"},
  };
  for (const backoff_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.Lines) {
      auto Parsed = Facts("503 Busy", Case.Lines);
      BOOST_TEST(Parsed.BackoffSeconds.value_or(-1) == Case.Seconds);
      BOOST_TEST(Parsed.MalformedRetryAfter == Case.Odd);
    }
  BOOST_TEST(
      Facts("429 Too Many", "Retry-After: 3\r\n").BackoffSeconds.value_or(-1) ==
      3);
  BOOST_TEST(!Facts("200 OK", "Retry-After: 3\r\n").BackoffSeconds);
  BOOST_TEST(!Facts("421 Other", "Retry-After: 3\r\n").BackoffSeconds);
  BOOST_TEST(Facts("200 OK", "Server-Leaving: 1\r\n").Leaving);
  BOOST_TEST(Facts("503 Busy", "server-leaving: 1\r\n").Leaving);
  BOOST_TEST(!Facts("200 OK", "Server-Leaving: 0\r\n").Leaving);
  BOOST_TEST(!Facts("421 Other", "Server-Leaving: 1\r\n").Leaving);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(list_of_upstreams)

BOOST_AUTO_TEST_CASE(is_parsed_page_by_page) {
  auto Page = platform::readUpstreamPage(
      R"({"upstreams":[{"service":"huvo11a","address":"10.128.0.9:8080",)"
      R"("data_hall":"hall-laval","version":"v1","slots":128,)"
      R"("state":"draining","cold_ms":1500,"phase":"mixed","models":[],)"
      R"("id":"i-7f3a91c2"}],"next_page":"p-50"})");
  BOOST_REQUIRE(Page.ok());
  BOOST_TEST(Page->NextPage == "p-50");
  BOOST_TEST(Page->Upstreams[0].Id == "i-7f3a91c2");
  BOOST_TEST(Page->Upstreams[0].Leaving);
  BOOST_TEST(Page->Upstreams[0].ColdSeconds == 1.5);
  auto Last =
      platform::readUpstreamPage(R"({"upstreams":[],"next_page":null})");
  BOOST_REQUIRE(Last.ok());
  BOOST_TEST(Last->NextPage.empty());
}

BOOST_AUTO_TEST_CASE(that_is_malformed_is_refused) {
  for (const char *Text : {"", "[]", "{\"upstreams\":3}", "{}",
                           "{\"upstreams\":[{]", R"({"upstreams":[{"id":"x"},)",
                           R"({"upstreams":[{"id":"x"}],"next_pa)"})
    BOOST_TEST(!platform::readUpstreamPage(Text).ok(), Text);
}

namespace {

json validEntry(const std::string &Id) {
  return {{"id", Id},           {"service", "llm"}, {"address", "10.0.0.1:80"},
          {"data_hall", "lac"}, {"version", "v1"},  {"slots", 8},
          {"state", "ready"},   {"cold_ms", 0}};
}

std::string pageOf(const std::vector<std::string> &Entries) {
  std::string Text = "{\"upstreams\":[";
  for (size_t I = 0; I < Entries.size(); ++I)
    Text += (I ? "," : "") + Entries[I];
  return Text + "],\"next_page\":\"p-2\"}";
}

} // namespace

BOOST_AUTO_TEST_CASE(keeps_valid_entries_beside_a_malformed_one) {
  std::vector<std::string> Odd = {"7",
                                  "null",
                                  "\"text\"",
                                  "[]",
                                  "{}",
                                  "{\"id\":\"\xff\xfe\"}",
                                  "{\"id\":tru}",
                                  "{\"id\":\"cut",
                                  "{\"slots\":1e999}",
                                  "{\"slots\":" + std::string(400, '9') + "}",
                                  std::string(100, '[') + std::string(100, ']'),
                                  "{\"models\":[{\"name\":\"m\"}]}"};
  struct odd_field {
    const char *Name;
    std::vector<json> Values;
  };
  const std::vector<odd_field> Fields = {
      {"id", {7, "", nullptr, std::string(300, 'x'), "a\nb"}},
      {"service", {json::array(), "", true}},
      {"address",
       {"", "10.0.0.1", "10.0.0:80", "10.0.0.1:0x50", "10.0.0.300:80",
        "10.0.0.1:70000", "host:80", "10.0.0.1.2:80", 80}},
      {"data_hall", {json::object(), ""}},
      {"version", {1, ""}},
      {"slots", {-1, 2.5, "8", 1e12}},
      {"state", {"gone", "", 1, nullptr}},
      {"cold_ms", {-5, "0", 1e300}},
      {"born", {-1, 1.5, "1760000000000", 1e300}},
  };
  for (const odd_field &Field : Fields) {
    json Entry = validEntry("odd");
    if (std::string(Field.Name) != "born") {
      Entry.erase(Field.Name);
      Odd.push_back(Entry.dump());
    }
    for (const json &Value : Field.Values) {
      Entry[Field.Name] = Value;
      Odd.push_back(Entry.dump());
    }
  }
  for (const std::string &Each : Odd)
    BOOST_TEST_CONTEXT(Each) {
      auto Page = platform::readUpstreamPage(
          pageOf({validEntry("a").dump(), Each, validEntry("b").dump()}));
      BOOST_REQUIRE(Page.ok());
      BOOST_REQUIRE(Page->Upstreams.size() == 2U);
      BOOST_TEST(Page->Upstreams[0].Id == "a");
      BOOST_TEST(Page->Upstreams[1].Id == "b");
      BOOST_TEST(Page->Discarded >= 1U);
      BOOST_TEST(!Page->FirstFault.empty());
      BOOST_TEST(Page->NextPage == "p-2");
    }
}

// Guards against losing the list or the process to one number out of range.
BOOST_AUTO_TEST_CASE(keeps_valid_entries_beside_a_number_beyond_a_double) {
  json Entry = validEntry("foreign");
  std::string Foreign = Entry.dump();
  Foreign.replace(Foreign.find("\"slots\":8"), 9, "\"slots\":1e999");
  std::string Text = pageOf(
      {validEntry("a").dump(), Foreign, validEntry("b").dump(), Foreign});
  for (transfer_end End : {transfer_end::Framed, transfer_end::Closed}) {
    auto Page = platform::readUpstreamPage(Text, End);
    BOOST_REQUIRE(Page.ok());
    BOOST_REQUIRE(Page->Upstreams.size() == 2U);
    BOOST_TEST(Page->Upstreams[1].Id == "b");
    BOOST_TEST(Page->Discarded == 2U);
    BOOST_TEST(Page->NextPage == "p-2");
    BOOST_TEST(Page->FirstFault.find("slots: 1e999 is beyond the range") !=
                   std::string::npos,
               Page->FirstFault);
  }
  for (size_t Cut = 0; Cut < Text.size(); ++Cut)
    BOOST_TEST(!platform::readUpstreamPage(
                    std::string_view(Text).substr(0, Cut), transfer_end::Closed)
                    .ok(),
               "cut after " << Cut);
}

// Guards against a search whose time grows with the square of the page.
BOOST_AUTO_TEST_CASE(is_searched_in_linear_time_for_valid_entries) {
  constexpr size_t Bytes = 2 << 20;
  for (const char *Pattern :
       {"{", "{\"", "{\"\\\"", "[{\"a\":", "{\"a{\":", "{\"a\":[{},", "{}"})
    BOOST_TEST_CONTEXT(Pattern) {
      std::string Odd = "{\"x\":";
      while (Odd.size() < Bytes)
        Odd += Pattern;
      auto Page = platform::readUpstreamPage(
          pageOf({validEntry("a").dump(), Odd, validEntry("b").dump()}));
      BOOST_REQUIRE(Page.ok());
      BOOST_REQUIRE(!Page->Upstreams.empty());
      BOOST_TEST(Page->Upstreams[0].Id == "a");
    }
}

BOOST_AUTO_TEST_CASE(cut_short_by_a_closed_connection_is_no_shorter_list) {
  std::string Entries =
      "[" + validEntry("a").dump() + "," + validEntry("b").dump() + "]";
  for (const std::string &Text :
       {"{\"upstreams\":" + Entries + ",\"next_page\":null}",
        "{\"next_page\":null,\"upstreams\":" + Entries + "}"})
    for (size_t Cut = 0; Cut <= Text.size(); ++Cut)
      BOOST_TEST_CONTEXT(Text << " cut after " << Cut)
  BOOST_TEST(platform::readUpstreamPage(std::string_view(Text).substr(0, Cut),
                                        transfer_end::Closed)
                 .ok() == (Cut == Text.size()));
}

BOOST_AUTO_TEST_CASE(survives_random_bytes) {
  std::mt19937_64 Random(9);
  std::string Good = pageOf({validEntry("a").dump(), validEntry("b").dump()});
  constexpr int Rounds = 20000;
  int Read = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text = Good;
    for (uint64_t I = 0; I < 1 + Random() % 4; ++I)
      Text[Random() % Text.size()] = char(Random());
    auto Page = platform::readUpstreamPage(Text);
    Read += Page.ok() ? 1 : 0;
    if (!Page.ok())
      continue;
    for (const auto &Each : Page->Upstreams)
      BOOST_REQUIRE((isPrintable(Each.Id) && isPrintable(Each.Address)));
  }
  BOOST_TEST(Read > Rounds / 2);
}

BOOST_AUTO_TEST_CASE(keeps_one_of_the_entries_with_the_same_id) {
  auto Of = [](uint64_t StartedMs, bool Leaving, const char *Address) {
    return platform::listed_upstream{.Id = "x",
                                     .Address = Address,
                                     .Leaving = Leaving,
                                     .StartedMs = StartedMs};
  };
  struct pair_case {
    const char *What;
    platform::listed_upstream First;
    platform::listed_upstream Second;
    const char *Kept;
  };
  const pair_case Cases[] = {
      {"the later start is kept", Of(5, false, "a"), Of(9, false, "b"), "b"},
      {"the later start is kept although it is listed first", Of(9, false, "a"),
       Of(5, true, "b"), "a"},
      {"at the same start, the leaving one is kept", Of(5, false, "a"),
       Of(5, true, "b"), "b"},
      {"otherwise the first is kept", Of(0, false, "a"), Of(0, false, "b"),
       "a"},
  };
  for (const pair_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.What) {
      auto Kept = platform::deduplicateById({Case.First, Case.Second});
      BOOST_REQUIRE(Kept.size() == 1U);
      BOOST_TEST(Kept[0].Address == Case.Kept);
    }
}

BOOST_AUTO_TEST_SUITE_END()
