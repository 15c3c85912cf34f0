//===- document.h - Configuration documents ---------------------*- C++ -*-===//
//
// The documents that operators write: models with their versions, templates,
// client accounts, upstreams, plain services and nodes. Defines their fields
// and reads and validates them from JSON. Placements are written by control.
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

/// Written "model@version". An empty Version stands for any version.
struct version_name {
  std::string Model;
  std::string Version;
  auto operator<=>(const version_name &) const = default;
  std::string text() const;
};

/// Splits at the first '@'; Version is empty if there is none.
version_name parseVersionName(std::string_view Text);

enum class version_state : uint8_t {
  Active,    ///< A candidate for every request.
  Rolling,   ///< In a roll-out: limited to its exposure allowance.
  Paused,    ///< Roll-out paused: keeps its sessions, gets no new ones.
  Stopped,   ///< Stopped by the roll-out guard; gets no new requests.
  Withdrawn, ///< Withdrawn by an operator; gets no new requests.
  Last = Withdrawn
};

std::string_view nameOf(version_state State);
constexpr bool takesNewWork(version_state State) {
  return State == version_state::Active || State == version_state::Rolling ||
         State == version_state::Paused;
}

/// Templates and client accounts for which the roll-out guard has stopped a
/// version that passes its tests for all others.
struct stopped_scopes {
  std::vector<std::string> Templates;
  std::vector<std::string> Accounts;
  bool covers(const std::string &Template, const std::string &Account) const;
};

struct version_spec {
  version_state State = version_state::Active;
  double InputPrice = 0; ///< Price units per million tokens.
  /// As InputPrice, for input tokens found in the prefix cache.
  double CachedPrice = 0;
  double OutputPrice = 0; ///< Price units per million tokens.
  /// Model name in requests to the engine; empty: "model@version".
  std::string EngineModel;
  /// Answers without a rating that a roll-out may have given at its start.
  double ExposureBudget = 50;
  stopped_scopes StoppedFor;
};

struct model_spec {
  std::string Name;
  std::map<std::string, version_spec> Versions;
};

/// Cost of one answer in millionths of a price unit.
uint64_t costMicros(const version_spec &Version, const wire::usage &Usage);

/// Chooses the first candidate that is available.
struct fixed_policy {};
/// Distributes requests over the candidates by weight.
struct split_policy {
  std::vector<double> Weights; ///< One for each candidate, 0 or more.
};
/// Chooses the cheapest candidate whose expected quality meets the target.
struct cheapest_policy {
  /// Share of requests used to explore other candidates, 0 to 0.2.
  double ExploreShare = 0.02;
};
/// Sends a request to a cheap candidate first, rates the answer, and sends the
/// request to a better candidate if the rating is too low.
struct cascade_policy {
  double Threshold = 0.6; ///< Answers rated below this, 0 to 1, are escalated.
};
using version_policy =
    std::variant<fixed_policy, split_policy, cheapest_policy, cascade_policy>;

/// A name that requests may use in place of a model: the router chooses one of
/// the candidates by the policy.
struct template_spec {
  std::string Name;
  std::vector<version_name> Candidates;
  version_policy Policy = cheapest_policy{};
  double QualityTarget = 0.8; ///< Mean rating, 0 to 1.
  int64_t Priority = 1;       ///< 0 is served first, 3 last.
};

/// Settings of a client account for one template.
struct template_parameters {
  /// -1: that of the account or, if unset there, of the template.
  double QualityTarget = -1;
  int64_t Priority = -1; ///< As for QualityTarget.
};

struct account_spec {
  std::string Name;
  std::vector<std::string> KeyDigests; ///< See secretDigest().
  /// Models and versions it may use; an empty version allows all of a model.
  std::vector<version_name> Models;
  std::vector<std::string> Services; ///< Plain services it may use.
  int64_t Priority = -1;             ///< -1: that of the template, or 1.
  double QualityTarget = -1;         ///< -1: that of the template, or 0.8.
  double RequestsPerSecond = 100;    ///< Rate limit over all entries.
  int64_t Concurrent = 1000;         ///< Most open requests over all entries.
  std::map<std::string, template_parameters> Templates; ///< By template.
};

/// True if the account may use the version.
bool allowsVersion(const account_spec &Account, const version_name &Name);

struct upstream_spec {
  std::string Name;
  std::string Address; ///< Of its sidecar, "IP:port".
  std::string DataHall;
  std::string Service; ///< Name of a plain service; empty for an engine.
  std::vector<version_name> Versions; ///< That it serves; empty if managed.
  /// Most model versions that the engine can keep loaded at once. If this is
  /// not 0, the upstream is managed: control decides which versions it serves,
  /// and its sidecar makes the engine load them. 0: the engine always serves
  /// Versions.
  int64_t MaxLoadedVersions = 0;
  /// If managed: the models whose versions control may assign.
  std::vector<std::string> Models;
  int64_t Slots = 16; ///< Requests the engine processes concurrently.
  bool managed() const { return MaxLoadedVersions > 0; }
  bool Leaving = false; ///< Is being shut down; gets no new requests.
};

/// A plain HTTP service, reached by path instead of by model.
struct service_spec {
  std::string Name;
  std::string PathPrefix; ///< Starts and ends with a slash: "/ledger/".
  /// Methods that may run more than once; others need an Idempotency-Key.
  std::vector<std::string> RepeatableMethods = {"GET", "HEAD"};
  int64_t Priority = 1; ///< 0 is served first, 3 last.
};

/// State of one process that operators set. A process works without such a
/// document; one is written to drain it.
struct node_spec {
  std::string Name; ///< As in the settings of the process.
  /// Reports that it is not ready, so that the load balancer skips it.
  bool Draining = false;
};

/// The versions that control has assigned to a managed upstream. This is a
/// document of its own so that an operator who writes the upstream's document
/// does not overwrite the assignment.
struct placement_spec {
  std::string Name; ///< Name of the upstream.
  std::vector<version_name> Versions;
};

using document =
    std::variant<model_spec, template_spec, account_spec, upstream_spec,
                 service_spec, node_spec, placement_spec>;

/// The kinds in the order of the alternatives of document.
constexpr std::array<std::string_view, 7> KindNames = {
    "model", "template", "account", "upstream", "service", "node", "placement"};

/// Reads a document. BadConfiguration: the kind, the name or the text is not
/// valid; the message lists every invalid field.
absl::StatusOr<document> parseDocument(std::string_view Kind,
                                       std::string_view Name,
                                       std::string_view Text);

/// True for a valid object name: 1 to 64 letters, digits, '-', '_' and '.'.
bool isName(std::string_view Text);

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_DOCUMENT_H
