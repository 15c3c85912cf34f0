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
#include <functional>
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
  double ColdStartSeconds = 0; ///< An upstream is cold for so long.
  /// That a cold upstream takes from all callers; 0: no limit is told.
  double ColdRequestsPerSecond = 0;
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

/// A configuration with its look-ups prepared, changed part by part. What it
/// has handed out stays as it was while somebody holds it.
class routing_table {
public:
  routing_table() = default;
  explicit routing_table(const routing_config &Config);

  uint64_t version() const { return Version; }
  const caller_limits &limits() const { return Limits; }
  size_t routes() const { return Routes; }
  size_t accounts() const { return Accounts; }
  bool needsKeys() const { return Accounts > 0; }
  /// The route with the longest prefix of \p Path, or null.
  std::shared_ptr<const route_spec> route(std::string_view Host,
                                          std::string_view Path) const;
  std::shared_ptr<const caller_account>
  accountOfKey(std::string_view Key) const;
  /// Null: not known. Holds until the next change.
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
  /// Only what was added.
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
  /// By host and path prefix: a look-up tries each slash of a path, so that its
  /// cost does not grow with the number of routes.
  by_text<by_text<std::shared_ptr<const route_spec>>> ByHost;
  by_text<std::shared_ptr<const routed_service>> Services;
  by_text<std::shared_ptr<const caller_account>> ByKey;
};

} // namespace olivevalve

#endif // OLIVEVALVE_CATALOG_ROUTING_H
