//===- response_body_test.cpp - Ends of events and of responses -----------===//

#include "boost/test/unit_test.hpp"
#include "net/response_body.h"
#include <random>
#include <vector>

using namespace olivevalve;

namespace {

// Ends of the events of a stream, found line by line; each includes the blank
// lines that follow the event.
std::vector<size_t> eventEnds(std::string_view Stream) {
  std::vector<size_t> Ends;
  bool InEvent = false;
  for (size_t I = 0; I < Stream.size();) {
    size_t LineEnd = Stream.find_first_of("\r\n", I);
    if (LineEnd == std::string_view::npos)
      break;
    size_t Next = LineEnd + (Stream.substr(LineEnd, 2) == "\r\n" ? 2 : 1);
    bool Blank = LineEnd == I;
    if (Blank && InEvent)
      Ends.push_back(Next);
    else if (Blank && !Ends.empty())
      Ends.back() = Next;
    InEvent = !Blank;
    I = Next;
  }
  return Ends;
}

struct taken_response {
  std::string Passed;
  completeness Completeness;
};

taken_response takeAll(response_body_options Options, std::string_view Bytes,
                       transfer_end End) {
  response_body Body(Options);
  taken_response Taken{std::string(Body.take(Bytes)), Body.atEnd(End)};
  if (Taken.Completeness != completeness::Incomplete)
    Taken.Passed += Body.heldBack();
  return Taken;
}

const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                           ": note\n\nid:3\ndata: c\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(response_bodies)

BOOST_AUTO_TEST_SUITE(events)

BOOST_AUTO_TEST_CASE(are_passed_on_complete_wherever_the_bytes_are_cut) {
  for (size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    response_body Body({.Content = body_content::Events});
    std::string Out(Body.take(std::string_view(Stream).substr(0, Cut)));
    BOOST_TEST((Out.empty() || Out.ends_with("\n")));
    Out += Body.take(std::string_view(Stream).substr(Cut));
    BOOST_TEST(Out == Stream);
    BOOST_TEST(lastEventId(Out).value_or("") == "3");
    BOOST_TEST(Body.heldBack().empty());
  }
}

BOOST_AUTO_TEST_CASE(that_have_not_ended_are_held_back) {
  response_body Body({.Content = body_content::Events});
  std::string Whole(Body.take("id: 1\ndata: a\n\nid: 2\ndata: b"));
  BOOST_TEST(Whole == "id: 1\ndata: a\n\n");
  BOOST_TEST(lastEventId(Whole).value_or("") == "1");
  BOOST_TEST(Body.heldBack() == "id: 2\ndata: b");
  Body = response_body({.Content = body_content::Events});
  Whole = Body.take("id: 2\ndata: b\n\n");
  BOOST_TEST(Whole == "id: 2\ndata: b\n\n");
  BOOST_TEST(lastEventId(Whole).value_or("") == "2");
}

BOOST_AUTO_TEST_CASE(that_never_end_are_not_held_without_bound) {
  response_body Body({.Content = body_content::Events});
  const std::string Line(1 << 20, 'x');
  for (int I = 0; I < 40; ++I) {
    BOOST_TEST(Body.take(Line).empty());
    BOOST_TEST(Body.heldBack().size() <= size_t(16 << 20));
  }
  BOOST_TEST(Body.take("\n\n").empty());
  BOOST_TEST((Body.atEnd(transfer_end::Framed) == completeness::Incomplete));
}

BOOST_AUTO_TEST_CASE(end_with_a_blank_line_after_lf_crlf_or_cr) {
  std::mt19937_64 Random(1);
  constexpr const char *Parts[] = {"\n", "\n",    "\r\n", "\r\n",
                                   "\r", "id: 7", ": x",  "data: y"};
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text;
    for (size_t I = 0, Count = Random() % 12; I < Count; ++I)
      Text += Parts[Random() % std::size(Parts)];
    // The end is settled, so a CR is a complete line end there.
    std::vector<size_t> Ends = eventEnds(Text);
    event_boundary Boundary;
    size_t End = 0;
    for (size_t I = 0; I < Text.size();) {
      size_t Size = std::min(Text.size() - I, 1 + Random() % 4);
      if (auto Found = Boundary.feed(std::string_view(Text).substr(I, Size)))
        End = I + *Found;
      I += Size;
    }
    BOOST_TEST_CONTEXT("round " << Round) {
      BOOST_TEST(Boundary.events() + Boundary.endPending() == Ends.size());
      if (!Ends.empty() && !Boundary.endPending())
        BOOST_TEST(End == Ends.back());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_the_end_of_the_transfer)

BOOST_AUTO_TEST_CASE(streams_cut_inside_an_event_are_incomplete) {
  std::vector<size_t> Ends = eventEnds(Stream);
  for (body_content Content : {body_content::Events, body_content::Untyped})
    for (transfer_end End : {transfer_end::Framed, transfer_end::Closed})
      for (size_t Cut = 1; Cut <= Stream.size(); ++Cut)
        BOOST_TEST_CONTEXT("cut after " << Cut) {
          auto Taken = takeAll({.Content = Content},
                               std::string_view(Stream).substr(0, Cut), End);
          bool AtEnd = std::find(Ends.begin(), Ends.end(), Cut) != Ends.end();
          // CRLF CR is a settled end in a framed body.
          bool BeforeLastLf = End == transfer_end::Framed &&
                              Stream.substr(Cut - 1, 2) == "\r\n" &&
                              Stream[Cut - 2] == '\n';
          bool NoEvents = Cut < Ends.front() &&
                          Content == body_content::Untyped &&
                          End == transfer_end::Framed;
          bool Whole = AtEnd || BeforeLastLf || NoEvents;
          BOOST_TEST((Taken.Completeness != completeness::Incomplete) == Whole);
          if (Whole)
            BOOST_TEST(Taken.Passed == Stream.substr(0, Cut));
          else
            BOOST_TEST(Stream.starts_with(Taken.Passed));
          if (!Whole && !Taken.Passed.empty())
            BOOST_TEST(
                std::count(Ends.begin(), Ends.end(), Taken.Passed.size()) == 1);
        }
}

BOOST_AUTO_TEST_CASE(an_orderly_close_confirms_nothing) {
  for (body_content Content : {body_content::Opaque, body_content::Events}) {
    BOOST_TEST((takeAll({.Content = Content}, Stream, transfer_end::Closed)
                    .Completeness == completeness::Unconfirmed));
    BOOST_TEST((takeAll({.Content = Content}, Stream, transfer_end::Framed)
                    .Completeness == completeness::Complete));
  }
}

BOOST_AUTO_TEST_CASE(a_stream_closed_before_its_first_event_is_incomplete) {
  for (body_content Content : {body_content::Events, body_content::Untyped})
    BOOST_TEST(
        (takeAll({.Content = Content}, "", transfer_end::Closed).Completeness ==
         completeness::Incomplete));
  BOOST_TEST(
      (takeAll({.Content = body_content::Events}, "", transfer_end::Framed)
           .Completeness == completeness::Complete));
}

BOOST_AUTO_TEST_CASE(a_body_without_events_passes) {
  for (body_content Content : {body_content::Opaque, body_content::Untyped}) {
    auto Taken =
        takeAll({.Content = Content}, "{\"a\": 1}", transfer_end::Framed);
    BOOST_TEST(Taken.Passed == "{\"a\": 1}");
    BOOST_TEST((Taken.Completeness == completeness::Complete));
  }
}

BOOST_AUTO_TEST_CASE(a_stream_without_its_known_last_event_is_incomplete) {
  const response_body_options Options{.Content = body_content::Events,
                                      .FinalData = "[DONE]"};
  const std::string All = "data: {}\n\ndata: [DONE]\n\n";
  for (transfer_end End : {transfer_end::Framed, transfer_end::Closed})
    for (size_t Cut = 0; Cut <= All.size(); ++Cut)
      BOOST_TEST_CONTEXT("cut after " << Cut) {
        auto Taken =
            takeAll(Options, std::string_view(All).substr(0, Cut), End);
        BOOST_TEST((Taken.Completeness == completeness::Complete) ==
                   (Cut == All.size()));
      }
  BOOST_TEST(
      (takeAll(Options, "data: [DONE]\n\ndata: {}\n\n", transfer_end::Framed)
           .Completeness == completeness::Incomplete));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
