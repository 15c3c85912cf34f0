//===- routing.h - Routes of plain HTTP services ----------------*- C++ -*-===//
//
// The routing configuration: which host and path prefix goes to which service,
// under which limits, for which client accounts. One whole document with a
// version of its own; the highest version wins. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_ROUTING_H
#define OLIVEVALVE_CATALOG_ROUTING_H

#include "absl/status/statusor.h"
#include "base/caller_limits.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// What may be repeated on a route.
enum class route_kind : uint8_t {
  Safe,     ///< A request may run more than once.
  Unsafe,   ///< At most once for each attempt of the caller.
  Streaming ///< Events; at most once unless the route is resumable.
};

struct service_share {
  std::string Service;
  uint32_t Weight = 0;
};

struct route_spec {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Starts and ends with a slash.
  route_kind Kind = route_kind::Safe;
  double TimeoutSeconds = 0; ///< Longest time that a request may be held.
  double TargetSeconds = 0;  ///< Within which an answer has its full worth.
  double GapSeconds = 0;     ///< Longest pause between events; 0: none given.
  uint32_t Priority = 5;     ///< 0 is the most urgent.
  uint32_t MaxAttempts = 1;  ///< Upstreams that one request may be sent to.
  bool Public = false;       ///< Needs no key.
  bool Sticky = false;       ///< Upstreams hold memory of earlier requests.
  bool Resumable = false;    ///< A stream may go on at another upstream.
  std::vector<std::string> Sizes; ///< Models to choose from, smallest first.
  std::vector<service_share> Services;

  /// True if a request may be sent to a second upstream after it may have run.
  bool repeatable() const {
    return Kind == route_kind::Safe ||
           (Kind == route_kind::Streaming && Resumable);
  }
};

struct model_cost {
  std::string Name;
  double CostPerThousandTokens = 0;
};

/// The engine of a service that serves models.
struct engine_spec {
  uint32_t Slots = 0;
  uint64_t CacheTokens = 0;
  std::vector<model_cost> Models;
};

struct routed_service {
  std::string Name;
  std::string HealthPath;
  uint32_t MaxConnections = 0; ///< Of all callers together at one upstream.
  std::optional<engine_spec> Engine;
};

struct caller_account {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<uint32_t> Priority; ///< Before that of the route.
};

struct routing_config {
  uint64_t Version = 0;
  std::vector<route_spec> Routes;
  std::vector<routed_service> Services;
  caller_limits Limits;
  std::vector<caller_account> Accounts; ///< None: no request needs a key.
};

/// Reads and checks a whole document. The error lists every fault with its
/// field and what is allowed.
absl::StatusOr<routing_config> readRouting(std::string_view Text);

/// A configuration with its look-ups prepared.
class routing_table {
public:
  explicit routing_table(routing_config Config);

  uint64_t version() const { return Config.Version; }
  const caller_limits &limits() const { return Config.Limits; }
  bool needsKeys() const { return !Config.Accounts.empty(); }
  /// The route with the longest prefix of \p Path, or null.
  const route_spec *route(std::string_view Host, std::string_view Path) const;
  const caller_account *accountOfKey(std::string_view Key) const;
  const routed_service *service(std::string_view Name) const;

private:
  routing_config Config;
  /// Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const route_spec *>, std::less<>> ByHost;
  std::unordered_map<std::string_view, const caller_account *> ByKey;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_H
