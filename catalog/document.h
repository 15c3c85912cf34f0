//===- document.h - The documents that operators write ----------*- C++ -*-===//
//
// Models with versions, templates, client accounts, upstreams, plain services
// and nodes: their fields, units and limits, read from JSON and checked.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_DOCUMENT_H
#define OLIVEVALVE_CATALOG_DOCUMENT_H

#include "absl/status/statusor.h"
#include "wire/wire.pb.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace olivevalve {

/// "model@version"; Version may be empty where any version is meant.
struct version_name {
  std::string Model;
  std::string Version;
  auto operator<=>(const version_name &) const = default;
  std::string text() const;
};

version_name parseVersionName(std::string_view Text);

enum class version_state : uint8_t {
  Active,    ///< Takes part in every choice.
  Rolling,   ///< New: gets traffic inside its exposure budget only.
  Paused,    ///< A roll-out held still: sessions stay, nothing new.
  Stopped,   ///< Ended by the roll-out guard; gets no new work.
  Withdrawn, ///< Ended by an operator; gets no new work.
  Last = Withdrawn
};

std::string_view nameOf(version_state State);
constexpr bool takesNewWork(version_state State) {
  return State == version_state::Active || State == version_state::Rolling ||
         State == version_state::Paused;
}

/// Where the roll-out guard has ended a version that is good elsewhere.
struct stopped_scopes {
  std::vector<std::string> Templates;
  std::vector<std::string> Accounts;
  bool covers(const std::string &Template, const std::string &Account) const;
};

struct version_spec {
  version_state State = version_state::Active;
  double InputPrice = 0;  ///< Price units per million tokens.
  double CachedPrice = 0; ///< For input tokens found in the prefix cache.
  double OutputPrice = 0;
  std::string EngineModel; ///< What the engine calls it; default model@version.
  double ExposureBudget = 50; ///< Unrated answers a roll-out may have out.
  stopped_scopes StoppedFor;
};

struct model_spec {
  std::string Name;
  std::map<std::string, version_spec> Versions;
};

/// Millionths of a price unit for an answer.
uint64_t costMicros(const version_spec &Version, const wire::usage &Usage);

/// Always the first candidate that can be had.
struct fixed_policy {};
/// A share of requests for each candidate, by weight.
struct split_policy {
  std::vector<double> Weights;
};
/// The cheapest candidate whose expected quality meets the target.
struct cheapest_policy {
  double ExploreShare = 0.02; ///< Requests spent on learning, 0 to 0.2.
};
/// Answer cheap, rate, go to the better candidate when it falls short.
struct cascade_policy {
  double Threshold = 0.6; ///< Ratings below this escalate.
};
using version_policy =
    std::variant<fixed_policy, split_policy, cheapest_policy, cascade_policy>;

struct template_spec {
  std::string Name;
  std::vector<version_name> Candidates;
  version_policy Policy = cheapest_policy{};
  double QualityTarget = 0.8; ///< Mean rating, 0 to 1.
  int64_t Priority = 1;       ///< 0 first, 3 last.
};

/// What a client account sets for one template.
struct template_parameters {
  double QualityTarget = -1; ///< -1: the account's or the template's.
  int64_t Priority = -1;
};

struct account_spec {
  std::string Name;
  std::vector<std::string> KeyDigests;
  std::vector<version_name> Models;  ///< Allowed; empty version: all of them.
  std::vector<std::string> Services; ///< Allowed plain services.
  int64_t Priority = -1;
  double QualityTarget = -1;
  double RequestsPerSecond = 100;
  int64_t Concurrent = 1000;
  std::map<std::string, template_parameters> Templates;
};

/// True if the account's list of models covers the version.
bool allowsVersion(const account_spec &Account, const version_name &Name);

struct upstream_spec {
  std::string Name;
  std::string Address; ///< Of its sidecar, "IP:port".
  std::string DataHall;
  std::string Service; ///< Name of a plain service, or empty for an engine.
  std::vector<version_name> Versions; ///< That it serves, unless managed.
  /// Versions that the engine can hold at once. 0: they are none of our care;
  /// else control decides which they are and the sidecar orders them.
  int64_t Room = 0;
  std::vector<std::string> Models; ///< Whose versions it may be given.
  int64_t Slots = 16;              ///< Requests the engine runs at once.
  bool managed() const { return Room > 0; }
  bool Leaving = false;
};

struct service_spec {
  std::string Name;
  std::string PathPrefix; ///< "/ledger/"
  /// Methods that may run more than once; others need an Idempotency-Key.
  std::vector<std::string> RepeatableMethods = {"GET", "HEAD"};
  int64_t Priority = 1;
};

/// What operators say of one process, by the name in its settings. Entries
/// need no such document; one is written to drain them.
struct node_spec {
  std::string Name;
  bool Draining = false; ///< Not ready, so that the balancer passes it by.
};

/// What control has assigned to a managed upstream. Written by control itself,
/// so that an operator's file of upstreams does not undo it.
struct placement_spec {
  std::string Name; ///< Of the upstream.
  std::vector<version_name> Versions;
};

using document =
    std::variant<model_spec, template_spec, account_spec, upstream_spec,
                 service_spec, node_spec, placement_spec>;

/// The kinds in the order of the alternatives of document.
constexpr std::array<std::string_view, 7> KindNames = {
    "model", "template", "account", "upstream", "service", "node", "placement"};

/// Reads the document of \p Kind; an error lists every faulty field.
absl::StatusOr<document> parseDocument(std::string_view Kind,
                                       std::string_view Name,
                                       std::string_view Text);

/// Letters, digits, '-', '_' and '.', 64 at most: names of objects.
bool isName(std::string_view Text);

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_DOCUMENT_H
