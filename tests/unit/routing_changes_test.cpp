//===- routing_changes_test.cpp - Incremental routing updates -------------===//

#include "boost/test/unit_test.hpp"
#include "catalog/routing_replica.h"
#include "control/routing_publisher.h"
#include "google/protobuf/stubs/logging.h"
#include "lease/routing_fetch.h"
#include "ledger/routing_store.h"
#include "ledger/text_patch.h"
#include "tests/unit/fixtures.h"
#include <random>

using namespace olivevalve;

namespace {

#ifdef __SANITIZE_ADDRESS__
// Ten times slower here; the plain build runs all rounds.
constexpr int FuzzRounds = 5000;
#else
constexpr int FuzzRounds = 100000;
#endif

routing_config randomConfig(std::mt19937_64 &Random, uint64_t Version) {
  routing_config Config{.Version = Version};
  auto OneIn = [&](unsigned Count) { return Random() % Count == 0; };
  for (int I = 0; I < 3; ++I)
    if (!OneIn(4))
      Config.Services.push_back(
          {.Name = "s" + std::to_string(I),
           .MaxConnections = uint32_t(Random() % 3),
           .Engine = OneIn(2) ? std::optional(engine_spec{.CacheTokens = 7})
                              : std::nullopt});
  for (int I = 0; I < 6; ++I)
    if (!OneIn(3))
      Config.Routes.push_back(
          {.Name = "r",
           .Host = I % 2 ? "a.example" : "b.example",
           .PathPrefix = "/" + std::to_string(I) + (OneIn(2) ? "/" : "/x/"),
           .Kind = route_kind(Random() % 3),
           .TimeoutSeconds = double(1 + Random() % 2),
           .Services = {{"s0", uint32_t(1 + Random() % 2)}}});
  std::vector<std::string> Keys = {"k0", "k1", "k2", "k3"};
  std::shuffle(Keys.begin(), Keys.end(), Random);
  for (size_t I = 0; I < 2; ++I)
    if (!OneIn(4))
      Config.Accounts.push_back(
          {.Name = OneIn(3) ? "same" : "c" + std::to_string(I),
           .Keys = {Keys[2 * I], Keys[2 * I + 1]}});
  Config.Limits.BodyBytes = 1 + Random() % 2;
  return Config;
}

/// Returns the results of all look-ups that can tell two random tables apart.
std::string lookUpResults(const routing_table &Table) {
  std::string Text = std::to_string(Table.version()) + " " +
                     std::to_string(Table.routes()) + " " +
                     std::to_string(Table.accounts()) + " " +
                     std::to_string(Table.limits().BodyBytes);
  for (const char *Host : {"a.example", "b.example"})
    for (int I = 0; I < 6; ++I)
      for (const char *Rest : {"/", "/x/y", "/z", ""}) {
        auto Route = Table.route(Host, "/" + std::to_string(I) + Rest);
        Text += " " + (Route ? Route->PathPrefix +
                                   std::to_string(Route->TimeoutSeconds) +
                                   std::to_string(int(Route->Kind)) +
                                   std::to_string(Route->Services[0].Weight)
                             : "-");
      }
  for (const char *Key : {"k0", "k1", "k2", "k3"}) {
    auto Account = Table.accountOfKey(Key);
    Text += " " + (Account ? Account->Name : "-");
  }
  for (const char *Name : {"s0", "s1", "s2"}) {
    const routed_service *Service = Table.service(Name);
    Text += Service ? " " + std::to_string(Service->MaxConnections) : " -";
    Text += Service && Service->Engine ? "e" : "";
  }
  return Text;
}

/// Requests pieces as a gateway does until \p Copy is up to date, and returns
/// their number. Counts in \p Damaged how often a damaged transfer made it
/// request the full routing.
int bringUpToDate(routing_publisher &Publisher, routing_replica &Copy,
                  int *Damaged = nullptr) {
  bool RequestFull = false;
  for (int Pieces = 0;; ++Pieces) {
    wire::routing_ask Request;
    Request.set_held_version(RequestFull ? 0 : Copy.version());
    Request.set_version(Copy.pendingVersion());
    Request.set_piece(Copy.nextPiece());
    if (Copy.version() == Publisher.version())
      return Pieces;
    piece_result Result = Copy.applyPiece(*Publisher.piece(Request));
    if (Damaged && Result == piece_result::Corrupt) {
      ++*Damaged;
      RequestFull = true;
      continue;
    }
    BOOST_REQUIRE(
        (Result == piece_result::Stored || Result == piece_result::InForce));
  }
}

routing_config manyRoutes(int Count, uint64_t Version) {
  routing_config Config{.Version = Version};
  Config.Services.push_back({.Name = "s"});
  for (int I = 0; I < Count; ++I)
    Config.Routes.push_back({.Name = "route-" + std::to_string(I),
                             .Host = "a.example",
                             .PathPrefix = "/r" + std::to_string(I) + "/",
                             .TimeoutSeconds = 3,
                             .Services = {{"s", 1}}});
  return Config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(incremental_routing)

BOOST_AUTO_TEST_CASE(brings_every_gateway_to_the_published_routing) {
  std::mt19937_64 Random(11);
  routing_publisher Publisher;
  routing_replica Current; // Receives each change.
  routing_replica Lagging; // Misses most changes.
  for (int Round = 1; Round <= FuzzRounds; ++Round) {
    routing_config Config = randomConfig(Random, uint64_t(Round) * 3);
    Publisher.setConfig(Config);
    std::string Expected = lookUpResults(routing_table(Config));
    bringUpToDate(Publisher, Current);
    BOOST_REQUIRE_EQUAL(lookUpResults(*Current.table()), Expected);
    if (Random() % 50 == 0) {
      bringUpToDate(Publisher, Lagging);
      BOOST_REQUIRE_EQUAL(lookUpResults(*Lagging.table()), Expected);
    }
  }
}

// Guards against wrong changes from a new leader that has seen only some
// versions, and not the one that a gateway holds.
BOOST_AUTO_TEST_CASE(
    sends_changes_from_versions_that_a_new_leader_has_not_seen) {
  std::mt19937_64 Random(12);
  routing_publisher OldLeader;
  routing_publisher NewLeader;
  routing_replica Copy;
  int Rounds = 0;
  int Damaged = 0;
  for (int Round = 1; Round <= FuzzRounds / 10; ++Round) {
    routing_config Config = randomConfig(Random, uint64_t(Round) * 3);
    OldLeader.setConfig(Config);
    if (Random() % 3 != 0) {
      bringUpToDate(OldLeader, Copy);
      continue;
    }
    NewLeader.setConfig(Config);
    bool Known = Copy.version() >= 3 && Rounds++ > 0;
    wire::routing_ask Request;
    Request.set_held_version(Copy.version());
    BOOST_REQUIRE(
        (!Known || NewLeader.piece(Request)->since() == Copy.version()));
    bringUpToDate(NewLeader, Copy, &Damaged);
    BOOST_REQUIRE_EQUAL(lookUpResults(*Copy.table()),
                        lookUpResults(routing_table(Config)));
  }
  // The digest does not match if a part was changed and changed back between
  // two versions that the new leader has seen. This is common here, because
  // each part has only two values.
  BOOST_TEST(Damaged < Rounds);
}

BOOST_AUTO_TEST_CASE(sends_a_small_change_in_one_small_piece) {
  routing_publisher Publisher;
  routing_replica Copy;
  Publisher.setConfig(manyRoutes(5000, 1));
  BOOST_TEST(bringUpToDate(Publisher, Copy) > 10);
  routing_config Changed = manyRoutes(5000, 2);
  Changed.Routes[17].TimeoutSeconds = 4;
  Publisher.setConfig(Changed);
  wire::routing_ask Request;
  Request.set_held_version(1);
  auto Piece = Publisher.piece(Request);
  BOOST_REQUIRE(Piece.has_value());
  BOOST_TEST(Piece->pieces() == 1U);
  BOOST_TEST(Piece->ByteSizeLong() < 300U);
}

BOOST_AUTO_TEST_CASE(completes_a_transfer_although_newer_versions_come) {
  routing_publisher Publisher;
  routing_replica Copy;
  Publisher.setConfig(manyRoutes(2000, 1));
  uint64_t Version = 1;
  int Pieces = 0;
  // Publishes a newer version after each piece.
  while (Copy.version() == 0) {
    wire::routing_ask Request;
    Request.set_version(Copy.pendingVersion());
    Request.set_piece(Copy.nextPiece());
    BOOST_REQUIRE(Copy.applyPiece(*Publisher.piece(Request)) !=
                  piece_result::Rejected);
    Publisher.setConfig(manyRoutes(2000, ++Version));
    BOOST_REQUIRE(++Pieces < 1000);
  }
  BOOST_TEST(Copy.version() == 1U);
  BOOST_TEST(bringUpToDate(Publisher, Copy) == 1);
  BOOST_TEST(Copy.version() == Version);
}

BOOST_AUTO_TEST_CASE(keeps_a_bounded_history) {
  routing_publisher Publisher;
  // Each version changes all routes, and gateways hold many different versions.
  for (uint64_t Version = 1; Version <= 60; ++Version) {
    routing_config Config = manyRoutes(4000, Version);
    for (route_spec &Route : Config.Routes)
      Route.TimeoutSeconds = double(Version);
    Publisher.setConfig(Config);
    wire::routing_ask Request;
    Request.set_held_version(Version / 2);
    Publisher.piece(Request);
    BOOST_REQUIRE(Publisher.cachedBytes() <= size_t(13 << 20));
    BOOST_REQUIRE(Publisher.retainedChanges() <= 14U);
  }
}

BOOST_AUTO_TEST_CASE(rejects_unexpected_and_damaged_pieces) {
  routing_publisher Publisher;
  Publisher.setConfig(manyRoutes(600, 5));
  routing_replica Copy;
  bringUpToDate(Publisher, Copy);
  std::string Before = lookUpResults(*Copy.table());
  routing_config Next = manyRoutes(1200, 9);
  Publisher.setConfig(Next);
  wire::routing_ask Request;
  Request.set_held_version(5);
  wire::routing_piece First = *Publisher.piece(Request);
  BOOST_REQUIRE(First.pieces() >= 2U);
  Request.set_version(9);
  Request.set_piece(1);
  wire::routing_piece Second = *Publisher.piece(Request);

  struct invalid_case {
    const char *What;
    std::function<void(wire::routing_piece &)> Change;
  };
  const invalid_case Cases[] = {
      {"out of order", [&](auto &Piece) { Piece = Second; }},
      {"an old version", [](auto &Piece) { Piece.set_version(5); }},
      {"on another version", [](auto &Piece) { Piece.set_since(4); }},
      {"beyond the last", [](auto &Piece) { Piece.set_pieces(0); }},
  };
  for (const invalid_case &Case : Cases)
    BOOST_TEST_CONTEXT(Case.What) {
      wire::routing_piece Piece = First;
      Case.Change(Piece);
      BOOST_TEST((Copy.applyPiece(Piece) == piece_result::Rejected));
    }
  // A duplicate of a piece changes nothing.
  BOOST_TEST((Copy.applyPiece(First) == piece_result::Stored));
  BOOST_TEST((Copy.applyPiece(Second) != piece_result::Rejected));
  BOOST_TEST((Copy.applyPiece(Second) == piece_result::Rejected));

  const invalid_case Damages[] = {
      {"bytes that are no part",
       [](auto &Piece) { Piece.mutable_entries(0)->set_part("\xff\xff"); }},
      {"no weight",
       [](auto &Piece) {
         wire::routing_part Part;
         Part.mutable_route()->set_host("h");
         Piece.mutable_entries(0)->set_part(Part.SerializeAsString());
       }},
      {"a part left out",
       [](auto &Piece) { Piece.mutable_entries()->RemoveLast(); }},
      {"another digest", [](auto &Piece) { Piece.set_digest(1); }},
  };
  for (const invalid_case &Case : Damages)
    BOOST_TEST_CONTEXT(Case.What) {
      wire::routing_piece Piece = First;
      Case.Change(Piece);
      Piece.set_pieces(1);
      BOOST_TEST((Copy.applyPiece(Piece) == piece_result::Corrupt));
      BOOST_TEST(Copy.pendingVersion() == 0U);
      BOOST_TEST(lookUpResults(*Copy.table()) == Before);
    }
  bringUpToDate(Publisher, Copy);
  BOOST_TEST(lookUpResults(*Copy.table()) ==
             lookUpResults(routing_table(Next)));
}

BOOST_AUTO_TEST_CASE(does_not_crash_on_corrupted_pieces) {
  google::protobuf::LogSilencer Quiet;
  std::mt19937_64 Random(5);
  routing_publisher Publisher;
  Publisher.setConfig(randomConfig(Random, 1));
  wire::routing_piece Good = *Publisher.piece({});
  std::string Bytes = Good.SerializeAsString();
  for (int Round = 0; Round < FuzzRounds; ++Round) {
    std::string Odd = Bytes;
    for (uint64_t I = 0; I < 1 + Random() % 3; ++I)
      Odd[Random() % Odd.size()] = char(Random());
    wire::routing_piece Piece;
    routing_replica Copy;
    if (Piece.ParseFromString(Odd) &&
        Copy.applyPiece(Piece) == piece_result::InForce)
      lookUpResults(*Copy.table());
  }
}

BOOST_AUTO_TEST_CASE(keeps_the_route_of_a_request_in_flight) {
  routing_publisher Publisher;
  routing_replica Copy;
  Publisher.setConfig(manyRoutes(3, 1));
  bringUpToDate(Publisher, Copy);
  auto Route = Copy.table()->route("a.example", "/r1/x");
  Publisher.setConfig(manyRoutes(1, 2));
  bringUpToDate(Publisher, Copy);
  BOOST_TEST(Copy.table()->route("a.example", "/r1/x") == nullptr);
  BOOST_TEST(Route->Name == "route-1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(routing_transfer)

namespace {

wire::routing_piece onlyPiece(uint64_t Version) {
  routing_publisher Publisher;
  Publisher.setConfig(manyRoutes(1, Version));
  return *Publisher.piece({});
}

} // namespace

BOOST_AUTO_TEST_CASE(sends_one_request_at_a_time_with_growing_pauses) {
  routing_fetch Fetch(1);
  BOOST_TEST(!Fetch.nextRequest(0));
  Fetch.recordOffer("a", 3);
  Fetch.recordOffer("b", 3);
  Fetch.recordOffer("c", 2);
  auto First = Fetch.nextRequest(0);
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(First->To == "b");
  std::vector<double> Times;
  for (double Now = 0; Now < 30; Now += 0.01)
    if (Fetch.nextRequest(Now))
      Times.push_back(Now);
  BOOST_REQUIRE(Times.size() > 3U);
  BOOST_TEST(Times.size() < 12U);
  BOOST_TEST(Times[1] - Times[0] > Times[0]);
}

BOOST_AUTO_TEST_CASE(switches_to_another_control_vm_when_one_falls_silent) {
  routing_fetch Fetch(1);
  Fetch.recordOffer("a", 3);
  BOOST_TEST(Fetch.nextRequest(0)->To == "a");
  Fetch.recordOffer("b", 3);
  BOOST_TEST(!Fetch.nextRequest(0.1));
  BOOST_TEST(Fetch.nextRequest(5)->To == "b");
  // A piece from the first VM is no longer expected.
  BOOST_TEST((Fetch.take("a", onlyPiece(3)) == piece_result::Rejected));
  BOOST_TEST((Fetch.take("b", onlyPiece(3)) == piece_result::InForce));
  BOOST_TEST(!Fetch.nextRequest(6));
}

BOOST_AUTO_TEST_CASE(requests_the_full_routing_after_damage) {
  routing_fetch Fetch(1);
  Fetch.recordOffer("a", 3);
  Fetch.nextRequest(0);
  BOOST_TEST((Fetch.take("a", onlyPiece(3)) == piece_result::InForce));
  Fetch.recordOffer("a", 4);
  BOOST_TEST(Fetch.nextRequest(1)->Request.held_version() == 3U);
  wire::routing_piece Damaged = onlyPiece(4);
  Damaged.set_digest(0);
  BOOST_TEST((Fetch.take("a", Damaged) == piece_result::Corrupt));
  BOOST_TEST(Fetch.nextRequest(1.01)->Request.held_version() == 0U);
  // It pauses if the full routing is damaged too.
  BOOST_TEST((Fetch.take("a", Damaged) == piece_result::Corrupt));
  BOOST_TEST(!Fetch.nextRequest(1.02));
  BOOST_TEST(Fetch.nextRequest(9)->Request.held_version() == 0U);
  BOOST_TEST((Fetch.take("a", onlyPiece(4)) == piece_result::InForce));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(document_patches)

namespace {

std::string randomText(std::mt19937_64 &Random) {
  std::string Text;
  for (uint64_t I = 0; I < Random() % 30; ++I)
    Text += std::string(Random() % 3 ? "{\"" : "x") +
            std::string(Random() % 40, char('a' + Random() % 3)) + "},";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(turn_any_text_into_any_other) {
  std::mt19937_64 Random(3);
  std::string Old;
  for (int Round = 0; Round < FuzzRounds; ++Round) {
    std::string New = randomText(Random);
    if (Random() % 2 && !Old.empty()) {
      New = Old;
      New.erase(Random() % New.size(), Random() % 20);
      New.insert(Random() % (New.size() + 1), "{\"more\":1}");
    }
    auto Patched = applyPatch(Old, makePatch(Old, New), 1 << 20);
    BOOST_REQUIRE(Patched.has_value());
    BOOST_REQUIRE_EQUAL(*Patched, New);
    Old = New;
  }
}

BOOST_AUTO_TEST_CASE(are_small_for_a_small_change) {
  std::string Old = "{\"version\":1,\"routes\":[";
  for (int I = 0; I < 1400; ++I)
    Old += "{\"name\":\"route-" + std::to_string(I) + "\",\"padding\":\"" +
           std::string(250, 'p') + "\"},";
  std::string New = Old;
  New.replace(New.find(":1,"), 3, ":2,");
  New.replace(New.find("route-700"), 9, "route-new");
  wire::routing_change Change = makeRoutingChange(1, Old, 2, New);
  BOOST_TEST(Change.base_version() == 1U);
  BOOST_TEST(Change.ByteSizeLong() < 1000U);
  // Nothing in common: the full document is shorter than a patch.
  BOOST_TEST(makeRoutingChange(1, Old, 2, "{}").document() == "{}");
}

BOOST_AUTO_TEST_CASE(that_do_not_fit_change_nothing) {
  std::string Route = "{\"name\":\"" + std::string(500, 'a') + "\"}";
  std::string Old = "{\"version\":1,\"routes\":[" + Route + "]}";
  std::string New = "{\"version\":2,\"routes\":[" + Route + ",{}]}";
  std::string Third = "{\"version\":3,\"routes\":[" + Route + ",{}]}";
  routing_store Store;
  BOOST_TEST(Store.apply(makeRoutingChange(0, "", 1, Old)).ok());
  wire::routing_change Skipped = makeRoutingChange(2, New, 3, Third);
  BOOST_REQUIRE(Skipped.base_version() == 2U);
  BOOST_TEST(!Store.apply(Skipped).ok());
  wire::routing_change Damaged = makeRoutingChange(1, Old, 2, New);
  Damaged.set_digest(1);
  BOOST_TEST(!Store.apply(Damaged).ok());
  Damaged = makeRoutingChange(1, Old, 2, New);
  Damaged.mutable_steps(0)->set_from(10000);
  BOOST_TEST(!Store.apply(Damaged).ok());
  BOOST_TEST(Store.version() == 1U);
  BOOST_TEST(Store.document() == Old);
  BOOST_TEST(Store.apply(makeRoutingChange(1, Old, 2, New)).ok());
  BOOST_TEST(Store.apply(Skipped).ok());
  BOOST_TEST(Store.document() == Third);
  // An older change has no effect and is not an error.
  BOOST_TEST(Store.apply(makeRoutingChange(1, Old, 2, New)).ok());
  BOOST_TEST(Store.version() == 3U);
}

BOOST_AUTO_TEST_SUITE(without_a_document)

// Guards against a resent version that replaces the document by nothing.
BOOST_AUTO_TEST_CASE(never_replace_the_document) {
  routing_store Store;
  BOOST_TEST(Store.apply(makeRoutingChange(0, "", 2, "{}")).ok());
  wire::routing_change Empty;
  Empty.set_version(3);
  Empty.set_content(wire::ROUTING_DOCUMENT);
  for (const wire::routing_change &Change : {makeRoutingResend(3, 3), Empty}) {
    BOOST_TEST(!Store.apply(Change).ok());
    BOOST_TEST(Store.version() == 2U);
    BOOST_TEST(Store.document() == "{}");
  }
  BOOST_TEST_CONTEXT("a version that is not newer is acknowledged")
  BOOST_TEST(Store.apply(makeRoutingResend(2, 2)).ok());
}

BOOST_AUTO_TEST_CASE(have_the_same_result_where_resends_are_not_known) {
  for (uint64_t Base : {2, 3, 4}) {
    routing_store Store;
    BOOST_TEST(Store.apply(makeRoutingChange(0, "", 2, "{}")).ok());
    wire::routing_change Change = makeRoutingResend(Base, Base);
    Change.clear_content();
    BOOST_TEST(Store.apply(Change).ok() == (Base <= 2));
    BOOST_TEST(Store.document() == "{}");
  }
}

// Guards against members of one group that reach different states.
BOOST_AUTO_TEST_CASE(keep_their_effect_if_they_are_in_the_log_already) {
  routing_store Store;
  BOOST_TEST(Store.apply(makeRoutingChange(0, "", 2, "{}")).ok());
  BOOST_TEST(!Store.isLost());
  wire::routing_change Unstated;
  Unstated.set_version(3);
  BOOST_TEST(Store.apply(Unstated).ok());
  BOOST_TEST(Store.version() == 3U);
  BOOST_TEST(Store.isLost());
  BOOST_TEST(Store.apply(makeRoutingChange(3, "", 4, "{}")).ok());
  BOOST_TEST(!Store.isLost());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
