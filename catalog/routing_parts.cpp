//===- routing_parts.cpp - Parts of a routing configuration ---------------===//

#include "catalog/routing_parts.h"
#include "absl/strings/str_cat.h"
#include "base/digest.h"
#include "wire/wire.pb.h"

namespace olivevalve {

namespace {

constexpr const char *LimitsName = "limits";

wire::route_part encode(const route_spec &Route) {
  wire::route_part Part;
  Part.set_name(Route.Name);
  Part.set_host(Route.Host);
  Part.set_path_prefix(Route.PathPrefix);
  Part.set_kind(uint32_t(Route.Kind));
  Part.set_timeout_seconds(Route.TimeoutSeconds);
  Part.set_target_seconds(Route.TargetSeconds);
  Part.set_gap_seconds(Route.GapSeconds);
  Part.set_priority(Route.Priority);
  Part.set_max_attempts(Route.MaxAttempts);
  Part.set_public_(Route.Public);
  Part.set_sticky(Route.Sticky);
  Part.set_resumable(Route.Resumable);
  Part.mutable_sizes()->Assign(Route.Sizes.begin(), Route.Sizes.end());
  for (const service_share &Share : Route.Services) {
    wire::share_part *Out = Part.add_services();
    Out->set_service(Share.Service);
    Out->set_weight(Share.Weight);
  }
  return Part;
}

wire::service_part encode(const routed_service &Service) {
  wire::service_part Part;
  Part.set_name(Service.Name);
  Part.set_health_path(Service.HealthPath);
  Part.set_max_connections(Service.MaxConnections);
  Part.set_cold_start_seconds(Service.ColdStartSeconds);
  Part.set_cold_requests_per_second(Service.ColdRequestsPerSecond);
  if (!Service.Engine)
    return Part;
  Part.set_has_engine(true);
  Part.set_slots(Service.Engine->Slots);
  Part.set_cache_tokens(Service.Engine->CacheTokens);
  for (const model_cost &Model : Service.Engine->Models) {
    wire::model_part *Out = Part.add_models();
    Out->set_name(Model.Name);
    Out->set_cost_per_thousand_tokens(Model.CostPerThousandTokens);
  }
  return Part;
}

wire::account_part encode(const caller_account &Account) {
  wire::account_part Part;
  Part.set_name(Account.Name);
  Part.mutable_keys()->Assign(Account.Keys.begin(), Account.Keys.end());
  Part.set_has_priority(Account.Priority.has_value());
  Part.set_priority(Account.Priority.value_or(0));
  return Part;
}

wire::limits_part encode(const caller_limits &Limits) {
  wire::limits_part Part;
  Part.set_header_bytes(Limits.HeaderBytes);
  Part.set_body_bytes(Limits.BodyBytes);
  Part.set_header_seconds(Limits.HeaderSeconds);
  Part.set_idle_seconds(Limits.IdleSeconds);
  return Part;
}

route_spec decode(const wire::route_part &Part) {
  route_spec Route{.Name = Part.name(),
                   .Host = Part.host(),
                   .PathPrefix = Part.path_prefix(),
                   .Kind = route_kind(Part.kind()),
                   .TimeoutSeconds = Part.timeout_seconds(),
                   .TargetSeconds = Part.target_seconds(),
                   .GapSeconds = Part.gap_seconds(),
                   .Priority = Part.priority(),
                   .MaxAttempts = Part.max_attempts(),
                   .Public = Part.public_(),
                   .Sticky = Part.sticky(),
                   .Resumable = Part.resumable(),
                   .Sizes = {Part.sizes().begin(), Part.sizes().end()}};
  for (const wire::share_part &Share : Part.services())
    Route.Services.push_back({Share.service(), Share.weight()});
  return Route;
}

routed_service decode(const wire::service_part &Part) {
  routed_service Service{.Name = Part.name(),
                         .HealthPath = Part.health_path(),
                         .MaxConnections = Part.max_connections(),
                         .ColdStartSeconds = Part.cold_start_seconds(),
                         .ColdRequestsPerSecond =
                             Part.cold_requests_per_second()};
  if (!Part.has_engine())
    return Service;
  engine_spec &Engine = Service.Engine.emplace();
  Engine.Slots = Part.slots();
  Engine.CacheTokens = Part.cache_tokens();
  for (const wire::model_part &Model : Part.models())
    Engine.Models.push_back({Model.name(), Model.cost_per_thousand_tokens()});
  return Service;
}

caller_account decode(const wire::account_part &Part) {
  caller_account Account{.Name = Part.name(),
                         .Keys = {Part.keys().begin(), Part.keys().end()}};
  if (Part.has_priority())
    Account.Priority = Part.priority();
  return Account;
}

caller_limits decode(const wire::limits_part &Part) {
  return {.HeaderBytes = size_t(Part.header_bytes()),
          .BodyBytes = size_t(Part.body_bytes()),
          .HeaderSeconds = Part.header_seconds(),
          .IdleSeconds = Part.idle_seconds()};
}

// Checks what the readers of a decoded route rely on and readRouting() ensures.
bool isValid(const wire::route_part &Part) {
  uint64_t Weights = 0;
  for (const wire::share_part &Share : Part.services())
    Weights += Share.weight();
  return Part.kind() <= uint32_t(route_kind::Streaming) && Weights > 0;
}

// Returns an unused part name. Several accounts may have the same name; the
// second and later ones get a number.
std::string uniqueName(const encoded_parts &Parts, const std::string &Name) {
  std::string Unique = Name;
  for (int Number = 2; Parts.contains(Unique); ++Number)
    Unique = absl::StrCat(Name, "#", Number);
  return Unique;
}

} // namespace

encoded_parts encodeParts(const routing_config &Config) {
  encoded_parts Parts;
  auto Add = [&](const std::string &Name, const wire::routing_part &Part) {
    Parts[uniqueName(Parts, Name)] = Part.SerializeAsString();
  };
  wire::routing_part Part;
  for (const route_spec &Route : Config.Routes) {
    *Part.mutable_route() = encode(Route);
    Add(absl::StrCat("route ", Route.Host, Route.PathPrefix), Part);
  }
  for (const routed_service &Service : Config.Services) {
    *Part.mutable_service() = encode(Service);
    Add("service " + Service.Name, Part);
  }
  for (const caller_account &Account : Config.Accounts) {
    *Part.mutable_account() = encode(Account);
    Add("account " + Account.Name, Part);
  }
  *Part.mutable_limits() = encode(Config.Limits);
  Add(LimitsName, Part);
  return Parts;
}

std::optional<routing_part> decodePart(std::string_view Bytes) {
  wire::routing_part Part;
  if (!Part.ParseFromArray(Bytes.data(), int(Bytes.size())))
    return std::nullopt;
  switch (Part.body_case()) {
  case wire::routing_part::kRoute:
    if (!isValid(Part.route()))
      return std::nullopt;
    return decode(Part.route());
  case wire::routing_part::kService:
    return decode(Part.service());
  case wire::routing_part::kAccount:
    return decode(Part.account());
  case wire::routing_part::kLimits:
    return decode(Part.limits());
  default:
    return std::nullopt;
  }
}

uint64_t partDigest(std::string_view Name, std::string_view Bytes) {
  return checksum(Bytes, checksum(Name));
}

} // namespace olivevalve
