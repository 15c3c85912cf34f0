//===- routing.h - Routes of plain HTTP services ----------------*- C++ -*-===//
//
// The routing configuration of the gateways: which host and path prefix is
// routed to which service, under which limits, and for which client accounts.
// It is a single document with its own version; the highest version wins. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef OLIVEVALVE_CATALOG_ROUTING_H
#define OLIVEVALVE_CATALOG_ROUTING_H

#include "absl/status/statusor.h"
#include "base/caller_limits.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace olivevalve {

/// Whether the requests of a route may run more than once.
enum class route_kind : uint8_t {
  Safe,     ///< A request may run more than once.
  Unsafe,   ///< At most once for each request that the caller sends.
  Streaming ///< Answered by events; at most once unless Resumable is set.
};

/// A service and its weight in a split of traffic.
struct service_share {
  std::string Service;
  uint32_t Weight = 0; ///< Relative to the sum of all weights of the route.
};

struct route_spec {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Starts and ends with a slash.
  route_kind Kind = route_kind::Safe;
  /// Longest time that a request may take; a shorter deadline of the caller
  /// takes precedence.
  double TimeoutSeconds = 0;
  /// An answer within this time has its full utility; 0: no target.
  double TargetSeconds = 0;
  /// Longest pause to be expected between events; 0: not given.
  double GapSeconds = 0;
  uint32_t Priority = 5;    ///< 0 is the most urgent, 9 the least.
  uint32_t MaxAttempts = 1; ///< Most upstreams that a request is sent to.
  bool Public = false;      ///< Requests need no key.
  /// Upstreams keep state of a session's earlier requests, so its requests are
  /// routed to the same one.
  bool Sticky = false;
  /// A stream that breaks may be continued by another upstream.
  bool Resumable = false;
  std::vector<std::string> Sizes; ///< Models to choose from, smallest first.
  std::vector<service_share> Services;

  /// True if a request may be sent to a second upstream although the first may
  /// have run it.
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
  uint32_t Slots = 0;       ///< Requests that it processes concurrently.
  uint64_t CacheTokens = 0; ///< Size of its KV cache.
  std::vector<model_cost> Models;
};

/// A plain HTTP service that routes refer to.
struct routed_service {
  std::string Name;
  std::string HealthPath;
  /// Most connections to one upstream, over all gateways; 0: no limit.
  uint32_t MaxConnections = 0;
  std::optional<engine_spec> Engine; ///< Unset: it serves no models.
  /// An upstream counts as cold for this long after its start.
  double ColdStartSeconds = 0;
  /// Most requests per second to a cold upstream, over all gateways; 0: no
  /// limit.
  double ColdRequestsPerSecond = 0;
};

struct caller_account {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<uint32_t> Priority; ///< Unset: that of the route.
};

struct routing_config {
  uint64_t Version = 0;
  std::vector<route_spec> Routes;
  std::vector<routed_service> Services;
  caller_limits Limits;
  std::vector<caller_account> Accounts; ///< Empty: no request needs a key.
};

/// Reads and validates a document. The error lists every invalid field and what
/// is allowed there.
absl::StatusOr<routing_config> readRouting(std::string_view Text);

/// A routing configuration indexed for lookup, which can be updated part by
/// part. Routes and accounts that it has returned stay valid and unchanged as
/// long as the caller keeps the pointer.
class routing_table {
public:
  routing_table() = default;
  explicit routing_table(const routing_config &Config);

  uint64_t version() const { return Version; }
  const caller_limits &limits() const { return Limits; }
  size_t routes() const { return Routes; }
  size_t accounts() const { return Accounts; }
  bool needsKeys() const { return Accounts > 0; }
  /// The route of \p Host with the longest path prefix of \p Path, or null.
  std::shared_ptr<const route_spec> route(std::string_view Host,
                                          std::string_view Path) const;
  std::shared_ptr<const caller_account>
  accountOfKey(std::string_view Key) const;
  /// Null if there is no such service. Valid until the next change.
  const routed_service *service(std::string_view Name) const;

  template <class visitor> void eachService(const visitor &Visit) const {
    for (const auto &[Name, Service] : Services)
      Visit(*Service);
  }

  void setVersion(uint64_t NewVersion) { Version = NewVersion; }
  void setLimits(const caller_limits &NewLimits) { Limits = NewLimits; }
  void add(std::shared_ptr<const route_spec> Route);
  void add(std::shared_ptr<const routed_service> Service);
  void add(std::shared_ptr<const caller_account> Account);
  // Each of these requires that the object was added before.
  void remove(const route_spec &Route);
  void remove(const routed_service &Service);
  void remove(const caller_account &Account);

private:
  struct text_hash {
    using is_transparent = void;
    size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>{}(Text);
    }
  };
  template <class value>
  using by_text =
      std::unordered_map<std::string, value, text_hash, std::equal_to<>>;

  uint64_t Version = 0;
  caller_limits Limits;
  size_t Routes = 0;
  size_t Accounts = 0;
  /// By host and path prefix. A lookup tries the prefix up to each slash of the
  /// path, so its cost does not depend on the number of routes.
  by_text<by_text<std::shared_ptr<const route_spec>>> ByHost;
  by_text<std::shared_ptr<const routed_service>> Services;
  by_text<std::shared_ptr<const caller_account>> ByKey;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_H
