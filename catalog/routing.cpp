//===- routing.cpp - Routes of plain HTTP services ------------------------===//

#include "catalog/routing.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/fields.h"
#include <algorithm>
#include <array>
#include <set>

namespace olivevalve {

namespace {

constexpr std::array<std::string_view, 3> KindNames = {"safe", "unsafe",
                                                       "streaming"};
// One day. Rejects longer times, which result from a wrong unit.
constexpr double MaxMilliseconds = 86'400'000;
// Bounds integers that have to be exact as a double.
constexpr double MaxExactInteger = 9e15;
constexpr double MaxPriority = 9;
constexpr double MaxWeight = 1e6;
constexpr double MaxColdSeconds = 1e6;
constexpr double MaxColdRequests = 1e9;
// Bounds the memory that a document takes in a gateway. At least four times the
// design size.
constexpr size_t MaxRoutes = 20000;
constexpr size_t MaxAccounts = 20000;
constexpr size_t MaxServices = 2000;

/// Reads one document. Unknown fields are ignored, because the program that
/// writes the document may be a newer version.
class routing_reader {
public:
  explicit routing_reader(fault_list &Faults) : Faults(Faults) {}

  routing_config read(const json &Document) {
    object_reader Reader(Document, "", Faults);
    int64_t Version = 0;
    Reader.integer("version", Version, {1, MaxExactInteger},
                   presence::Required);
    Config.Version = uint64_t(Version);
    requireList(Reader, "routes", MaxRoutes);
    requireList(Reader, "services", MaxServices);
    limitList(Reader, "accounts", MaxAccounts);
    Reader.elements("services", [&](const json &Each, const std::string &Path) {
      readService(Each, Path);
    });
    Reader.elements("routes", [&](const json &Each, const std::string &Path) {
      readRoute(Each, Path);
    });
    readOptionalObject(Reader, "limits",
                       [&](object_reader &Limits) { readLimits(Limits); });
    if (Reader.has("accounts"))
      Reader.elements("accounts",
                      [&](const json &Each, const std::string &Path) {
                        readAccount(Each, Path);
                      });
    return std::move(Config);
  }

private:
  void requireList(object_reader &Reader, std::string_view Key,
                   size_t MaxElements) {
    const json *Value = Reader.raw(Key);
    if (!Value || !Value->is_array())
      Reader.fault(Key, "must be a list");
    limitList(Reader, Key, MaxElements);
  }

  void limitList(object_reader &Reader, std::string_view Key,
                 size_t MaxElements) {
    const json *Value = Reader.raw(Key);
    if (Value && Value->is_array() && Value->size() > MaxElements)
      Reader.fault(Key, absl::StrCat("has ", Value->size(),
                                     " elements, but at most ", MaxElements,
                                     " are allowed"));
  }

  // Reads an optional object and ignores its unknown fields.
  template <class visitor>
  void readOptionalObject(object_reader &Reader, const std::string &Key,
                          const visitor &Each) {
    const json *Value = Reader.raw(Key);
    if (!Value || Value->is_null())
      return;
    object_reader Inner(*Value, Key, Faults);
    Each(Inner);
  }

  static double seconds(object_reader &Reader, std::string_view Key, double Min,
                        presence Presence) {
    double Milliseconds = 0;
    Reader.number(Key, Milliseconds, {Min, MaxMilliseconds}, Presence);
    return Milliseconds / 1000;
  }

  void readService(const json &Value, const std::string &Path) {
    object_reader Reader(Value, Path, Faults);
    routed_service Service;
    int64_t Connections = 0;
    Reader.text("name", Service.Name, presence::Required);
    Reader.text("health_path", Service.HealthPath);
    Reader.integer("max_connections", Connections, {0, 1e6});
    Service.MaxConnections = uint32_t(Connections);
    Reader.number("cold_start_s", Service.ColdStartSeconds,
                  {0, MaxColdSeconds});
    Reader.number("cold_requests_per_s", Service.ColdRequestsPerSecond,
                  {0, MaxColdRequests});
    readOptionalObject(Reader, "engine", [&](object_reader &Engine) {
      Service.Engine = readEngine(Engine);
    });
    if (!ServiceNames.insert(Service.Name).second)
      Reader.fault("name", absl::StrCat("'", Service.Name, "' is used twice"));
    Config.Services.push_back(std::move(Service));
  }

  engine_spec readEngine(object_reader &Reader) {
    engine_spec Engine;
    int64_t Slots = 0;
    int64_t CacheTokens = 0;
    Reader.integer("slots", Slots, {0, 1e6});
    Reader.integer("cache_tokens", CacheTokens, {0, MaxExactInteger});
    Engine.Slots = uint32_t(Slots);
    Engine.CacheTokens = uint64_t(CacheTokens);
    if (Reader.has("models"))
      Reader.elements("models", [&](const json &Each, const std::string &Path) {
        object_reader Fields(Each, Path, Faults);
        model_cost Model;
        Fields.text("name", Model.Name, presence::Required);
        Fields.number("cost", Model.CostPerThousandTokens, {0, 1e9});
        Engine.Models.push_back(std::move(Model));
      });
    return Engine;
  }

  void readRoute(const json &Value, const std::string &Path) {
    object_reader Reader(Value, Path, Faults);
    route_spec Route;
    size_t Kind = 0;
    int64_t Priority = Route.Priority;
    int64_t MaxAttempts = Route.MaxAttempts;
    Reader.text("name", Route.Name);
    Reader.text("host", Route.Host, presence::Required);
    Reader.text("path_prefix", Route.PathPrefix, presence::Required);
    Reader.choice("kind", Kind, {KindNames.begin(), KindNames.end()});
    Route.Kind = route_kind(Kind);
    Route.TimeoutSeconds =
        seconds(Reader, "timeout_ms", 1e-3, presence::Required);
    Route.TargetSeconds = seconds(Reader, "target_ms", 0, presence::Optional);
    Route.GapSeconds = seconds(Reader, "gap_ms", 0, presence::Optional);
    Reader.integer("priority", Priority, {0, MaxPriority});
    Reader.integer("max_attempts", MaxAttempts, {1, 1000});
    Route.Priority = uint32_t(Priority);
    Route.MaxAttempts = uint32_t(MaxAttempts);
    Reader.flag("public", Route.Public);
    Reader.flag("sticky", Route.Sticky);
    Reader.flag("resumable", Route.Resumable);
    if (Reader.has("sizes"))
      Reader.texts("sizes", Route.Sizes);
    readTargets(Reader, Route);
    checkHostAndPrefix(Reader, Route);
    Config.Routes.push_back(std::move(Route));
  }

  // Reads the target of a route: one service, or several with weights.
  void readTargets(object_reader &Reader, route_spec &Route) {
    auto CheckService = [&](const std::string &Name, object_reader &At) {
      if (!ServiceNames.contains(Name))
        At.fault("service", absl::StrCat("'", Name, "' is not a service"));
    };
    const json *Split = Reader.raw("split");
    if (!Split || Split->is_null() || (Split->is_array() && Split->empty())) {
      std::string Service;
      Reader.text("service", Service, presence::Required);
      CheckService(Service, Reader);
      Route.Services.push_back({Service, 1});
      return;
    }
    uint64_t Sum = 0;
    Reader.elements("split", [&](const json &Each, const std::string &Path) {
      object_reader Fields(Each, Path, Faults);
      service_share Share;
      int64_t Weight = 0;
      Fields.text("service", Share.Service, presence::Required);
      Fields.integer("weight", Weight, {0, MaxWeight}, presence::Required);
      CheckService(Share.Service, Fields);
      Share.Weight = uint32_t(Weight);
      Sum += Share.Weight;
      Route.Services.push_back(std::move(Share));
    });
    if (Sum == 0)
      Reader.fault("split", "weights must not sum to 0");
  }

  void checkHostAndPrefix(object_reader &Reader, const route_spec &Route) {
    const std::string &Prefix = Route.PathPrefix;
    if (!Prefix.starts_with('/') || !Prefix.ends_with('/'))
      Reader.fault("path_prefix", "must start and end with '/'");
    if (!HostPrefixes.insert(Route.Host + Prefix).second)
      Reader.fault("path_prefix", absl::StrCat(Route.Host, Prefix,
                                               " is used by another route"));
  }

  void readLimits(object_reader &Reader) {
    caller_limits &Limits = Config.Limits;
    int64_t HeaderBytes = int64_t(Limits.HeaderBytes);
    int64_t BodyBytes = int64_t(Limits.BodyBytes);
    double HeaderMs = Limits.HeaderSeconds * 1000;
    double IdleMs = Limits.IdleSeconds * 1000;
    Reader.integer("max_header_bytes", HeaderBytes, {1, 1 << 24});
    Reader.integer("max_body_bytes", BodyBytes, {0, 1 << 30});
    Reader.number("header_timeout_ms", HeaderMs, {1, MaxMilliseconds});
    Reader.number("idle_timeout_ms", IdleMs, {1, MaxMilliseconds});
    Limits.HeaderBytes = size_t(HeaderBytes);
    Limits.BodyBytes = size_t(BodyBytes);
    Limits.HeaderSeconds = HeaderMs / 1000;
    Limits.IdleSeconds = IdleMs / 1000;
  }

  void readAccount(const json &Value, const std::string &Path) {
    object_reader Reader(Value, Path, Faults);
    caller_account Account;
    Reader.text("name", Account.Name, presence::Required);
    if (Reader.has("keys"))
      Reader.texts("keys", Account.Keys);
    if (Reader.has("priority")) {
      int64_t Priority = 0;
      Reader.integer("priority", Priority, {0, MaxPriority});
      Account.Priority = uint32_t(Priority);
    }
    for (const std::string &Key : Account.Keys)
      if (!Keys.insert(Key).second)
        Reader.fault("keys", "another account has one of these keys");
    Config.Accounts.push_back(std::move(Account));
  }

  fault_list &Faults;
  routing_config Config;
  std::set<std::string> ServiceNames;
  std::set<std::string> HostPrefixes;
  std::set<std::string> Keys;
};

} // namespace

absl::StatusOr<routing_config> readRouting(std::string_view Text) {
  auto Document = parseJson(Text, "routing");
  if (!Document.ok())
    return Document.status();
  fault_list Faults;
  routing_config Config = routing_reader(Faults).read(*Document);
  if (!Faults.empty())
    return makeError(error_kind::BadRequest, Faults.text());
  return Config;
}

routing_table::routing_table(const routing_config &Config)
    : Version(Config.Version), Limits(Config.Limits) {
  for (const route_spec &Route : Config.Routes)
    add(std::make_shared<const route_spec>(Route));
  for (const routed_service &Service : Config.Services)
    add(std::make_shared<const routed_service>(Service));
  for (const caller_account &Account : Config.Accounts)
    add(std::make_shared<const caller_account>(Account));
}

void routing_table::add(std::shared_ptr<const route_spec> Route) {
  ++Routes;
  ByHost[Route->Host][Route->PathPrefix] = std::move(Route);
}

void routing_table::add(std::shared_ptr<const routed_service> Service) {
  Services[Service->Name] = std::move(Service);
}

void routing_table::add(std::shared_ptr<const caller_account> Account) {
  ++Accounts;
  for (const std::string &Key : Account->Keys)
    ByKey[Key] = Account;
}

void routing_table::remove(const route_spec &Route) {
  --Routes;
  auto It = ByHost.find(Route.Host);
  It->second.erase(Route.PathPrefix);
  if (It->second.empty())
    ByHost.erase(It);
}

void routing_table::remove(const routed_service &Service) {
  Services.erase(Service.Name);
}

void routing_table::remove(const caller_account &Account) {
  --Accounts;
  for (const std::string &Key : Account.Keys)
    ByKey.erase(Key);
}

std::shared_ptr<const route_spec>
routing_table::route(std::string_view Host, std::string_view Path) const {
  auto OfHost = ByHost.find(Host);
  if (OfHost == ByHost.end())
    return nullptr;
  const auto &Prefixes = OfHost->second;
  for (size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos
                          : Path.rfind('/', Slash - 1)) {
    auto It = Prefixes.find(Path.substr(0, Slash + 1));
    if (It != Prefixes.end())
      return It->second;
  }
  return nullptr;
}

std::shared_ptr<const caller_account>
routing_table::accountOfKey(std::string_view Key) const {
  auto It = ByKey.find(Key);
  return It == ByKey.end() ? nullptr : It->second;
}

const routed_service *routing_table::service(std::string_view Name) const {
  auto It = Services.find(Name);
  return It == Services.end() ? nullptr : It->second.get();
}

} // namespace olivevalve
